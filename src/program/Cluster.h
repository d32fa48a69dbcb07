// Connects this entry with the others: membership, directory answers, endpoint announcements and
// the notes on work that entries send each other. Without a gossip address it is a single node.
#pragma once

#include "coordination/consensus/MemberPlan.h"
#include "coordination/directory/Directory.h"
#include "coordination/directory/WorkPeers.h"
#include "coordination/routing/ColdAccess.h"
#include "coordination/routing/PeerOrder.h"
#include "program/ControlClient.h"
#include "program/EndpointRegistry.h"
#include "program/Entry.h"
#include "program/MembershipService.h"
#include "program/Settings.h"
#include "protocol/PeerUpdate.h"
#include "transport/GossipSocket.h"
#include "transport/storage/DeregistrationWriter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace lavenderthread::program {

class Cluster : public std::enable_shared_from_this<Cluster>
{
public:
    struct Hooks
    {
        std::function<void()> endpointsChanged; // the registry has a new table
        std::function<void(const state::LoadReport &)> loadArrived;
        std::function<void(const protocol::PeerUpdate &)> newsArrived;
        std::function<void(const state::VmId &)> peerJoined; // news are shared with it from now on
        // The relay entries that are known here. Called on membership's strand.
        std::function<void(coordination::routing::RelayEntries)> entriesChanged = [](auto) {};
        std::function<void()> superseded; // another process with this VM id has replaced this one
    };

    // How this process identifies itself to the others.
    struct Self
    {
        std::uint64_t incarnation = 0; // grows with each start; claims carry it too
        state::VmId controlIdentity;   // from its data folder; empty unless it is a control member
    };

    // Errors: Unavailable, step "gossip.bind".
    static state::Result<std::shared_ptr<Cluster>>
    create(const Settings &settings, boost::asio::io_context &context,
           std::shared_ptr<EndpointRegistry> registry, const Self &self, Hooks hooks);

    void start();
    void stop();
    // Sets what this entry tells the others about itself. Any thread.
    void setSelf(const coordination::membership::SelfState &self);

    DirectoryAnswer directory(const state::ClientAccountId &account) const;
    boost::asio::awaitable<state::Result<AnnounceAnswer>>
    announce(state::EndpointDescription endpoint, std::optional<state::Duration> coldLeft = {});
    // Complete when the deregistration is acknowledged; see MembershipService::leave. Errors as
    // EndpointLifecycle::leave.
    boost::asio::awaitable<state::Result<void>> drain(state::EndpointDescription endpoint);
    // The same without waiting, for an endpoint that says so in an answer to this node.
    void endpointLeaves(const state::EndpointDescription &endpoint);
    // Without an incarnation, the known one leaves.
    boost::asio::awaitable<state::Result<void>> withdraw(state::EndpointId endpoint,
                                                         std::optional<std::uint64_t> incarnation);
    // Addresses of relay nodes for callers in that failure domain.
    std::vector<state::Address> relays(const state::FailureDomain &callers) const;
    // Relays that reach the endpoints; see directory::relayPeers.
    coordination::routing::RelayPeers relayPeers() const;
    // The control members that are believed to be alive; those of the settings if there are none.
    std::vector<ControlMemberAddress> controlMembers() const;
    std::vector<coordination::consensus::MemberCandidate> controlCandidates() const;
    // Whether that process of an entry is known to have ended: it is not live any more, or a later
    // process runs there. False for an entry that was removed from the table: nothing is known.
    bool hasEnded(const state::VmId &entry, std::uint64_t incarnation) const;
    // Whether a member or an endpoint has been seen in that failure domain. Nothing while this
    // process has not got the state of the others.
    std::optional<bool> knowsFailureDomain(const state::FailureDomain &failureDomain) const;
    // The failure domains whose endpoints get no new work from this process.
    void setEvacuated(std::set<state::FailureDomain> failureDomains);
    void reportLoad(const state::LoadReport &report);
    void markDrain(const state::EndpointId &endpoint, state::log::LogPosition position,
                   bool draining);
    void share(protocol::PeerUpdate news);
    // Sends the news to one peer only.
    void shareWith(const state::VmId &peer, protocol::PeerUpdate news);
    // Sends the news to some random live members of any kind.
    void shareWithSome(std::vector<protocol::PeerUpdate> news);
    // Endpoints that were described to this node, used by it or not. Any thread.
    std::size_t endpointsKnown() const;
    // Peer news datagrams that were never sent, since the start. Any thread.
    std::uint64_t newsLost() const;

    std::shared_ptr<MembershipService> service() const { return this->membership; }

private:
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    Cluster(const Settings &settings, boost::asio::io_context &context,
            std::shared_ptr<EndpointRegistry> registry, Hooks hooks,
            coordination::directory::Directory directory);

    state::Result<void> join(boost::asio::io_context &context, const Self &self);
    // Returns the deregistrations that this process has stored before its start; none if they can't
    // be read.
    std::vector<state::Deregistration> openDeregistrations();
    void viewChanged(const MembershipView &view);
    void logEndpointChanges(const EndpointsView &endpoints);
    void handlePeerUpdates(std::string_view datagram);
    void scheduleFlush();
    void flush();
    void sendNews(const state::Address &to, const std::vector<std::string> &datagrams);
    void logLostNews();

    struct LoggedState
    {
        std::uint64_t incarnation = 0;
        coordination::endpoints::EndpointPhase phase{};
        bool drained = false;

        bool operator==(const LoggedState &) const = default;
    };

    const Settings &settings;
    std::map<state::EndpointId, LoggedState> loggedStates; // on membership's strand
    std::shared_ptr<const EndpointsView> appliedEndpoints; // in the registry; on the same strand
    coordination::directory::PeerArrivals peerArrivals;    // on the same strand
    coordination::routing::RelayEntries relayEntries;      // as last passed on; on the same strand
    std::shared_ptr<EndpointRegistry> registry;
    Hooks hooks;
    coordination::directory::Directory entryDirectory;
    std::shared_ptr<MembershipService> membership; // null on a single node
    Strand strand;
    boost::asio::steady_timer flushTimer;
    std::shared_ptr<transport::GossipSocket> newsSocket;
    std::vector<protocol::PeerUpdate> pendingNews;                              // on the strand
    std::map<state::VmId, std::vector<protocol::PeerUpdate>> pendingNewsOfPeer; // on the strand
    bool flushArmed = false;
    std::mt19937_64 random;              // on the strand
    std::uint64_t loggedLostUpdates = 0; // the count in the last log line
    state::Instant lostNewsLoggedAt{};
    // Null unless this process has a data folder. Declared last so that it is destroyed first: its
    // thread calls membership.
    std::unique_ptr<transport::storage::DeregistrationWriter> deregistrations;
};

} // namespace lavenderthread::program
