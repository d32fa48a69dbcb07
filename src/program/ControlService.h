// The control member of this process towards the entries: answers their calls and counts the time
// of the replicated state.
#pragma once

#include "coordination/orders/EnforcementTracker.h"
#include "coordination/orders/FeedReceiver.h"
#include "program/ControlMemberHost.h"
#include "program/Settings.h"
#include "protocol/ControlCalls.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>

namespace lavenderthread::program {

class ControlService : public std::enable_shared_from_this<ControlService>
{
public:
    // Errors: those of ControlMemberHost::open.
    static state::Result<std::shared_ptr<ControlService>> create(const Settings &settings,
                                                                 boost::asio::io_context &context);

    void start();
    void stop(); // call before the threads end

    boost::asio::awaitable<protocol::ControlReply> answer(protocol::ControlCall call);
    state::SnapshotView<ControlMemberStatus> status() const
    {
        return this->host->member().status();
    }

private:
    explicit ControlService(boost::asio::io_context &context);

    void roleChanged(const coordination::consensus::RoleChange &change);
    void advanceTime();
    state::Address leaderAddress() const;

    boost::asio::awaitable<protocol::ProposeReply> propose(std::string command);
    boost::asio::awaitable<protocol::FeedReply> feed(protocol::FeedCall call);
    boost::asio::awaitable<protocol::EnforcementReply> enforcement(std::uint64_t version);

    boost::asio::steady_timer timer;
    std::unique_ptr<ControlMemberHost> host;
    // On the member's strand only.
    coordination::orders::EnforcementTracker tracker;
    std::atomic<bool> leads = false;
    std::atomic<bool> stopped = false;
    state::Instant lastAdvance{};
};

} // namespace lavenderthread::program
