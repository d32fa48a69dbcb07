// Start, service and graceful end of one process.
#include "program/Node.h"

#include "program/Clock.h"
#include "program/Cluster.h"
#include "program/DispatcherScheduler.h"
#include "program/Entry.h"
#include "program/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
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

asio::awaitable<void> pause(milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

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
        this->policy = DispatcherScheduler::create(this->context, this->settings, policySettings(),
                                                   this->registry, this->policyHooks());
        BOOST_OUTCOME_TRY(this->entry, Entry::create(this->settings, this->context, this->registry,
                                                     this->entryHooks()));
        this->entry->start();
        this->cluster->start();
        this->cluster->setPhase(MemberPhase::Serving, true, 0);
        if (!this->settings.gossipListen)
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
        hooks.claims = makeLocalClaims();
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

    asio::awaitable<void> expireLoop()
    {
        while (true) {
            co_await pause(expiryCheckInterval);
            const auto dropped = this->registry->expire(monotonicNow());
            for (const state::EndpointId &id : dropped)
                logEvent(LogLevel::Warning, "endpoint.expired", {{"endpoint", id.value()}});
            if (!dropped.empty())
                this->policy->refreshEndpoints();
        }
    }

    asio::awaitable<void> leaveOnSignal()
    {
        asio::signal_set signals(this->context, SIGTERM, SIGINT);
        co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
        // An operator who signals twice does not want to wait.
        signals.async_wait([this](auto, auto) { this->context.stop(); });
        this->entry->enter(EntryPhase::Leaving);
        this->cluster->setPhase(MemberPhase::Leaving, false, 0);
        co_await pause(this->settings.entry.shutdownGrace);
        this->entry->enter(EntryPhase::Refusing);
        const state::Instant limit = monotonicNow() + this->settings.entry.shutdownLimit;
        while (this->entry->inFlight() > 0 && monotonicNow() < limit)
            co_await pause(drainCheckInterval);
        this->entry->stopAccepting();
        this->cluster->setPhase(MemberPhase::Left, false, 0);
        co_await pause(farewellTime);
        logEvent(LogLevel::Info, "node.stopped",
                 {{"in_flight", std::uint64_t(this->entry->inFlight())}});
        this->cluster->stop();
        this->context.stop();
    }

    const Settings &settings;
    asio::io_context context;
    std::shared_ptr<EndpointRegistry> registry;
    std::shared_ptr<Cluster> cluster;
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
