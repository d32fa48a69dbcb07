// The dispatcher handles events on one strand, and its actions are executed there. Waiting relays
// receive their result through a callback.
#include "program/DispatcherScheduler.h"

#include "program/Clock.h"
#include "program/Log.h"
#include "program/SchedulerTranslation.h"
#include "transport/Await.h"
#include "transport/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <optional>
#include <unordered_map>
#include <utility>

namespace lavenderthread::program {

namespace asio = boost::asio;
namespace admission = coordination::admission;
using coordination::routing::AttemptOutcome;
using coordination::routing::EndpointHealth;
using protocol::Problem;
using protocol::Ran;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds engineCallTimeout{2'000};
constexpr std::uint64_t largestOrderAnswer = 64U << 10U;
// An engine answers a reservation request within a few milliseconds or not at all.
constexpr milliseconds reserveAnswerTime{400};
constexpr milliseconds releaseAnswerTime{500};
constexpr milliseconds releaseTime{3'500}; // the lease has expired by then

std::string_view toString(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Succeeded:
    case AttemptOutcome::Reachable:
        break;
    case AttemptOutcome::Failed:
        return "failures";
    case AttemptOutcome::Unreachable:
        return "unreachable";
    case AttemptOutcome::Replaced:
        return "replaced";
    }
    return "none";
}

std::string_view toString(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::Unreachable:
        return "unreachable";
    case AttemptFailure::ConnectionRefused:
        return "connection-refused";
    case AttemptFailure::NotRun:
        return "not-run";
    case AttemptFailure::Rests:
        return "rests";
    case AttemptFailure::Withheld:
        return "withheld";
    case AttemptFailure::Replaced:
        return "replaced";
    case AttemptFailure::PeerLost:
        return "peer-lost";
    case AttemptFailure::Lost:
        return "lost";
    }
    return "lost";
}

// What a failed attempt says about its engine.
AttemptOutcome outcomeOf(AttemptFailure failure)
{
    if (failure == AttemptFailure::Unreachable || failure == AttemptFailure::ConnectionRefused)
        return AttemptOutcome::Unreachable;
    return failure == AttemptFailure::Replaced ? AttemptOutcome::Replaced : AttemptOutcome::Failed;
}

} // namespace

std::string streamIdOf(const state::RequestId &id, const Placement &placement)
{
    return id.value() + "." + std::to_string(placement.attempt) + "."
           + std::to_string(placement.from);
}

struct DispatcherScheduler::State
{
    using Answer = std::function<void(PlacementResult)>;

    // A request between place() and finished().
    struct PendingRequest
    {
        Answer waiter;                          // the relay's callback while it waits
        std::optional<PlacementResult> ready;   // arrived while the relay was not waiting
        std::optional<Placement> lastPlacement; // the last placement that the relay was given
        std::function<void()> interrupt;        // the relay's; see ScheduledRequest
        // The relay's callback while it waits in mayAbandon().
        std::function<void(bool)> abandonWaiter;
    };

    State(asio::io_context &context, const Settings &settings,
          const coordination::routing::PolicySettings &policy,
          std::shared_ptr<EndpointRegistry> registry, Hooks hooks)
        : strand(asio::make_strand(context))
        , timer(this->strand)
        , registry(std::move(registry))
        , hooks(std::move(hooks))
        , dispatcher(settings.vm, policy, dispatcherHooks(),
                     std::hash<std::string>{}(settings.vm.value()))
    {}

    static admission::DispatcherHooks dispatcherHooks()
    {
        admission::DispatcherHooks hooks;
        hooks.fleet.transferTime = [](const state::FailureDomain &) { return state::Duration(0); };
        return hooks;
    }

    void handle(const admission::Event &event)
    {
        const auto actions = this->dispatcher.handle(event, monotonicNow());
        for (const admission::Action &action : actions)
            std::visit([this](const auto &each) { this->execute(each); }, action);
        this->armTimer();
    }

