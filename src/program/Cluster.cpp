// Connects membership, the directory and the peer news between entries.
#include "program/Cluster.h"

#include "coordination/directory/RelayDirectory.h"
#include "coordination/directory/WorkPeers.h"
#include "program/Clock.h"
#include "program/Log.h"
#include "transport/Await.h"

#include <xxhash.h>

namespace lavenderthread::program {

namespace asio = boost::asio;
namespace membership_ = coordination::membership;

namespace {

// Peer news that occur within this time share a datagram. An entry has less than one in 1 ms, so a
// longer wait saves no datagrams and lets others place requests by older news: in a simulation in
// virtual time, 5 ms cost 0.2% of the worth answered in time on a heavy day.
constexpr std::chrono::milliseconds newsBatchTime{1};
constexpr std::size_t newsQueueLimit = 4'096;
// Share of the link for news to peers; the other half is for answers.
constexpr double newsLinkShare = 0.5;
// Burst allowance: a link of 14 Mbit/s dropped what exceeded 30,000 bytes sent at once.
constexpr double newsBurstBytes = 16'000;
constexpr double bytesPerMegabit = 125'000;
// Repeated news reach all members in a number of rounds that grows with the fleet's logarithm.
constexpr std::size_t randomReceivers = 3;
constexpr std::chrono::seconds newsLossLogInterval{1}; // at most one log line in this time
// An endpoint expires after this many heartbeat intervals: one heartbeat may be lost with its
// connection, and the next goes to another node after a second without an answer.
constexpr int heartbeatsUntilExpiry = 4;

MembershipServiceSettings membershipSettings(const Settings &settings, const Cluster::Self &self)
{
    MembershipServiceSettings chosen;
    chosen.gossip.cluster = settings.clusterName;
    chosen.gossip.self = settings.vm;
    chosen.gossip.incarnation = self.incarnation;
    chosen.gossip.description.caller = settings.entry.listen;
    chosen.gossip.description.control = settings.controlListen.value_or(state::Address{});
    chosen.gossip.description.gossip = *settings.gossipListen;
    chosen.gossip.description.relay = settings.relay.listen.value_or(state::Address{});
    chosen.gossip.description.controlIdentity = self.controlIdentity;
    chosen.gossip.description.failureDomain = settings.failureDomain;
    chosen.gossip.description.region = settings.region;
    chosen.gossip.seeds = settings.seeds;
    chosen.gossip.failureDetector.probeInterval = settings.gossip.probeInterval;
    chosen.gossip.failureDetector.suspicionFactor = settings.gossip.suspicionProbes;
    chosen.gossip.bytesPerSecond = settings.gossip.bytesPerSecond;
    chosen.gossip.randomSeed = XXH3_64bits(settings.vm.value().data(), settings.vm.value().size())
                               ^ chosen.gossip.incarnation;
    chosen.keys = settings.keys;
    chosen.listen = *settings.gossipListen;
    chosen.endpointLifecycle.renewAfter = settings.endpoint.renewInterval;
    chosen.endpointLifecycle.expiresAfter = settings.endpoint.expireAfter;
    if (settings.relay.listen || settings.relay.operatorListen) {
        chosen.endpointLifecycle.renewAfter = settings.relay.heartbeatInterval;
        chosen.endpointLifecycle.expiresAfter =
                settings.relay.heartbeatInterval * heartbeatsUntilExpiry;
    }
    return chosen;
}

void logEndOfWork(const membership_::EndOfWorkReport &end)
{
    logEvent(LogLevel::Info, "endpoint.end-heard",
             {{"endpoint", end.endpoint.value()},
              {"incarnation", end.incarnation},
              {"peer", end.sender.value()},
              {"via", end.kind == membership_::GossipKind::Records ? "exchange" : "gossip"}});
}

void logLeave(const LeaveOutcome &leave)
{
    const bool expected = leave.knownToAll && leave.stored;
    logEvent(expected ? LogLevel::Info : LogLevel::Warning,
             leave.stored ? "endpoint.leave-acknowledged" : "endpoint.leave-refused",
             {{"endpoint", leave.endpoint.value()},
              {"known_to_all", leave.knownToAll ? "yes" : "no"},
              {"took_us", std::int64_t(leave.took.count())}});
}

// An address may be reused by another endpoint once the previous one is gone. Only the endpoint
// that started last can be at the address, but updates about the previous one may still arrive.
void removeReplacedEndpoints(EndpointTable &table)
{
    std::map<state::Address, std::uint64_t> newest;
    for (const auto &[id, endpoint] : table.endpoints) {
        std::uint64_t &incarnation = newest[endpoint.description.address];
        incarnation = std::max(incarnation, endpoint.description.incarnation);
    }
    std::erase_if(table.endpoints, [&](const auto &each) {
        const state::EndpointDescription &description = each.second.description;
        return description.incarnation < newest[description.address];
    });
}

} // namespace

Cluster::Cluster(const Settings &settings, asio::io_context &context,
                 std::shared_ptr<EndpointRegistry> registry, Hooks hooks,
                 coordination::directory::Directory directory)
    : settings(settings)
    , registry(std::move(registry))
    , hooks(std::move(hooks))
    , entryDirectory(directory)
    , strand(asio::make_strand(context))
    , flushTimer(this->strand)
    , random(XXH3_64bits(settings.vm.value().data(), settings.vm.value().size()))
{}

state::Result<std::shared_ptr<Cluster>> Cluster::create(const Settings &settings,
                                                        asio::io_context &context,
                                                        std::shared_ptr<EndpointRegistry> registry,
                                                        const Self &self, Hooks hooks)
{
    coordination::directory::DirectorySettings directorySettings;
    directorySettings.timeToLive = settings.entry.directoryTtl;
    BOOST_OUTCOME_TRY(coordination::directory::Directory directory,
                      coordination::directory::Directory::create(directorySettings));
    std::shared_ptr<Cluster> cluster(
            new Cluster(settings, context, std::move(registry), std::move(hooks), directory));
    if (settings.gossipListen) {
        BOOST_OUTCOME_TRY(cluster->join(context, self));
    }
    return cluster;
}

state::Result<void> Cluster::join(asio::io_context &context, const Self &self)
{
    // The hooks may use `this`: Node keeps this object and the service until all threads have
    // ended.
    MembershipService::Hooks serviceHooks;
    serviceHooks.changed = [this](const MembershipView &view) { this->viewChanged(view); };
    serviceHooks.loadArrived = this->hooks.loadArrived;
    serviceHooks.superseded = this->hooks.superseded;
    serviceHooks.endOfWorkReported = logEndOfWork;
    serviceHooks.leaveAcknowledged = logLeave;
    serviceHooks.refused = [](const state::Error &error) { logError("gossip.refused", error); };
    MembershipServiceSettings chosen = membershipSettings(this->settings, self);
    if (this->settings.controlListen) {
        chosen.deregistrations = this->openDeregistrations();
        serviceHooks.store = [this](const std::vector<state::Deregistration> &left) {
            this->deregistrations->submit(left);
        };
    }
    BOOST_OUTCOME_TRY(this->membership, MembershipService::create(std::move(chosen), context,
                                                                  std::move(serviceHooks)));
    // UDP on the port of the entry's listener: peers know it without another setting.
    BOOST_OUTCOME_TRY(this->newsSocket,
                      transport::GossipSocket::create(
                              this->strand, this->settings.entry.listen,
                              [this](std::string_view datagram, const state::Address &) {
                                  this->handlePeerUpdates(datagram);
                              },
                              transport::DatagramPace{this->settings.linkMbps * bytesPerMegabit
                                                              * newsLinkShare,
                                                      newsBurstBytes}));
    return state::outcome::success();
}

std::vector<state::Deregistration> Cluster::openDeregistrations()
{
    transport::storage::DeregistrationFileSettings fileSettings;
    fileSettings.folder = this->settings.dataFolder;
    auto opened =
            transport::storage::DeregistrationFile::open(std::move(fileSettings), monotonicNow());
    if (opened.problem)
        logError("deregistrations.unreadable", *opened.problem);
    logEvent(LogLevel::Info, "deregistrations.recovered",
             {{"endpoints", std::uint64_t(opened.recovered.size())}});
    transport::storage::DeregistrationWriter::Hooks writerHooks;
    writerHooks.stored = [this](std::vector<state::Deregistration> stored) {
        this->membership->deregistrationsStored(std::move(stored));
    };
    writerHooks.failed = [](const state::Error &error) {
        logError("deregistrations.store-failed", error);
    };
    this->deregistrations = std::make_unique<transport::storage::DeregistrationWriter>(
            std::move(opened.file), std::move(writerHooks));
    return std::move(opened.recovered);
}

void Cluster::start()
{
    if (!this->membership)
        return;
    this->membership->start();
    asio::post(this->strand, [self = this->shared_from_this()] { self->newsSocket->start(); });
}

void Cluster::stop()
{
    if (!this->membership)
        return;
    this->membership->stop();
    asio::post(this->strand, [self = this->shared_from_this()] { self->newsSocket->close(); });
}

void Cluster::setSelf(const membership_::SelfState &self)
{
    if (this->membership)
        this->membership->setSelf(self);
}

DirectoryAnswer Cluster::directory(const state::ClientAccountId &account) const
{
    if (!this->membership)
        return {{this->settings.entry.listen}, this->settings.entry.directoryTtl};
    const auto view = this->membership->view();
    coordination::directory::DirectoryRequest request;
    request.account = account;
    request.callerFailureDomain = this->settings.failureDomain;
    request.requiredTableVersion = view->requiredTableVersion;
    const auto answer = this->entryDirectory.answer(request, *view->members);
    return {answer.addresses, std::chrono::ceil<std::chrono::milliseconds>(answer.timeToLive)};
}

asio::awaitable<state::Result<AnnounceAnswer>>
Cluster::announce(state::EndpointDescription endpoint, std::optional<state::Duration> coldLeft)
{
    if (!this->membership) {
        const auto accepted = this->registry->announce(endpoint, monotonicNow(), coldLeft);
        if (!accepted)
            co_return accepted.error();
        this->hooks.endpointsChanged();
        AnnounceAnswer alone{this->settings.endpoint.renewInterval,
                             this->settings.endpoint.expireAfter, this->settings.entry.listen};
        co_return alone;
    }
    std::function<void(MembershipService::AnnounceHandler)> start =
            [service = this->membership, endpoint,
             coldLeft](MembershipService::AnnounceHandler done) {
                service->announce(endpoint, std::move(done), coldLeft);
            };
    co_return co_await transport::awaitCallback<state::Result<AnnounceAnswer>>(std::move(start));
}

asio::awaitable<state::Result<void>> Cluster::drain(state::EndpointDescription endpoint)
{
    using Done = MembershipService::LeaveHandler;
    if (!this->membership)
        co_return state::makeError(state::ErrorCode::Unavailable, "endpoint.drain",
                                   "this node stands alone");
    std::function<void(Done)> start = [service = this->membership, endpoint](Done done) {
        service->drain(endpoint, std::move(done));
    };
    co_return co_await transport::awaitCallback<state::Result<void>>(std::move(start));
}

void Cluster::endpointLeaves(const state::EndpointDescription &endpoint)
{
    if (this->membership)
        this->membership->drain(endpoint);
    else if (this->registry->setDraining(endpoint.id, true))
        this->hooks.endpointsChanged();
}

asio::awaitable<state::Result<void>> Cluster::withdraw(state::EndpointId endpoint,
                                                       std::optional<std::uint64_t> incarnation)
{
    using Done = MembershipService::LeaveHandler;
    if (!this->membership) {
        if (incarnation && this->registry->leave(endpoint, *incarnation))
            this->hooks.endpointsChanged();
        co_return state::outcome::success();
    }
    std::function<void(Done)> start = [service = this->membership, endpoint,
                                       incarnation](Done done) {
        service->leave(endpoint, incarnation, std::move(done));
    };
    co_return co_await transport::awaitCallback<state::Result<void>>(std::move(start));
}

std::vector<state::Address> Cluster::relays(const state::FailureDomain &callers) const
{
    if (!this->membership)
        return {*this->settings.relay.listen};
    return coordination::directory::relayAddresses(*this->membership->view()->members, callers);
}

coordination::routing::RelayPeers Cluster::relayPeers() const
{
    if (!this->membership)
        return {};
    return coordination::directory::relayPeers(*this->membership->view()->members,
                                               this->settings.vm);
}

std::vector<ControlMemberAddress> Cluster::controlMembers() const
{
    std::vector<ControlMemberAddress> found;
    if (this->membership) {
        for (const auto &[id, member] : this->membership->view()->members->entries()) {
            const auto &description = member.record.description;
            if (description != nullptr && description->control.port != 0 && member.record.isLive())
                found.push_back({description->control, description->caller});
        }
    }
    // None is known yet, or all are considered dead: use the members from the settings.
    if (found.empty()) {
        for (const ControlMemberSetting &member : this->settings.controlMembers)
            found.push_back({member.address, member.entry});
    }
    return found;
}

std::vector<coordination::consensus::MemberCandidate> Cluster::controlCandidates() const
{
    std::vector<coordination::consensus::MemberCandidate> found;
    if (!this->membership)
        return found;
    for (const auto &[id, member] : this->membership->view()->members->entries()) {
        const auto &description = member.record.description;
        if (description != nullptr && !description->controlIdentity.empty()
            && member.record.isLive())
            found.push_back({description->controlIdentity, description->control});
    }
    return found;
}

bool Cluster::hasEnded(const state::VmId &entry, std::uint64_t incarnation) const
{
    if (!this->membership)
        return false;
    const auto *member = this->membership->view()->members->find(entry);
    if (member == nullptr)
        return false;
    const std::uint64_t running = member->record.incarnation;
    return running > incarnation || (running == incarnation && !member->record.isLive());
}

std::optional<bool> Cluster::knowsFailureDomain(const state::FailureDomain &failureDomain) const
{
    if (failureDomain == this->settings.failureDomain)
        return true;
    if (!this->membership) {
        const auto table = this->registry->table();
        return std::ranges::any_of(table->endpoints, [&](const auto &each) {
            return each.second.description.failureDomain == failureDomain;
        });
    }
    const auto view = this->membership->view();
    for (const auto &[id, member] : view->members->entries()) {
        if (member.record.description && member.record.description->failureDomain == failureDomain)
            return true;
    }
    for (const EndpointState &endpoint : view->endpoints->endpoints) {
        const auto &description = endpoint.record.description;
        if (description && description->failureDomain == failureDomain)
            return true;
    }
    return view->synced ? std::optional(false) : std::nullopt;
}

void Cluster::setEvacuated(std::set<state::FailureDomain> failureDomains)
{
    if (this->registry->setEvacuated(std::move(failureDomains), monotonicNow()))
        this->hooks.endpointsChanged();
}

void Cluster::reportLoad(const state::LoadReport &report)
{
    if (this->membership)
        this->membership->reportLoad(report);
}

void Cluster::markDrain(const state::EndpointId &endpoint, state::log::LogPosition position,
                        bool draining)
{
    if (this->membership)
        this->membership->markDrain(endpoint, {position, draining});
    else if (this->registry->setDraining(endpoint, draining))
        this->hooks.endpointsChanged();
}

// Logs one line for each endpoint whose state in this process's view has changed.
void Cluster::logEndpointChanges(const EndpointsView &endpoints)
{
    for (const EndpointState &endpoint : endpoints.endpoints) {
        const coordination::endpoints::EndpointRecord &record = endpoint.record;
        const LoggedState observed{record.incarnation, record.phase, record.drain.draining};
        LoggedState &logged = this->loggedStates[record.id];
        if (logged == observed)
            continue;
        logged = observed;
        logEvent(LogLevel::Info, "endpoint.believed",
                 {{"endpoint", record.id.value()},
                  {"incarnation", record.incarnation},
                  {"version", std::uint64_t(record.version)},
                  {"phase", toString(record.phase)},
                  {"drained", record.drain.draining ? "yes" : "no"},
                  {"home", record.home.value()}});
    }
    const auto removed = [&](const auto &each) { return endpoints.find(each.first) == nullptr; };
    std::erase_if(this->loggedStates, removed);
}

void Cluster::viewChanged(const MembershipView &view)
{
    const auto peers = coordination::directory::workPeers(*view.members, this->settings.vm);
    for (const state::VmId &peer : this->peerArrivals.update(peers))
        this->hooks.peerJoined(peer);
    if (this->settings.relay.placesRequests()) {
        auto entries = coordination::directory::relayEntries(*view.members, view.synced);
        if (entries != this->relayEntries) {
            this->relayEntries = entries;
            this->hooks.entriesChanged(std::move(entries));
        }
    }
    if (view.endpoints == this->appliedEndpoints)
        return;
    this->appliedEndpoints = view.endpoints;
    this->logEndpointChanges(*view.endpoints);
    if (!this->settings.relay.placesRequests())
        return; // nobody reads the table, and its copies cost time in proportion to the endpoints
    EndpointTable table;
    for (const EndpointState &endpoint : view.endpoints->endpoints) {
        using coordination::endpoints::EndpointPhase;
        const auto &record = endpoint.record;
        const bool left = record.phase == EndpointPhase::Left;
        const bool expired = record.phase == EndpointPhase::Expired;
        // A relay keeps endpoints that left or expired and monitors them itself: one that leaves
        // still finishes the work it runs, and one whose announcements stopped may only have lost
        // its connection to the nodes that accept them.
        if (record.description == nullptr || ((left || expired) && !this->settings.relay.listen))
            continue;
        const bool draining = left || (!expired && !record.isUsable());
        RegisteredEndpoint known{*record.description, draining, expired};
        known.coldUntil = endpoint.coldUntil;
        table.endpoints[record.id] = std::move(known);
    }
    removeReplacedEndpoints(table);
    if (this->registry->assign(std::move(table), monotonicNow()))
        this->hooks.endpointsChanged();
}

void Cluster::share(protocol::PeerUpdate news)
{
    if (!this->membership)
        return;
    asio::post(this->strand, [self = this->shared_from_this(), news = std::move(news)]() mutable {
        // News beyond the limit are dropped: they would arrive late, and load reports correct the
        // peers' view.
        if (self->pendingNews.size() < newsQueueLimit)
            self->pendingNews.push_back(std::move(news));
        self->scheduleFlush();
    });
}

void Cluster::shareWith(const state::VmId &peer, protocol::PeerUpdate news)
{
    if (!this->membership)
        return;
    asio::post(this->strand,
               [self = this->shared_from_this(), peer, news = std::move(news)]() mutable {
                   auto &pending = self->pendingNewsOfPeer[peer];
                   if (pending.size() < newsQueueLimit)
                       pending.push_back(std::move(news));
                   self->scheduleFlush();
               });
}

void Cluster::shareWithSome(std::vector<protocol::PeerUpdate> news)
{
    if (!this->membership)
        return;
    asio::post(this->strand, [self = this->shared_from_this(), news = std::move(news)] {
        const auto datagrams = protocol::sealPeerUpdates(self->settings.keys, news);
        const auto view = self->membership->view();
        for (const auto *member :
             view->members->randomLive(randomReceivers, self->settings.vm, {}, self->random)) {
            if (member->record.description != nullptr)
                self->sendNews(member->record.description->caller, datagrams);
        }
    });
}

void Cluster::scheduleFlush()
{
    if (this->flushArmed)
        return;
    this->flushArmed = true;
    this->flushTimer.expires_after(newsBatchTime);
    this->flushTimer.async_wait([self = this->shared_from_this()](const auto &problem) {
        self->flushArmed = false;
        if (!problem)
            self->flush();
    });
}

void Cluster::flush()
{
    const auto datagrams =
            protocol::sealPeerUpdates(this->settings.keys, std::exchange(this->pendingNews, {}));
    const auto newsOfPeer = std::exchange(this->pendingNewsOfPeer, {});
    const auto view = this->membership->view();
    for (const auto *peer : coordination::directory::workPeers(*view->members, this->settings.vm)) {
        const auto own = newsOfPeer.find(peer->id);
        if (own != newsOfPeer.end())
            this->sendNews(peer->description->caller,
                           protocol::sealPeerUpdates(this->settings.keys, own->second));
        this->sendNews(peer->description->caller, datagrams);
    }
    this->logLostNews();
}

void Cluster::sendNews(const state::Address &to, const std::vector<std::string> &datagrams)
{
    for (const std::string &datagram : datagrams)
        this->newsSocket->send(to, datagram);
}

void Cluster::logLostNews()
{
    const std::uint64_t lost = this->newsLost();
    const state::Instant now = monotonicNow();
    if (lost == this->loggedLostUpdates || now < this->lostNewsLoggedAt + newsLossLogInterval)
        return;
    this->loggedLostUpdates = lost;
    this->lostNewsLoggedAt = now;
    const transport::DatagramQueue &outgoing = this->newsSocket->outgoing();
    logEvent(LogLevel::Warning, "news.lost",
             {{"dropped", outgoing.dropped()}, {"refused", outgoing.refused()}});
}

std::size_t Cluster::endpointsKnown() const
{
    return this->membership ? this->membership->view()->endpoints->endpoints.size()
                            : this->registry->table()->endpoints.size();
}

std::uint64_t Cluster::newsLost() const
{
    if (!this->newsSocket)
        return 0;
    return this->newsSocket->outgoing().dropped() + this->newsSocket->outgoing().refused();
}

void Cluster::handlePeerUpdates(std::string_view datagram)
{
    const auto news = protocol::unsealPeerUpdates(this->settings.keys, datagram);
    if (!news) {
        logError("news.refused", news.error());
        return;
    }
    for (const protocol::PeerUpdate &each : news.value())
        this->hooks.newsArrived(each);
}

} // namespace lavenderthread::program
