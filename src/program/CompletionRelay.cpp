// Stages of one completion: placement, attempts, answer, and the reported outcome.
#include "program/CompletionRelay.h"

#include "program/AnswerWriter.h"
#include "program/Clock.h"
#include "program/EngineAttempt.h"
#include "program/HeaderValues.h"
#include "program/RequestParts.h"

#include <optional>

namespace lavenderthread::program {

namespace asio = boost::asio;
using protocol::Problem;
using protocol::Ran;

namespace {

constexpr std::chrono::milliseconds retryAfterFailure{500};

// Each block's hash stands for the prompt up to its end: the first ones for what prompts share, the
// last ones for this prompt.
std::vector<state::RequestPart> promptPartsOf(const std::vector<std::uint64_t> &prefixBlocks)
{
    // partsOf() puts the digest of the whole request before them.
    constexpr std::size_t most = coordination::quarantine::CrashReport::maximumParts - 1;
    if (prefixBlocks.size() <= most)
        return prefixBlocks;
    constexpr std::ptrdiff_t half = most / 2;
    std::vector<state::RequestPart> parts(prefixBlocks.begin(), prefixBlocks.begin() + half);
    parts.insert(parts.end(), prefixBlocks.end() - half, prefixBlocks.end());
    return parts;
}

Problem toProblem(const RequestRefusal &refusal)
{
    return {503, "prompt-refused", refusal.detail, Ran::No, refusal.retryAfter};
}

// State of one request while it is relayed.
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
        , parts(partsOf(exchange.request(), {}, promptPartsOf(this->request.body.prefixBlocks)))
        , body(std::make_shared<const std::string>(exchange.request().body))
        , writer(exchange, this->request.body, this->request.id.value(), settings.keys,
                 this->resume ? this->resume->offset + 1 : 0)
        , firstOffset(this->writer.nextOffset())
        , openRequest(hooks.openRequests->open(this->request.arrival))
    {
        this->openRequest.setId(this->request.id);
        this->openRequest.onEnd(exchange.executor(), [this] { this->entryEnds(); });
    }

    asio::awaitable<CompletionOutcome> run()
    {
        if (this->resume) {
            const bool ended = co_await this->joinRunningStream();
            if (ended)
                co_return this->outcome();
        }
        this->openRequest.enter(RequestStage::Queued);
        PlacementResult placement = co_await this->hooks.scheduler.place(this->request);
        if (!placement) {
            co_await this->giveUp(placement.error());
            co_return this->outcome();
        }
        std::uint32_t lastAttempt = placement.value().attempt;
        while (placement) {
            const Placement current = placement.value();
            lastAttempt = current.attempt;
            const AttemptResult end = co_await this->attempt(current);
            if (end == AttemptResult::Ended)
                break;
            this->openRequest.enter(RequestStage::Queued);
            if (end == AttemptResult::SliceDone)
                placement = co_await this->hooks.scheduler.sliceDone(this->request.id, current);
            else
                placement = co_await this->hooks.scheduler.placeAgain(this->request.id, current,
                                                                      failureOf(end));
        }
        if (!placement)
            co_await this->giveUp(placement.error());
        this->hooks.scheduler.finished(this->request.id, lastAttempt, this->whole);
        co_return this->outcome();
    }

private:
    enum class AttemptResult {
        Ended, // the request has succeeded or failed for good
        SliceDone,
        Unreachable, // no connection to the engine
        NotRun,      // the engine refused the request
        Lost,
    };

    static AttemptFailure failureOf(AttemptResult end)
    {
        if (end == AttemptResult::Unreachable)
            return AttemptFailure::Unreachable;
        return end == AttemptResult::NotRun ? AttemptFailure::NotRun : AttemptFailure::Lost;
    }

    // This process ends. What its caller gets already goes on until then.
    void entryEnds()
    {
        if (this->writer.begun())
            return;
        this->ending = true;
        this->call->cancel();
        this->hooks.scheduler.cancel(this->request.id);
    }

    // Continues the stream that the caller's previous entry started. False if the engine no longer
    // has it.
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
        const AttemptResult end = co_await this->relay(engine, placement, this->resume->stream);
        co_return end == AttemptResult::Ended;
    }

