// Drives the consensus state machine of one control member: its timer, messages and writes, and the
// application of committed entries. All steps run on one strand; storage, state and network are
// hooks.
#pragma once

#include "coordination/consensus/Consensus.h"
#include "protocol/ConsensusMessages.h"
#include "state/Snapshot.h"
#include "state/control/Commands.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lavenderthread::program {

// One durable write, in the order installed, hardState, entries, followed by a sync.
struct PersistBatch
{
    std::uint64_t sequence = 0;
    std::optional<state::log::HardState> hardState;
    coordination::consensus::SnapshotPointer installed; // replaces the whole stored log
    std::vector<state::log::LogEntry> entries; // replace the stored ones from the first index
};

// Called on the member's strand in log order. They must not block.
struct ControlMemberHooks
{
    // Answered by persisted() or persistFailed().
    std::function<void(PersistBatch)> persist;
    // Saves a snapshot that this member took; answered by snapshotSaved() once it is durable.
    std::function<void(coordination::consensus::SnapshotPointer)> saveSnapshot;

    std::function<state::control::Answer(const state::log::LogEntry &)> apply; // a Command
    std::function<void(const state::log::LogSnapshot &)> restore;
    // Captures the current state and calls `done`, from any thread, with its encoding.
    std::function<void(std::function<void(std::string bytes)> done)> captureState;

    std::function<void(const state::Address &peer, std::string bytes)> send;
    std::function<void(const coordination::consensus::RoleChange &)> roleChanged;
    std::function<void(const coordination::consensus::MemberSet &)> membersChanged; // committed
    std::function<void(const state::Error &)> badMessage;
};

struct ControlMemberSettings
{
    state::VmId id;         // the identity stored in the data folder
    state::Address address; // where other members connect to this one
    coordination::consensus::Settings consensus;
    std::uint64_t seed = 0; // for random election timeouts; different in every process
};

struct ProposalResult
{
    coordination::consensus::ProposalOutcome outcome{};
    state::log::LogPosition position; // if Committed; the fencing token of an order
    state::control::Answer answer;    // if Committed
    std::optional<coordination::consensus::Member> leader; // where to retry, if known
    std::optional<state::Error> error;                     // if Refused
};

// A snapshot of the member's status, readable from any thread.
struct ControlMemberStatus
{
    coordination::consensus::Role role = coordination::consensus::Role::Follower;
    std::uint64_t term = 0;
    std::uint64_t committed = 0;
    std::uint64_t applied = 0;
    std::optional<coordination::consensus::Member> leader;
    coordination::consensus::MemberSet members;
    std::set<state::VmId> caughtUp; // on a leader: learners that may be promoted

    auto operator<=>(const ControlMemberStatus &) const = default;
};

class ControlMember : public std::enable_shared_from_this<ControlMember>
{
public:
    using ProposalDone = std::function<void(ProposalResult)>;
    using ReadDone = std::function<void(const coordination::consensus::ReadAnswer &)>;

    // `stored` was read from the data folder; the caller has restored the state from its snapshot.
    static state::Result<std::shared_ptr<ControlMember>>
    create(boost::asio::io_context &io, const ControlMemberSettings &settings,
           const coordination::consensus::StoredState &stored, ControlMemberHooks hooks);

    void start();
    // Answers waiting proposals with LeadershipLost and pending reads as unconfirmed. No hook is
    // called once this has run.
    void stop();

    // From any thread; the callbacks run on the strand, where the applied state does not change.
    void propose(std::string payload, ProposalDone done);
    void proposeChange(const coordination::consensus::MemberChange &change, ProposalDone done);
    void read(coordination::consensus::ReadKind kind, ReadDone done);

    // Events from network and storage; may be called from any thread.
    void receive(const std::string &bytes);
    void persisted(std::uint64_t sequence);
    void persistFailed(const state::Error &error);
    void snapshotSaved(const coordination::consensus::SnapshotPointer &snapshot);

    // True while this member may send orders to endpoints; must be checked before each order. May
    // be called from any thread.
    bool maySendOrders() const;
    state::SnapshotView<ControlMemberStatus> status() const { return this->published.read(); }

private:
    using Machine = coordination::consensus::Consensus;
    struct PendingProposal
    {
        std::string payload;
        ProposalDone done;
    };

    ControlMember(boost::asio::io_context &io, const ControlMemberSettings &chosen, Machine built,
                  ControlMemberHooks memberHooks);

    void post(coordination::consensus::Event event);
    void step(const coordination::consensus::Event &event);
    void proposePending();
    void performActions(coordination::consensus::Actions actions);
    void sendMessages(const std::vector<coordination::consensus::Message> &messages);
    void applyCommitted(const coordination::consensus::Actions &actions);
    void answerCallers(const coordination::consensus::Actions &actions);
    void changeRole(const coordination::consensus::RoleChange &change);
    void takeSnapshot(const coordination::consensus::SnapshotRequest &wanted);
    void publish();
    void armTimer();
    std::optional<state::Address> addressOf(const state::VmId &id) const;

    boost::asio::strand<boost::asio::any_io_executor> strand;
    ControlMemberSettings settings;
    ControlMemberHooks hooks;

    std::mutex pendingProposalsMutex;
    // Proposed as one batch, with one write and one send.
    std::vector<PendingProposal> pendingProposals;

    // Read by any thread.
    state::Snapshot<ControlMemberStatus> published;
    std::atomic<std::int64_t> ordersFrom = 0;  // microseconds of the monotonic clock
    std::atomic<std::int64_t> ordersUntil = 0; // end of the lease; 0 without a lease

    // The rest is used on the strand only.
    Machine machine;
    boost::asio::steady_timer timer;
    state::Instant timerDeadline;
    bool stopped = false;
    std::uint64_t nextId = 1;
    std::map<std::uint64_t, ProposalDone> proposals;
    std::map<std::uint64_t, ReadDone> reads;
    // Answers to commands applied as leader and not yet returned to their callers, by log index.
    std::map<std::uint64_t, state::control::Answer> applied;
    // Addresses of senders, which may not be in the member set yet.
    std::map<state::VmId, state::Address> learnedAddresses;
};

} // namespace lavenderthread::program