    void armTimer()
    {
        const auto wake = this->dispatcher.nextWake();
        if (!wake)
            return;
        this->timer.expires_after(std::max(*wake - monotonicNow(), state::Duration(0)));
        this->timer.async_wait([this](const boost::system::error_code &problem) {
            if (!problem)
                this->handle(admission::Tick{});
        });
    }

    void answer(const state::RequestId &id, PlacementResult result)
    {
        const auto found = this->pending.find(id);
        if (found == this->pending.end())
            return;
        PendingRequest &request = found->second;
        if (result)
            request.lastPlacement = result.value();
        if (!request.waiter) {
            request.ready = std::move(result);
            return;
        }
        const Answer waiter = std::exchange(request.waiter, {});
        const bool over = !result && !request.lastPlacement;
        if (over) // refused before any placement: the relay does not call finished()
            this->pending.erase(found);
        waiter(std::move(result));
    }

    // `cause`: why it needs a placement.
    void logIfQueued(const state::RequestId &id, std::string_view cause) const
    {
        const auto found = this->pending.find(id);
        if (found != this->pending.end() && found->second.waiter)
            logEvent(LogLevel::Info, "request.queued", {{"request", id.value()}, {"cause", cause}});
    }

    // Calls `waiter` with the result that is ready, or keeps it until there is one.
    void setWaiter(const state::RequestId &id, Answer waiter)
    {
        PendingRequest &request = this->pending[id];
        if (request.ready) {
            const PlacementResult result = *std::exchange(request.ready, std::nullopt);
            waiter(result);
            return;
        }
        request.waiter = std::move(waiter);
    }

    void execute(const admission::Dispatch &action)
    {
        const auto table = this->registry->table();
        const auto known = table->endpoints.find(action.engine);
        if (known == table->endpoints.end()) {
            // The registry has removed the engine, and the dispatcher does not know it yet.
            asio::post(this->strand, [this, action] {
                this->handle(admission::AttemptFailed{action.id, action.attempt, true});
            });
            return;
        }
        Placement placement;
        placement.endpoint = known->second.description;
        placement.priority = action.priority;
        placement.attempt = action.attempt;
        placement.from = action.from;
        placement.to = action.to;
        placement.final = action.final;
        placement.predictedFirstEvent = action.predictedFirstEvent;
        for (std::size_t index = 0; index < action.helpers.size(); ++index) {
            const auto helping = table->endpoints.find(action.helpers[index]);
            const std::string lease =
                    index < action.helperLeases.size() ? action.helperLeases[index] : "";
            if (helping != table->endpoints.end())
                placement.helpers.push_back({helping->second.description.address, lease});
        }
        logPlacement(action);
        this->answer(action.id, placement);
    }

    void execute(const admission::Refuse &action)
    {
        const Problem problem = problemOf(action);
        logRefusal(action, problem);
        if (this->hooks.countRefusal)
            this->hooks.countRefusal(problem.title, action.rank);
        this->answer(action.id, problem);
    }

    void execute(const admission::Expire &action)
    {
        const Ran ran = action.ran == admission::Ran::No ? Ran::No : Ran::Unknown;
        this->answer(action.id,
                     Problem{504, "deadline", "the deadline has passed", ran, std::nullopt});
    }

    void execute(const admission::Deferred &action) { logDeferral(action, monotonicNow()); }

    void execute(const admission::CancelOnEngine &action)
    {
        const auto found = this->pending.find(action.id);
        if (found == this->pending.end())
            return;
        if (found->second.interrupt)
            found->second.interrupt();
        else if (found->second.lastPlacement)
            this->callEngine("DELETE",
                             "/engine/streams/"
                                     + streamIdOf(action.id, *found->second.lastPlacement),
                             found->second.lastPlacement->endpoint.address, {});
    }

    void execute(const admission::MoveAnswered &action)
    {
        const auto found = this->pending.find(action.id);
        if (found != this->pending.end() && found->second.abandonWaiter)
            std::exchange(found->second.abandonWaiter, {})(action.allowed);
    }

