// The way of one relayed request: route, account, endpoint, attempts, answer.
#include "program/RouteRelay.h"

#include "coordination/relay/EventSplitter.h"
#include "coordination/relay/FinalAnswer.h"
#include "program/Clock.h"
#include "program/SilenceWatch.h"
#include "transport/Await.h"
#include "transport/HttpClient.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lavenderthread::program {

namespace asio = boost::asio;
using coordination::orders::ViewStanding;
using coordination::relay::AttemptEnd;
using coordination::relay::CallFacts;
using coordination::relay::FinalAnswer;
using coordination::routing::AttemptHealth;
using coordination::routing::ReplicaCandidate;
using state::routes::CallKind;
using state::routes::Route;
using state::routes::RouteTable;
using std::chrono::milliseconds;

namespace {

// Retries that all nodes together may send in ten seconds are a fifth of the requests and a fixed
// sum; each node keeps under its part of both (18 nodes; 117 nodes share a larger sum).
constexpr double retriesPerRequest = 0.12;
constexpr double retriesAtOnce = 4;

// A node that has just started learns its configuration within a second, if a majority of the
// control members runs. Callers come back only once or twice, so they wait for it here.
constexpr milliseconds configurationWait{900};
constexpr milliseconds retryWithoutConfiguration{1'200};
// After a start, or when all replicas of a service were replaced, the first of them is heard of
// within one heartbeat.
constexpr milliseconds endpointWait{600};
constexpr milliseconds waitingStep{20};
// Until then a control member has confirmed the configuration here, or another node answers.
constexpr milliseconds retryUnconfirmed{300};
constexpr milliseconds retryElsewhere{50}; // this node is leaving; another one takes it at once
constexpr milliseconds retryWithoutEndpoint{300};
constexpr milliseconds longestRetryAfter{5'000};
// An endpoint in the same region accepts within a few milliseconds; a lost packet costs a second.
constexpr milliseconds connectTimeout{700};
// Bytes that an endpoint's machine does not acknowledge for so long are taken for lost with it.
constexpr milliseconds unacknowledgedTimeout{1'500};

// A stream that may go on elsewhere does so when it stays silent for that many times what its
// caller asked for: callers leave at four times the target or eight times the pause, and after two
// seconds at the earliest. An engine that has lost a helper cuts the answer itself within 1.5 s.
constexpr int patienceTargets = 3;
constexpr int patiencePauses = 4;
constexpr milliseconds leastPatience{900};

constexpr std::uint64_t largestAnswer = 16U << 20U;

constexpr unsigned statusOk = 200;
constexpr unsigned statusMultipleChoices = 300;
constexpr unsigned statusServerError = 500;

bool isSuccess(unsigned status)
{
    return status >= statusOk && status < statusMultipleChoices;
}

AttemptHealth healthOf(AttemptEnd end)
{
    if (end == AttemptEnd::Whole)
        return AttemptHealth::Served;
    return end == AttemptEnd::NeverSent ? AttemptHealth::Unreachable : AttemptHealth::Failed;
}

// Where an attempt goes.
struct Target
{
    state::EndpointDescription endpoint;
    std::optional<unsigned> priority;
    std::vector<HelperTarget> helpers;
};

// The attempt that runs now, which others may end: the caller's close, or the scheduler.
struct RunningAttempt
{
    std::shared_ptr<transport::HttpCallHandle> handle =
            std::make_shared<transport::HttpCallHandle>();

    void interrupt() const { this->handle->cancel(); }
    void renew() { this->handle = std::make_shared<transport::HttpCallHandle>(); }
};

} // namespace

class RelayedCall
{
public:
    RelayedCall(RouteRelay &relay, transport::HttpExchange &exchange)
        : relay(relay)
        , hooks(relay.hooks)
        , exchange(exchange)
        , routes(relay.hooks.routes())
        , arrival(monotonicNow())
    {}

    asio::awaitable<RelayOutcome> run()
    {
        this->exchange.onCallerGone([this] { this->callerLeft(); });
        const bool accepted = co_await this->accept();
        if (accepted) {
            if (this->routes->service(this->outcome.service)->engine)
                co_await this->runOnEngines();
            else
                co_await this->runOnReplicas();
        }
        this->outcome.total = monotonicNow() - this->arrival;
        co_return this->outcome;
    }

private:
    // Route, account and time of the request; false once it was answered instead.
    asio::awaitable<bool> accept()
    {
        co_await this->waitForConfiguration();
        this->outcome.configuration = this->routes->version();
        std::optional<RelayRefusal> refusal = this->refusalAtArrival();
        if (!refusal)
            co_return true;
        co_await this->refuse(std::move(*refusal));
        co_return false;
    }

    // Until `ready`, the caller's close, or so long after the arrival.
    asio::awaitable<void> waitFor(std::function<bool()> ready, milliseconds longest)
    {
        const state::Instant limit = this->arrival + longest;
        while (!ready() && !this->facts.callerGone && monotonicNow() < limit)
            co_await transport::pause(waitingStep);
    }

    asio::awaitable<void> waitForConfiguration()
    {
        const std::function<bool()> ready = [this] {
            if (this->routes->version() == 0)
                this->routes = this->hooks.routes();
            return this->routes->version() != 0 || this->hooks.refuses();
        };
        co_await this->waitFor(ready, configurationWait);
    }

    std::optional<RelayRefusal> refusalAtArrival()
    {
        auto decoded = this->hooks.codec.decode(this->exchange.request());
        if (!decoded)
            return RelayRefusal{400, decoded.error().cause, std::nullopt};
        this->request = std::move(decoded.value());
        this->outcome.id = this->request.id;
        this->outcome.promptTokens = this->request.promptTokens;
        if (this->hooks.refuses())
            return RelayRefusal{503, "this node is leaving", retryElsewhere};
        if (this->routes->version() == 0)
            return RelayRefusal{503, "no configuration is known yet", retryWithoutConfiguration};
        const ViewStanding standing = this->hooks.standing();
        if (standing == ViewStanding::Outdated)
            return RelayRefusal{503, "a newer configuration has not come yet", retryElsewhere};
        this->route = this->routes->match(this->request.host, this->exchange.request().path());
        if (this->route == nullptr)
            return refusalUnder(standing, {404, "no route leads there", std::nullopt});
        this->outcome.route = this->route->name;
        const auto *account = this->routes->accountOfKey(this->request.accountKey);
        if (account == nullptr && this->routes->needsKeys() && !this->route->anonymous)
            return refusalUnder(standing,
                                {401, "the account key is missing or not known", std::nullopt});
        if (account != nullptr)
            this->outcome.account = account->id;
        const milliseconds time = std::min(this->request.timeLimit.value_or(this->route->timeout),
                                           this->route->timeout);
        this->deadline = this->arrival + time;
        this->outcome.service =
                state::routes::pickService(this->route->services, this->relay.draw());
        this->facts.repeatable = this->route->isRepeatable();
        this->facts.allowedRuns = std::max(this->route->attempts, 1U);
        if (this->request.resumeBehind)
            this->events.resumeBehind(*this->request.resumeBehind);
        return std::nullopt;
    }

    // A route or key that was added since must not be refused for good by a node that could not
    // hear of it.
    static RelayRefusal refusalUnder(ViewStanding standing, RelayRefusal refusal)
    {
        if (standing == ViewStanding::Confirmed)
            return refusal;
        return {503, refusal.detail + ", and the configuration is not confirmed", retryUnconfirmed};
    }

    void callerLeft()
    {
        this->facts.callerGone = true;
        this->running->interrupt();
        if (this->scheduled)
            this->hooks.scheduler.cancel(this->request.id);
    }

    asio::awaitable<void> runOnEngines()
    {
        co_await this->waitForEngines();
        ScheduledRequest scheduledRequest = this->toScheduled();
        this->scheduled = true;
        PlacementResult placement =
                co_await this->hooks.scheduler.place(std::move(scheduledRequest));
        if (!placement) {
            co_await this->giveUp(placement.error().detail, placement.error().retryAfter);
            co_return;
        }
        std::uint32_t lastAttempt = 0;
        while (placement) {
            const Placement current = placement.value();
            lastAttempt = current.attempt;
            const AttemptEnd end = co_await this->attemptOn(current);
            if (end == AttemptEnd::Whole) {
                this->hooks.scheduler.noteHealth(current.endpoint, AttemptHealth::Served);
                break;
            }
            this->noteTime();
            if (!coordination::relay::mayTryAgain(this->facts, end))
                break;
            this->running->renew();
            placement = co_await this->hooks.scheduler.placeAgain(this->request.id, current,
                                                                  this->failureOf(end));
        }
        if (!this->outcome.whole) {
            std::optional<milliseconds> retryAfter;
            if (!placement) {
                this->outcome.reason = placement.error().detail + "; " + this->outcome.reason;
                retryAfter = placement.error().retryAfter;
            }
            co_await this->giveUp(this->outcome.reason, retryAfter);
        }
        this->hooks.scheduler.finished(this->request.id, lastAttempt, this->outcome.whole);
    }

    // Right after a start the scheduler knows the configuration a moment before the first engine,
    // and would turn away all who come then.
    asio::awaitable<void> waitForEngines()
    {
        const std::function<bool()> ready = [this] { return this->knowsEndpoint(); };
        co_await this->waitFor(ready, endpointWait);
    }

    bool knowsEndpoint() const
    {
        const auto table = this->hooks.endpoints();
        return std::ranges::any_of(table->endpoints, [this](const auto &known) {
            return known.second.description.service == this->outcome.service;
        });
    }

    AttemptFailure failureOf(AttemptEnd end) const
    {
        if (end == AttemptEnd::NeverSent)
            return AttemptFailure::Unreachable;
        if (end == AttemptEnd::NotRun)
            return this->peerFailed ? AttemptFailure::PeerLost : AttemptFailure::NotRun;
        return AttemptFailure::Lost;
    }

    ScheduledRequest toScheduled()
    {
        ScheduledRequest wanted;
        wanted.id = this->request.id;
        wanted.account = this->outcome.account;
        wanted.workClass = state::WorkClass(this->route->name);
        wanted.body.model =
                state::ModelName(this->outcome.service.value() + "/" + this->request.model.value());
        wanted.body.promptTokens = this->request.promptTokens;
        wanted.body.outputTokens = this->request.outputTokens;
        wanted.body.stream = true;
        wanted.arrival = this->arrival;
        wanted.deadline = this->deadline;
        wanted.idempotent = this->facts.repeatable;
        wanted.firstTarget = this->route->firstAnswerTarget;
        wanted.pause = this->route->pauseTarget;
        wanted.attempts = this->facts.allowedRuns;
        wanted.interrupt = [running = this->running] { running->interrupt(); };
        return wanted;
    }

    asio::awaitable<AttemptEnd> attemptOn(Placement placement)
    {
        Target target;
        target.endpoint = placement.endpoint;
        target.priority = placement.priority;
        target.helpers = placement.helpers;
        this->attemptNumber = placement.attempt;
        this->outcome.predictedFirst = placement.predictedFirst;
        co_return co_await this->attempt(std::move(target));
    }

    asio::awaitable<void> runOnReplicas()
    {
        std::vector<state::EndpointId> tried;
        while (true) {
            std::optional<state::EndpointDescription> replica;
            const std::function<bool()> chosen = [this, &replica, &tried] {
                replica = this->chooseReplica(tried);
                return replica.has_value();
            };
            co_await this->waitFor(chosen, endpointWait);
            if (!replica) {
                this->outcome.reason =
                        "no endpoint of the service is known; " + this->outcome.reason;
                break;
            }
            tried.push_back(replica->id);
            Target target;
            target.endpoint = *replica;
            const AttemptEnd end = co_await this->attempt(std::move(target));
            this->endOnReplica(*replica, end);
            if (end == AttemptEnd::Whole)
                co_return;
            this->noteTime();
            const bool paid = std::exchange(this->retryPaid, false);
            if (!coordination::relay::mayTryAgain(this->facts, end) || !(paid || this->takeRetry()))
                break;
            this->running->renew();
        }
        co_await this->giveUp(this->outcome.reason, retryWithoutEndpoint);
    }

    std::optional<state::EndpointDescription>
    chooseReplica(const std::vector<state::EndpointId> &tried)
    {
        std::vector<ReplicaCandidate> candidates;
        const auto table = this->hooks.endpoints();
        for (const auto &[id, endpoint] : table->endpoints) {
            if (endpoint.description.service == this->outcome.service && !endpoint.draining)
                candidates.push_back({endpoint.description, endpoint.stale});
        }
        const std::lock_guard lock(this->relay.choosing);
        const auto chosen = this->relay.chooser.choose(candidates, tried, monotonicNow());
        if (!chosen)
            return std::nullopt;
        this->relay.chooser.began(candidates[*chosen].description.id);
        return candidates[*chosen].description;
    }

    void endOnReplica(const state::EndpointDescription &replica, AttemptEnd end)
    {
        // An answer of its own is what a sound endpoint gives to a request that it can't do.
        const AttemptHealth health = this->facts.callerGone ? AttemptHealth::Served : healthOf(end);
        const std::lock_guard lock(this->relay.choosing);
        this->relay.chooser.ended(replica, health, monotonicNow());
        if (end == AttemptEnd::Whole)
            this->relay.budgetOf(this->outcome.service).succeeded();
    }

    bool takeRetry()
    {
        const std::lock_guard lock(this->relay.choosing);
        return this->relay.budgetOf(this->outcome.service).take();
    }

    void noteTime() { this->facts.timeIsOver = remaining(this->deadline) == milliseconds(0); }

    // One endpoint is given the request. Counts in `facts` what that may have meant.
    asio::awaitable<AttemptEnd> attempt(Target target)
    {
        ++this->outcome.attempts;
        this->outcome.endpoint = target.endpoint.id;
        this->outcome.address = target.endpoint.address;
        this->outcome.helpers.clear();
        for (const HelperTarget &helper : target.helpers)
            this->outcome.helpers.push_back(helper.address);
        this->outcome.resumed = this->events.passed() > 0;
        this->watchSilence();
        const AttemptEnd end = co_await this->exchangeWith(std::move(target));
        if (this->silence)
            this->silence->stop();
        if (this->silence && this->silence->hasGivenUp())
            this->outcome.reason = "the endpoint was silent for too long";
        switch (end) {
        case AttemptEnd::Whole:
            break;
        case AttemptEnd::NeverSent:
        case AttemptEnd::NotRun:
            ++this->facts.refusals;
            break;
        case AttemptEnd::Failed:
        case AttemptEnd::Lost:
            ++this->facts.runs;
            break;
        }
        co_return end;
    }

    asio::awaitable<AttemptEnd> exchangeWith(Target target)
    {
        const milliseconds left = remaining(this->deadline);
        if (left == milliseconds(0) || this->facts.callerGone)
            co_return AttemptEnd::NeverSent;
        ForwardTerms terms;
        terms.timeLeft = left;
        terms.endpoint = target.endpoint.id;
        terms.account = this->outcome.account;
        terms.priority = target.priority;
        terms.helpers = target.helpers;
        terms.resumeBehind = this->events.lastId();
        protocol::HttpRequest forwarded =
                this->hooks.codec.forward(this->exchange.request(), terms);
        transport::HttpCallLimits limits;
        limits.connectTimeout = std::min(connectTimeout, left);
        limits.unacknowledgedTimeout = unacknowledgedTimeout;
        limits.timeout = left;
        transport::BeforeSend noGate;
        auto opened = co_await transport::openHttpStream(
                this->exchange.executor(), target.endpoint.address, std::move(forwarded), limits,
                noGate, this->running->handle);
        if (!opened)
            co_return this->openFailed(opened.error());
        transport::HttpAnswerStream &stream = opened.value();
        const protocol::HttpHeaders headers = stream.headers();
        const EndpointHead head =
                this->hooks.codec.readHead(stream.status(), headers, this->request.id);
        this->noteHead(target, head);
        if (!head.genuine) {
            this->outcome.reason = "the answer was not to this request";
            co_return AttemptEnd::Lost;
        }
        if (head.notRun) {
            this->outcome.reason =
                    "refused by the endpoint with " + std::to_string(stream.status());
            co_return AttemptEnd::NotRun;
        }
        if (isSuccess(stream.status()) && this->route->kind == CallKind::Stream)
            co_return co_await this->relayStream(stream, headers);
        co_return co_await this->relayWhole(stream, headers);
    }

    AttemptEnd openFailed(const state::Error &error)
    {
        this->outcome.reason = error.step + ": " + error.cause;
        const bool unseen =
                error.step == transport::connectStep || error.step == transport::beforeSendStep;
        return unseen ? AttemptEnd::NeverSent : AttemptEnd::Lost;
    }

    void noteHead(const Target &target, const EndpointHead &head)
    {
        this->peerFailed = head.faulty && *head.faulty != target.endpoint.address;
        if (this->peerFailed)
            this->hooks.scheduler.blame(*head.faulty);
        if (!head.load || !head.genuine)
            return;
        const std::lock_guard lock(this->relay.choosing);
        this->relay.chooser.reported(target.endpoint.id, *head.load, monotonicNow());
    }

    milliseconds firstPatience() const
    {
        return std::max(leastPatience, this->route->firstAnswerTarget * patienceTargets);
    }

    milliseconds pausePatience() const
    {
        return std::max(leastPatience, this->route->pauseTarget * patiencePauses);
    }

    void watchSilence()
    {
        this->silence.reset();
        if (!this->facts.repeatable || this->route->kind != CallKind::Stream)
            return;
        SilenceWatch::Hooks watchHooks;
        watchHooks.giveUp = [running = this->running] { running->interrupt(); };
        if (this->scheduled) {
            watchHooks.mayMove = [mayMove = this->hooks.scheduler.mayMove, id = this->request.id,
                                  attempt = this->attemptNumber] { return mayMove(id, attempt); };
        } else {
            watchHooks.mayMove = [this]() -> asio::awaitable<bool> {
                co_return this->mayMoveToReplica();
            };
        }
        this->silence = SilenceWatch::start(this->exchange.executor(), this->firstPatience(),
                                            std::move(watchHooks));
    }

    bool mayMoveToReplica()
    {
        CallFacts next = this->facts;
        ++next.runs;
        this->retryPaid =
                this->retryPaid
                || (coordination::relay::mayTryAgain(next, AttemptEnd::Lost) && this->takeRetry());
        return this->retryPaid;
    }

    // The whole answer is read before any of it goes on: one that breaks off can then still be
    // tried elsewhere, or be answered by an honest failure.
    asio::awaitable<AttemptEnd> relayWhole(transport::HttpAnswerStream &stream,
                                           protocol::HttpHeaders headers)
    {
        protocol::HttpResponse answer{stream.status(), std::move(headers), {}};
        while (true) {
            const auto piece = co_await stream.read(remaining(this->deadline));
            if (!piece) {
                this->outcome.reason = piece.error().step + ": " + piece.error().cause;
                co_return AttemptEnd::Lost;
            }
            if (!piece.value())
                break;
            answer.body += *piece.value();
            if (answer.body.size() > largestAnswer) {
                this->outcome.reason = "the answer is larger than may be kept";
                co_return AttemptEnd::Lost;
            }
        }
        if (answer.status >= statusServerError) {
            this->outcome.reason = "the endpoint answered " + std::to_string(answer.status);
            this->endpointAnswer = std::move(answer);
            co_return AttemptEnd::Failed;
        }
        co_await this->respond(std::move(answer));
        co_return AttemptEnd::Whole;
    }

    asio::awaitable<void> respond(protocol::HttpResponse answer)
    {
        this->outcome.status = answer.status;
        this->outcome.firstAnswer = monotonicNow() - this->arrival;
        const auto sent = co_await this->exchange.respond(std::move(answer));
        this->outcome.whole = sent.has_value();
    }

    // Whole events go on as they come. The head waits for the first of them, so that an endpoint
    // that fails before it costs the caller nothing.
    asio::awaitable<AttemptEnd> relayStream(transport::HttpAnswerStream &stream,
                                            protocol::HttpHeaders headers)
    {
        this->events.dropRest();
        while (true) {
            const auto piece = co_await stream.read(remaining(this->deadline));
            if (!piece) {
                this->outcome.reason = piece.error().step + ": " + piece.error().cause;
                co_return AttemptEnd::Lost;
            }
            if (!piece.value())
                break;
            const std::string whole = this->events.take(*piece.value());
            if (whole.empty())
                continue;
            if (this->silence)
                this->silence->heard(this->pausePatience());
            const bool passed = co_await this->passOn(whole, headers);
            if (!passed)
                co_return AttemptEnd::Lost;
        }
        if (this->events.hasRest()) {
            this->outcome.reason = "the stream ended inside an event";
            co_return AttemptEnd::Lost;
        }
        co_return co_await this->finishStream(headers);
    }

    asio::awaitable<bool> passOn(std::string_view events, const protocol::HttpHeaders &headers)
    {
        const bool begun = co_await this->beginAnswer(headers);
        if (!begun)
            co_return false;
        this->notePause();
        const auto sent = co_await this->exchange.write(events);
        if (sent)
            co_return true;
        this->facts.callerGone = true;
        this->outcome.reason = sent.error().step + ": " + sent.error().cause;
        co_return false;
    }

    void notePause()
    {
        const state::Instant now = monotonicNow();
        if (this->lastEventAt != state::Instant{})
            this->outcome.longestPause =
                    std::max(this->outcome.longestPause, now - this->lastEventAt);
        this->lastEventAt = now;
    }

    asio::awaitable<bool> beginAnswer(const protocol::HttpHeaders &headers)
    {
        if (this->facts.answerBegun)
            co_return true;
        this->facts.answerBegun = true;
        this->outcome.status = statusOk;
        this->outcome.firstAnswer = monotonicNow() - this->arrival;
        if (this->scheduled)
            this->hooks.scheduler.progressed(this->request.id, this->attemptNumber, 1);
        protocol::HttpResponse head{statusOk, headers, {}};
        const auto sent = co_await this->exchange.beginStream(std::move(head));
        if (!sent)
            this->facts.callerGone = true;
        co_return sent.has_value();
    }

    asio::awaitable<AttemptEnd> finishStream(const protocol::HttpHeaders &headers)
    {
        const bool begun = co_await this->beginAnswer(headers);
        if (!begun)
            co_return AttemptEnd::Lost;
        const auto sent = co_await this->exchange.finishStream();
        this->outcome.whole = sent.has_value();
        co_return sent ? AttemptEnd::Whole : AttemptEnd::Lost;
    }

    // The final answer to what no endpoint has answered whole.
    asio::awaitable<void> giveUp(std::string detail, std::optional<milliseconds> retryAfter)
    {
        this->noteTime();
        this->outcome.reason = detail;
        switch (coordination::relay::finalAnswer(this->facts, this->endpointAnswer.has_value())) {
        case FinalAnswer::None:
            this->outcome.status = 0;
            break;
        case FinalAnswer::Cut:
            break; // left unfinished, the server closes it
        case FinalAnswer::EndpointAnswer:
            co_await this->respond(std::move(*this->endpointAnswer));
            this->outcome.whole = false;
            break;
        case FinalAnswer::NotRun:
            co_await this->refuseWith(
                    503, std::min(retryAfter.value_or(retryWithoutEndpoint), longestRetryAfter));
            break;
        case FinalAnswer::Unknown:
            co_await this->refuseWith(502, std::nullopt);
            break;
        case FinalAnswer::Timeout:
            co_await this->refuseWith(504, std::nullopt);
            break;
        }
    }

    asio::awaitable<void> refuseWith(unsigned status, std::optional<milliseconds> retryAfter)
    {
        RelayRefusal refusal;
        refusal.status = status;
        refusal.detail = this->outcome.reason;
        refusal.retryAfter = retryAfter;
        co_await this->refuse(std::move(refusal));
    }

    asio::awaitable<void> refuse(RelayRefusal refusal)
    {
        this->outcome.status = refusal.status;
        if (this->outcome.reason.empty())
            this->outcome.reason = refusal.detail;
        protocol::HttpResponse answer = this->hooks.codec.refuse(refusal);
        co_await this->exchange.respond(std::move(answer));
    }

    RouteRelay &relay;
    const RouteRelay::Hooks &hooks;
    transport::HttpExchange &exchange;
    state::SnapshotView<RouteTable> routes; // one version decides over the whole request
    const state::Instant arrival;
    RelayRequest request;
    const Route *route = nullptr; // of `routes`
    state::Instant deadline;
    state::Instant lastEventAt;
    CallFacts facts;
    RelayOutcome outcome;
    coordination::relay::EventSplitter events;
    std::optional<protocol::HttpResponse> endpointAnswer; // the last failure an endpoint gave
    std::shared_ptr<RunningAttempt> running = std::make_shared<RunningAttempt>();
    std::shared_ptr<SilenceWatch> silence; // of the attempt that runs, if it may be given up
    bool retryPaid = false;                // for a move to another replica
    bool scheduled = false;
    bool peerFailed = false; // the last answer blames another endpoint than the one that gave it
    std::uint32_t attemptNumber = 0; // of the scheduler
};

RouteRelay::RouteRelay(const Settings &settings, Hooks hooks, std::uint64_t seed)
    : settings(settings)
    , hooks(std::move(hooks))
    , random(seed)
    , chooser(seed + 1)
{}

asio::awaitable<void> RouteRelay::run(transport::HttpExchange &exchange)
{
    ++this->requestsInFlight;
    RelayedCall call(*this, exchange);
    const RelayOutcome outcome = co_await call.run();
    --this->requestsInFlight;
    this->hooks.finished(outcome);
}

double RouteRelay::draw()
{
    const std::lock_guard lock(this->choosing);
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

coordination::admission::RetryBudget &RouteRelay::budgetOf(const state::ServiceName &service)
{
    return this->budgets.try_emplace(service, retriesPerRequest, retriesAtOnce).first->second;
}

} // namespace lavenderthread::program