    AttemptRequest attemptRequest(const Placement &placement)
    {
        ++this->attempts;
        this->openRequest.enter(RequestStage::Sent);
        AttemptRequest attempt;
        attempt.endpoint = placement.endpoint;
        attempt.stream = streamIdOf(this->request.id, placement);
        attempt.spanFrom = placement.from;
        attempt.spanTo = placement.to;
        if (this->sliceEndpoint == placement.endpoint.id)
            attempt.bodyOf = this->sliceStream;
        attempt.priority = placement.priority;
        attempt.resumeFrom = this->writer.nextOffset();
        attempt.body = this->body;
        attempt.deadline = this->request.deadline;
        if (!this->ending)
            this->call = std::make_shared<transport::HttpCallHandle>();
        attempt.handle = this->call;
        attempt.answerBuffers = this->hooks.answerBuffers;
        return attempt;
    }

    asio::awaitable<AttemptResult> attempt(const Placement &placement)
    {
        const auto refusal = this->hooks.guard->refusalBeforeSend(
                this->request.id, placement.endpoint.service, this->parts);
        if (refusal) {
            co_await this->giveUp(toProblem(*refusal));
            co_return AttemptResult::Ended;
        }
        const AttemptResult end = co_await this->sendTo(placement);
        if (end != AttemptResult::Lost
            || this->hooks.guard->mayRepeat(placement.endpoint.service, this->parts))
            co_return end;
        Problem problem{503, "prompt-refused", "engines crashed on such prompts", this->ran,
                        std::nullopt};
        co_await this->giveUp(std::move(problem));
        co_return AttemptResult::Ended;
    }

    asio::awaitable<AttemptResult> sendTo(const Placement &placement)
    {
        this->sentAt = monotonicNow();
        this->firstTokenOfAttempt = {};
        AttemptRequest attempt = this->attemptRequest(placement);
        const std::string stream = attempt.stream;
        EngineAttempt engine(this->exchange.executor(), std::move(attempt), this->settings.endpoint,
                             this->hooks.scheduler.isAlive);
        const auto opened = co_await engine.open();
        if (!opened) {
            this->recordFailure(opened.error());
            const bool deadlinePassed = co_await this->failIfDeadlinePassed();
            if (deadlinePassed)
                co_return AttemptResult::Ended;
            co_await this->reportLoss(placement, opened.error());
            if (transport::isUnseen(opened.error()))
                co_return AttemptResult::Unreachable;
            co_return opened.error().code == state::ErrorCode::Overloaded ? AttemptResult::NotRun
                                                                          : AttemptResult::Lost;
        }
        this->ran = Ran::Yes;
        co_return co_await this->relay(engine, placement, stream);
    }

    // Ran::No holds only as long as no engine can have started the request.
    void recordFailure(const state::Error &error)
    {
        const bool unseen =
                transport::isUnseen(error) || error.code == state::ErrorCode::Overloaded;
        if (!unseen && this->ran == Ran::No)
            this->ran = Ran::Unknown;
        this->lastError = error;
    }

    asio::awaitable<AttemptResult> relay(EngineAttempt &engine, const Placement &placement,
                                         const std::string &stream)
    {
        protocol::EventId position{this->request.account, placement.endpoint.id,
                                   placement.endpoint.address, stream, 0};
        while (true) {
            const auto lines = co_await engine.readLines();
            if (!lines) {
                this->recordFailure(lines.error());
                const bool deadlinePassed = co_await this->failIfDeadlinePassed();
                co_await this->reportLoss(placement, lines.error());
                engine.cancel();
                co_return deadlinePassed ? AttemptResult::Ended : AttemptResult::Lost;
            }
            for (const protocol::EngineLine &line : lines.value()) {
                if (line.done && !placement.final) {
                    this->sliceEndpoint = placement.endpoint.id;
                    this->sliceStream = stream;
                    co_return AttemptResult::SliceDone;
                }
                position.offset = line.offset;
                if (line.done && line.total == this->writer.nextOffset()) {
                    this->hooks.guard->answerSurvived(placement.endpoint.service, this->parts);
                    this->whole = co_await this->writer.finish(line.finishReason);
                    co_return AttemptResult::Ended;
                }
                if (line.done || this->takeToken(line, position) == AnswerWriter::TakeResult::Gap) {
                    engine.cancel();
                    co_return AttemptResult::Lost;
                }
            }
            this->recordProgress(placement);
            const bool callerConnected = co_await this->writer.flush();
            if (!callerConnected)
                co_return AttemptResult::Ended;
            this->hooks.scheduler.progressed(this->request.id, placement.attempt,
                                             this->writer.nextOffset());
        }
    }