    void askToAbandon(const state::RequestId &id, std::uint32_t attempt,
                      std::function<void(bool)> answer)
    {
        const auto found = this->pending.find(id);
        if (found == this->pending.end()) {
            answer(false); // the request has ended in the meantime
            return;
        }
        found->second.abandonWaiter = std::move(answer);
        this->handle(admission::MoveRequested{id, attempt});
    }

    void execute(const admission::Reserve &action)
    {
        const auto table = this->registry->table();
        const auto known = table->endpoints.find(action.engine);
        const auto answered = [this, action](unsigned status) {
            constexpr unsigned created = 201;
            this->handle(admission::ReservationAnswered{action.id, action.engine, action.lease,
                                                        status == created});
        };
        if (known == table->endpoints.end()) {
            asio::post(this->strand, [answered] { answered(0); });
            return;
        }
        const auto ttl = std::chrono::ceil<milliseconds>(action.ttl);
        const state::EndpointDescription &engine = known->second.description;
        if (this->profileOf(engine) && this->hooks.memory.reserve) {
            this->send(this->hooks.memory.reserve(action.lease, action.tokens, ttl), engine.address,
                       reserveAnswerTime, [this, action](unsigned status) {
                           this->handle(admission::ReservationAnswered{
                                   action.id, action.engine, action.lease,
                                   this->hooks.memory.granted(status)});
                       });
            return;
        }
        this->callEngine("POST", "/engine/reservations", known->second.description.address,
                         boost::json::serialize(boost::json::object{{"lease", action.lease},
                                                                    {"tokens", action.tokens},
                                                                    {"ttl_ms", ttl.count()}}),
                         answered);
    }

    void execute(const admission::Release &action)
    {
        const auto table = this->registry->table();
        const auto known = table->endpoints.find(action.engine);
        if (known == table->endpoints.end())
            return;
        if (this->profileOf(known->second.description) && this->hooks.memory.release)
            this->releaseUntilAnswered(this->hooks.memory.release(action.lease),
                                       known->second.description.address,
                                       monotonicNow() + releaseTime);
        else
            this->callEngine("DELETE", "/engine/reservations/" + action.lease,
                             known->second.description.address, {});
    }

    void execute(const admission::ShareWork &action)
    {
        if (this->hooks.shareWork)
            this->hooks.shareWork(action.note);
    }

    void execute(const admission::ShareWorkWith &action)
    {
        if (this->hooks.shareWorkWith)
            this->hooks.shareWorkWith(action.peer, action.note);
    }

    void execute(const admission::ShareBacklog &action)
    {
        if (this->hooks.shareBacklog)
            this->hooks.shareBacklog(action.note);
    }

    // `answered` is called on the strand with the HTTP status; 0: no answer.
    void callEngine(const std::string &method, const std::string &target, state::Address engine,
                    std::string body, std::function<void(unsigned)> answered = {})
    {
        protocol::HttpRequest request;
        request.method = method;
        request.target = target;
        request.headers.add("Content-Type", "application/json");
        request.body = std::move(body);
        this->send(std::move(request), std::move(engine), engineCallTimeout, std::move(answered));
    }

    // Repeats a release until the engine answers or `until` has passed. A lost release would keep
    // the memory reserved until the lease expires, and the next long prompt could not use it.
    // Repeating a release is safe: lease names are never reused.
    void releaseUntilAnswered(protocol::HttpRequest request, state::Address engine,
                              state::Instant until)
    {
        constexpr unsigned answeredFrom = 200;
        constexpr unsigned serverErrors = 500;
        this->send(request, engine, releaseAnswerTime,
                   [this, request, engine, until](unsigned status) {
                       const bool processed = status >= answeredFrom && status < serverErrors;
                       if (!processed && monotonicNow() < until)
                           this->releaseUntilAnswered(request, engine, until);
                   });
    }

