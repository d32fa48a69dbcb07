// Timers, datagrams and calls from other threads are all handled on one strand.
#include "program/MembershipService.h"

#include "program/Clock.h"
#include "protocol/GossipMessages.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace lavenderthread::program {

namespace asio = boost::asio;
using coordination::endpoints::EndpointContext;
using coordination::endpoints::EndpointLifecycle;
using coordination::endpoints::EndpointRecord;
using coordination::membership::GossipActions;
using coordination::membership::Membership;
using coordination::membership::MemberTable;
using coordination::ownership::OwnerRing;

namespace {

// Must stay below the second or so that an endpoint waits before it tries another member.
constexpr state::Duration acknowledgementTimeout = std::chrono::milliseconds(500);

// A publication copies all endpoints. While they change one by one, after a start or in a release,
// these bounds keep it from using up a small VM's share of a core.
constexpr state::Duration shortestViewInterval = std::chrono::milliseconds(20);
constexpr state::Duration viewIntervalPerEndpoint = std::chrono::microseconds(100);

} // namespace

state::Result<std::shared_ptr<MembershipService>>
MembershipService::create(MembershipServiceSettings settings, asio::io_context &context,
                          Hooks hooks)
{
    const Strand strand(context.get_executor());
    if (settings.keys.keys.empty())
        return state::makeError(state::ErrorCode::InvalidArgument, "membership.create",
                                "at least one gossip key is required");
    // The socket is bound first, since its port is part of the member's description.
    const auto target = std::make_shared<std::weak_ptr<MembershipService>>();
    BOOST_OUTCOME_TRY(auto socket,
                      transport::GossipSocket::create(
                              strand, settings.listen,
                              [target](std::string_view datagram, const state::Address &from) {
                                  if (const auto service = target->lock())
                                      service->handleDatagram(datagram, from);
                              }));
    if (settings.gossip.description.gossip.port == 0)
        settings.gossip.description.gossip.port = socket->address().port;
    settings.gossip.storesDeregistrations = hooks.store != nullptr;
    const state::Instant now = monotonicNow();
    BOOST_OUTCOME_TRY(auto membership, Membership::create(settings.gossip, now));
    membership.restore(std::exchange(settings.deregistrations, {}), now);
    BOOST_OUTCOME_TRY(auto initialLifecycle, EndpointLifecycle::create(settings.endpointLifecycle,
                                                                       settings.gossip.self, now));
    std::shared_ptr<MembershipService> created(
            new MembershipService(std::move(settings), strand, std::move(hooks),
                                  std::move(membership), std::move(initialLifecycle)));
    created->socket = std::move(socket);
    created->publishView(now);
    *target = created;
    return created;
}

MembershipService::MembershipService(MembershipServiceSettings chosen, Strand onStrand,
                                     Hooks chosenHooks, Membership initialMembership,
                                     EndpointLifecycle initialLifecycle)
    : settings(std::move(chosen))
    , strand(std::move(onStrand))
    , hooks(std::move(chosenHooks))
    , membership(std::move(initialMembership))
    , endpointLifecycle(std::move(initialLifecycle))
    , timer(this->strand)
    , viewTimer(this->strand)
{}

void MembershipService::start()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        self->running = true;
        self->socket->start();
        self->tick();
    });
}

void MembershipService::stop()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        self->running = false;
        self->timer.cancel();
        self->viewTimer.cancel();
        self->socket->close();
    });
}

void MembershipService::setSelf(const coordination::membership::SelfState &next)
{
    asio::post(this->strand, [self = this->shared_from_this(), next] {
        const state::Instant now = monotonicNow();
        self->recordTableVersion(next.tableVersion, now);
        self->perform(self->membership.setSelf(next, now));
        self->publishSoon(now);
    });
}

