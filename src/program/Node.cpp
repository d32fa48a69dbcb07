// Startup, operation and graceful shutdown of one process.
#include "program/Node.h"

#include "coordination/directory/ShutdownSchedule.h"
#include "program/AnswerBuffers.h"
#include "program/Clock.h"
#include "program/Cluster.h"
#include "program/ColdEndpoints.h"
#include "program/ControlClient.h"
#include "program/ControlRoutes.h"
#include "program/ControlService.h"
#include "program/DispatcherScheduler.h"
#include "program/Entry.h"
#include "program/Log.h"
#include "program/Metrics.h"
#include "program/OpenRequests.h"
#include "program/RelayListeners.h"
#include "program/RelayLog.h"
#include "program/RequestGuard.h"
#include "program/ResourceLimits.h"
#include "program/ShedLog.h"
#include "transport/Await.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <optional>
#include <thread>
#include <vector>

#include <malloc.h>

namespace lavenderthread::program {

namespace asio = boost::asio;
using coordination::directory::ShutdownSchedule;
using coordination::membership::MemberPhase;
using coordination::orders::ViewStatus;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds expiryCheckInterval{200};
// Larger allocations go back to the system when they are freed. By default the allocator raises
// this with the first large body, and memory that a crowd has used stays with the process.
constexpr int largeAllocationBytes = 128 << 10;
constexpr milliseconds drainCheckInterval{20};
// From the first refusal: bodies that are being read end, and operators get their answers.
constexpr milliseconds exchangeTime{2'000};
// Before the process exits: time to send the leave notice and the last answers from the sockets.
constexpr milliseconds finalSendTime{300};

void logCompletion(const CompletionOutcome &outcome)
{
    logEvent(LogLevel::Info, "completion.finished",
             {{"request", outcome.id.value()},
              {"account", outcome.account.value()},
              {"work_class", outcome.workClass.value()},
              {"prompt_tokens", outcome.promptTokens},
              {"output_tokens", outcome.outputTokens},
              {"status", outcome.status},
              {"ran", protocol::toString(outcome.ran)},
              {"whole", outcome.whole ? "yes" : "no"},
              {"attempts", outcome.attempts},
              {"first_token_us", std::int64_t(outcome.firstToken.count())},
              {"total_us", std::int64_t(outcome.total.count())}});
}

void logService(const ServiceOutcome &outcome)
{
    logEvent(LogLevel::Info, "service.finished",
             {{"request", outcome.id.value()},
              {"account", outcome.account.value()},
              {"service", outcome.service.value()},
              {"status", outcome.status},
              {"ran", protocol::toString(outcome.ran)},
              {"total_us", std::int64_t(outcome.total.count())}});
}

coordination::routing::ColdRate coldBound(const Settings &settings)
{
    return {0, settings.relay.coldOvershoot, settings.relay.coldSlack};
}

// The stages of the open requests that some are in, each with their number.
std::string formatStages(const OpenRequests &open)
{
    const auto counts = open.countByStage();
    std::string text;
    for (std::size_t stage = 0; stage < counts.size(); ++stage) {
        if (counts[stage] > 0)
            text.append(text.empty() ? "" : ",")
                    .append(toString(RequestStage(stage)))
                    .append(":")
                    .append(std::to_string(counts[stage]));
    }
    return text;
}

// The process ends without an answer to these.
void logUnanswered(const OpenRequests &open)
{
    constexpr std::size_t most = 100;
    const state::Instant now = monotonicNow();
    std::vector<OpenRequests::Entry> entries = open.list();
    entries.resize(std::min(entries.size(), most));
    for (const OpenRequests::Entry &each : entries) {
        logEvent(LogLevel::Warning, "request.unanswered",
                 {{"request", each.id.value()},
                  {"stage", toString(each.stage)},
                  {"age_us", std::int64_t((now - each.arrival).count())},
                  {"stage_us", std::int64_t((now - each.stageSince).count())}});
    }
}

coordination::admission::Event toEvent(const protocol::CacheUpdate &news)
{
    using coordination::routing::CacheOperation;
    using Kind = protocol::CacheEvent::Kind;
    coordination::admission::CacheReported reported{
            news.endpoint, news.batch.incarnation, news.batch.firstSequence, {}};
    for (const protocol::CacheEvent &event : news.batch.events) {
        CacheOperation operation = CacheOperation::Cleared;
        if (event.kind != Kind::Cleared)
            operation =
                    event.kind == Kind::Stored ? CacheOperation::Stored : CacheOperation::Evicted;
        reported.events.push_back({operation, event.block});
    }
    return reported;
}

class Node
{
public:
    Node(const Settings &settings, std::string settingsFile, const Deployment &deployment)
        : settings(settings)
        , settingsFile(std::move(settingsFile))
        , deployment(deployment)
        , context(static_cast<int>(settings.entry.workers))
        , pool(transport::ConnectionPool::create(ResourceLimits::of(settings).connections))
        , answerBuffers(std::make_shared<AnswerBuffers>(
                  ResourceLimits::of(settings).answers,
                  [pool = this->pool] { pool->closeSlowestReader(); }))
        , registry(std::make_shared<EndpointRegistry>(settings.endpoint.expireAfter))
        , cold(std::make_shared<ColdEndpoints>(settings.vm, monotonicNow(), coldBound(settings)))
    {}

    state::Result<void> start()
    {
        if (this->settings.controlListen) {
            BOOST_OUTCOME_TRY(this->control, ControlService::create(this->settings, this->context,
                                                                    this->controlHooks()));
        }
        BOOST_OUTCOME_TRY(
                this->cluster,
                Cluster::create(this->settings, this->context, this->registry,
                                {this->incarnation,
                                 this->control ? this->control->identity() : state::VmId()},
                                this->clusterHooks()));
        if (!this->settings.gossipListen) // a single node is the only entry
            this->cold->setEntries({{{this->settings.vm}}, true});
        this->guard = RequestGuard::create(this->context, this->guardHooks());
        if (this->settings.hasControlMembers())
            this->client =
                    ControlClient::create(this->settings, this->context, this->clientHooks());
        this->policy = DispatcherScheduler::create(this->context, this->settings,
                                                   policySettings(this->settings), this->registry,
                                                   this->policyHooks());
        BOOST_OUTCOME_TRY(this->entry, Entry::create(this->settings, this->context, this->registry,
                                                     this->entryHooks()));
        if (this->servesRelay()) {
            BOOST_OUTCOME_TRY(this->front, RelayListeners::create(this->settings, this->context,
                                                                  this->frontHooks()));
            this->front->start();
        }
        if (this->settings.metricsListen) {
            BOOST_OUTCOME_TRYV(this->serveMetrics());
        }
        if (this->control)
            this->control->start();
        this->entry->start();
        this->cluster->start();
        this->guard->start();
        if (this->client)
            this->client->start();
        this->publishPhase();
        asio::co_spawn(this->context, this->maintenanceLoop(), asio::detached);
        asio::co_spawn(this->context, this->shutDownOnSignal(), asio::detached);
        asio::co_spawn(this->context, this->reloadOnSignal(), asio::detached);
        return state::outcome::success();
    }

    void run()
    {
        std::vector<std::thread> workers;
        for (std::uint32_t worker = 1; worker < this->settings.entry.workers; ++worker)
            workers.emplace_back([this] { this->context.run(); });
        this->context.run();
        for (std::thread &worker : workers)
            worker.join();
    }

private:
    static coordination::routing::PolicySettings policySettings(const Settings &settings)
    {
        coordination::routing::PolicySettings policy;
        policy.prefixBlockTokens = protocol::prefixBlockTokens;
        policy.rankedOverload = settings.rankedOverload;
        if (!settings.relay.listen)
            return policy;
        // Long prompts are split over all engines at once, so every entry must watch all of them.
        constexpr std::uint32_t allEngines = 10'000;
        policy.watchedEngines = allEngines;
        // This entry's share of the retries that all entries together may send; see RouteRelay.cpp.
        policy.retryShare = 0.12;
        policy.retryBurst = 4;
        policy.budgetRefused = true;
        // Work notes arrive within milliseconds; the requests that have waited are placed by then.
        policy.startSpreadTime = std::chrono::seconds(1);
        // Memory that a crashed entry had reserved must be free within four seconds.
        policy.reservationTtl = std::chrono::milliseconds(3'500);
        return policy;
    }

    bool servesRelay() const
    {
        const RelaySettings &relay = this->settings.relay;
        return this->client
               && (relay.listen || relay.readyListen || relay.directoryListen
                   || relay.operatorListen);
    }

    ControlService::Hooks controlHooks()
    {
        ControlService::Hooks hooks;
        hooks.pool = this->pool;
        // If the settings name the members, operators decide which nodes are members.
        if (this->settings.controlMembers.empty())
            hooks.candidates = [this] { return this->cluster->controlCandidates(); };
        hooks.hasEnded = [this](const state::VmId &entry, std::uint64_t incarnationThere) {
            return this->cluster->hasEnded(entry, incarnationThere);
        };
        return hooks;
    }

    RelayListeners::Hooks frontHooks()
    {
        RelayListeners::Hooks hooks;
        hooks.deployment = this->deployment;
        hooks.scheduler = this->policy->scheduler();
        hooks.endpoints = [this] { return this->registry->table(); };
        hooks.endpointCold = [this](const state::EndpointDescription &endpoint,
                                    state::Duration left) {
            if (this->registry->setCold(endpoint.id, endpoint.incarnation, left, monotonicNow()))
                this->applyEndpoints();
        };
        hooks.endpointsGrowing = [this] { return this->registry->isGrowing(monotonicNow()); };
        hooks.cluster = this->cluster;
        hooks.client = this->client;
        hooks.guard = this->guard;
        hooks.openRequests = this->openRequests;
        hooks.answerBuffers = this->answerBuffers;
        hooks.pool = this->pool;
        hooks.ready = [this] { return this->entry->phase() == EntryPhase::Serving; };
        hooks.profilesChanged = [this](auto profiles) {
            this->policy->setProfiles(std::move(profiles));
        };
        hooks.servicesChanged = [this](const auto &services) { this->applyColdTimes(services); };
        hooks.coldShare = [this](const RegisteredEndpoint &endpoint) {
            return this->cold->shareOf(endpoint, monotonicNow());
        };
        hooks.attemptStarted = [this](const state::EndpointDescription &endpoint) {
            this->cold->countSend(*this->registry->table(), endpoint, monotonicNow());
        };
        hooks.pathsChanged = [this] { this->publishPhase(); };
        hooks.answerEnded = [this](const transport::AnswerReport &answer) {
            countAnswer(this->metrics, answer);
        };
        hooks.finished = [this](const RelayOutcome &outcome) {
            countRelay(this->metrics, outcome);
            logRelay(outcome);
        };
        return hooks;
    }

    void applyEndpoints()
    {
        this->cold->logChanges(*this->registry->table(), monotonicNow());
        this->policy->refreshEndpoints();
    }

    void applyColdTimes(const std::vector<state::routes::ServiceProfile> &services)
    {
        std::map<state::ServiceName, state::Duration> times;
        for (const state::routes::ServiceProfile &service : services) {
            if (service.coldRequestsPerSecond > 0)
                times[service.name] = service.coldTime;
        }
        this->registry->setColdTimes(std::move(times));
        this->cold->setServices(services);
        this->cold->logChanges(*this->registry->table(), monotonicNow());
        this->policy->refreshColdShares();
    }

    RequestGuard::Hooks guardHooks()
    {
        RequestGuard::Hooks hooks;
        hooks.share = [this](protocol::PeerUpdate update) {
            this->cluster->share(std::move(update));
        };
        hooks.shareWithSome = [this](std::vector<protocol::PeerUpdate> updates) {
            this->cluster->shareWithSome(std::move(updates));
        };
        return hooks;
    }

    Cluster::Hooks clusterHooks()
    {
        Cluster::Hooks hooks;
        hooks.endpointsChanged = [this] { this->applyEndpoints(); };
        hooks.entriesChanged = [this](coordination::routing::RelayEntries entries) {
            this->cold->setEntries(std::move(entries));
            // The cluster publishes its first view while it is created, before the scheduler is.
            if (this->policy)
                this->policy->refreshColdShares();
        };
        hooks.loadArrived = [this](const state::LoadReport &report) {
            this->policy->post(coordination::admission::LoadReported{report});
        };
        hooks.newsArrived = [this](const protocol::PeerUpdate &news) {
            this->handlePeerUpdate(news);
        };
        hooks.peerJoined = [this](const state::VmId &peer) {
            this->policy->post(coordination::admission::PeerJoined{peer});
        };
        hooks.superseded = [this] {
            logEvent(LogLevel::Error, "node.superseded", {{"vm", this->settings.vm.value()}});
            this->context.stop();
        };
        return hooks;
    }

    void handlePeerUpdate(const protocol::PeerUpdate &update)
    {
        namespace quarantine = coordination::quarantine;
        if (const auto *report = std::get_if<quarantine::CrashReport>(&update))
            this->guard->peerReported(*report);
        else if (const auto *cleared = std::get_if<quarantine::PartCleared>(&update))
            this->guard->peerCleared(*cleared);
        else if (const auto *trial = std::get_if<quarantine::TrialStarted>(&update))
            this->guard->peerStartedTrial(*trial);
        else if (const auto *replaced = std::get_if<protocol::EndpointReplaced>(&update))
            this->handlePeerReplaced(*replaced);
        else if (const auto *limit = std::get_if<protocol::EndpointLimited>(&update))
            this->handlePeerLimit(*limit);
        else if (const auto *call = std::get_if<protocol::LimitedCall>(&update))
            this->handlePeerCall(*call);
        else if (const auto *cache = std::get_if<protocol::CacheUpdate>(&update))
            this->policy->post(toEvent(*cache));
        else if (const auto *backlog = std::get_if<coordination::admission::BacklogNote>(&update))
            this->policy->post(coordination::admission::PeerBacklogReceived{*backlog});
        else if (const auto *work = std::get_if<coordination::routing::WorkNote>(&update))
            this->policy->post(coordination::admission::PeerWorkReceived{*work});
    }

    void handlePeerReplaced(const protocol::EndpointReplaced &replaced)
    {
        this->policy->engineReplaced(replaced.endpoint, replaced.incarnation);
        if (this->front)
            this->front->peerFoundReplaced(replaced);
    }

    void handlePeerLimit(const protocol::EndpointLimited &limit)
    {
        if (this->front)
            this->front->peerHeardLimit(limit);
    }

    void handlePeerCall(const protocol::LimitedCall &call)
    {
        if (this->front)
            this->front->peerCalled(call);
    }

    DispatcherScheduler::Hooks policyHooks()
    {
        DispatcherScheduler::Hooks hooks;
        hooks.countRefusal = [this](const std::string &cause, std::uint8_t rank) {
            this->metrics.count("refusals_total{cause=\"" + cause + "\",rank=\""
                                + std::to_string(rank) + "\"}");
        };
        hooks.shareWork = [this](const coordination::routing::WorkNote &note) {
            this->cluster->share(note);
        };
        hooks.shareWorkWith = [this](const state::VmId &peer,
                                     const coordination::routing::WorkNote &note) {
            this->cluster->shareWith(peer, note);
        };
        hooks.shareBacklog = [this](const coordination::admission::BacklogNote &note) {
            this->cluster->share(note);
        };
        hooks.shareReplaced = [this](const state::EndpointId &engine, std::uint64_t incarnation) {
            this->cluster->share(protocol::EndpointReplaced{engine, incarnation});
        };
        hooks.coldShare = [cold = this->cold](const RegisteredEndpoint &endpoint) {
            return cold->shareOf(endpoint, monotonicNow());
        };
        hooks.memory = this->deployment.relay.memory;
        return hooks;
    }

    Entry::Hooks entryHooks()
    {
        Entry::Hooks hooks;
        hooks.scheduler = this->policy->scheduler();
        hooks.guard = this->guard;
        hooks.claims =
                this->client ? this->client->claimGate(this->incarnation) : makeLocalClaims();
        hooks.accountOfKey = [this](std::string_view key) -> std::optional<AccountSetting> {
            if (!this->client)
                return std::nullopt;
            const auto view = this->client->view();
            const auto *account = view->catalog.accountOfBearerKey(key);
            if (account == nullptr)
                return std::nullopt;
            return AccountSetting{account->id, {}, false};
        };
        hooks.isAdmissionAllowed = [this] { return !this->client || this->client->mayAdmit(); };
        hooks.extraRoutes = [this](transport::HttpExchange &exchange,
                                   const AccountSetting *account) {
            return this->controlRoutes(exchange, account);
        };
        hooks.directory = [this](const state::ClientAccountId &account) {
            return this->cluster->directory(account);
        };
        hooks.announce = [this](state::EndpointDescription endpoint) {
            return this->cluster->announce(std::move(endpoint));
        };
        hooks.left = [this](state::EndpointId id, std::uint64_t incarnation) {
            return this->cluster->withdraw(std::move(id), incarnation);
        };
        hooks.loadReported = [this](const state::LoadReport &report) {
            this->policy->post(coordination::admission::LoadReported{report});
            this->cluster->reportLoad(report);
        };
        hooks.cacheChanged = [this](const state::EndpointId &id,
                                    const protocol::CacheEventBatch &batch) {
            this->policy->post(toEvent(protocol::CacheUpdate{id, batch}));
            this->cluster->share(protocol::CacheUpdate{id, batch});
        };
        hooks.completionFinished = logCompletion;
        hooks.serviceFinished = logService;
        hooks.openRequests = this->openRequests;
        hooks.answerBuffers = this->answerBuffers;
        hooks.pool = this->pool;
        return hooks;
    }

    ControlClient::Hooks clientHooks()
    {
        ControlClient::Hooks hooks;
        hooks.changed = [this](const state::control::ControlView &view, bool) {
            this->applyView(view);
            this->publishPhase();
        };
        hooks.members = [this] { return this->cluster->controlMembers(); };
        if (this->control) {
            hooks.ownMember = [this](protocol::ControlCall call) {
                return this->control->answer(std::move(call));
            };
            hooks.ownAddress = *this->settings.controlListen;
        }
        return hooks;
    }

    // Called on the client's strand.
    void applyView(const state::control::ControlView &view)
    {
        // Before the routes: an entry that starts sends nothing until it has routes.
        this->applyEvacuations(view);
        if (this->front)
            this->front->viewChanged(view);
        coordination::admission::TableChanged changed;
        view.table.forEach(
                [&](const state::table::StoredRow &stored) { changed.rows.push_back(stored.row); });
        this->policy->post(std::move(changed));
        std::map<state::EndpointId, std::uint64_t> drained;
        view.drained.forEach([&](const state::control::DrainMark &mark) {
            drained[mark.endpoint] = mark.orderId;
        });
        for (const auto &[endpoint, order] : drained)
            this->cluster->markDrain(endpoint, {0, order}, true);
        for (const auto &[endpoint, order] : this->previouslyDrained) {
            if (!drained.contains(endpoint))
                this->cluster->markDrain(endpoint, {0, view.version}, false);
        }
        this->previouslyDrained = std::move(drained);
    }

    void applyEvacuations(const state::control::ControlView &view)
    {
        std::set<state::FailureDomain> evacuated;
        view.evacuations.forEach([&](const state::control::EvacuationMark &mark) {
            if (mark.evacuated)
                evacuated.insert(mark.failureDomain);
            std::uint64_t &logged = this->loggedEvacuations[mark.failureDomain];
            if (std::exchange(logged, mark.version) == mark.version)
                return;
            logEvent(LogLevel::Info, mark.evacuated ? "evacuation.begun" : "evacuation.finished",
                     {{"failure_domain", mark.failureDomain.value()},
                      {"version", mark.version},
                      {"requested_by", mark.requestedBy}});
        });
        this->evacuatedDomains = evacuated.size();
        this->cluster->setEvacuated(std::move(evacuated));
    }

    // Tells the other members whether callers may be directed here.
    void publishPhase()
    {
        MemberPhase phase = MemberPhase::Serving;
        if (this->entry->phase() != EntryPhase::Serving)
            phase = this->left ? MemberPhase::Left : MemberPhase::Leaving;
        const bool configured = !this->front || this->front->hasConfiguration();
        const bool ready = phase == MemberPhase::Serving && configured
                           && (!this->client || this->client->mayAdmit());
        coordination::membership::SelfState self;
        self.phase = phase;
        self.ready = ready;
        self.reachesEndpoints = !this->front || !this->front->isCutOff();
        self.tableVersion = this->client ? this->client->view()->version : 0;
        this->cluster->setSelf(self);
    }

    asio::awaitable<bool> controlRoutes(transport::HttpExchange &exchange,
                                        const AccountSetting *account)
    {
        const std::string path(exchange.request().path());
        if (path == protocol::peerRelayPath && this->front) {
            co_await this->front->runForPeer(exchange);
            co_return true;
        }
        if (path == "/v1/peer/control" && this->control) {
            ++this->controlCalls;
            co_await answerControlCall(*this->control, this->settings.keys, exchange);
            --this->controlCalls;
            co_return true;
        }
        if (!path.starts_with("/v1/operator/"))
            co_return false;
        co_await answerOperator(this->client, account, exchange);
        co_return true;
    }

    asio::awaitable<void> maintenanceLoop()
    {
        while (true) {
            co_await transport::pause(expiryCheckInterval);
            flushLog();
            this->shedLog.write(this->pool->counts(), monotonicNow());
            if (!this->settings.gossipListen) {
                for (const state::EndpointId &id : this->registry->expire(monotonicNow()))
                    logEvent(LogLevel::Warning, "endpoint.expired", {{"endpoint", id.value()}});
            }
            this->policy->refreshEndpoints(); // uses engines again whose suspicion has expired
        }
    }

    asio::awaitable<void> shutDownOnSignal()
    {
        co_await this->stopSignals.async_wait(asio::as_tuple(asio::use_awaitable));
        this->stopAtOnceOnInterrupt();
        const ShutdownSchedule schedule = this->shutdownSchedule();
        const state::Instant limit = monotonicNow() + schedule.exitAfter;
        logEvent(LogLevel::Info, "node.leaving",
                 {{"in_flight", std::uint64_t(this->openRequests->count())},
                  {"stages", formatStages(*this->openRequests)},
                  {"exchanges", std::uint64_t(this->openExchanges())},
                  {"takes_calls_ms", toMilliseconds(schedule.acceptCallsFor)},
                  {"limit_ms", toMilliseconds(schedule.exitAfter)}});
        this->openRequests->answerUntil(limit);
        this->policy->post(coordination::admission::EntryLeaving{limit});
        this->entry->enter(EntryPhase::Leaving);
        if (this->front)
            this->front->beginLeaving();
        this->publishPhase();
        co_await transport::pause(milliseconds(toMilliseconds(schedule.acceptCallsFor)));
        this->entry->enter(EntryPhase::Refusing);
        if (this->front)
            this->front->refuseNew();
        const state::Instant exchangesLimit = std::min(limit, monotonicNow() + exchangeTime);
        while ((this->openRequests->count() > 0 && monotonicNow() < limit)
               || (this->openExchanges() > 0 && monotonicNow() < exchangesLimit))
            co_await transport::pause(drainCheckInterval);
        this->entry->stopAccepting();
        if (this->front)
            this->front->stopAccepting();
        this->left = true;
        this->publishPhase();
        this->openRequests->endAll();
        co_await transport::pause(finalSendTime);
        logUnanswered(*this->openRequests);
        logEvent(LogLevel::Info, "node.stopped",
                 {{"in_flight", std::uint64_t(this->openRequests->count())},
                  {"stages", formatStages(*this->openRequests)},
                  {"exchanges", std::uint64_t(this->openExchanges())}});
        if (this->client)
            this->client->stop();
        if (this->control)
            this->control->stop();
        this->cluster->stop();
        this->context.stop();
    }

    // An operator at a terminal who interrupts again does not want to wait. Supervisors repeat
    // SIGTERM, and callers still get their answers then.
    void stopAtOnceOnInterrupt()
    {
        this->stopSignals.async_wait([this](const boost::system::error_code &problem, int signal) {
            if (problem)
                return;
            if (signal == SIGINT)
                this->context.stop();
            else
                this->stopAtOnceOnInterrupt();
        });
    }

    void serveControlMetrics()
    {
        using Status = ControlMemberStatus;
        const auto gauge = [this](const char *name, double (*value)(const Status &)) {
            this->metrics.gauge(name, [this, value] {
                const auto status = this->control->status();
                return status ? value(*status) : 0.0;
            });
        };
        gauge("control_voters",
              [](const Status &status) { return double(status.members.voterCount()); });
        gauge("control_leader_known",
              [](const Status &status) { return status.leader ? 1.0 : 0.0; });
        gauge("control_committed_index",
              [](const Status &status) { return double(status.committed); });
    }

    void serveConnectionMetrics()
    {
        using Counts = transport::ConnectionPool::Counts;
        const auto gauge = [this](const char *name, auto Counts::*count) {
            this->metrics.gauge(name,
                                [this, count] { return double(this->pool->counts().*count); });
        };
        gauge("connections", &Counts::connections);
        gauge("connection_bytes", &Counts::bytes);
        gauge("connections_shed_total{for=\"connections\"}", &Counts::closedForConnections);
        gauge("connections_shed_total{for=\"bytes\"}", &Counts::closedForBytes);
        gauge("connections_refused_total", &Counts::refusedConnections);
        gauge("requests_refused_total{for=\"bytes\"}", &Counts::refusedBytes);
    }

    state::Result<void> serveMetrics()
    {
        this->metrics.gauge("requests_in_flight",
                            [this] { return double(this->openRequests->count()); });
        for (std::size_t stage = 0; stage < requestStageCount; ++stage) {
            const std::string name(toString(RequestStage(stage)));
            this->metrics.gauge("requests_open{stage=\"" + name + "\"}", [this, stage] {
                return double(this->openRequests->countByStage()[stage]);
            });
        }
        this->metrics.gauge("table_version", [this] {
            return this->client ? double(this->client->view()->version) : 0.0;
        });
        this->metrics.gauge("configuration_version", [this] {
            return this->client ? double(this->client->view()->configuration.version) : 0.0;
        });
        this->metrics.gauge("view_fresh", [this] {
            return this->client && this->client->mayAdmit() ? 1.0 : 0.0;
        });
        this->metrics.gauge("view_confirmed", [this] {
            return this->client && this->client->standing() == ViewStatus::Confirmed ? 1.0 : 0.0;
        });
        if (this->control)
            this->serveControlMetrics();
        this->serveConnectionMetrics();
        this->metrics.gauge("quarantine_blocks",
                            [this] { return double(this->guard->blockCount()); });
        this->metrics.gauge("evacuated_domains", [this] { return double(this->evacuatedDomains); });
        this->metrics.gauge("cold_endpoints", [this] {
            return double(this->cold->coldCount(*this->registry->table(), monotonicNow()));
        });
        this->metrics.gauge("cold_sends_total", [this] { return double(this->cold->sends()); });
        this->metrics.gauge("endpoints_known",
                            [this] { return double(this->cluster->endpointsKnown()); });
        this->metrics.gauge("reaches_endpoints",
                            [this] { return this->front && this->front->isCutOff() ? 0.0 : 1.0; });
        this->metrics.gauge("news_datagrams_lost",
                            [this] { return double(this->cluster->newsLost()); });
        transport::HttpServer::Hooks hooks;
        hooks.handle = [this](transport::HttpExchange &exchange) -> asio::awaitable<void> {
            protocol::HttpResponse answer;
            answer.headers.add("Content-Type", "text/plain; version=0.0.4");
            answer.body = this->metrics.text();
            co_await exchange.respond(std::move(answer));
        };
        hooks.reject = [](unsigned status, std::string_view cause) {
            protocol::HttpResponse answer;
            answer.status = status;
            answer.body = std::string(cause);
            return answer;
        };
        hooks.pool = this->pool;
        transport::HttpLimits limits;
        limits.bodyBytes = questionBodyBytes;
        BOOST_OUTCOME_TRY(this->metricsServer, transport::HttpServer::create(
                                                       this->context, *this->settings.metricsListen,
                                                       limits, std::move(hooks)));
        this->metricsServer->start();
        return state::outcome::success();
    }

    // Requests that are being read or answered, without the calls that control members hold.
    std::size_t openExchanges() const
    {
        const std::size_t all =
                this->entry->openExchanges() + (this->front ? this->front->openExchanges() : 0);
        return all - std::min<std::size_t>(all, this->controlCalls);
    }

    ShutdownSchedule shutdownSchedule() const
    {
        if (this->settings.relay.listen)
            return ShutdownSchedule::within(this->settings.relay.terminationLimit);
        const auto &entry = this->settings.entry;
        return {entry.shutdownGrace, entry.shutdownGrace + entry.shutdownLimit};
    }

    // Reads and checks the settings file again. No setting changes at run time: a restart applies
    // them.
    asio::awaitable<void> reloadOnSignal()
    {
        while (true) {
            co_await this->reloadSignals.async_wait(asio::as_tuple(asio::use_awaitable));
            const auto read = Settings::load(this->settingsFile);
            if (read)
                logEvent(LogLevel::Info, "node.reloaded",
                         {{"seeds", std::uint64_t(read.value().seeds.size())}});
            else
                logError("node.reload-refused", read.error());
        }
    }

    const Settings &settings;
    const std::string settingsFile;
    const Deployment &deployment;
    asio::io_context context;
    // Created before any worker thread runs. When two workers each created the first signal set of
    // a context at the same time, the signals were registered with neither, and the node ignored
    // every SIGTERM.
    asio::signal_set stopSignals{this->context, SIGTERM, SIGINT};
    asio::signal_set reloadSignals{this->context, SIGHUP};
    const std::shared_ptr<transport::ConnectionPool> pool;
    const std::shared_ptr<AnswerBuffers> answerBuffers;
    ShedLog shedLog;
    Metrics metrics;
    std::shared_ptr<OpenRequests> openRequests = OpenRequests::create();
    std::shared_ptr<EndpointRegistry> registry;
    std::shared_ptr<ColdEndpoints> cold;
    const std::uint64_t incarnation =
            static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
    std::atomic<bool> left = false;
    std::atomic<std::size_t> controlCalls = 0; // of members, which are held until there is news
    // Order ids by endpoint; accessed on the client's strand.
    std::map<state::EndpointId, std::uint64_t> previouslyDrained;
    std::map<state::FailureDomain, std::uint64_t> loggedEvacuations; // versions
    std::atomic<std::size_t> evacuatedDomains = 0;
    std::shared_ptr<Cluster> cluster;
    std::shared_ptr<ControlService> control; // null unless this node is a control member
    std::shared_ptr<ControlClient> client;   // null if there are no control members
    std::shared_ptr<RequestGuard> guard;
    std::shared_ptr<DispatcherScheduler> policy;
    std::shared_ptr<Entry> entry;
    std::shared_ptr<RelayListeners> front;                // null if no relay listener is configured
    std::shared_ptr<transport::HttpServer> metricsServer; // null if not configured
};

} // namespace

state::Result<void> runNode(const Settings &settings, const std::string &settingsFile,
                            const Deployment &deployment)
{
    ::mallopt(M_MMAP_THRESHOLD, largeAllocationBytes);
    Node node(settings, settingsFile, deployment);
    BOOST_OUTCOME_TRY(node.start());
    logEvent(LogLevel::Info, "node.started",
             {{"vm", settings.vm.value()}, {"listen", settings.entry.listen.toString()}});
    node.run();
    return state::outcome::success();
}

} // namespace lavenderthread::program
