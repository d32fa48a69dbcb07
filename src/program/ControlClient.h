// An entry's client of the control members: proposes commands, keeps the newest view of table,
// catalog and configuration, and knows whether that view is fresh.
#pragma once

#include "coordination/orders/AnswerPatience.h"
#include "coordination/orders/FeedReceiver.h"
#include "program/Claims.h"
#include "program/Settings.h"
#include "protocol/ControlCalls.h"
#include "state/Snapshot.h"
#include "state/control/Commands.h"
#include "state/control/ControlView.h"
#include "transport/HttpConnection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace lavenderthread::program {

// The addresses of one control member.
struct ControlMemberAddress
{
    state::Address consensus; // also identifies the leader in replies
    state::Address entry;     // where its process accepts control calls

    auto operator<=>(const ControlMemberAddress &) const = default;
};

class ControlClient : public std::enable_shared_from_this<ControlClient>
{
public:
    struct Hooks
    {
        // Called on the client's strand when a newer view takes effect or freshness changes.
        std::function<void(const state::control::ControlView &view, bool fresh)> changed;
        // Returns the control members known at present; called before each call.
        std::function<std::vector<ControlMemberAddress>()> members;
        // Handles calls to the member in this process without using the network. May be empty.
        std::function<boost::asio::awaitable<protocol::ControlReply>(protocol::ControlCall)>
                ownMember;
        state::Address ownAddress; // consensus address of the member in this process
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

    // Resends the command unchanged until a leader answers; commands are idempotent. Error:
    // Timeout: it is unknown whether the command was committed.
    boost::asio::awaitable<state::Result<Committed>> propose(state::control::Command command,
                                                             state::Instant deadline);
    // Error: Timeout if no leader answers.
    boost::asio::awaitable<state::Result<protocol::EnforcementReply>>
    enforcement(std::uint64_t version, state::Instant deadline);
    // The newest configuration whose acceptance was reported to anybody, confirmed by a quorum.
    // Error: Timeout if no member can confirm it.
    boost::asio::awaitable<state::Result<state::control::ConfigurationDocument>>
    configuration(state::Instant deadline);

    // False if the view is not confirmed fresh: no new request may be admitted under it.
    bool mayAdmit() const { return this->fresh; }
    state::SnapshotView<state::control::ControlView> view() const { return this->published.read(); }
    coordination::orders::ViewStatus standing() const;

    // A gate whose claims are replicated to a quorum.
    ClaimGate claimGate(std::uint64_t entryIncarnation);

private:
    using ReplyPredicate = std::function<bool(const protocol::ControlReply &)>;

    ControlClient(const Settings &settings, boost::asio::io_context &context, Hooks hooks);

    boost::asio::awaitable<void> feedLoop();
    boost::asio::awaitable<bool> pollFeed(coordination::orders::FeedRequest due);
    boost::asio::awaitable<void> pagesLoop();
    boost::asio::awaitable<bool> fetchPages();
    std::optional<ControlMemberAddress> pageSource() const;
    boost::asio::awaitable<state::Result<protocol::ControlReply>>
    callFeed(transport::HttpConnection &connection, ControlMemberAddress member, bool pages,
             std::chrono::milliseconds wait, std::chrono::milliseconds timeout);
    // Calls the leader, or members that may know it, until `accepts` is true. Error: Timeout.
    boost::asio::awaitable<state::Result<protocol::ControlReply>>
    callLeader(protocol::ControlCall request, ReplyPredicate accepts, const char *step,
               state::Instant deadline);
    boost::asio::awaitable<state::Result<protocol::ControlReply>>
    call(ControlMemberAddress member, protocol::ControlCall request,
         std::chrono::milliseconds timeout, transport::HttpConnection *kept = nullptr);
    std::optional<ControlMemberAddress> nextMember(const std::optional<state::Address> &failed);
    std::vector<state::control::FeedPage> decodePages(const protocol::FeedReply &reply,
                                                      const ControlMemberAddress &member);
    void logFeedTransition(const state::Address &member, bool confirmed);
    void logStandingTransition(const coordination::orders::ViewLease &held);
    // Takes the next control member as the source of pages.
    void switchPageSource(std::string_view cause);
    void logFetchedChange(const ControlMemberAddress &member, const protocol::FeedReply &reply,
                          state::Instant askedAt, std::optional<state::Instant> behindSince);
    void publishView(bool viewChanged);

    const Settings &settings;
    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    Hooks hooks;
    // Used on the strand only.
    coordination::orders::FeedReceiver feed;
    std::optional<state::Address> unconfirmedFeedMember; // member whose last reply was unconfirmed
    transport::HttpConnection feedConnection;            // to the leader
    transport::HttpConnection pagesConnection;           // to the member polled for pages
    bool feedConfirmed = false;
    coordination::orders::AnswerPatience feedPatience; // with the leader's confirmations
    coordination::orders::ViewStatus loggedStanding = coordination::orders::ViewStatus::Unconfirmed;
    bool awaitingPages = false; // the leader reported a version whose pages have not arrived yet
    bool needsFullConfiguration = false; // the last patch could not be applied
    std::size_t pageSourceRotation = 0;  // incremented if a member does not answer or lags
    std::uint64_t pageSourceVersion = 0; // as the source last reported; 0: it has not answered
    state::Snapshot<std::optional<state::Address>> leader; // consensus address; a hint
    std::atomic<std::size_t> rotation = 0;
    std::atomic<bool> fresh = false;
    std::atomic<bool> stopped = false;
    state::Snapshot<state::control::ControlView> published;
    state::Snapshot<coordination::orders::ViewLease> lease; // of the published view
};

} // namespace lavenderthread::program