void MembershipService::announce(const state::EndpointDescription &endpoint, AnnounceHandler done,
                                 std::optional<state::Duration> coldLeft)
{
    asio::post(this->strand,
               [self = this->shared_from_this(), endpoint, done = std::move(done), coldLeft] {
                   const state::Instant now = monotonicNow();
                   auto record = self->endpointLifecycle.announce(endpoint, self->endpointContext(),
                                                                  now, coldLeft);
                   if (record && record.value()) {
                       self->publishRecord(*record.value(), now);
                       self->publishSoon(now);
                   }
                   if (!done)
                       return;
                   if (record)
                       done(self->answerFor(endpoint));
                   else
                       done(record.error());
               });
}

void MembershipService::leave(const state::EndpointId &endpoint,
                              std::optional<std::uint64_t> incarnation, LeaveHandler done)
{
    asio::post(this->strand,
               [self = this->shared_from_this(), endpoint, incarnation, done = std::move(done)] {
                   const state::Instant now = monotonicNow();
                   const state::Result<void> left = self->leaveNow(endpoint, incarnation, now);
                   self->acknowledgeLeave(endpoint, left, done, now);
               });
}

void MembershipService::drain(const state::EndpointDescription &endpoint, LeaveHandler done)
{
    asio::post(this->strand, [self = this->shared_from_this(), endpoint, done = std::move(done)] {
        const state::Instant now = monotonicNow();
        // Announced first, so that the others learn that this incarnation leaves, and not an
        // earlier one. If it has already left, the announcement changes nothing.
        const auto record =
                self->endpointLifecycle.announce(endpoint, self->endpointContext(), now);
        if (record && record.value())
            self->publishRecord(*record.value(), now);
        const state::Result<void> left = self->leaveNow(endpoint.id, endpoint.incarnation, now);
        self->acknowledgeLeave(endpoint.id, left, done, now);
    });
}

// Answers at once if nothing is outstanding. Otherwise answers when the deregistration is settled,
// or after a timeout: by then all reachable members know of it, and the endpoint has not yet tried
// another member.
void MembershipService::acknowledgeLeave(const state::EndpointId &endpoint,
                                         const state::Result<void> &left, const LeaveHandler &done,
                                         state::Instant now)
{
    if (!done)
        return;
    if (!left || this->isSettled(endpoint))
        done(left);
    else
        this->pendingLeaves.push_back({endpoint, now, done});
}

// Whether all live members have confirmed that the endpoint has left, and it is durable here.
bool MembershipService::isSettled(const state::EndpointId &endpoint) const
{
    return this->membership.isDeregisteredEverywhere(endpoint)
           && this->membership.isDeregistrationStored(endpoint);
}

void MembershipService::completePendingLeaves(state::Instant now)
{
    const auto waits = [&](const PendingLeave &each) {
        return now - each.since < acknowledgementTimeout && !this->isSettled(each.endpoint);
    };
    const auto answered =
            std::stable_partition(this->pendingLeaves.begin(), this->pendingLeaves.end(), waits);
    const std::vector<PendingLeave> due(answered, this->pendingLeaves.end());
    this->pendingLeaves.erase(answered, this->pendingLeaves.end());
    for (const PendingLeave &each : due) {
        const bool stored = this->membership.isDeregistrationStored(each.endpoint);
        if (this->hooks.leaveAcknowledged)
            this->hooks.leaveAcknowledged({each.endpoint, now - each.since,
                                           this->membership.isDeregisteredEverywhere(each.endpoint),
                                           stored});
        // After a kill of all processes, nobody would know of it.
        if (stored)
            each.done(state::outcome::success());
        else
            each.done(state::makeError(state::ErrorCode::Unavailable, "endpoint.leave",
                                       "not stored in time", each.endpoint.value()));
    }
}

