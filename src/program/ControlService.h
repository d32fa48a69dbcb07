// Serves the control member of this process to the entries: answers their calls, advances the
// replicated control time, replaces lost members, and restarts the member after a disk failure.
#pragma once

#include "coordination/consensus/MemberPlan.h"
#include "coordination/orders/EnforcementTracker.h"
#include "coordination/orders/FeedReceiver.h"
#include "program/ControlMemberHost.h"
#include "program/Settings.h"
#include "protocol/ControlCalls.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace lavenderthread::program {

class ControlService : public std::enable_shared_from_this<ControlService>
{
public:
    struct Hooks
    {
        // Returns the live processes with a data folder according to membership. If the hook is
        // empty, the member set is not changed.
        std::function<std::vector<coordination::consensus::MemberCandidate>()> candidates;
        // Returns whether that process is known to have ended. Empty hook: none is.
        std::function<bool(const state::VmId &entry, std::uint64_t incarnation)> hasEnded;
        std::shared_ptr<transport::ConnectionPool> pool =
                transport::ConnectionPool::create(); // of the process
    };

    // Errors: those of ControlMemberHost::open.
    static state::Result<std::shared_ptr<ControlService>>
    create(const Settings &settings, boost::asio::io_context &context, Hooks hooks);

    void start();
    void stop(); // must be called before the io_context's threads end

    boost::asio::awaitable<protocol::ControlReply> answer(protocol::ControlCall call);
    const state::VmId &identity() const { return this->id; } // of the data folder
    // Nothing while the folder can't be opened. Any thread.
    std::optional<ControlMemberStatus> status() const;

private:
    using HostPointer = std::shared_ptr<ControlMemberHost>;
    using FeedWaiter = std::function<void(bool)>;

    ControlService(const Settings &chosen, boost::asio::io_context &context, Hooks serviceHooks);

    state::Result<void> open();
    HostPointer host() const;
    void onRoleChanged(const coordination::consensus::RoleChange &change);
    void onMembersChanged(const coordination::consensus::MemberSet &members) const;
    void reopen();
    void tick();
    void advanceTime(const HostPointer &member, state::Instant now);
    void settleClaimsOfEndedEntries(const HostPointer &member);
    void reconcileMembers(const HostPointer &member, state::Instant now);
    void onStateChanged();
    void wakeFeeds(std::optional<state::Instant> dueBefore);
    state::Address leaderAddress(const HostPointer &member) const;

    boost::asio::awaitable<protocol::ProposeReply> propose(HostPointer member, std::string command);
    boost::asio::awaitable<protocol::FeedReply> feed(HostPointer member, protocol::FeedCall call);
    boost::asio::awaitable<protocol::FeedReply> readFeed(HostPointer member,
                                                         protocol::FeedCall call);
    boost::asio::awaitable<void> waitForChange(std::uint64_t seen, state::Duration time);
    boost::asio::awaitable<protocol::EnforcementReply> enforcement(HostPointer member,
                                                                   std::uint64_t version);
    boost::asio::awaitable<protocol::ConfigurationReply> configuration(HostPointer member);

    const Settings &settings;
    boost::asio::io_context &context;
    Hooks hooks;
    boost::asio::steady_timer timer;
    state::VmId id;
    mutable std::mutex hostMutex; // guards the pointer; never held across a call
    HostPointer currentHost;      // null while the folder cannot be opened
    state::Instant reopenAt{};    // while currentHost is null

    struct WaitingFeed
    {
        state::Instant until;
        FeedWaiter wake;
    };
    std::mutex feedMutex;
    std::vector<WaitingFeed> waitingFeeds;           // answered on a view change or at `until`
    std::atomic<std::uint64_t> announcedVersion = 0; // version; written under feedMutex

    // Used on the member's strand only, except the atomics.
    coordination::orders::EnforcementTracker tracker;
    protocol::FeedEncoder feedEncoder;
    std::atomic<bool> isLeader = false;
    std::atomic<bool> stopped = false;
    std::atomic<bool> hasClaims = false; // control time advances only if true
    // Used on the timer's strand only.
    coordination::consensus::MemberPlan plan;
    state::Instant lastAdvance{};
    bool memberChangePending = false;
    bool leaderWasKnown = false;
};

} // namespace lavenderthread::program
