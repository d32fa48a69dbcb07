// Runs gossip membership and the endpoint lifecycle on one strand, and publishes their state for
// the request path.
#pragma once

#include "coordination/endpoints/EndpointLifecycle.h"
#include "coordination/membership/Membership.h"
#include "program/MembershipView.h"
#include "protocol/Seal.h"
#include "state/Snapshot.h"
#include "transport/GossipSocket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace lavenderthread::program {

struct MembershipServiceSettings
{
    coordination::membership::MembershipSettings gossip;
    protocol::SealKeys keys;
    // If the port of the gossip address in the description is 0, the bound port is announced.
    state::Address listen;
    coordination::endpoints::EndpointLifecycleSettings endpointLifecycle;
    // Stored before the start of this process.
    std::vector<state::Deregistration> deregistrations;
    state::Duration loadInterval = std::chrono::seconds(3);
    // The longest time until every member has confirmed a table and its status has arrived.
    state::Duration tableSpreadTime = std::chrono::seconds(30);
};

// The answer to an endpoint's announcement.
struct AnnounceAnswer
{
    state::Duration renewAfter{};
    state::Duration expiresAfter{};
    state::Address owner; // caller address of the endpoint's owner; port 0 if no entry serves yet

    bool operator==(const AnnounceAnswer &) const = default;
};

// How a deregistration was acknowledged.
struct LeaveOutcome
{
    state::EndpointId endpoint;
    state::Duration took{};
    bool knownToAll = false; // false: answered before all live members had confirmed it
    bool stored = true;      // false: refused, since it was not durable here in time
};

class MembershipService : public std::enable_shared_from_this<MembershipService>
{
public:
    // Called on the strand; must not block. Each of them may be empty.
    struct Hooks
    {
        std::function<void(const MembershipView &)> changed; // after a view was published
        // Of endpoints announced elsewhere.
        std::function<void(const state::LoadReport &)> loadArrived;
        std::function<void(const coordination::membership::EndOfWorkReport &)> endOfWorkReported;
        std::function<void(const LeaveOutcome &)> leaveAcknowledged;
        // Stores deregistrations durably; answered by deregistrationsStored(). If it is empty,
        // they are kept in memory only.
        std::function<void(const std::vector<state::Deregistration> &)> store;
        std::function<void()> superseded; // the process must stop; called once
        // A datagram was refused; `peer` is its sender.
        std::function<void(const state::Error &)> refused;
    };
    using AnnounceHandler = std::function<void(state::Result<AnnounceAnswer>)>;

    // Binds the socket. Errors: Unavailable, step "gossip.bind"; InvalidArgument.
    static state::Result<std::shared_ptr<MembershipService>>
    create(MembershipServiceSettings settings, boost::asio::io_context &context, Hooks hooks);

    // All of these may be called from any thread.
    void start();
    void stop(); // closes the socket; only hooks that are already queued are still called
    void setSelf(const coordination::membership::SelfState &self);
    // `done` is called on the strand. Errors as EndpointLifecycle::announce.
    void announce(const state::EndpointDescription &endpoint, AnnounceHandler done = {},
                  std::optional<state::Duration> coldLeft = {});
    using LeaveHandler = std::function<void(state::Result<void>)>;
    // Without an incarnation, the known one leaves. `done` is called on the strand when it is
    // durable here and all live members have confirmed it, or after a time limit. Errors as
    // EndpointLifecycle::leave, and Unavailable if it is not durable by then.
    void leave(const state::EndpointId &endpoint, std::optional<std::uint64_t> incarnation,
               LeaveHandler done = {});
    // Takes a leave notice of an endpoint, also of one that is not known here yet.
    void drain(const state::EndpointDescription &endpoint, LeaveHandler done = {});
    void deregistrationsStored(std::vector<state::Deregistration> deregistrations);
    // Load of an endpoint announced here; forwarded to the entries that watch it.
    void reportLoad(const state::LoadReport &report);
    // A committed drain or undrain, with its position in the replicated log. May be repeated.
    void markDrain(const state::EndpointId &endpoint,
                   const coordination::endpoints::DrainMark &mark);

    state::SnapshotView<MembershipView> view() const { return this->published.read(); }
    state::Address address() const { return this->socket->address(); }

private:
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    MembershipService(MembershipServiceSettings chosen, Strand onStrand, Hooks chosenHooks,
                      coordination::membership::Membership initialMembership,
                      coordination::endpoints::EndpointLifecycle initialLifecycle);

    void handleDatagram(std::string_view datagram, const state::Address &from);
    void scheduleTick();
    void tick();
    void acknowledgeLeave(const state::EndpointId &endpoint, const state::Result<void> &left,
                          const LeaveHandler &done, state::Instant now);
    void completePendingLeaves(state::Instant now);
    bool isSettled(const state::EndpointId &endpoint) const;
    state::Result<void> leaveNow(const state::EndpointId &endpoint,
                                 std::optional<std::uint64_t> incarnation, state::Instant now);
    void tickEndpoints(state::Instant now);
    void sendLoads(state::Instant now);
    void perform(const coordination::membership::GossipActions &actions);
    void publishRecord(const coordination::endpoints::EndpointRecord &record, state::Instant now);
    // Publishes now, or when the interval since the last publication has passed.
    void publishSoon(state::Instant now);
    void publishView(state::Instant now);
    state::Duration viewInterval() const;
    void recordTableVersion(std::uint64_t version, state::Instant now);
    AnnounceAnswer answerFor(const state::EndpointDescription &endpoint) const;
    coordination::endpoints::EndpointContext endpointContext() const;

    // Accessed on the strand only, except `published` and the address of `socket`.
    MembershipServiceSettings settings;
    Strand strand;
    Hooks hooks;
    coordination::membership::Membership membership;
    coordination::endpoints::EndpointLifecycle endpointLifecycle;
    std::shared_ptr<transport::GossipSocket> socket;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer viewTimer;
    state::Instant viewPublishedAt{};
    bool viewDue = false; // viewTimer is armed
    state::Instant nextEndpointTick;
    state::Instant nextLoadReports;
    // The newest per endpoint, not yet sent.
    std::map<state::EndpointId, state::LoadReport> pendingLoadReports;
    struct TableVersionAt
    {
        std::uint64_t version = 0;
        state::Instant since;
    };
    struct PendingLeave
    {
        state::EndpointId endpoint;
        state::Instant since;
        LeaveHandler done;
    };
    // Answered when they are settled, or after a time limit.
    std::vector<PendingLeave> pendingLeaves;
    // Ascending; the first may be old enough to be required.
    std::deque<TableVersionAt> tableVersions;
    bool membersDirty = true;
    bool endpointsDirty = true;
    bool wasSynced = false;
    bool wasIsolated = false;
    bool running = false;
    bool supersededReported = false;
    std::shared_ptr<const coordination::ownership::OwnerRing> ring;
    std::shared_ptr<const EndpointsView> endpointsView;
    state::Snapshot<MembershipView> published;
};

} // namespace lavenderthread::program
