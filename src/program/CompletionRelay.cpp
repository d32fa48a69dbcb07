// The life of one completion: placement, attempts, answer, and the account of how it went.
#include "program/CompletionRelay.h"

#include "program/AnswerWriter.h"
#include "program/Clock.h"
#include "program/EngineAttempt.h"
#include "program/HeaderValues.h"

#include <optional>

namespace lavenderthread::program {

namespace asio = boost::asio;
using protocol::Problem;
using protocol::Ran;

namespace {

constexpr std::chrono::milliseconds retryAfterFailure{500};

// Everything about one request while it is relayed.
class RelayedRequest
{
public:
    RelayedRequest(const Settings &settings, const CompletionRelay::Hooks &hooks,
                   transport::HttpExchange &exchange, ScheduledRequest request,
                   std::optional<protocol::EventId> resume)
        : settings(settings)
        , hooks(hooks)
        , exchange(exchange)
        , request(std::move(request))
        , resume(std::move(resume))
        , body(std::make_shared<const std::string>(exchange.request().body))
        , writer(exchange, this->request.body, this->request.id.value(), settings.keys,
                 this->resume ? this->resume->offset + 1 : 0)
        , firstOffset(this->writer.nextOffset())
    {}

    asio::awaitable<CompletionOutcome> run()
    {
        if (this->resume) {
            const bool ended = co_await this->joinRunningStream();
            if (ended)
                co_return this->outcome();
        }
        PlacementResult placement = co_await this->hooks.scheduler.place(this->request);
        if (!placement) {
            // A resumed stream ran elsewhere before: "no" would be a lie.
            Problem problem = placement.error();
            problem.ran = this->resume ? Ran::Unknown : problem.ran;
            co_await this->fail(std::move(problem));
            co_return this->outcome();
        }
        while (true) {
            const bool ended = co_await this->attempt(placement.value());
            if (ended)
                break;
            placement = co_await this->hooks.scheduler.placeAgain(
                    this->request.id, placement.value(), this->writer.nextOffset());
            if (!placement) {
                Problem problem = placement.error();
                problem.ran = this->ran;
                co_await this->fail(std::move(problem));
                break;
            }
        }
        this->hooks.scheduler.finished(this->request.id);
        co_return this->outcome();
    }

private:
    // Reads on in the stream that the caller's former entry started. False if the engine has lost
    // it.
    asio::awaitable<bool> joinRunningStream()
    {
        Placement placement;
        placement.endpoint.id = this->resume->endpoint;
        placement.endpoint.address = this->resume->engine;
        AttemptRequest attempt = this->attemptRequest(placement);
        attempt.stream = this->resume->stream;
        attempt.joinExisting = true;
        this->ran = Ran::Yes;
        EngineAttempt engine(this->exchange.executor(), std::move(attempt), this->settings.endpoint,
                             [](const state::EndpointDescription &) { return true; });
        const auto opened = co_await engine.open();
        if (!opened)
            co_return false;
        co_return co_await this->relay(engine, placement, this->resume->stream);
    }

    AttemptRequest attemptRequest(const Placement &placement)
    {
        ++this->attempts;
        AttemptRequest attempt;
        attempt.endpoint = placement.endpoint;
        attempt.stream = this->request.id.value() + "." + std::to_string(this->attempts);
        attempt.priority = placement.priority;
        attempt.resumeFrom = this->writer.nextOffset();
        attempt.body = this->body;
        attempt.deadline = this->request.deadline;
        return attempt;
    }

    // True if the request has ended, well or not; false if another engine should be tried.
    asio::awaitable<bool> attempt(const Placement &placement)
    {
        AttemptRequest attempt = this->attemptRequest(placement);
        const std::string stream = attempt.stream;
        EngineAttempt engine(this->exchange.executor(), std::move(attempt), this->settings.endpoint,
                             this->hooks.scheduler.isAlive);
        const auto opened = co_await engine.open();
        if (!opened) {
            this->noteFailure(opened.error());
            co_return co_await this->endIfLate();
        }
        this->ran = Ran::Yes;
        co_return co_await this->relay(engine, placement, stream);
    }

    // "No" stays true only while no byte of the request has gone to an engine.
    void noteFailure(const state::Error &error)
    {
        const bool unseen =
                error.step == transport::connectStep || error.code == state::ErrorCode::Overloaded;
        if (!unseen && this->ran == Ran::No)
            this->ran = Ran::Unknown;
        this->lastError = error;
    }