    void send(protocol::HttpRequest request, state::Address engine, milliseconds timeout,
              std::function<void(unsigned)> answered)
    {
        transport::HttpCallLimits limits;
        limits.connectTimeout = std::min(limits.connectTimeout, timeout);
        limits.timeout = timeout;
        limits.bodyBytes = largestOrderAnswer;
        asio::co_spawn(
                this->strand,
                [](asio::any_io_executor executor, state::Address peer, protocol::HttpRequest call,
                   transport::HttpCallLimits callLimits,
                   std::function<void(unsigned)> onStatus) -> asio::awaitable<void> {
                    const auto response = co_await transport::httpCall(executor, peer,
                                                                       std::move(call), callLimits);
                    if (onStatus)
                        onStatus(response ? response.value().status : 0);
                }(this->strand, std::move(engine), std::move(request), limits, std::move(answered)),
                asio::detached);
    }

    // Records how an attempt ended, and stops using an engine that becomes suspect. A crashed
    // engine stays in the table until its renewals are missed. Without the suspicion, every request
    // placed there meanwhile would find its port closed, and some would run out of attempts. The
    // engine is used again after a while, or at once when it announces a new incarnation.
    void noteHealth(const state::EndpointDescription &endpoint, AttemptOutcome outcome)
    {
        const bool suspect = this->health.recordAttempt(endpoint.id, endpoint.incarnation, outcome,
                                                        monotonicNow());
        if (!suspect)
            return;
        this->logSuspected(endpoint.id, endpoint.incarnation, toString(outcome), "attempt");
        if (outcome == AttemptOutcome::Replaced && this->hooks.shareReplaced)
            this->hooks.shareReplaced(endpoint.id, endpoint.incarnation);
        this->hasSuspects = true;
        this->refreshEndpoints();
    }

    // One entry's discovery is enough: each further one would cost a request its attempt.
    void engineReplaced(const state::EndpointId &engine, std::uint64_t incarnation)
    {
        if (!this->health.recordAttempt(engine, incarnation, AttemptOutcome::Replaced,
                                        monotonicNow()))
            return;
        if (this->announced.contains(engine)) // not a replica of a plain service
            this->logSuspected(engine, incarnation, toString(AttemptOutcome::Replaced), "peer");
        this->hasSuspects = true;
        this->refreshEndpoints();
    }

    void logSuspected(const state::EndpointId &engine, std::uint64_t incarnation,
                      std::string_view cause, std::string_view source) const
    {
        const auto known = this->announced.find(engine);
        logEvent(LogLevel::Warning, "engine.suspected",
                 {{"endpoint", engine.value()},
                  {"address", known == this->announced.end()
                                      ? std::string()
                                      : known->second.description.address.toString()},
                  {"incarnation", incarnation},
                  {"cause", cause},
                  {"source", source}});
    }

    void handlePeerFailure(const state::Address &address)
    {
        for (const auto &[id, endpoint] : this->announced) {
            if (endpoint.description.address == address) {
                this->noteHealth(state::EndpointDescription(endpoint.description),
                                 AttemptOutcome::Unreachable);
                return;
            }
        }
    }

    // The caller has disconnected: ends the request and resumes a waiting relay, which has nobody
    // left to answer.
    void cancel(const state::RequestId &id)
    {
        this->handle(admission::CallerCancelled{id});
        this->answer(id, Problem{499, "caller-gone", "the caller has closed its connection",
                                 Ran::Unknown, std::nullopt});
    }

    bool isSuspected(const state::EndpointDescription &endpoint) const
    {
        return this->health.isSuspect(endpoint.id, endpoint.incarnation, monotonicNow());
    }

    std::optional<state::routes::EngineProfile>
    profileOf(const state::EndpointDescription &endpoint) const
    {
        const auto found = this->profiles.find(endpoint.service);
        if (found == this->profiles.end())
            return std::nullopt;
        return found->second;
    }

