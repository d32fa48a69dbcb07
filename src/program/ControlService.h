// A control member as a whole: the consensus driver with its disk, its links and the state that it
// replicates, and the answers to the entries' calls.
#pragma once

#include "coordination/orders/EnforcementTracker.h"
#include "coordination/orders/FeedReceiver.h"
#include "program/ControlMember.h"
#include "program/LogWriter.h"
#include "program/Settings.h"
#include "protocol/ControlCalls.h"
#include "state/control/ControlState.h"
#include "transport/PeerLink.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>

namespace lavenderthread::program {

class ControlService : public std::enable_shared_from_this<ControlService>
{
public:
    // Errors: those of DurableLog::open; Unavailable, step "…bind"; InvalidArgument.
    static state::Result<std::shared_ptr<ControlService>> create(const Settings &settings,
                                                                 boost::asio::io_context &context);

    void start();
    void stop(); // call before the threads end

    boost::asio::awaitable<protocol::ControlReply> answer(protocol::ControlCall call);
    state::SnapshotView<ControlMemberStatus> status() const { return this->member->status(); }

private:
    explicit ControlService(boost::asio::io_context &context);

    state::Result<void> open(const Settings &settings, boost::asio::io_context &context);
    ControlMemberHooks memberHooks();
    state::control::Answer apply(const state::log::LogEntry &entry);
    void restore(const state::log::LogSnapshot &snapshot);
    void roleChanged(const coordination::consensus::RoleChange &change);
    void advanceTime();
    state::Address leaderAddress() const;

    boost::asio::awaitable<protocol::ProposeReply> propose(std::string command);
    boost::asio::awaitable<protocol::FeedReply> feed(protocol::FeedCall call);
    boost::asio::awaitable<protocol::EnforcementReply> enforcement(std::uint64_t version);

    boost::asio::steady_timer timer;
    std::shared_ptr<transport::PeerLink> link;
    std::unique_ptr<LogWriter> writer;
    std::shared_ptr<ControlMember> member;
    // On the member's strand only; reads get there through ControlMember::read.
    state::control::ControlState state;
    coordination::orders::EnforcementTracker tracker;
    std::atomic<bool> leads = false;
    std::atomic<bool> stopped = false;
    state::Instant lastAdvance{};
};

} // namespace lavenderthread::program
