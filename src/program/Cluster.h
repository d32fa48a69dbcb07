// This entry among the others: membership, the directory answer, endpoint announcements and the
// news of work between entries. Without a gossip address the node stands alone.
#pragma once

#include "coordination/consensus/MemberPlan.h"
#include "coordination/directory/Directory.h"
#include "program/ControlClient.h"
#include "program/EndpointRegistry.h"
#include "program/Entry.h"
#include "program/MembershipService.h"
#include "program/Settings.h"
#include "protocol/PeerNews.h"
#include "transport/GossipSocket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lavenderthread::program {

class Cluster : public std::enable_shared_from_this<Cluster>
{
public:
    struct Hooks
    {
        std::function<void()> endpointsChanged; // the registry has a new table
        std::function<void(const state::LoadReport &)> loadArrived;
        std::function<void(const protocol::PeerNews &)> newsArrived;
        std::function<void()> superseded; // another process runs under this id
    };

    // This process, as the others are to know it.
    struct Self
    {
        std::uint64_t incarnation = 0; // grows with each start; claims name it too
        state::VmId controlIdentity;   // of its data folder; empty unless it is a control member
    };

    // Errors: Unavailable, steps "gossip.bind".
    static state::Result<std::shared_ptr<Cluster>>
    create(const Settings &settings, boost::asio::io_context &context,
           std::shared_ptr<EndpointRegistry> registry, const Self &self, Hooks hooks);

    void start();
    void stop();
    // What the others are told of this entry. Any thread.
    void setPhase(coordination::membership::MemberPhase phase, bool ready,
                  std::uint64_t tableVersion);

    DirectoryAnswer directory(const state::ClientAccountId &account) const;
    boost::asio::awaitable<state::Result<AnnounceAnswer>>
    announce(state::EndpointDescription endpoint);
    void leave(const state::EndpointId &endpoint, std::uint64_t incarnation);
    // Answered when the news is on its way to the others. Errors as EndpointLife::leave.
    boost::asio::awaitable<state::Result<void>> drain(state::EndpointDescription endpoint);
    boost::asio::awaitable<state::Result<void>> withdraw(state::EndpointId endpoint,
                                                         std::optional<std::uint64_t> incarnation);
    // Where callers of that failure domain find a node that relays.
    std::vector<state::Address> relays(const state::FailureDomain &callers) const;
    // The control members that live, as far as known.
    std::vector<ControlMemberAddress> controlMembers() const;
    std::vector<coordination::consensus::Candidate> controlCandidates() const;
    // Whether that process of an entry is known to have ended: it was given up, or a later one runs
    // there. Of an entry that was forgotten nothing is known.
    bool hasEnded(const state::VmId &entry, std::uint64_t incarnation) const;
    void reportLoad(const state::LoadReport &report);
    void markDrain(const state::EndpointId &endpoint, state::log::LogPosition position,
                   bool draining);
    void share(protocol::PeerNews news);
    // Datagrams with news that were never sent, since the start. Any thread.
    std::uint64_t newsLost() const;

    std::shared_ptr<MembershipService> service() const { return this->membership; }

private:
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    Cluster(const Settings &settings, boost::asio::io_context &context,
            std::shared_ptr<EndpointRegistry> registry, Hooks hooks,
            coordination::directory::Directory directory);

    state::Result<void> join(boost::asio::io_context &context, const Self &self);
    void viewChanged(const MembershipView &view);
    void logBeliefs(const EndpointsView &endpoints);
    void newsDatagram(std::string_view datagram);
    void armFlush();
    void flush();
    void logLostNews();

    struct Belief
    {
        std::uint64_t incarnation = 0;
        coordination::endpoints::EndpointPhase phase{};
        bool drained = false;

        bool operator==(const Belief &) const = default;
    };

    const Settings &settings;
    std::map<state::EndpointId, Belief> loggedBeliefs; // on membership's strand
    std::shared_ptr<EndpointRegistry> registry;
    Hooks hooks;
    coordination::directory::Directory chooser;
    std::shared_ptr<MembershipService> membership; // null if the node stands alone
    Strand strand;
    boost::asio::steady_timer flushTimer;
    std::shared_ptr<transport::GossipSocket> newsSocket;
    std::vector<protocol::PeerNews> pendingNews; // on the strand
    bool flushArmed = false;
    std::uint64_t lostNewsLogged = 0; // what the last line told
    state::Instant lostNewsLoggedAt{};
};

} // namespace lavenderthread::program