state::Result<void> MembershipService::leaveNow(const state::EndpointId &endpoint,
                                                std::optional<std::uint64_t> incarnation,
                                                state::Instant now)
{
    const auto *known = this->membership.endpointTable().find(endpoint);
    if (!incarnation && known != nullptr)
        incarnation = known->record.incarnation;
    const auto record = this->endpointLifecycle.leave(endpoint, incarnation.value_or(0),
                                                      this->endpointContext());
    if (!record)
        return record.error();
    if (record.value()) {
        this->publishRecord(*record.value(), now);
        this->publishSoon(now);
    } else {
        this->membership.handleRepeatedDeregistration(endpoint, now);
    }
    return state::outcome::success();
}

void MembershipService::deregistrationsStored(std::vector<state::Deregistration> deregistrations)
{
    asio::post(this->strand,
               [self = this->shared_from_this(), deregistrations = std::move(deregistrations)] {
                   self->membership.recordStored(deregistrations);
                   self->completePendingLeaves(monotonicNow());
               });
}

void MembershipService::reportLoad(const state::LoadReport &report)
{
    asio::post(this->strand, [self = this->shared_from_this(), report] {
        if (self->endpointLifecycle.isAnnouncedHere(report.endpoint, report.incarnation))
            self->pendingLoadReports[report.endpoint] = report;
    });
}

void MembershipService::markDrain(const state::EndpointId &endpoint,
                                  const coordination::endpoints::DrainMark &mark)
{
    asio::post(this->strand, [self = this->shared_from_this(), endpoint, mark] {
        const state::Instant now = monotonicNow();
        EndpointRecord record{endpoint};
        record.drain = mark;
        self->publishRecord(record, now);
        self->publishSoon(now);
    });
}

void MembershipService::handleDatagram(std::string_view datagram, const state::Address &from)
{
    const auto message = protocol::unsealGossip(this->settings.keys, datagram);
    if (!message) {
        if (this->hooks.refused)
            this->hooks.refused(message.error().withPeer(from.toString()));
        return;
    }
    const state::Instant now = monotonicNow();
    const GossipActions actions = this->membership.receive(message.value(), from, now);
    this->perform(actions);
    this->completePendingLeaves(now);
    if (this->hooks.endOfWorkReported) {
        for (const coordination::membership::EndOfWorkReport &end : actions.endOfWorkReports)
            this->hooks.endOfWorkReported(end);
    }
    if (this->hooks.loadArrived) {
        for (const state::LoadReport &load : actions.loads)
            this->hooks.loadArrived(load);
    }
}

void MembershipService::scheduleTick()
{
    this->timer.expires_after(Membership::tickInterval);
    this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code code) {
        if (!code && self->running)
            self->tick();
    });
}

void MembershipService::tick()
{
    constexpr state::Duration second = std::chrono::seconds(1);
    const state::Instant now = monotonicNow();
    this->perform(this->membership.tick(now));
    this->completePendingLeaves(now);
    if (now >= this->nextEndpointTick) {
        this->nextEndpointTick = now + second;
        this->tickEndpoints(now);
        this->membersDirty = true; // statuses also change without gossip updates
    }
    if (now >= this->nextLoadReports) {
        this->nextLoadReports = now + this->settings.loadInterval;
        this->sendLoads(now);
    }
    this->publishSoon(now);
    if (this->membership.isSuperseded() && !this->supersededReported) {
        this->supersededReported = true;
        if (this->hooks.superseded)
            this->hooks.superseded();
    }
    this->scheduleTick();
}

void MembershipService::tickEndpoints(state::Instant now)
{
    for (const EndpointRecord &record : this->endpointLifecycle.tick(this->endpointContext(), now))
        this->publishRecord(record, now);
}

void MembershipService::sendLoads(state::Instant now)
{
    std::vector<state::LoadReport> loads;
    for (const auto &[id, report] : this->pendingLoadReports)
        loads.push_back(report);
    this->pendingLoadReports.clear();
    const std::size_t replicas = this->endpointsView->endpoints.size();
    this->perform(this->membership.sendLoads(
            loads, this->ring->watchersOf(this->membership.self(), replicas), now));
}

