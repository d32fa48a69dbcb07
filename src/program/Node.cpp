// Start, service and graceful end of one process.
#include "program/Node.h"

#include "program/Clock.h"
#include "program/Cluster.h"
#include "program/ControlClient.h"
#include "program/ControlRoutes.h"
#include "program/ControlService.h"
#include "program/DispatcherScheduler.h"
#include "program/Entry.h"
#include "program/Log.h"
#include "transport/Await.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <csignal>
#include <map>
#include <optional>
#include <thread>
#include <vector>

namespace lavenderthread::program {

namespace asio = boost::asio;
using coordination::membership::MemberPhase;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds expiryCheckInterval{200};
constexpr milliseconds drainCheckInterval{20};
// The farewell goes out and answers just written leave the sockets before the process does.
constexpr milliseconds farewellTime{300};

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

coordination::admission::Event toEvent(const coordination::routing::WorkNote &note)
{
    return coordination::admission::PeerWorkNoted{note};
}

coordination::admission::Event toEvent(const coordination::admission::BacklogNote &note)
{
    return coordination::admission::PeerBacklogNoted{note};
}

coordination::admission::Event toEvent(const protocol::CacheNews &news)
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
    explicit Node(const Settings &settings)
        : settings(settings)
        , context(static_cast<int>(settings.entry.workers))
        , registry(std::make_shared<EndpointRegistry>(settings.endpoint.expire))
    {}

