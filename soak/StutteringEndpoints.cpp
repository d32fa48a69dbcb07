#include "StutteringEndpoints.h"

#include "transport/Await.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>
#include <csignal>
#include <iostream>
#include <utility>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds calmTime{4'000};
constexpr milliseconds cutOffTime{4'000};
constexpr milliseconds freezeTime{600};
constexpr milliseconds stopTime{1'500};
constexpr milliseconds restartPause{300};
constexpr milliseconds lastAnswer{3'500};
constexpr milliseconds callPause{15};
constexpr milliseconds timeLimit{3'000};
constexpr milliseconds patience{3'500};
constexpr std::uint64_t callsToALongOne = 30; // of one caller
constexpr std::uint64_t eventsOfAStream = 8;
constexpr std::array paths = {"/stream/", "/post/", "/read/"};
constexpr unsigned statusOk = 200;

// On one line.
std::string quoted(const std::string &text)
{
    std::string line;
    for (const char character : text)
        line += character == '\n' ? std::string("\\n") : std::string(1, character);
    return line;
}

std::string wholeAnswer(const std::string &path, const std::string &id)
{
    if (path != "/stream/")
        return expectedBody(id);
    std::string text;
    for (std::uint64_t event = 1; event <= eventsOfAStream; ++event)
        text += expectedEvent(id, event);
    return text;
}

} // namespace

StutteringEndpoints::StutteringEndpoints(asio::io_context &context, Settings chosen, Fleet &fleet,
                                         Ledger &ledger)
    : context(context)
    , settings(chosen)
    , fleet(fleet)
    , ledger(ledger)
    , random(chosen.seed)
{}

void StutteringEndpoints::addEndpoint(StutteringEndpoint::Settings endpoint,
                                      std::shared_ptr<const StandIn> announcer)
{
    StutteringEndpoint::Hooks hooks;
    hooks.instance = [announcer = std::move(announcer)] { return announcer->name(); };
    hooks.refuses = [this](const state::Address &from, const state::Address &to) {
        return !this->cutOff.empty()
               && this->fleet.ownerOfSocket(from, to, this->cutOff).has_value();
    };
    hooks.answered = [this](const std::string &id, AnswerFault fault, BodyFraming framing) {
        this->answered.try_emplace(id, std::string(toString(fault)) + "/"
                                               + std::string(toString(framing)));
    };
    this->endpoints.push_back(std::make_shared<StutteringEndpoint>(
            this->context, std::move(endpoint), std::move(hooks), this->ledger));
    this->endpoints.back()->start();
}

asio::awaitable<void> StutteringEndpoints::callForEver(std::size_t entry, std::size_t person)
{
    KeptCaller caller(this->context);
    const std::string name = std::to_string(entry) + "-" + std::to_string(person) + "-";
    for (std::uint64_t call = 1; !this->stopped; ++call) {
        const std::string path = paths[this->random() % paths.size()];
        const std::string id = name + std::to_string(call);
        protocol::HttpRequest request;
        request.method = "POST";
        request.target = path + "x";
        request.headers = {{"Host", "soak"},
                           {"Request-Id", id},
                           {"Request-Deadline", std::to_string(timeLimit.count())},
                           {"Credential", "key-one"},
                           {"Model", "m"},
                           {"Token-Count", "3000,200"}};
        const bool isLong = call % callsToALongOne == 0;
        request.body = isLong ? std::string(longRequestBytes, 'b') : "b" + id;
        const bool inChunks = !isLong && this->random() % 2 == 0;
        const KeptCallResult result = co_await caller.call(this->fleet.callers(entry),
                                                           std::move(request), inChunks, patience);
        this->judge(id, path, result);
        co_await transport::pause(callPause);
    }
}

void StutteringEndpoints::judge(const std::string &id, const std::string &path,
                                const KeptCallResult &result)
{
    const auto found = this->answered.find(id);
    Ends &ends = this->ends[found == this->answered.end() ? "not-answered" : found->second];
    const std::string answeredAs = found == this->answered.end() ? "" : found->second;
    if (result.unaskedBytes > 0) {
        ++ends.wrong;
        this->ledger.broken("request " + id + ": " + std::to_string(result.unaskedBytes)
                            + " bytes behind its answer");
    }
    if (result.end == CallEnd::NoAnswer) {
        ++ends.wrong;
        this->ledger.broken("request " + id + " (" + answeredAs + ") on " + path
                            + " got bytes that are no answer, status "
                            + std::to_string(result.status));
        return;
    }
    if (result.end != CallEnd::Answered) {
        ++ends.failed;
        this->ledger.ended("cut");
        return;
    }
    if (result.status == statusOk && result.body == wholeAnswer(path, id) && result.answers == id
        && result.sealed) {
        ++ends.whole;
        this->ledger.succeeded();
        return;
    }
    const bool isOthers = result.body.find(failureOfAnother) != std::string::npos
                          || (!result.answers.empty() && result.answers != id);
    const bool refusedForGood = result.status >= 400 && result.status < 500 && !result.sealed;
    if (result.status != statusOk && !isOthers && !refusedForGood) {
        ++ends.failed;
        this->ledger.ended("status-" + std::to_string(result.status));
        return;
    }
    ++ends.wrong;
    this->ledger.broken("request " + id + " (" + answeredAs + ") on " + path + " got "
                        + std::to_string(result.status) + " with: " + quoted(result.body));
}

asio::awaitable<void> StutteringEndpoints::disturbEntries()
{
    const std::size_t last = this->fleet.size() - 1;
    this->cutOff = {last, last - 1};
    this->fleet.signal(last - 2, SIGSTOP);
    co_await transport::pause(freezeTime);
    this->fleet.signal(last - 2, SIGCONT);
    this->fleet.kill(last - 2);
    co_await transport::pause(restartPause);
    this->fleet.start(last - 2);
    co_await transport::pause(cutOffTime);
    this->fleet.signal(last, SIGTERM);
    co_await transport::pause(stopTime);
    this->cutOff.clear();
    this->fleet.kill(last);
    this->fleet.start(last);
}

void StutteringEndpoints::printEnds() const
{
    for (const auto &[kind, count] : this->ends)
        std::cout << "  " << kind << ": whole " << count.whole << ", failed " << count.failed
                  << ", wrong " << count.wrong << '\n';
}

asio::awaitable<void> StutteringEndpoints::play()
{
    for (std::size_t entry = 0; entry < this->fleet.size(); ++entry) {
        if (this->fleet.isControl(entry))
            continue;
        for (std::size_t person = 0; person < this->settings.callersAtEachEntry; ++person)
            asio::co_spawn(this->context, this->callForEver(entry, person), asio::detached);
    }
    co_await transport::pause(calmTime);
    co_await this->disturbEntries();
    co_await transport::pause(calmTime);
    this->stopped = true;
    co_await transport::pause(lastAnswer);
    this->printEnds();
    if (this->ledger.successCount() == 0)
        this->ledger.broken("no request was served");
}

} // namespace lavenderthread::soak