    asio::awaitable<bool> relay(EngineAttempt &engine, const Placement &placement,
                                const std::string &stream)
    {
        protocol::EventId position{this->request.account, placement.endpoint.id,
                                   placement.endpoint.address, stream, 0};
        while (true) {
            const auto lines = co_await engine.readLines();
            if (!lines) {
                this->noteFailure(lines.error());
                const bool ended = co_await this->endIfLate();
                engine.cancel();
                co_return ended;
            }
            for (const protocol::EngineLine &line : lines.value()) {
                position.offset = line.offset;
                if (line.done && line.total == this->writer.nextOffset()) {
                    this->whole = co_await this->writer.finish(line.finishReason);
                    co_return true;
                }
                if (line.done || this->takeToken(line, position) == AnswerWriter::Verdict::Gap) {
                    engine.cancel();
                    co_return false;
                }
            }
            if (!co_await this->writer.flush()) {
                // The caller may go on at another entry with its last event id; an answer that
                // can't be resumed is of no use to anybody, so the engine's memory is freed at
                // once.
                if (!this->request.body.stream)
                    engine.cancel();
                co_return true;
            }
            this->hooks.scheduler.progressed(this->request.id, this->writer.nextOffset());
        }
    }

    AnswerWriter::Verdict takeToken(const protocol::EngineLine &line,
                                    const protocol::EventId &position)
    {
        const AnswerWriter::Verdict verdict = this->writer.take(line, position);
        if (verdict == AnswerWriter::Verdict::Accepted && this->firstToken == state::Duration{})
            this->firstToken = monotonicNow() - this->request.arrival;
        return verdict;
    }

    asio::awaitable<bool> endIfLate()
    {
        if (remaining(this->request.deadline) > std::chrono::milliseconds(0))
            co_return false;
        Problem problem{504, "deadline", "the deadline has passed", this->ran, std::nullopt};
        co_await this->fail(std::move(problem));
        co_return true;
    }

    asio::awaitable<void> fail(Problem problem)
    {
        this->status = problem.status;
        if (this->lastError)
            problem.detail += " (" + this->lastError->step + ": " + this->lastError->cause + ")";
        if (!problem.retryAfter && problem.status == 503)
            problem.retryAfter = retryAfterFailure;
        co_await this->writer.fail(problem);
    }

    CompletionOutcome outcome() const
    {
        CompletionOutcome outcome;
        outcome.id = this->request.id;
        outcome.account = this->request.account;
        outcome.workClass = this->request.workClass;
        outcome.promptTokens = this->request.body.promptTokens;
        outcome.outputTokens = this->writer.nextOffset() - this->firstOffset;
        outcome.status = this->status != 0 ? this->status : this->whole ? 200U : 0U;
        outcome.ran = this->ran;
        outcome.whole = this->whole;
        outcome.attempts = this->attempts;
        outcome.firstToken = this->firstToken;
        outcome.total = monotonicNow() - this->request.arrival;
        return outcome;
    }

    const Settings &settings;
    const CompletionRelay::Hooks &hooks;
    transport::HttpExchange &exchange;
    ScheduledRequest request;
    std::optional<protocol::EventId> resume;
    std::shared_ptr<const std::string> body;
    AnswerWriter writer;
    std::uint64_t firstOffset;
    Ran ran = Ran::No; // only ever goes No -> Unknown -> Yes
    unsigned attempts = 0;
    unsigned status = 0;
    bool whole = false;
    state::Duration firstToken{};
    std::optional<state::Error> lastError;
};

// Opens the caller's Last-Event-ID. An id of another account is refused like a forged one.
state::Result<std::optional<protocol::EventId>> resumePoint(const Settings &settings,
                                                            const protocol::HttpRequest &request,
                                                            const state::ClientAccountId &account)
{
    const auto header = request.headers.find("Last-Event-ID");
    if (!header)
        return std::optional<protocol::EventId>();
    BOOST_OUTCOME_TRY(const protocol::EventId id, protocol::openEventId(settings.keys, *header));
    if (id.account != account)
        return state::makeError(state::ErrorCode::Unauthorized, "event-id.open",
                                "the event id belongs to another account");
    return std::optional<protocol::EventId>(id);
}

} // namespace

CompletionRelay::CompletionRelay(const Settings &settings, Hooks hooks)
    : settings(settings)
    , hooks(std::move(hooks))
{}

asio::awaitable<void> CompletionRelay::run(transport::HttpExchange &exchange,
                                           protocol::CompletionKind kind,
                                           const AccountSetting &account) const
{
    const state::Instant arrival = monotonicNow();
    const protocol::HttpRequest &http = exchange.request();
    auto body = protocol::parseCompletion(kind, http.body);
    const auto deadline = deadlineOf(http, this->settings.entry.defaultDeadline);
    auto resume = resumePoint(this->settings, http, account.id);
    if (!body || !deadline || !resume) {
        const state::Error &error = !body       ? body.error()
                                    : !deadline ? deadline.error()
                                                : resume.error();
        co_await exchange.respond(toResponse(invalidRequest(error)));
        co_return;
    }
    ScheduledRequest request;
    request.id = this->hooks.nextRequestId();
    request.account = account.id;
    request.workClass = workClassOf(http);
    request.body = std::move(body.value());
    request.arrival = arrival;
    request.deadline = arrival + deadline.value();
    RelayedRequest relayed(this->settings, this->hooks, exchange, std::move(request),
                           std::move(resume.value()));
    this->hooks.finished(co_await relayed.run());
}

} // namespace lavenderthread::program