    // Fills in the capacity and speeds, which such an engine does not announce, from its service's
    // profile, if there is one.
    static state::EndpointDescription
    withProfile(state::EndpointDescription endpoint,
                const std::optional<state::routes::EngineProfile> &profile)
    {
        constexpr double msPerSecond = 1'000;
        if (!profile)
            return endpoint;
        endpoint.kvCapacityTokens = profile->kvCapacityTokens;
        endpoint.prefillTokensPerSecond = profile->prefillTokensPerSecond;
        endpoint.decodeTokensPerSecond = profile->stepMs > 0 ? msPerSecond / profile->stepMs : 0;
        return endpoint;
    }

    void setProfiles(const std::map<state::ServiceName, state::routes::EngineProfile> &next)
    {
        if (next == this->profiles)
            return;
        this->profiles = next;
        this->appliedTable.reset();
        for (const auto &[id, endpoint] : this->announced) {
            const auto profile = this->profileOf(endpoint.description);
            this->handle(admission::EngineAnnounced{withProfile(endpoint.description, profile),
                                                    profile, endpoint.draining,
                                                    this->coldShareOf(endpoint)});
        }
    }

    // Before all other changes of the table: those may free requests, which must not be placed on
    // an engine that is evacuated too.
    void applyEvacuations(const EndpointTable &table)
    {
        admission::EnginesEvacuated evacuated;
        for (const auto &[id, known] : this->announced) {
            const auto listed = table.endpoints.find(id);
            if (listed != table.endpoints.end() && listed->second.evacuated && !known.evacuated)
                evacuated.engines.push_back(id);
        }
        if (!evacuated.engines.empty())
            this->handle(evacuated);
    }

    std::optional<coordination::routing::ColdShare>
    coldShareOf(const RegisteredEndpoint &endpoint) const
    {
        if (!this->hooks.coldShare)
            return std::nullopt;
        return this->hooks.coldShare(endpoint);
    }

    void refreshColdShares()
    {
        this->coldSharesChanged = true;
        this->refreshEndpoints();
    }

    void refreshEndpoints()
    {
        const auto table = this->registry->table();
        const bool sharesChanged = std::exchange(this->coldSharesChanged, false);
        if (table == this->appliedTable && !this->hasSuspects && !sharesChanged)
            return;
        this->appliedTable = table;
        this->hasSuspects = false;
        this->applyEvacuations(*table);
        // The relay itself monitors attempts on engines with a declared profile; suspecting such an
        // engine only keeps new work away.
        const auto isGone = [&](const auto &known) {
            const auto listed = table->endpoints.find(known.first);
            return listed == table->endpoints.end()
                   || (!this->profileOf(listed->second.description)
                       && this->isSuspected(listed->second.description));
        };
        for (const auto &known : this->announced) {
            if (isGone(known))
                this->handle(admission::EngineGone{known.first});
        }
        std::erase_if(this->announced, isGone);
        std::erase_if(this->coldShares,
                      [this](const auto &each) { return !this->announced.contains(each.first); });
        for (const auto &[id, endpoint] : table->endpoints) {
            const auto profile = this->profileOf(endpoint.description);
            const bool suspected = this->isSuspected(endpoint.description);
            this->hasSuspects |= suspected;
            if (endpoint.description.kind != state::EndpointKind::Engine || (!profile && suspected))
                continue;
            if (profile)
                this->markHealth(endpoint, suspected);
            const auto known = this->announced.find(id);
            const bool same = known != this->announced.end();
            const auto cold = this->coldShareOf(endpoint);
            const bool coldChanged = std::exchange(this->coldShares[id], cold) != cold;
            if (same && known->second == endpoint && !coldChanged)
                continue;
            const bool drainChanged = endpoint.draining != (same && known->second.draining);
            if (!same || known->second.description != endpoint.description)
                this->handle(admission::EngineAnnounced{withProfile(endpoint.description, profile),
                                                        profile, endpoint.draining, cold});
            else if (coldChanged)
                this->handle(admission::EngineCold{id, endpoint.description.incarnation, cold});
            if (drainChanged)
                this->handle(admission::EngineDraining{id, endpoint.draining});
            this->announced[id] = endpoint;
            if (profile)
                this->markHealth(endpoint, suspected);
        }
    }