void MembershipService::perform(const GossipActions &actions)
{
    this->membersDirty |= actions.membersChanged;
    this->endpointsDirty |= actions.endpointsChanged;
    if (!actions.deregistrations.empty())
        this->hooks.store(actions.deregistrations);
    for (const coordination::membership::GossipSend &send : actions.sends) {
        const auto datagram = protocol::sealGossip(this->settings.keys, send.message);
        if (datagram)
            this->socket->send(send.to, datagram.value());
    }
}

void MembershipService::publishRecord(const EndpointRecord &record, state::Instant now)
{
    this->perform(this->membership.publish(record, now));
}

state::Duration MembershipService::viewInterval() const
{
    const auto endpoints = std::int64_t(this->membership.endpointTable().entries().size());
    return std::max(shortestViewInterval, viewIntervalPerEndpoint * endpoints);
}

void MembershipService::publishSoon(state::Instant now)
{
    if (this->viewDue)
        return;
    const state::Instant due = this->viewPublishedAt + this->viewInterval();
    if (now >= due) {
        this->publishView(now);
        return;
    }
    this->viewDue = true;
    this->viewTimer.expires_after(due - now);
    this->viewTimer.async_wait([self = this->shared_from_this()](boost::system::error_code code) {
        self->viewDue = false;
        if (!code)
            self->publishView(monotonicNow());
    });
}

void MembershipService::publishView(state::Instant now)
{
    const bool isolated = this->membership.isIsolated(now);
    if (!this->membersDirty && !this->endpointsDirty && isolated == this->wasIsolated
        && this->membership.isSynced() == this->wasSynced)
        return;
    MembershipView next;
    if (this->membersDirty || !this->ring) {
        const OwnerRing current = OwnerRing::fromMembers(this->membership.members());
        if (!this->ring || !(current == *this->ring)) {
            this->ring = std::make_shared<const OwnerRing>(current);
            this->endpointsDirty = true; // owners may have changed
        }
    }
    if (this->endpointsDirty)
        this->endpointsView = std::make_shared<const EndpointsView>(EndpointsView::fromTable(
                this->membership.endpointTable(), this->ring, this->endpointsView.get()));
    next.members = std::make_shared<const MemberTable>(this->membership.members());
    next.ring = this->ring;
    next.endpoints = this->endpointsView;
    next.synced = this->wasSynced = this->membership.isSynced();
    next.isolated = this->wasIsolated = isolated;
    next.superseded = this->membership.isSuperseded();
    while (this->tableVersions.size() > 1
           && now - this->tableVersions[1].since >= this->settings.tableSpreadTime)
        this->tableVersions.pop_front();
    if (!this->tableVersions.empty()
        && now - this->tableVersions.front().since >= this->settings.tableSpreadTime)
        next.requiredTableVersion = this->tableVersions.front().version;
    this->membersDirty = false;
    this->endpointsDirty = false;
    this->viewPublishedAt = now;
    this->published.publish(next);
    if (this->hooks.changed)
        this->hooks.changed(next);
}

void MembershipService::recordTableVersion(std::uint64_t version, state::Instant now)
{
    if (this->tableVersions.empty() || version > this->tableVersions.back().version)
        this->tableVersions.push_back({version, now});
}

AnnounceAnswer MembershipService::answerFor(const state::EndpointDescription &endpoint) const
{
    AnnounceAnswer answer{this->settings.endpointLifecycle.renewAfter,
                          this->settings.endpointLifecycle.expiresAfter,
                          {}};
    const state::VmId owner = this->ring->endpointOwner(endpoint.id, endpoint.failureDomain);
    if (const auto *entry = this->membership.members().find(owner))
        answer.owner = entry->record.description->caller;
    return answer;
}

EndpointContext MembershipService::endpointContext() const
{
    return {this->membership.endpointTable(), this->membership.members(), *this->ring};
}

} // namespace lavenderthread::program
