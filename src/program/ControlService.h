// The control member of this process towards the entries: answers their calls, counts the time of
// the replicated state, keeps the member set in repair, and starts the member again when its disk
// has failed it.
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
        // Processes with a data folder that live, as membership knows; empty hook: the member set
        // is left alone.
        std::function<std::vector<coordination::consensus::Candidate>()> candidates;
        // Whether that process is known to have ended; empty hook: none is.
        std::function<bool(const state::VmId &entry, std::uint64_t incarnation)> hasEnded;
    };

    // Errors: those of ControlMemberHost::open.
    static state::Result<std::shared_ptr<ControlService>>
    create(const Settings &settings, boost::asio::io_context &context, Hooks hooks);

    void start();
    void stop(); // call before the threads end

    boost::asio::awaitable<protocol::ControlReply> answer(protocol::ControlCall call);
    const state::VmId &identity() const { return this->id; } // of the data folder

private:
    using HostPointer = std::shared_ptr<ControlMemberHost>;
    using FeedWaiter = std::function<void(bool)>;

    ControlService(const Settings &chosen, boost::asio::io_context &context, Hooks serviceHooks);

    state::Result<void> open();
    HostPointer host() const;
    void roleChanged(const coordination::consensus::RoleChange &change);
    void reopen();
    void tick();
    void advanceTime(const HostPointer &member, state::Instant now);
    void settleLostClaims(const HostPointer &member);
    void repairMembers(const HostPointer &member, state::Instant now);
    void stateChanged();
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
    HostPointer currentHost;      // null while the folder can't be opened
    state::Instant reopenAt{};    // while currentHost is null

    struct WaitingFeed
    {
        state::Instant until;
        FeedWaiter wake;
    };
    std::mutex feedMutex;
    std::vector<WaitingFeed> waitingFeeds;        // answered when the state changes, or in time
    std::atomic<std::uint64_t> announcedView = 0; // version; changes under feedMutex

    // On the member's strand only.
    coordination::orders::EnforcementTracker tracker;
    protocol::FeedEncoder feedEncoder;
    std::atomic<bool> leads = false;
    std::atomic<bool> stopped = false;
    std::atomic<bool> hasClaims = false; // or nothing counts control time
    // On the timer's strand only.
    coordination::consensus::MemberPlan plan;
    state::Instant lastAdvance{};
    bool changingMembers = false;
    bool knewLeader = false;
};

} // namespace lavenderthread::program