    state::Result<void> start()
    {
        BOOST_OUTCOME_TRY(this->cluster, Cluster::create(this->settings, this->context,
                                                         this->registry, this->clusterHooks()));
        if (!this->settings.controlMembers.empty())
            this->client =
                    ControlClient::create(this->settings, this->context, this->clientHooks());
        this->policy = DispatcherScheduler::create(this->context, this->settings, policySettings(),
                                                   this->registry, this->policyHooks());
        BOOST_OUTCOME_TRY(this->entry, Entry::create(this->settings, this->context, this->registry,
                                                     this->entryHooks()));
        if (this->settings.controlListen) {
            BOOST_OUTCOME_TRY(this->control, ControlService::create(this->settings, this->context));
            this->control->start();
        }
        this->entry->start();
        this->cluster->start();
        if (this->client)
            this->client->start();
        this->tellPhase();
        asio::co_spawn(this->context, this->expireLoop(), asio::detached);
        asio::co_spawn(this->context, this->leaveOnSignal(), asio::detached);
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
    static coordination::routing::PolicySettings policySettings()
    {
        coordination::routing::PolicySettings policy;
        policy.prefixBlockTokens = protocol::prefixBlockTokens;
        return policy;
    }

    Cluster::Hooks clusterHooks()
    {
        Cluster::Hooks hooks;
        hooks.endpointsChanged = [this] { this->policy->refreshEndpoints(); };
        hooks.loadArrived = [this](const state::LoadReport &report) {
            this->policy->post(coordination::admission::LoadReported{report});
        };
        hooks.newsArrived = [this](const protocol::PeerNews &news) {
            this->policy->post(std::visit([](const auto &each) { return toEvent(each); }, news));
        };
        hooks.superseded = [this] {
            logEvent(LogLevel::Error, "node.superseded", {{"vm", this->settings.vm.value()}});
            this->context.stop();
        };
        return hooks;
    }

    DispatcherScheduler::Hooks policyHooks()
    {
        DispatcherScheduler::Hooks hooks;
        hooks.shareWork = [this](const coordination::routing::WorkNote &note) {
            this->cluster->share(note);
        };
        hooks.shareBacklog = [this](const coordination::admission::BacklogNote &note) {
            this->cluster->share(note);
        };
        return hooks;
    }

    Entry::Hooks entryHooks()
    {
        Entry::Hooks hooks;
        hooks.scheduler = this->policy->scheduler();
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
        hooks.admits = [this] { return !this->client || this->client->admits(); };
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
        hooks.left = [this](const state::EndpointId &id, std::uint64_t incarnation) {
            this->cluster->leave(id, incarnation);
        };
        hooks.loadReported = [this](const state::LoadReport &report) {
            this->policy->post(coordination::admission::LoadReported{report});
            this->cluster->reportLoad(report);
        };
        hooks.cacheChanged = [this](const state::EndpointId &id,
                                    const protocol::CacheEventBatch &batch) {
            this->policy->post(toEvent(protocol::CacheNews{id, batch}));
            this->cluster->share(protocol::CacheNews{id, batch});
        };
        hooks.completionFinished = logCompletion;
        hooks.serviceFinished = logService;
        return hooks;
    }

    ControlClient::Hooks clientHooks()
    {
        ControlClient::Hooks hooks;
        hooks.changed = [this](const state::control::ControlView &view, bool) {
            this->applyView(view);
            this->tellPhase();
        };
        return hooks;
    }

    // On the client's strand.
    void applyView(const state::control::ControlView &view)
    {
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
        for (const auto &[endpoint, order] : this->drainedBefore) {
            if (!drained.contains(endpoint))
                this->cluster->markDrain(endpoint, {0, view.version}, false);
        }
        this->drainedBefore = std::move(drained);
    }

    // Tells the others whether callers may be sent here.
    void tellPhase()
    {
        MemberPhase phase = MemberPhase::Serving;
        if (this->entry->phase() != EntryPhase::Serving)
            phase = this->left ? MemberPhase::Left : MemberPhase::Leaving;
        const bool ready =
                phase == MemberPhase::Serving && (!this->client || this->client->admits());
        this->cluster->setPhase(phase, ready, this->client ? this->client->view()->version : 0);
    }

    asio::awaitable<bool> controlRoutes(transport::HttpExchange &exchange,
                                        const AccountSetting *account)
    {
        const std::string path(exchange.request().path());
        if (path == "/v1/peer/control" && this->control) {
            co_await answerControlCall(*this->control, this->settings.keys, exchange);
            co_return true;
        }
        if (!path.starts_with("/v1/operator/"))
            co_return false;
        co_await answerOperator(this->client, account, exchange);
        co_return true;
    }

    asio::awaitable<void> expireLoop()
    {
        while (true) {
            co_await transport::pause(expiryCheckInterval);
            if (!this->settings.gossipListen) {
                for (const state::EndpointId &id : this->registry->expire(monotonicNow()))
                    logEvent(LogLevel::Warning, "endpoint.expired", {{"endpoint", id.value()}});
            }
            this->policy->refreshEndpoints(); // takes up again what was suspected for a while
        }
    }

    asio::awaitable<void> leaveOnSignal()
    {
        asio::signal_set signals(this->context, SIGTERM, SIGINT);
        co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
        // An operator who signals twice does not want to wait.
        signals.async_wait([this](auto, auto) { this->context.stop(); });
        this->entry->enter(EntryPhase::Leaving);
        this->tellPhase();
        co_await transport::pause(this->settings.entry.shutdownGrace);
        this->entry->enter(EntryPhase::Refusing);
        const state::Instant limit = monotonicNow() + this->settings.entry.shutdownLimit;
        while (this->entry->inFlight() > 0 && monotonicNow() < limit)
            co_await transport::pause(drainCheckInterval);
        this->entry->stopAccepting();
        this->left = true;
        this->tellPhase();
        co_await transport::pause(farewellTime);
        logEvent(LogLevel::Info, "node.stopped",
                 {{"in_flight", std::uint64_t(this->entry->inFlight())}});
        if (this->client)
            this->client->stop();
        if (this->control)
            this->control->stop();
        this->cluster->stop();
        this->context.stop();
    }

    const Settings &settings;
    asio::io_context context;
    std::shared_ptr<EndpointRegistry> registry;
    const std::uint64_t incarnation =
            static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
    std::atomic<bool> left = false;
    std::map<state::EndpointId, std::uint64_t> drainedBefore; // by order; on the client's strand
    std::shared_ptr<Cluster> cluster;
    std::shared_ptr<ControlService> control; // null unless this is a control member
    std::shared_ptr<ControlClient> client;   // null without control members
    std::shared_ptr<DispatcherScheduler> policy;
    std::shared_ptr<Entry> entry;
};

} // namespace

state::Result<void> runNode(const Settings &settings)
{
    Node node(settings);
    BOOST_OUTCOME_TRY(node.start());
    logEvent(LogLevel::Info, "node.started",
             {{"vm", settings.vm.value()}, {"listen", settings.entry.listen.toString()}});
    node.run();
    return state::outcome::success();
}

} // namespace lavenderthread::program
