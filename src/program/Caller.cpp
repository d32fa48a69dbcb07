// Tries the entries in the order that the directory gives until the call has ended.
#include "program/Caller.h"

#include "program/Clock.h"
#include "program/ServerSentEvents.h"
#include "transport/Await.h"
#include "transport/HttpClient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <optional>

namespace lavenderthread::program {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds directoryTimeout{2'000};
constexpr milliseconds directoryRetry{100};
constexpr milliseconds longestPause{1'000};
constexpr milliseconds inProgressPause{500}; // a killed entry is considered lost within seconds

// Exponential backoff: doubles with each try.
milliseconds pauseAfter(const CallerSettings &settings, int attempt)
{
    return std::min(settings.pauseBetweenTries * (1 << std::min(attempt, 8)), longestPause);
}

std::string textMember(const json::value &value, std::string_view name)
{
    const json::value *member = value.is_object() ? value.get_object().if_contains(name) : nullptr;
    return member != nullptr && member->is_string() ? std::string(member->get_string()) : "";
}

json::value parseOrNull(std::string_view text)
{
    boost::system::error_code problem;
    json::value value = json::parse(json::string_view(text.data(), text.size()), problem);
    return problem ? json::value() : value;
}

// Sets the fields for a failed call from a problem+json body.
void takeProblem(CallResult &result, std::string_view body)
{
    const json::value problem = parseOrNull(body);
    result.ran = textMember(problem, "ran");
    result.problem = textMember(problem, "title") + ": " + textMember(problem, "detail");
}

void takeAnswer(CallResult &result, const protocol::HttpResponse &answer)
{
    ++result.connections;
    result.status = answer.status;
    result.text = answer.body;
    result.ran = "yes";
    result.problem.clear();
    result.whole = result.status < 400;
    const auto type = answer.headers.find("Content-Type");
    if (type && *type == "application/problem+json")
        takeProblem(result, result.text);
}

enum class NextStep {
    End,
    TryElsewhere,
    AskAgain, // for the outcome of an earlier copy; does not count as a try
};

NextStep nextStepAfter(const protocol::HttpResponse &answer, const CallResult &result,
                       bool repeatable)
{
    if (answer.status == 503 && result.ran == "no")
        return NextStep::TryElsewhere;
    // An earlier copy is running or was lost together with its entry. In both cases the key is
    // settled later: with the answer of the only run, or with permission to run.
    const bool inProgress =
            answer.status == 409 && textMember(parseOrNull(answer.body), "title") == "in-progress";
    return inProgress && repeatable ? NextStep::AskAgain : NextStep::End;
}

std::string textOfChunk(const json::value &chunk)
{
    const json::value *choices =
            chunk.is_object() ? chunk.get_object().if_contains("choices") : nullptr;
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty())
        return {};
    const json::value &choice = choices->get_array().front();
    if (const json::value *delta =
                choice.is_object() ? choice.get_object().if_contains("delta") : nullptr)
        return textMember(*delta, "content");
    return textMember(choice, "text");
}

// One streamed completion, over as many connections as it needs.
class StreamedCall
{
public:
    StreamedCall(protocol::HttpRequest request, const CallerSettings &settings)
        : request(std::move(request))
        , deadline(monotonicNow() + settings.deadline)
        , started(monotonicNow())
    {}

    // True if the call has ended, successfully or not.
    asio::awaitable<bool> tryAt(const state::Address &entry)
    {
        protocol::HttpRequest attempt = this->request;
        if (!this->lastEventId.empty())
            attempt.headers.add("Last-Event-ID", this->lastEventId);
        attempt.headers.add("Deadline-Ms", std::to_string(remaining(this->deadline).count()));
        transport::HttpCallLimits limits;
        limits.timeout = remaining(this->deadline);
        auto opened = co_await transport::openHttpStream(co_await asio::this_coro::executor, entry,
                                                         std::move(attempt), limits);
        if (!opened) {
            this->result.problem = opened.error().describe();
            co_return remaining(this->deadline) == milliseconds(0);
        }
        ++this->result.connections;
        this->result.status = opened.value().status();
        if (this->result.status != 200)
            co_return co_await this->takeRefusal(opened.value());
        co_return co_await this->readEvents(opened.value());
    }

    state::Instant end() const { return this->deadline; }

    CallResult finish()
    {
        this->result.total = monotonicNow() - this->started;
        return this->result;
    }

private:
    asio::awaitable<bool> takeRefusal(transport::HttpAnswerStream &stream)
    {
        std::string body;
        while (true) {
            const auto piece = co_await stream.read(remaining(this->deadline));
            if (!piece || !piece.value())
                break;
            body += *piece.value();
        }
        takeProblem(this->result, body);
        // Retry only if the request did not run and status 503 says that another entry or a later
        // attempt may succeed.
        co_return !(this->result.status == 503 && this->result.ran == "no");
    }

