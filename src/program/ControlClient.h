// The entry's access to the control members: proposes commands, keeps the newest view of table and
// catalog, and knows whether that view is fresh.
#pragma once

#include "coordination/orders/FeedReceiver.h"
#include "program/Claims.h"
#include "program/Settings.h"
#include "protocol/ControlCalls.h"
#include "state/Snapshot.h"
#include "state/control/Commands.h"
#include "state/control/ControlView.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace lavenderthread::program {

class ControlClient : public std::enable_shared_from_this<ControlClient>
{
public:
    struct Hooks
    {
        // A newer view is in force here, or freshness came or went. On the client's strand.
        std::function<void(const state::control::ControlView &view, bool fresh)> changed;
    };

    struct Committed
    {
        state::control::Answer answer;
        state::log::LogPosition position;
    };

    static std::shared_ptr<ControlClient> create(const Settings &settings,
                                                 boost::asio::io_context &context, Hooks hooks);

    void start();
    void stop() { this->stopped = true; }

    // Sent again, unchanged, until a leader has answered; commands are made to bear that. Errors:
    // Timeout: not known whether it was committed.
    boost::asio::awaitable<state::Result<Committed>> propose(state::control::Command command,
                                                             state::Instant deadline);
    // Error: Unavailable if no leader answers.
    boost::asio::awaitable<state::Result<protocol::EnforcementReply>>
    enforcement(std::uint64_t version);

    // False: the view is not confirmed fresh; nothing new may be admitted under it.
    bool admits() const { return this->fresh; }
    state::SnapshotView<state::control::ControlView> view() const { return this->published.read(); }

    // Claims that a quorum holds.
    ClaimGate claimGate(std::uint64_t entryIncarnation);

private:
    ControlClient(const Settings &settings, boost::asio::io_context &context, Hooks hooks);

    boost::asio::awaitable<void> feedLoop();
    // `member` is a position in settings.controlMembers.
    boost::asio::awaitable<state::Result<protocol::ControlReply>>
    call(std::size_t member, const protocol::ControlCall &request);
    void noteLeader(const state::Address &leader);
    void afterAnswer(bool viewChanged);

    const Settings &settings;
    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    Hooks hooks;
    coordination::orders::FeedReceiver feed; // on the strand
    std::atomic<std::size_t> leader = 0;     // position in settings.controlMembers; a guess
    std::atomic<bool> fresh = false;
    std::atomic<bool> stopped = false;
    state::Snapshot<state::control::ControlView> published;
};

} // namespace lavenderthread::program