    void recordProgress(const Placement &placement)
    {
        this->openRequest.enter(RequestStage::Answering);
        if (this->firstTokenOfAttempt == state::Instant{})
            this->firstTokenOfAttempt = monotonicNow();
        this->hooks.guard->answerContinues(placement.endpoint.service, this->parts,
                                           this->firstTokenOfAttempt);
    }

    asio::awaitable<void> reportLoss(const Placement &placement, const state::Error &error)
    {
        const bool ended =
                error.code == state::ErrorCode::Unavailable && error.step != transport::connectStep;
        if (ended)
            co_await this->hooks.guard->attemptLost(placement.endpoint, this->parts, this->sentAt,
                                                    this->firstTokenOfAttempt);
    }

    AnswerWriter::TakeResult takeToken(const protocol::EngineLine &line,
                                       const protocol::EventId &position)
    {
        const AnswerWriter::TakeResult verdict = this->writer.take(line, position);
        if (verdict == AnswerWriter::TakeResult::Accepted && this->firstToken == state::Duration{})
            this->firstToken = monotonicNow() - this->request.arrival;
        return verdict;
    }

    asio::awaitable<bool> failIfDeadlinePassed()
    {
        if (remaining(this->request.deadline) > std::chrono::milliseconds(0))
            co_return false;
        Problem problem{504, "deadline", "the deadline has passed", this->ran, std::nullopt};
        co_await this->fail(std::move(problem));
        co_return true;
    }

    // Answers with the scheduler's refusal and with what is known about whether the request ran.
    asio::awaitable<void> giveUp(Problem problem)
    {
        if (this->ending)
            problem = {this->ran == Ran::No ? 503U : 502U, std::string(leavingTitle),
                       "this entry ends", this->ran, std::nullopt};
        problem.ran = this->ran;
        if (this->resume && this->ran == Ran::No)
            problem.ran = Ran::Unknown; // it ran elsewhere before, so "no" would be false
        co_await this->fail(std::move(problem));
    }

    asio::awaitable<void> fail(Problem problem)
    {
        this->openRequest.enter(RequestStage::Answering);
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
    const std::vector<state::RequestPart> parts;
    std::shared_ptr<const std::string> body;
    AnswerWriter writer;
    std::uint64_t firstOffset;
    OpenRequest openRequest;
    // Of the running attempt.
    std::shared_ptr<transport::HttpCallHandle> call = std::make_shared<transport::HttpCallHandle>();
    bool ending = false; // the process ends, and the request must be answered now
    Ran ran = Ran::No;   // only changes in the order No, Unknown, Yes
    // Target of the last slice. The next slice to the same engine can omit the body.
    state::EndpointId sliceEndpoint;
    std::string sliceStream;
    unsigned attempts = 0;
    unsigned status = 0;
    bool whole = false;
    state::Duration firstToken{};
    state::Instant sentAt;              // of the running attempt
    state::Instant firstTokenOfAttempt; // Instant{}: none yet
    std::optional<state::Error> lastError;
};

// Unseals the caller's Last-Event-ID. Another account's id is refused like a forged one.
state::Result<std::optional<protocol::EventId>> resumePoint(const Settings &settings,
                                                            const protocol::HttpRequest &request,
                                                            const state::ClientAccountId &account)
{
    const auto header = request.headers.find("Last-Event-ID");
    if (!header)
        return std::optional<protocol::EventId>();
    BOOST_OUTCOME_TRY(const protocol::EventId id, protocol::unsealEventId(settings.keys, *header));
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