    asio::awaitable<bool> readEvents(transport::HttpAnswerStream &stream)
    {
        ServerSentEventParser reader;
        while (true) {
            const auto piece = co_await stream.read(remaining(this->deadline));
            if (!piece || !piece.value()) {
                this->result.problem = "the stream was cut";
                co_return remaining(this->deadline) == milliseconds(0);
            }
            for (const ServerSentEvent &event : reader.feed(*piece.value())) {
                if (event.data == "[DONE]") {
                    this->result.whole = true;
                    this->result.ran = "yes";
                    this->result.problem.clear();
                    co_return true;
                }
                if (event.event == "error") {
                    takeProblem(this->result, event.data);
                    co_return true;
                }
                this->takeChunk(event);
            }
        }
    }

    void takeChunk(const ServerSentEvent &event)
    {
        const std::string text = textOfChunk(parseOrNull(event.data));
        if (event.id.empty())
            return;
        this->lastEventId = event.id;
        this->result.text += text;
        if (this->result.tokens++ == 0)
            this->result.firstToken = monotonicNow() - this->started;
    }

    protocol::HttpRequest request;
    state::Instant deadline;
    state::Instant started;
    std::string lastEventId;
    CallResult result;
};

} // namespace

Caller::Caller(CallerSettings settings)
    : settings(std::move(settings))
{}

asio::awaitable<std::vector<state::Address>> Caller::directory()
{
    if (monotonicNow() < this->entriesExpire)
        co_return this->entries;
    for (const state::Address &known : this->settings.knownEntries) {
        protocol::HttpRequest request;
        request.method = "GET";
        request.target = "/v1/entries?account=" + this->settings.account;
        transport::HttpCallLimits limits;
        limits.timeout = directoryTimeout;
        const auto answer = co_await transport::httpCall(co_await asio::this_coro::executor, known,
                                                         std::move(request), limits);
        if (!answer || answer.value().status != 200)
            continue;
        const json::value value = parseOrNull(answer.value().body);
        const json::value *list =
                value.is_object() ? value.get_object().if_contains("entries") : nullptr;
        const json::value *ttl =
                value.is_object() ? value.get_object().if_contains("ttl_ms") : nullptr;
        if (list == nullptr || !list->is_array() || ttl == nullptr || !ttl->is_int64())
            continue;
        std::vector<state::Address> found;
        for (const json::value &item : list->get_array()) {
            const auto address = state::Address::parse(textMember(item, "address"));
            if (address)
                found.push_back(address.value());
        }
        if (found.empty())
            continue;
        this->entries = std::move(found);
        this->entriesExpire = monotonicNow() + milliseconds(ttl->get_int64());
        break;
    }
    co_return this->entries; // an outdated directory is better than none
}

asio::awaitable<std::vector<state::Address>> Caller::awaitDirectory(state::Instant deadline)
{
    // The directory of a starting fleet is empty at first; this does not count as a failed try.
    while (true) {
        std::vector<state::Address> order = co_await this->directory();
        if (!order.empty() || remaining(deadline) == milliseconds(0))
            co_return order;
        co_await transport::pause(directoryRetry);
    }
}

asio::awaitable<CallResult> Caller::complete(protocol::HttpRequest request)
{
    request.headers.add("Authorization", "Bearer " + this->settings.key);
    StreamedCall call(std::move(request), this->settings);
    for (int attempt = 0; attempt < this->settings.tries; ++attempt) {
        const std::vector<state::Address> order = co_await this->awaitDirectory(call.end());
        if (!order.empty()) {
            const state::Address &entry = order[static_cast<std::size_t>(attempt) % order.size()];
            const bool ended = co_await call.tryAt(entry);
            if (ended)
                break;
        }
        co_await transport::pause(pauseAfter(this->settings, attempt));
    }
    co_return call.finish();
}

asio::awaitable<CallResult> Caller::call(protocol::HttpRequest request, bool repeatable)
{
    const state::Instant started = monotonicNow();
    const state::Instant deadline = started + this->settings.deadline;
    request.headers.add("Authorization", "Bearer " + this->settings.key);
    CallResult result;
    result.ran = "no";
    int attempt = 0;
    while (attempt < this->settings.tries) {
        const std::vector<state::Address> order = co_await this->awaitDirectory(deadline);
        NextStep next = NextStep::TryElsewhere;
        if (!order.empty()) {
            protocol::HttpRequest copy = request;
            copy.headers.add("Deadline-Ms", std::to_string(remaining(deadline).count()));
            transport::HttpCallLimits limits;
            limits.timeout = remaining(deadline);
            const auto answer = co_await transport::httpCall(
                    co_await asio::this_coro::executor,
                    order[static_cast<std::size_t>(attempt) % order.size()], std::move(copy),
                    limits);
            if (answer) {
                takeAnswer(result, answer.value());
                next = nextStepAfter(answer.value(), result, repeatable);
            } else {
                result.problem = answer.error().describe();
                const bool unseen = answer.error().step == transport::connectStep;
                result.ran = unseen ? result.ran : "unknown";
                next = unseen || repeatable ? NextStep::TryElsewhere : NextStep::End;
            }
            if (next == NextStep::End || remaining(deadline) == milliseconds(0))
                break;
        }
        const bool asksAgain = next == NextStep::AskAgain;
        co_await transport::pause(asksAgain ? inProgressPause
                                            : pauseAfter(this->settings, attempt));
        attempt += asksAgain ? 0 : 1;
    }
    result.total = monotonicNow() - started;
    co_return result;
}

} // namespace lavenderthread::program