    void markHealth(const RegisteredEndpoint &endpoint, bool isSuspect)
    {
        const state::EndpointId &id = endpoint.description.id;
        const std::uint64_t incarnation = endpoint.description.incarnation;
        const bool suspected = isSuspect || endpoint.stale;
        const bool ended = this->health.isReplaced(id, incarnation, monotonicNow());
        const auto known = this->dispatcher.fleet().find(id);
        if (known == nullptr)
            return;
        // Asked before the dispatcher handles an event, which may remove the engine.
        const bool endedChanged = known->ended != ended;
        if (known->suspected != suspected)
            this->handle(admission::EngineSuspected{id, suspected});
        if (endedChanged)
            this->handle(admission::EngineEnded{id, incarnation, ended});
    }

    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    std::shared_ptr<EndpointRegistry> registry;
    Hooks hooks;
    admission::Dispatcher dispatcher;
    std::unordered_map<state::RequestId, PendingRequest> pending;
    EndpointHealth health; // a crashed engine stays announced until its renewals are missed
    std::map<state::EndpointId, RegisteredEndpoint> announced; // as the dispatcher was told
    state::SnapshotView<EndpointTable> appliedTable; // the last one that refreshEndpoints() applied
    std::map<state::EndpointId, std::optional<coordination::routing::ColdShare>> coldShares;
    bool coldSharesChanged = false; // they must be asked for again
    bool hasSuspects = false;       // it must be applied again when they recover
    std::map<state::ServiceName, state::routes::EngineProfile> profiles;
};

std::shared_ptr<DispatcherScheduler>
DispatcherScheduler::create(asio::io_context &context, const Settings &settings,
                            const coordination::routing::PolicySettings &policy,
                            std::shared_ptr<EndpointRegistry> registry, Hooks hooks)
{
    return std::make_shared<DispatcherScheduler>(std::make_unique<State>(
            context, settings, policy, std::move(registry), std::move(hooks)));
}

DispatcherScheduler::DispatcherScheduler(std::unique_ptr<State> state)
    : state(std::move(state))
{}

DispatcherScheduler::~DispatcherScheduler() = default;

void DispatcherScheduler::setProfiles(
        std::map<state::ServiceName, state::routes::EngineProfile> profiles)
{
    asio::post(this->state->strand,
               [self = this->shared_from_this(), profiles = std::move(profiles)] {
                   self->state->setProfiles(profiles);
               });
}

void DispatcherScheduler::post(admission::Event event)
{
    asio::post(this->state->strand, [self = this->shared_from_this(), event = std::move(event)] {
        self->state->handle(event);
    });
}

void DispatcherScheduler::engineReplaced(const state::EndpointId &engine, std::uint64_t incarnation)
{
    asio::post(this->state->strand, [self = this->shared_from_this(), engine, incarnation] {
        self->state->engineReplaced(engine, incarnation);
    });
}

void DispatcherScheduler::refreshEndpoints()
{
    asio::post(this->state->strand,
               [self = this->shared_from_this()] { self->state->refreshEndpoints(); });
}

void DispatcherScheduler::refreshColdShares()
{
    asio::post(this->state->strand,
               [self = this->shared_from_this()] { self->state->refreshColdShares(); });
}

