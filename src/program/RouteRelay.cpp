// Stages of one relayed request: route, account, endpoint, attempts, answer.
#include "program/RouteRelay.h"

#include "coordination/relay/EventSplitter.h"
#include "coordination/relay/FinalAnswer.h"
#include "coordination/relay/PathChoice.h"
#include "coordination/relay/StreamHead.h"
#include "program/Clock.h"
#include "program/InactivityTimeout.h"
#include "program/Log.h"
#include "program/RelayAttempt.h"
#include "program/RelayLog.h"
#include "program/RequestParts.h"
#include "transport/Await.h"
#include "transport/HttpClient.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lavenderthread::program {

namespace asio = boost::asio;
using coordination::orders::ViewStatus;
using coordination::relay::AttemptResult;
using coordination::relay::CallState;
using coordination::relay::ConnectionFailures;
using coordination::relay::FinalAnswer;
using coordination::relay::StreamHead;
using coordination::routing::AttemptOutcome;
using coordination::routing::PathOutcome;
using coordination::routing::PathState;
using coordination::routing::ReplicaCandidate;
using protocol::isSuccess;
using protocol::PeerResult;
using state::routes::CallKind;
using state::routes::Route;
using state::routes::RouteTable;
using std::chrono::milliseconds;

namespace {

// In any ten seconds, all nodes together may send retries for a fifth of the requests plus a fixed
// number that grows with the nodes. Each node stays below its share of both.
constexpr double retriesPerRequest = 0.12;
constexpr double retriesAtOnce = 4;

// A node that has just started receives its configuration within a second if a majority of the
// control members is running. Callers retry only once or twice, so their requests wait here.
constexpr milliseconds configurationWait{900};
// After a start, or after all replicas of a service were replaced, the first replica becomes known
// within one heartbeat.
constexpr milliseconds endpointWait{600};
constexpr milliseconds waitingStep{20};
// By then a control member has confirmed this node's configuration, or another node answers.
constexpr milliseconds retryUnconfirmed{300};
constexpr milliseconds retryElsewhere{50}; // this node is leaving; another accepts at once
constexpr milliseconds retryWithoutEndpoint{300};
constexpr milliseconds retryWhileEvacuated{1'000}; // operators end an evacuation after seconds
constexpr milliseconds shortestRetryAfterLimits{200};
constexpr milliseconds longestRetryAfter{5'000};
// An endpoint in the same region accepts within a few milliseconds; a lost packet adds a second.
constexpr milliseconds connectTimeout{400};
// An endpoint that serves such requests has answered another one by their first-answer target, and
// may have room then. Long prompts may wait for seconds, in which many short ones end.
constexpr milliseconds shortestFullTime{100};
constexpr milliseconds longestFullTime{500};
constexpr milliseconds peerConnectTimeout{300}; // entries are as near as endpoints
// Peers that can't take a request say so within a round trip.
constexpr std::size_t maxPeersAsked = 12;
// If sent bytes stay unacknowledged for this long, the endpoint's machine is considered lost.
constexpr milliseconds unacknowledgedTimeout{1'500};

// A stream that may be resumed elsewhere is moved after a silence of this many times the route's
// target. Callers disconnect at four times the first-answer target or eight times the pause target,
// but not before two seconds. An engine that has lost a helper ends the answer within 1.5 s.
constexpr int firstAnswerTargetFactor = 3;
constexpr int pauseTargetFactor = 4;
constexpr milliseconds shortestInactivityTimeout{900};

constexpr unsigned statusServerError = 500;
constexpr unsigned statusUnavailable = 503;

// The endpoint of an attempt, and how the scheduler wants it to run there.
struct Target
{
    state::EndpointDescription endpoint;
    std::optional<unsigned> priority;
    std::vector<HelperTarget> helpers;
};

// The running attempt. A disconnect of the caller or the scheduler may interrupt it.
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
    // `handed`: the request that a peer has handed over in this exchange.
    RelayedCall(RouteRelay &relay, transport::HttpExchange &exchange,
                std::optional<protocol::RelayedRequest> handed = std::nullopt)
        : relay(relay)
        , hooks(relay.hooks)
        , exchange(exchange)
        , handed(std::move(handed))
        , routes(relay.hooks.routes())
        , arrival(monotonicNow() - (this->handed ? this->handed->age : milliseconds(0)))
        , openRequest(relay.hooks.openRequests->open(this->arrival))
        , share(relay.hooks.answerBuffers)
    {
        this->openRequest.onEnd(exchange.executor(), [this] { this->entryEnds(); });
    }

    asio::awaitable<RelayOutcome> run()
    {
        this->exchange.onCallerGone([this] { this->callerDisconnected(); });
        const bool accepted = co_await this->accept();
        if (accepted)
            co_await this->runAccepted();
        this->outcome.total = monotonicNow() - this->arrival;
        this->outcome.passedEvents = this->events.passedEvents();
        co_return this->outcome;
    }

private:
    asio::awaitable<void> runAccepted()
    {
        // Waiting, or trying elsewhere, would not help the caller.
        if (this->isRequestRefused()) {
            co_await this->sendFinalAnswer(this->requestRefusal->detail,
                                           this->requestRefusal->retryAfter);
            co_return;
        }
        if (isServiceEvacuated(*this->hooks.endpoints(), this->outcome.service)) {
            co_await this->sendFinalAnswer("all failure domains of the service are evacuated",
                                           retryWhileEvacuated);
            co_return;
        }
        const bool done = co_await this->runThroughPeersIfPathLost();
        if (done)
            co_return;
        if (this->routes->service(this->outcome.service)->engine)
            co_await this->runOnEngines();
        else
            co_await this->runOnReplicas();
    }

    // Asked again whenever the request is about to be sent: it may have waited since it came.
    bool isRequestRefused()
    {
        return this->recordRefusal(this->hooks.guard->refusal(this->outcome.service, this->parts));
    }

    // The connection stands, and the request would go out now.
    bool isSendRefused()
    {
        return this->recordRefusal(this->hooks.guard->refusalBeforeSend(
                this->request.id, this->outcome.service, this->parts));
    }

    // Since it was chosen, the endpoint may have asked for rest, or its failure domain may have
    // been evacuated.
    bool isWithheld(const state::EndpointDescription &endpoint)
    {
        const bool evacuated = isEvacuated(*this->hooks.endpoints(), endpoint);
        this->withheld = evacuated || this->relay.isResting(endpoint);
        if (this->withheld)
            this->outcome.reason = evacuated ? "the endpoint's failure domain is evacuated"
                                             : "the endpoint has asked for rest";
        return this->withheld;
    }

    bool recordRefusal(std::optional<RequestRefusal> refusal)
    {
        this->requestRefusal = std::move(refusal);
        return this->requestRefusal.has_value();
    }

    // Whether the request may be sent once more, after an attempt that ended so.
    bool mayRepeatRequest(AttemptResult end) const
    {
        if (this->requestRefusal)
            return false;
        return end != AttemptResult::Lost
               || this->hooks.guard->mayRepeat(this->outcome.service, this->parts);
    }

    // An engine that is leaving ends its connections as planned.
    bool mayHaveCrashed(const state::EndpointDescription &endpoint) const
    {
        if (!this->progress.connectionEnded || this->mustAnswer())
            return false;
        const auto table = this->hooks.endpoints();
        const auto known = table->endpoints.find(endpoint.id);
        return known == table->endpoints.end() || !known->second.draining;
    }

    const protocol::HttpRequest &callerRequest() const
    {
        return this->handed ? this->handed->request : this->exchange.request();
    }

    // Determines route, account and deadline. False if the request was refused and answered.
    asio::awaitable<bool> accept()
    {
        co_await this->waitForConfiguration();
        this->outcome.configuration = this->routes->version();
        std::optional<RelayRefusal> refusal =
                this->handed ? this->refusalForPeer() : this->refusalAtArrival();
        if (!refusal)
            co_return true;
        co_await this->refuse(std::move(*refusal));
        co_return false;
    }

    // Waits until `ready`, the caller disconnects, this process has to answer, or `longest` has
    // passed since the arrival.
    asio::awaitable<void> waitFor(std::function<bool()> ready, milliseconds longest)
    {
        const state::Instant limit = this->arrival + longest;
        while (!ready() && !this->mustAnswer() && monotonicNow() < limit)
            co_await transport::pause(waitingStep);
    }

    bool mustAnswer() const { return this->facts.callerGone || this->facts.entryEnds; }

    asio::awaitable<void> waitForConfiguration()
    {
        const std::function<bool()> ready = [this] {
            if (this->routes->version() == 0)
                this->routes = this->hooks.routes();
            return this->routes->version() != 0 || this->hooks.refuses();
        };
        co_await this->waitFor(ready, configurationWait);
    }

    // The peer has decided what the configuration allows. A refusal here sends it to another one.
    std::optional<RelayRefusal> refusalForPeer()
    {
        this->refusalResult = PeerResult::Elsewhere;
        auto decoded = this->hooks.codec.decode(this->handed->request);
        if (!decoded)
            return RelayRefusal{503, decoded.error().cause, std::nullopt};
        this->setRequest(std::move(decoded.value()));
        this->outcome.forPeer = this->exchange.peer();
        this->outcome.route = this->handed->route;
        this->outcome.account = this->handed->account;
        this->outcome.service = this->handed->service;
        if (this->hooks.refuses())
            return RelayRefusal{503, "this node is leaving", retryElsewhere};
        if (this->routes->service(this->outcome.service) == nullptr)
            return RelayRefusal{503, "the service is not known here", retryWithoutEndpoint};
        if (this->pathState() != PathState::Usable)
            return RelayRefusal{503, "no path to the service either", retryWithoutEndpoint};
        this->refusalResult = PeerResult::NotRun;
        this->handedRoute.name = this->handed->route;
        this->handedRoute.kind = this->handed->kind;
        this->handedRoute.resumable = this->handed->resumable;
        this->handedRoute.firstAnswerTarget = this->handed->firstAnswerTarget;
        this->handedRoute.pauseTarget = this->handed->pauseTarget;
        this->route = &this->handedRoute;
        this->deadline = monotonicNow() + this->handed->timeLeft;
        this->facts.repeatable = this->route->isRepeatable();
        if (this->handed->resumeAfter)
            this->events.resumeAfter(*this->handed->resumeAfter);
        return std::nullopt;
    }

    void setRequest(RelayRequest decoded)
    {
        this->request = std::move(decoded);
        this->parts = partsOf(this->callerRequest(), this->request.host, this->request.promptParts);
        this->outcome.id = this->request.id;
        this->openRequest.setId(this->request.id);
        this->outcome.promptTokens = this->request.promptTokens;
        this->outcome.promptParts = this->request.promptParts;
    }

    std::optional<RelayRefusal> refusalAtArrival()
    {
        auto decoded = this->hooks.codec.decode(this->exchange.request());
        if (!decoded)
            return RelayRefusal{400, decoded.error().cause, std::nullopt};
        this->setRequest(std::move(decoded.value()));
        if (this->hooks.refuses())
            return RelayRefusal{503, "this node is leaving", retryElsewhere};
        if (this->routes->version() == 0)
            return RelayRefusal{503, "no configuration is known yet", retryWithoutConfiguration};
        const ViewStatus standing = this->hooks.standing();
        if (standing == ViewStatus::Outdated)
            return RelayRefusal{503, "a newer configuration has not come yet", retryElsewhere};
        this->route = this->routes->match(this->request.host, this->exchange.request().path());
        if (this->route == nullptr)
            return refusalForViewStatus(standing, {404, "no route leads there", std::nullopt});
        this->outcome.route = this->route->name;
        const auto *account = this->routes->accountOfKey(this->request.accountKey);
        if (account == nullptr && this->routes->needsKeys() && !this->route->anonymous)
            return refusalForViewStatus(
                    standing, {401, "the account key is missing or not known", std::nullopt});
        if (account != nullptr)
            this->outcome.account = account->id;
        const milliseconds time = std::min(this->request.timeLimit.value_or(this->route->timeout),
                                           this->route->timeout);
        this->deadline = this->arrival + time;
        this->outcome.service =
                state::routes::pickService(this->route->services, this->relay.drawUniform());
        this->facts.repeatable = this->route->isRepeatable();
        this->facts.maxRuns = std::max(this->route->attempts, 1U);
        if (this->request.resumeAfter)
            this->events.resumeAfter(*this->request.resumeAfter);
        return std::nullopt;
    }

    // The route or key may have been added since the last confirmed configuration, so a node that
    // could not learn of it must not refuse the request permanently.
    static RelayRefusal refusalForViewStatus(ViewStatus standing, RelayRefusal refusal)
    {
        if (standing == ViewStatus::Confirmed)
            return refusal;
        return {503, refusal.detail + ", and the configuration is not confirmed", retryUnconfirmed};
    }

    void callerDisconnected()
    {
        this->facts.callerGone = true;
        this->running->interrupt();
        if (this->scheduled)
            this->hooks.scheduler.cancel(this->scheduledId);
    }

    // This process ends. What its caller gets already goes on until then.
    void entryEnds()
    {
        if (this->facts.answerBegun)
            return;
        this->facts.entryEnds = true;
        this->running->interrupt();
        if (this->scheduled)
            this->hooks.scheduler.cancel(this->scheduledId);
    }

    asio::awaitable<void> runOnEngines()
    {
        co_await this->waitForEngines();
        this->scheduledId = this->nextScheduledId();
        ScheduledRequest scheduledRequest = this->toScheduled();
        this->scheduled = true;
        this->openRequest.enter(RequestStage::Queued);
        PlacementResult placement =
                co_await this->hooks.scheduler.place(std::move(scheduledRequest));
        if (!placement) {
            this->scheduled = false;
            const bool done = co_await this->runThroughPeersIfPathLost();
            if (!done)
                co_await this->sendRefusal(placement.error());
            co_return;
        }
        std::uint32_t lastAttempt = 0;
        while (placement) {
            const Placement current = placement.value();
            lastAttempt = current.attempt;
            const AttemptResult end = co_await this->attemptOn(current);
            if (end == AttemptResult::Complete) {
                this->hooks.scheduler.noteHealth(current.endpoint, AttemptOutcome::Succeeded);
                break;
            }
            this->updateTimeIsOver();
            if (!coordination::relay::mayRetry(this->facts, end) || !this->mayRepeatRequest(end)) {
                // The scheduler is not asked for another engine, but the peers are to know.
                if (this->isReplaced(end))
                    this->hooks.scheduler.noteHealth(current.endpoint, AttemptOutcome::Replaced);
                break;
            }
            if (this->shouldGoElsewhere()) {
                this->refusalResult = PeerResult::Elsewhere;
                break;
            }
            if (this->shouldUsePeers()) {
                co_await this->moveFromEngine(current, end);
                co_return;
            }
            this->running->renew();
            this->openRequest.enter(RequestStage::Queued);
            placement = co_await this->hooks.scheduler.placeAgain(this->scheduledId, current,
                                                                  this->failureOf(end));
        }
        if (!this->outcome.whole) {
            std::optional<milliseconds> retryAfter;
            if (!placement) {
                this->outcome.reason = placement.error().detail + "; " + this->outcome.reason;
                retryAfter = placement.error().retryAfter;
                if (placement.error().title == leavingTitle && this->facts.runs == 0)
                    this->refusalResult = PeerResult::Elsewhere;
            }
            if (this->requestRefusal) {
                this->outcome.reason = this->requestRefusal->detail;
                retryAfter = this->requestRefusal->retryAfter;
            }
            co_await this->sendFinalAnswer(this->outcome.reason, retryAfter);
        }
        this->hooks.scheduler.finished(this->scheduledId, lastAttempt, this->outcome.whole);
    }

    // A peer that has handed the request over asks another one, if another entry would take it.
    asio::awaitable<void> sendRefusal(const protocol::Problem &problem)
    {
        if (problem.title == leavingTitle)
            this->refusalResult = PeerResult::Elsewhere;
        co_await this->sendFinalAnswer(problem.detail, problem.retryAfter);
    }

    // Ends the request at the scheduler and goes on through peers.
    asio::awaitable<void> moveFromEngine(Placement failed, AttemptResult end)
    {
        if (!this->peerFailed)
            this->hooks.scheduler.noteHealth(failed.endpoint,
                                             healthOf(end, this->endpointReplaced));
        this->hooks.scheduler.finished(this->scheduledId, failed.attempt, false);
        this->scheduled = false;
        const bool paid = this->facts.runs == 0 || this->takeRetryToken();
        if (!paid) {
            co_await this->sendFinalAnswer(this->outcome.reason, retryWithoutEndpoint);
            co_return;
        }
        const bool done = co_await this->runThroughPeersIfPathLost();
        if (!done) // no peer will be asked again
            co_await this->runOnEngines();
    }

    // Right after a start, the scheduler knows the configuration shortly before it knows the first
    // engine, and would refuse every request that arrives in between.
    asio::awaitable<void> waitForEngines()
    {
        this->openRequest.enter(RequestStage::Endpoints);
        const std::function<bool()> ready = [this] { return this->knowsEndpoint(); };
        co_await this->waitFor(ready, endpointWait);
        co_await this->waitForMoreEndpoints();
    }

    // Also if the request has waited before: the hook bounds the wait.
    asio::awaitable<void> waitForMoreEndpoints()
    {
        while (this->hooks.endpointsGrowing() && !this->mustAnswer()
               && remaining(this->deadline) > milliseconds(0))
            co_await transport::pause(waitingStep);
    }

    bool knowsEndpoint() const
    {
        const auto table = this->hooks.endpoints();
        return std::ranges::any_of(table->endpoints, [this](const auto &known) {
            return known.second.description.service == this->outcome.service;
        });
    }

    AttemptFailure failureOf(AttemptResult end) const
    {
        if (this->withheld)
            return AttemptFailure::Withheld;
        if (end == AttemptResult::NeverSent)
            return this->connectionRefused ? AttemptFailure::ConnectionRefused
                                           : AttemptFailure::Unreachable;
        if (this->askedForRest)
            return AttemptFailure::Rests;
        if (end == AttemptResult::NotRun && this->peerFailed)
            return AttemptFailure::PeerLost;
        if (end == AttemptResult::NotRun)
            return this->endpointReplaced ? AttemptFailure::Replaced : AttemptFailure::NotRun;
        return AttemptFailure::Lost;
    }

    // Differs each time: the scheduler names memory leases after it, and names are never reused.
    state::RequestId nextScheduledId() const
    {
        const bool isFirst = this->scheduledId.empty();
        return isFirst ? this->request.id : state::RequestId(this->scheduledId.value() + "+");
    }

    ScheduledRequest toScheduled()
    {
        ScheduledRequest wanted;
        wanted.id = this->scheduledId;
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
        wanted.firstEventTarget = this->route->firstAnswerTarget;
        wanted.toleratedPause = this->route->pauseTarget;
        wanted.attempts = this->facts.maxRuns;
        wanted.rank = this->routes->priorityOf(*this->route, this->outcome.account);
        wanted.interrupt = [running = this->running, executor = this->exchange.executor()] {
            asio::post(executor, [running] { running->interrupt(); });
        };
        return wanted;
    }

    asio::awaitable<AttemptResult> attemptOn(Placement placement)
    {
        Target target;
        target.endpoint = placement.endpoint;
        target.priority = placement.priority;
        target.helpers = placement.helpers;
        this->attemptNumber = placement.attempt;
        this->outcome.predictedFirst = placement.predictedFirstEvent;
        co_return co_await this->attempt(std::move(target));
    }

    asio::awaitable<void> runOnReplicas()
    {
        this->openRequest.enter(RequestStage::Endpoints);
        co_await this->waitForMoreEndpoints();
        std::vector<state::EndpointId> tried;
        while (true) {
            this->openRequest.enter(RequestStage::Endpoints);
            std::optional<state::EndpointDescription> replica;
            const std::function<bool()> chosen = [this, &replica, &tried] {
                replica = this->chooseReplica(tried);
                return replica.has_value() || this->limitedUntil.has_value();
            };
            co_await this->waitFor(chosen, endpointWait);
            if (!replica && this->limitedUntil) {
                co_await this->refuseForLimits(*this->limitedUntil);
                co_return;
            }
            if (!replica) {
                this->outcome.reason =
                        "no endpoint of the service is known; " + this->outcome.reason;
                break;
            }
            tried.push_back(replica->id);
            Target target;
            target.endpoint = *replica;
            const AttemptResult end = co_await this->attempt(std::move(target));
            this->recordReplicaResult(*replica, end);
            if (end == AttemptResult::Complete)
                co_return;
            this->updateTimeIsOver();
            const bool tokenTaken = std::exchange(this->retryTokenTaken, false);
            const bool needsToken =
                    end != AttemptResult::NeverSent && !this->isReplaced(end) && !tokenTaken;
            if (!coordination::relay::mayRetry(this->facts, end) || !this->mayRepeatRequest(end)
                || (needsToken && !this->takeRetryToken()))
                break;
            if (this->shouldGoElsewhere()) {
                this->refusalResult = PeerResult::Elsewhere;
                break;
            }
            const bool done = co_await this->runThroughPeersIfPathLost();
            if (done)
                co_return;
            this->running->renew();
        }
        co_await this->sendFinalAnswer(this->outcome.reason, retryWithoutEndpoint);
    }

    std::optional<state::EndpointDescription>
    chooseReplica(const std::vector<state::EndpointId> &tried)
    {
        std::vector<ReplicaCandidate> candidates;
        const auto table = this->hooks.endpoints();
        for (const auto &[id, endpoint] : table->endpoints) {
            if (endpoint.description.service == this->outcome.service && !endpoint.draining)
                candidates.push_back(
                        {endpoint.description, endpoint.stale, this->hooks.coldShare(endpoint)});
        }
        const state::Instant now = monotonicNow();
        std::optional<std::size_t> chosen;
        bool isLimited = false;
        {
            const std::lock_guard lock(this->relay.choiceMutex);
            coordination::routing::ReplicaChooser &chooser = this->relay.chooser;
            chosen = chooser.choose(candidates, tried, now);
            this->limitedUntil = chooser.limitedUntil(candidates, now);
            if (!chosen)
                return std::nullopt;
            const state::EndpointDescription &replica = candidates[*chosen].description;
            chooser.callStarted(replica, now);
            isLimited = chooser.isLimited(replica.id, replica.incarnation);
        }
        const state::EndpointDescription &replica = candidates[*chosen].description;
        if (isLimited)
            this->hooks.share(protocol::LimitedCall{replica.id, replica.incarnation});
        return replica;
    }

    // Waiting for one of the few requests that the endpoints accept would only keep the caller from
    // trying again later.
    asio::awaitable<void> refuseForLimits(state::Instant until)
    {
        const auto left = std::chrono::ceil<milliseconds>(until - monotonicNow());
        co_await this->sendFinalAnswer("the endpoints accept no more requests now; "
                                               + this->outcome.reason,
                                       std::max(left, shortestRetryAfterLimits));
    }

    void recordReplicaResult(const state::EndpointDescription &replica, AttemptResult end)
    {
        // A healthy endpoint also answers a request that it can't carry out with its own error.
        const bool endedHere = this->mustAnswer() || this->requestRefusal;
        const bool rests = this->withheld || this->askedForRest;
        const AttemptOutcome health = endedHere || rests ? AttemptOutcome::Succeeded
                                                         : healthOf(end, this->endpointReplaced);
        bool suspected = false;
        {
            const std::lock_guard lock(this->relay.choiceMutex);
            suspected = this->relay.chooser.callEnded(replica, health, monotonicNow());
            if (end == AttemptResult::Complete)
                this->relay.retryBudgetOf(this->outcome.service).addSuccess();
        }
        if (suspected && health == AttemptOutcome::Replaced) {
            logReplaced(replica, "attempt");
            this->hooks.share(protocol::EndpointReplaced{replica.id, replica.incarnation});
        } else if (suspected)
            logSuspected(replica, this->outcome.reason);
    }

    // Whether the attempt met an incarnation that had ended.
    bool isReplaced(AttemptResult end) const
    {
        return end == AttemptResult::NotRun && this->endpointReplaced;
    }

    bool takeRetryToken()
    {
        const std::lock_guard lock(this->relay.choiceMutex);
        return this->relay.retryBudgetOf(this->outcome.service).tryTake();
    }

    void updateTimeIsOver()
    {
        this->facts.deadlinePassed = remaining(this->deadline) == milliseconds(0);
    }

    PathState pathState() const { return this->hooks.pathState(this->outcome.service); }

    // A request that has met failed connections does not wait for the next one to fail.
    bool avoidsOwnPath() const
    {
        const bool severalDomains =
                this->failures != ConnectionFailures{}
                && hasSeveralFailureDomains(*this->hooks.endpoints(), this->outcome.service);
        return coordination::relay::shouldLeaveOwnPaths(this->pathState(), this->failures,
                                                        severalDomains);
    }

    bool shouldUsePeers() const
    {
        return !this->handed && !this->peersHaveNoPath && this->avoidsOwnPath()
               && !this->hooks.peers().empty();
    }

    // The peer that has handed the request over can ask another one, which may have a path.
    bool shouldGoElsewhere() const
    {
        return this->handed && this->facts.runs == 0 && this->avoidsOwnPath();
    }

    // Whether the caller has been answered.
    asio::awaitable<bool> runThroughPeersIfPathLost()
    {
        if (!this->shouldUsePeers())
            co_return false;
        co_return co_await this->runThroughPeers();
    }

    // False if no peer has taken the request.
    asio::awaitable<bool> runThroughPeers()
    {
        bool taken = false;
        std::vector<state::Address> peers = this->relay.orderedPeers();
        peers.resize(std::min(peers.size(), maxPeersAsked));
        for (const state::Address &peer : peers) {
            // A new one: the scheduler may still interrupt the attempt that was its own.
            this->running = std::make_shared<RunningAttempt>();
            auto exchanging = this->exchangeWithPeer(peer);
            const AttemptResult end = co_await this->supervise(std::move(exchanging));
            if (end == AttemptResult::Complete) {
                const std::lock_guard lock(this->relay.choiceMutex);
                this->relay.retryBudgetOf(this->outcome.service).addSuccess();
                this->relay.peerOrder.served(peer);
                co_return true;
            }
            this->updateTimeIsOver();
            logFailedPeer(this->outcome,
                          end == AttemptResult::NeverSent ? "unreachable"
                                                          : toString(this->peerResult),
                          this->progress);
            const bool tokenTaken = std::exchange(this->retryTokenTaken, false);
            if (!this->peerHasTaken(end)) {
                // No endpoint has seen the request: this is neither a refusal nor a retry.
                --this->countOf(end);
                this->rememberPeerFailure(peer);
                if (this->mustAnswer() || this->facts.deadlinePassed)
                    break;
                continue;
            }
            taken = true;
            // As the others would; a stream in progress is worth asking them.
            const bool refused = end == AttemptResult::NotRun && this->facts.runs == 0;
            if (refused || !this->mayRepeatRequest(end)
                || !coordination::relay::mayRetry(this->facts, end)
                || !(tokenTaken || this->takeRetryToken()))
                break;
        }
        if (!taken && this->facts.runs == 0 && !this->facts.deadlinePassed && !this->mustAnswer()) {
            this->peersHaveNoPath = true;
            co_return false;
        }
        co_await this->sendFinalAnswer(this->outcome.reason, this->peerRetryAfter);
        co_return true;
    }

    void rememberPeerFailure(const state::Address &peer) const
    {
        if (this->mustAnswer())
            return;
        const std::lock_guard lock(this->relay.choiceMutex);
        this->relay.peerOrder.couldNotServe(peer, monotonicNow());
    }

    bool peerHasTaken(AttemptResult end) const
    {
        return end == AttemptResult::Lost || end == AttemptResult::Failed
               || (end == AttemptResult::NotRun && this->peerResult == PeerResult::NotRun);
    }

    // Sends the request to one endpoint and counts in `facts` whether it may have run there.
    asio::awaitable<AttemptResult> attempt(Target target)
    {
        this->outcome.endpoint = target.endpoint.id;
        this->outcome.address = target.endpoint.address;
        this->outcome.via = {};
        this->outcome.helpers.clear();
        for (const HelperTarget &helper : target.helpers)
            this->outcome.helpers.push_back(helper.address);
        const state::EndpointDescription endpoint = target.endpoint;
        this->hooks.attemptStarted(endpoint);
        auto exchanging = this->exchangeWith(std::move(target));
        const AttemptResult end = co_await this->supervise(std::move(exchanging));
        if (end == AttemptResult::Lost || end == AttemptResult::Failed)
            logEndedAttempt(end == AttemptResult::Lost ? "attempt.lost" : "attempt.failed",
                            this->outcome, endpoint, this->parts, this->progress);
        if (end == AttemptResult::Lost && this->mayHaveCrashed(endpoint))
            co_await this->hooks.guard->attemptLost(endpoint, this->parts, this->progress.sentAt,
                                                    this->progress.firstEventAt);
        co_return end;
    }

    // Runs one attempt with an inactivity timeout, if it may be abandoned, and counts its result.
    asio::awaitable<AttemptResult> supervise(asio::awaitable<AttemptResult> exchanging)
    {
        ++this->outcome.attempts;
        this->openRequest.enter(RequestStage::Sent);
        this->outcome.answer = {};
        this->outcome.answerStatus = 0;
        this->outcome.answerNamesRequest = true;
        this->progress = {};
        this->progress.sentAt = monotonicNow();
        this->endpointReplaced = false;
        this->connectionRefused = false;
        this->outcome.resumed = this->events.passedEvents() > 0;
        this->startInactivityTimeout();
        const AttemptResult end = co_await std::move(exchanging);
        if (this->inactivityTimeout)
            this->inactivityTimeout->stop();
        if (this->inactivityTimeout && this->inactivityTimeout->hasTimedOut())
            this->outcome.reason = "the endpoint did not go on with its answer, or end it, in time";
        if (end != AttemptResult::Complete)
            ++this->countOf(end);
        co_return end;
    }

    // The counter of attempts that ended as the last one did.
    std::uint32_t &countOf(AttemptResult end)
    {
        if (end == AttemptResult::NeverSent)
            return this->connectionRefused ? this->facts.refusedConnections : this->facts.unsent;
        if (end == AttemptResult::NotRun)
            return this->endpointReplaced ? this->facts.replaced : this->facts.refusals;
        return this->facts.runs;
    }

    asio::awaitable<AttemptResult> exchangeWith(Target target)
    {
        const milliseconds left = remaining(this->deadline);
        this->withheld = false;
        this->askedForRest = false;
        if (left == milliseconds(0) || this->mustAnswer() || this->isRequestRefused()
            || this->isWithheld(target.endpoint))
            co_return AttemptResult::NeverSent;
        ForwardParameters terms;
        terms.timeLeft = left;
        terms.endpoint = target.endpoint.id;
        terms.account = this->outcome.account;
        terms.priority = target.priority;
        terms.helpers = target.helpers;
        terms.resumeAfter = this->events.lastId();
        protocol::HttpRequest forwarded = this->hooks.codec.forward(this->callerRequest(), terms);
        transport::BeforeSend beforeSend = [this,
                                            endpoint = target.endpoint]() -> asio::awaitable<bool> {
            co_return !this->isSendRefused() && !this->isWithheld(endpoint);
        };
        auto opened = co_await this->open(target.endpoint.address, std::move(forwarded),
                                          std::min(connectTimeout, left), std::move(beforeSend));
        if (!opened) {
            const AttemptResult end = this->openFailed(opened.error());
            if (isPathFailure(opened.error(), left)) {
                const bool atOnce = this->connectionRefused || this->progress.connectionEnded;
                ++(atOnce ? this->failures.ended : this->failures.timedOut);
                this->hooks.recordPath(target.endpoint, PathOutcome::Unreachable);
            }
            co_return end;
        }
        this->hooks.recordPath(target.endpoint, PathOutcome::Reached);
        transport::HttpAnswerStream &stream = opened.value();
        const protocol::HttpHeaders headers = stream.headers();
        const EndpointAnswerHead head =
                this->hooks.codec.readHead(stream.status(), headers, this->request.id);
        this->recordAnswerHead(target, head);
        this->outcome.answerNamesRequest = head.namesRequest;
        if (!head.genuine) {
            this->outcome.reason = "the answer was not to this request";
            co_return AttemptResult::Lost;
        }
        if (head.notRun) {
            if (stream.status() == statusUnavailable && !head.rest && !this->peerFailed
                && !this->request.restrictsEndpoints)
                this->relay.fullNamed(target.endpoint, this->fullTime());
            this->outcome.reason =
                    "refused by the endpoint with " + std::to_string(stream.status());
            co_return AttemptResult::NotRun;
        }
        const AttemptResult end = co_await this->relayAnswer(stream, headers);
        if (end == AttemptResult::Complete && this->hasRun(stream.status()))
            co_await this->recordSurvival(target.endpoint, stream.endsWithConnection());
        co_return end;
    }

    // An engine may reject a prompt before it runs it; what a replica answers it has run.
    bool hasRun(unsigned status) const
    {
        return isSuccess(status) || this->route->kind != CallKind::Stream;
    }

    // The end of a connection does not tell a whole answer from an endpoint that has crashed.
    asio::awaitable<void> recordSurvival(const state::EndpointDescription &endpoint,
                                         bool connectionEnded)
    {
        if (connectionEnded)
            co_await this->hooks.guard->connectionEnded(endpoint, this->parts);
        else
            this->hooks.guard->answerSurvived(this->outcome.service, this->parts);
    }

    asio::awaitable<AttemptResult> relayAnswer(transport::HttpAnswerStream &stream,
                                               protocol::HttpHeaders headers)
    {
        AttemptResult end = AttemptResult::Lost;
        if (this->bringsEvents(stream))
            end = co_await this->relayStream(stream, std::move(headers));
        else if (this->facts.answerBegun)
            end = this->resumeFailed(stream.status());
        else
            end = co_await this->relayBuffered(stream, std::move(headers));
        this->outcome.answer = stream.report();
        this->hooks.answerEnded(this->outcome.answer);
        co_return end;
    }

    bool bringsEvents(const transport::HttpAnswerStream &stream) const
    {
        return isSuccess(stream.status()) && this->route->kind == CallKind::Stream
               && stream.report().framing != transport::AnswerFraming::NoBody
               && (!this->begunStream
                   || *this->begunStream == streamHeadOf(stream.status(), stream.headers()));
    }

    // The caller already reads the stream that was to be resumed.
    AttemptResult resumeFailed(unsigned status)
    {
        this->outcome.reason = "the endpoint answered " + std::to_string(status)
                               + " where it was to resume the stream";
        return AttemptResult::Failed;
    }

    asio::awaitable<state::Result<transport::HttpAnswerStream>>
    open(state::Address peer, protocol::HttpRequest request, milliseconds timeToConnect,
         transport::BeforeSend beforeSend = {})
    {
        transport::HttpCallLimits limits;
        limits.connectTimeout = timeToConnect;
        limits.unacknowledgedTimeout = unacknowledgedTimeout;
        limits.timeout = remaining(this->deadline);
        limits.classifyHead = [this](const protocol::HttpHeaders &headers) {
            return this->hooks.codec.classifyHead(headers, this->request.id);
        };
        auto opened = co_await transport::openHttpStream(
                this->exchange.executor(), std::move(peer), std::move(request), limits,
                std::move(beforeSend), this->running->handle);
        if (opened) {
            this->outcome.answer = opened.value().report();
            this->outcome.answerStatus = opened.value().status();
        }
        co_return opened;
    }

    asio::awaitable<AttemptResult> exchangeWithPeer(state::Address peer)
    {
        const milliseconds left = remaining(this->hooks.openRequests->boundOf(this->deadline));
        if (left == milliseconds(0) || this->mustAnswer() || this->isRequestRefused())
            co_return AttemptResult::NeverSent;
        this->openRequest.enter(RequestStage::Handed);
        this->outcome.via = peer;
        this->peerResult = PeerResult::Unknown;
        auto opened = co_await this->open(peer, this->requestForPeer(left),
                                          std::min(peerConnectTimeout, left));
        if (!opened)
            co_return this->openFailed(opened.error());
        transport::HttpAnswerStream &stream = opened.value();
        const protocol::PeerAnswerHead head =
                protocol::readPeerAnswer(stream.status(), stream.headers());
        this->peerResult = head.result;
        this->peerRetryAfter = head.retryAfter;
        switch (head.result) {
        case PeerResult::Answer:
            break;
        case PeerResult::NotRun:
        case PeerResult::Elsewhere:
            this->outcome.reason = "refused by a peer: " + std::string(toString(head.result));
            co_return AttemptResult::NotRun;
        case PeerResult::Unknown:
            this->outcome.reason = "lost at a peer";
            co_return AttemptResult::Lost;
        }
        co_return co_await this->relayAnswer(stream, head.headers);
    }

    protocol::HttpRequest requestForPeer(milliseconds left) const
    {
        protocol::RelayedRequest handing;
        handing.request = this->exchange.request();
        handing.route = this->route->name;
        handing.kind = this->route->kind;
        handing.resumable = this->route->resumable;
        handing.firstAnswerTarget = this->route->firstAnswerTarget;
        handing.pauseTarget = this->route->pauseTarget;
        handing.service = this->outcome.service;
        handing.account = this->outcome.account;
        handing.age = std::chrono::floor<milliseconds>(monotonicNow() - this->arrival);
        handing.timeLeft = left;
        handing.resumeAfter = this->events.lastId();
        return protocol::toPeerRequest(this->relay.settings.keys, handing);
    }

    AttemptResult openFailed(const state::Error &error)
    {
        this->outcome.reason = error.step + ": " + error.cause;
        const bool unseen = transport::isUnseen(error);
        this->withheld = this->withheld || isUnwritableHead(error);
        this->progress.connectionEnded = !unseen && error.code == state::ErrorCode::Unavailable;
        this->connectionRefused =
                isRefusedConnection(error, monotonicNow() - this->progress.sentAt);
        return unseen ? AttemptResult::NeverSent : AttemptResult::Lost;
    }

    void recordAnswerHead(const Target &target, const EndpointAnswerHead &head)
    {
        this->peerFailed = head.faulty && *head.faulty != target.endpoint.address;
        this->endpointReplaced = head.genuine && head.otherEndpoint && !this->peerFailed
                                 && !this->request.restrictsEndpoints;
        if (this->peerFailed)
            this->hooks.scheduler.reportPeerFailure(*head.faulty);
        if (head.genuine && !head.otherEndpoint)
            this->relay.limitNamed(target.endpoint, head.acceptedPerSecond);
        if (head.genuine && !head.otherEndpoint && head.leaving)
            this->relay.leavingNamed(target.endpoint);
        this->askedForRest = head.genuine && head.rest.has_value();
        if (this->askedForRest)
            this->relay.restNamed(target.endpoint, *head.rest);
        if (!head.load || !head.genuine)
            return;
        const std::lock_guard lock(this->relay.choiceMutex);
        this->relay.chooser.loadReported(target.endpoint.id, *head.load, monotonicNow());
    }

    // How long an endpoint that refuses a request as full counts as full.
    milliseconds fullTime() const
    {
        return std::clamp(this->route->firstAnswerTarget, shortestFullTime, longestFullTime);
    }

    milliseconds firstAnswerTimeout() const
    {
        return std::max(shortestInactivityTimeout,
                        this->route->firstAnswerTarget * firstAnswerTargetFactor);
    }

    milliseconds pauseTimeout() const
    {
        return std::max(shortestInactivityTimeout, this->route->pauseTarget * pauseTargetFactor);
    }

    void startInactivityTimeout()
    {
        this->inactivityTimeout.reset();
        if (!this->facts.repeatable || this->route->kind != CallKind::Stream)
            return;
        InactivityTimeout::Hooks watchHooks;
        watchHooks.onTimeout = [running = this->running] { running->interrupt(); };
        if (this->scheduled) {
            watchHooks.mayRetryElsewhere = [mayMove = this->hooks.scheduler.mayAbandon,
                                            id = this->scheduledId, attempt = this->attemptNumber] {
                return mayMove(id, attempt);
            };
        } else {
            watchHooks.mayRetryElsewhere = [this]() -> asio::awaitable<bool> {
                co_return this->mayMoveToReplica();
            };
        }
        this->inactivityTimeout = InactivityTimeout::start(
                this->exchange.executor(), this->firstAnswerTimeout(), std::move(watchHooks));
    }

    bool mayMoveToReplica()
    {
        // Another replica could be as silent until this process ends, and this one may still
        // answer.
        const OpenRequests &open = *this->hooks.openRequests;
        if (open.isLeaving()
            && remaining(open.boundOf(this->deadline)) < this->firstAnswerTimeout())
            return false;
        CallState next = this->facts;
        ++next.runs;
        this->retryTokenTaken = this->retryTokenTaken
                                || (coordination::relay::mayRetry(next, AttemptResult::Lost)
                                    && this->takeRetryToken());
        return this->retryTokenTaken;
    }

    // An answer without a length that goes on for longer than this is not awaited if the request
    // may be sent elsewhere.
    void startAnswerTimeout()
    {
        if (this->inactivityTimeout || !this->facts.repeatable)
            return;
        InactivityTimeout::Hooks watchHooks;
        watchHooks.onTimeout = [running = this->running] { running->interrupt(); };
        watchHooks.mayRetryElsewhere = [this]() -> asio::awaitable<bool> {
            co_return this->mayMoveToReplica();
        };
        this->inactivityTimeout = InactivityTimeout::start(
                this->exchange.executor(), this->firstAnswerTimeout(), std::move(watchHooks));
    }

    // Bytes that have arrived already are read without a wait, so a stream of them would outlast
    // the deadline.
    asio::awaitable<state::Result<std::optional<std::string>>>
    readPiece(transport::HttpAnswerStream &stream)
    {
        const milliseconds left = remaining(this->deadline);
        if (left == milliseconds(0))
            co_return state::makeError(state::ErrorCode::Timeout,
                                       std::string(transport::receiveStep), "the time is over");
        co_return co_await stream.read(left);
    }

    // Reads the complete answer before sending any of it. If it breaks off, the request can still
    // be retried elsewhere or be answered with an accurate error.
    asio::awaitable<AttemptResult> relayBuffered(transport::HttpAnswerStream &stream,
                                                 protocol::HttpHeaders headers)
    {
        protocol::HttpResponse answer{stream.status(), std::move(headers), {}};
        if (!stream.declaredLength())
            this->startAnswerTimeout();
        if (!this->mayKeep(stream.declaredLength().value_or(0)))
            co_return this->answerTooLong();
        while (true) {
            const auto piece = co_await this->readPiece(stream);
            if (!piece) {
                this->readFailed(piece.error());
                co_return AttemptResult::Lost;
            }
            if (!piece.value())
                break;
            answer.body += *piece.value();
            if (!this->mayKeep(answer.body.size()))
                co_return this->answerTooLong();
        }
        if (this->inactivityTimeout)
            this->inactivityTimeout->stop();
        const bool mayPassOn = coordination::relay::mayPassOn(this->facts, answer.status);
        if (answer.status >= statusServerError || !mayPassOn) {
            this->outcome.reason = "the endpoint answered " + std::to_string(answer.status);
            if (mayPassOn)
                this->endpointAnswer = std::move(answer);
            co_return AttemptResult::Failed;
        }
        co_await this->respond(std::move(answer));
        co_return AttemptResult::Complete;
    }

    // So many bytes, beside the last error that an endpoint answered.
    bool mayKeep(std::size_t bytes)
    {
        return this->share.resizeTo(
                bytes + (this->endpointAnswer ? this->endpointAnswer->body.size() : 0));
    }

    AttemptResult answerTooLong()
    {
        this->outcome.reason = "the answer is longer than may be kept";
        return AttemptResult::Lost;
    }

    asio::awaitable<void> respond(protocol::HttpResponse answer)
    {
        this->openRequest.enter(RequestStage::Answering);
        this->outcome.status = answer.status;
        this->outcome.firstAnswer = monotonicNow() - this->arrival;
        this->addPeerResult(answer.headers, PeerResult::Answer);
        const auto sent = co_await this->exchange.respond(std::move(answer));
        this->outcome.whole = sent.has_value();
    }

    void readFailed(const state::Error &error)
    {
        this->outcome.reason = error.step + ": " + error.cause;
        this->progress.connectionEnded = error.code == state::ErrorCode::Unavailable;
    }

    // Forwards complete events as they arrive. The head is sent with the first event, so that the
    // caller does not notice an endpoint that fails before it.
    asio::awaitable<AttemptResult> relayStream(transport::HttpAnswerStream &stream,
                                               protocol::HttpHeaders headers)
    {
        const protocol::HttpResponse head{stream.status(), std::move(headers), {}};
        this->events.beginRun();
        while (true) {
            const auto piece = co_await this->readPiece(stream);
            if (!piece) {
                this->readFailed(piece.error());
                co_return AttemptResult::Lost;
            }
            if (!piece.value())
                break;
            const std::string whole = this->events.append(*piece.value());
            if (!whole.empty()) {
                this->recordEvents();
                if (this->inactivityTimeout && this->events.canBeResumed())
                    this->inactivityTimeout->restart(this->pauseTimeout());
                else if (this->inactivityTimeout)
                    this->inactivityTimeout->stop();
                const bool passed = co_await this->forwardEvents(whole, head);
                if (!passed)
                    co_return AttemptResult::Lost;
            }
            if (this->events.isTooLong() || !this->mayKeep(this->events.bufferedBytes())) {
                this->outcome.reason = "an event is longer than may be kept";
                co_return AttemptResult::Lost;
            }
        }
        if (this->events.hasPartialEvent()) {
            this->outcome.reason = "the stream ended inside an event";
            this->progress.connectionEnded = true;
            co_return AttemptResult::Lost;
        }
        // Without a length or chunks, an engine that crashed before its first event looks the same.
        if (stream.endsWithConnection() && this->progress.events == 0) {
            this->outcome.reason = "the connection ended before the first event";
            this->progress.connectionEnded = true;
            co_return AttemptResult::Lost;
        }
        if (!this->events.runMayEndStream(stream.report().framing
                                          == transport::AnswerFraming::Chunks)) {
            this->outcome.reason = "the run ended before the event that the caller has";
            co_return AttemptResult::Failed;
        }
        co_return co_await this->finishStream(head);
    }

    void recordEvents()
    {
        if (this->progress.events++ == 0)
            this->progress.firstEventAt = monotonicNow();
        this->hooks.guard->answerContinues(this->outcome.service, this->parts,
                                           this->progress.firstEventAt);
    }

    asio::awaitable<bool> forwardEvents(std::string_view events, const protocol::HttpResponse &head)
    {
        const bool begun = co_await this->beginAnswer(head);
        if (!begun)
            co_return false;
        this->recordPause();
        this->facts.repeatable = this->facts.repeatable && this->events.canBeResumed();
        const auto sent = co_await this->exchange.write(events);
        if (sent)
            co_return true;
        this->facts.callerGone = true;
        this->outcome.reason = sent.error().step + ": " + sent.error().cause;
        co_return false;
    }

    void recordPause()
    {
        const state::Instant now = monotonicNow();
        if (this->lastEventAt != state::Instant{})
            this->outcome.longestPause =
                    std::max(this->outcome.longestPause, now - this->lastEventAt);
        this->lastEventAt = now;
    }

    asio::awaitable<bool> beginAnswer(const protocol::HttpResponse &answer)
    {
        if (this->facts.answerBegun)
            co_return true;
        this->facts.answerBegun = true;
        this->begunStream = streamHeadOf(answer.status, answer.headers);
        this->openRequest.enter(RequestStage::Answering);
        this->outcome.status = answer.status;
        this->outcome.firstAnswer = monotonicNow() - this->arrival;
        if (this->scheduled)
            this->hooks.scheduler.progressed(this->scheduledId, this->attemptNumber, 1);
        protocol::HttpResponse head = answer;
        this->addPeerResult(head.headers, PeerResult::Answer);
        const auto sent = co_await this->exchange.beginStream(std::move(head));
        if (!sent)
            this->facts.callerGone = true;
        co_return sent.has_value();
    }

    asio::awaitable<AttemptResult> finishStream(const protocol::HttpResponse &head)
    {
        const bool begun = co_await this->beginAnswer(head);
        if (!begun)
            co_return AttemptResult::Lost;
        const auto sent = co_await this->exchange.finishStream();
        this->outcome.whole = sent.has_value();
        co_return sent ? AttemptResult::Complete : AttemptResult::Lost;
    }

    // Sends the final answer to a request that no endpoint has answered completely.
    asio::awaitable<void> sendFinalAnswer(std::string detail,
                                          std::optional<milliseconds> retryAfter)
    {
        this->updateTimeIsOver();
        if (this->facts.entryEnds) {
            detail = "this entry ends";
            retryAfter = retryElsewhere;
            this->refusalResult = PeerResult::Elsewhere;
        }
        this->outcome.reason = detail;
        switch (coordination::relay::finalAnswer(this->facts, this->endpointAnswer.has_value())) {
        case FinalAnswer::None:
            this->outcome.status = 0;
            break;
        case FinalAnswer::Truncated:
            break; // the server closes the unfinished answer
        case FinalAnswer::EndpointAnswer:
            co_await this->respond(std::move(*this->endpointAnswer));
            this->outcome.whole = false;
            break;
        case FinalAnswer::NotRun:
            // A request whose like is refused will not be served sooner.
            if (!this->requestRefusal)
                retryAfter = std::min(retryAfter.value_or(retryWithoutEndpoint), longestRetryAfter);
            co_await this->refuseWith(503, retryAfter);
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
        this->openRequest.enter(RequestStage::Answering);
        this->outcome.status = refusal.status;
        if (this->outcome.reason.empty())
            this->outcome.reason = refusal.detail;
        protocol::HttpResponse answer = this->hooks.codec.refuse(refusal);
        const bool notRun = refusal.status == statusUnavailable;
        this->addPeerResult(answer.headers, notRun ? this->refusalResult : PeerResult::Unknown,
                            refusal.retryAfter);
        co_await this->exchange.respond(std::move(answer));
    }

    // Tells a peer that has handed the request over how it ended.
    void addPeerResult(protocol::HttpHeaders &headers, PeerResult result,
                       std::optional<milliseconds> retryAfter = std::nullopt) const
    {
        if (this->handed)
            headers = protocol::withPeerResult(headers, result, retryAfter);
    }

    RouteRelay &relay;
    const RouteRelay::Hooks &hooks;
    transport::HttpExchange &exchange;
    const std::optional<protocol::RelayedRequest> handed; // by a peer, in this exchange
    state::SnapshotView<RouteTable> routes; // one version is used for the whole request
    const state::Instant arrival;
    OpenRequest openRequest;
    AnswerBuffers::Share share; // of what is kept of answers
    RelayRequest request;
    std::vector<state::RequestPart> parts; // of `request`
    Route handedRoute;
    const Route *route = nullptr; // of `routes`, or `handedRoute`
    state::Instant deadline;
    state::Instant lastEventAt;
    CallState facts;
    RelayOutcome outcome;
    AttemptProgress progress; // of the running attempt
    std::optional<RequestRefusal> requestRefusal;
    coordination::relay::EventSplitter events;
    std::optional<StreamHead> begunStream; // set with facts.answerBegun
    // The last error that an endpoint answered.
    std::optional<protocol::HttpResponse> endpointAnswer;
    std::shared_ptr<RunningAttempt> running = std::make_shared<RunningAttempt>();
    std::shared_ptr<InactivityTimeout>
            inactivityTimeout;    // of the running attempt, if it may be abandoned
    bool retryTokenTaken = false; // a retry token was taken for a move to another replica
    bool scheduled = false;
    state::RequestId scheduledId; // of the request at the scheduler; empty: it has not been there
    PeerResult refusalResult = PeerResult::NotRun; // of a 503, for the peer
    PeerResult peerResult = PeerResult::Unknown;   // of the last attempt through a peer
    ConnectionFailures failures;
    bool withheld = false;     // the last attempt was not sent, for no fault of its endpoint
    bool askedForRest = false; // the endpoint of the last attempt has
    // No peer could take the request: the fault is at endpoints, of which some may be left.
    bool peersHaveNoPath = false;
    std::optional<milliseconds> peerRetryAfter; // with it
    bool peerFailed = false;         // the last answer reports the failure of another endpoint
    bool connectionRefused = false;  // by the endpoint or peer of the last attempt, at once
    bool endpointReplaced = false;   // another endpoint has answered at the address
    std::uint32_t attemptNumber = 0; // number that the scheduler gave the attempt
    // When a replica accepts a call again, if the limits of all were used up at the last choice.
    std::optional<state::Instant> limitedUntil;
};

RouteRelay::RouteRelay(const Settings &settings, Hooks hooks, std::uint64_t seed)
    : settings(settings)
    , hooks(std::move(hooks))
    , random(seed)
    , chooser(seed + 1)
    , peerOrder(seed + 2)
{}

asio::awaitable<void> RouteRelay::run(transport::HttpExchange &exchange)
{
    RelayedCall call(*this, exchange);
    const RelayOutcome outcome = co_await call.run();
    this->hooks.finished(outcome);
}

asio::awaitable<void> RouteRelay::runForPeer(transport::HttpExchange &exchange)
{
    auto handed = protocol::unsealRelayedRequest(this->settings.keys, exchange.request().body);
    if (!handed) {
        logError("relay.handover-refused", handed.error().withPeer(exchange.peer()));
        protocol::HttpResponse refusal;
        refusal.status = 401;
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    RelayedCall call(*this, exchange, std::move(handed.value()));
    const RelayOutcome outcome = co_await call.run();
    this->hooks.finished(outcome);
}

std::vector<state::Address> RouteRelay::orderedPeers()
{
    const coordination::routing::RelayPeers peers = this->hooks.peers();
    const std::lock_guard lock(this->choiceMutex);
    return this->peerOrder.draw(peers, monotonicNow());
}

double RouteRelay::drawUniform()
{
    const std::lock_guard lock(this->choiceMutex);
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

coordination::admission::RetryBudget &RouteRelay::retryBudgetOf(const state::ServiceName &service)
{
    return this->budgets.try_emplace(service, retriesPerRequest, retriesAtOnce).first->second;
}

} // namespace lavenderthread::program
