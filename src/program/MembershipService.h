// Runs gossip and the life of endpoints on one strand, and publishes what they know for the request
// path.
#pragma once

#include "coordination/endpoints/EndpointLife.h"
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
    state::Address listen; // the gossip address that others are told has its port, if that is 0
    coordination::endpoints::EndpointLifeSettings endpointLife;
    state::Duration loadInterval = std::chrono::seconds(3);
    // How long every member has at most to confirm a table, and its status to arrive.
    state::Duration tableSpreadTime = std::chrono::seconds(30);
};

// What an endpoint is answered.
struct AnnounceAnswer
{
    state::Duration renewAfter{};
    state::Duration expiresAfter{};
    state::Address owner; // caller address of the endpoint's owner; port 0 if nobody serves yet

    bool operator==(const AnnounceAnswer &) const = default;
};

// How the acknowledgement of a deregistration came about.
struct LeaveOutcome
{
    state::EndpointId endpoint;
    state::Duration took{};
    bool knownToAll = false; // or it was given before all live members had confirmed
};

class MembershipService : public std::enable_shared_from_this<MembershipService>
{
public:
    // Called on the strand; must not block. Empty ones are left out.
    struct Hooks
    {
        std::function<void(const MembershipView &)> changed; // after the view was published
        std::function<void(const state::LoadReport &)>
                loadArrived; // of endpoints announced elsewhere
        std::function<void(const coordination::membership::HeardEnd &)> endHeard; // may be empty
        std::function<void(const LeaveOutcome &)> leaveAcknowledged;              // may be empty
        std::function<void()> superseded;                  // stop this process; called once
        std::function<void(const state::Error &)> refused; // a datagram; peer is its sender
    };
    using AnnounceHandler = std::function<void(state::Result<AnnounceAnswer>)>;

    // Binds the socket. Errors: Unavailable, step "gossip.bind"; InvalidArgument.
    static state::Result<std::shared_ptr<MembershipService>>
    create(MembershipServiceSettings settings, boost::asio::io_context &context, Hooks hooks);

    // All of these may be called from any thread.
    void start();
    void stop(); // closes the socket; no hook is called after those already queued
    void setSelf(const coordination::membership::SelfState &self);
    // `done` is called on the strand. Errors as EndpointLife::announce.
    void announce(const state::EndpointDescription &endpoint, AnnounceHandler done = {});
    using LeaveHandler = std::function<void(state::Result<void>)>;
    // Without an incarnation the one that is known leaves. `done` is called on the strand once the
    // news is on its way. Errors as EndpointLife::leave.
    void leave(const state::EndpointId &endpoint, std::optional<std::uint64_t> incarnation,
               LeaveHandler done = {});
    // An endpoint that says it is leaving, also one that was not heard of here before.
    void drain(const state::EndpointDescription &endpoint, LeaveHandler done = {});
    // Load of an endpoint announced here; goes on to the entries that watch it.
    void reportLoad(const state::LoadReport &report);
    // A committed drain or undrain, at its position in the replicated log. May come again.
    void markDrain(const state::EndpointId &endpoint,
                   const coordination::endpoints::DrainMark &mark);

    state::SnapshotView<MembershipView> view() const { return this->published.read(); }
    state::Address address() const { return this->socket->address(); }

private:
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    MembershipService(MembershipServiceSettings chosen, Strand onStrand, Hooks chosenHooks,
                      coordination::membership::Membership first,
                      coordination::endpoints::EndpointLife life);

    void received(std::string_view datagram, const state::Address &from);
    void scheduleTick();
    void tick();
    void acknowledge(const state::EndpointId &endpoint, const state::Result<void> &left,
                     const LeaveHandler &done, state::Instant now);
    void answerWaitingLeaves(state::Instant now);
    state::Result<void> leaveNow(const state::EndpointId &endpoint,
                                 std::optional<std::uint64_t> incarnation, state::Instant now);
    void tickEndpoints(state::Instant now);
    void sendLoads(state::Instant now);
    void perform(const coordination::membership::GossipActions &actions);
    void publishRecord(const coordination::endpoints::EndpointRecord &record, state::Instant now);
    void publishView(state::Instant now);
    void noteTableVersion(std::uint64_t version, state::Instant now);
    AnnounceAnswer answerFor(const state::EndpointDescription &endpoint) const;
    coordination::endpoints::EndpointWorld world() const;

    // All but `published` and `socket`'s address is touched on the strand only.
    MembershipServiceSettings settings;
    Strand strand;
    Hooks hooks;
    coordination::membership::Membership membership;
    coordination::endpoints::EndpointLife endpointLife;
    std::shared_ptr<transport::GossipSocket> socket;
    boost::asio::steady_timer timer;
    state::Instant nextSecond;
    state::Instant nextLoads;
    std::map<state::EndpointId, state::LoadReport> ownLoads; // newest, not yet sent
    struct TableVersionAt
    {
        std::uint64_t version = 0;
        state::Instant since;
    };
    struct WaitingLeave
    {
        state::EndpointId endpoint;
        state::Instant since;
        LeaveHandler done;
    };
    std::vector<WaitingLeave> waitingLeaves;  // until all live members know, or for a time
    std::deque<TableVersionAt> tableVersions; // rising; the first is old enough to be required
    bool membersDirty = true;
    bool endpointsDirty = true;
    bool wasSynced = false;
    bool wasIsolated = false;
    bool running = false;
    bool toldSuperseded = false;
    std::shared_ptr<const coordination::ownership::OwnerRing> ring;
    std::shared_ptr<const EndpointsView> endpointsView;
    state::Snapshot<MembershipView> published;
};

} // namespace lavenderthread::program