Scheduler DispatcherScheduler::scheduler()
{
    const auto self = this->shared_from_this();
    // Posts to the strand: registers the relay's callback there, then runs `begin`.
    const auto waitFor = [self](const state::RequestId &id, std::function<void(State &)> begin) {
        return transport::awaitCallback<PlacementResult>(
                [self, id, begin = std::move(begin)](State::Answer waiter) {
                    asio::post(self->state->strand, [self, id, begin, waiter] {
                        self->state->setWaiter(id, waiter);
                        begin(*self->state);
                    });
                });
    };
    Scheduler scheduler;
    scheduler.place = [waitFor](ScheduledRequest request) {
        return waitFor(request.id, [request](State &state) {
            const auto waiting = state.pending.find(request.id);
            if (waiting != state.pending.end())
                waiting->second.interrupt = request.interrupt;
            state.handle(admission::RequestArrived{toAdmission(request)});
            state.logIfQueued(request.id, "arrival");
        });
    };
    scheduler.placeAgain = [waitFor](state::RequestId id, Placement failed,
                                     AttemptFailure failure) {
        return waitFor(id, [id, failed, failure](State &state) {
            const bool saysNothing = failure == AttemptFailure::PeerLost
                                     || failure == AttemptFailure::Rests
                                     || failure == AttemptFailure::Withheld;
            if (!saysNothing)
                state.noteHealth(failed.endpoint, outcomeOf(failure));
            admission::AttemptFailed event{.id = id, .attempt = failed.attempt};
            event.didNotRun = failure != AttemptFailure::Lost;
            event.connectionRefused = failure == AttemptFailure::ConnectionRefused;
            event.withheld = failure == AttemptFailure::Withheld;
            event.neverSent = failure == AttemptFailure::Unreachable || event.connectionRefused
                              || event.withheld;
            event.replaced = failure == AttemptFailure::Replaced;
            state.handle(event);
            state.logIfQueued(id, toString(failure));
        });
    };
    scheduler.mayAbandon = [self](state::RequestId id, std::uint32_t attempt) {
        return transport::awaitCallback<bool>(
                [self, id, attempt](std::function<void(bool)> answer) {
                    asio::post(self->state->strand, [self, id, attempt, answer] {
                        self->state->askToAbandon(id, attempt, answer);
                    });
                });
    };
    scheduler.sliceDone = [waitFor](state::RequestId id, Placement done) {
        return waitFor(id, [id, done](State &state) {
            state.handle(admission::SlicePrefilled{id, done.attempt, done.to});
        });
    };
    scheduler.progressed = [self](const state::RequestId &id, std::uint32_t attempt,
                                  std::uint64_t nextOffset) {
        self->post(admission::TokensReceived{id, attempt, static_cast<std::uint32_t>(nextOffset)});
    };
    scheduler.finished = [self](const state::RequestId &id, std::uint32_t attempt, bool whole) {
        asio::post(self->state->strand, [self, id, attempt, whole] {
            if (whole)
                self->state->handle(admission::RequestFinished{id, attempt});
            else
                self->state->handle(admission::CallerCancelled{id});
            self->state->pending.erase(id);
        });
    };
    scheduler.cancel = [self](const state::RequestId &id) {
        asio::post(self->state->strand, [self, id] { self->state->cancel(id); });
    };
    scheduler.noteHealth = [self](const state::EndpointDescription &endpoint,
                                  AttemptOutcome outcome) {
        asio::post(self->state->strand,
                   [self, endpoint, outcome] { self->state->noteHealth(endpoint, outcome); });
    };
    scheduler.limitNamed = [self](const state::EndpointId &endpoint, std::uint64_t incarnation,
                                  std::optional<double> perSecond) {
        self->post(admission::EngineLimited{endpoint, incarnation, perSecond});
    };
    scheduler.restNamed = [self](const state::EndpointId &endpoint, std::uint64_t incarnation,
                                 state::Instant until) {
        self->post(admission::EngineRests{endpoint, incarnation, until});
    };
    scheduler.fullNamed = [self](const state::EndpointId &endpoint, std::uint64_t incarnation,
                                 state::Instant until) {
        self->post(admission::EngineFull{endpoint, incarnation, until});
    };
    scheduler.reportPeerFailure = [self](const state::Address &address) {
        asio::post(self->state->strand,
                   [self, address] { self->state->handlePeerFailure(address); });
    };
    scheduler.isAlive =
            [registry = this->state->registry](const state::EndpointDescription &endpoint) {
                return registry->table()->find(endpoint.id, endpoint.incarnation) != nullptr;
            };
    return scheduler;
}

} // namespace lavenderthread::program
