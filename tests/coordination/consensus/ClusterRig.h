// Deterministic simulation of a consensus cluster from one seed: a network that loses, duplicates,
// delays and reorders messages, disks that lose unsynced writes, clocks that drift, pauses, lost
// disks and repairs. The safety checks run at every event; the first violation ends the run.
#pragma once

#include "coordination/consensus/Consensus.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <tuple>
#include <vector>

namespace lavenderthread::coordination::consensus {

// A safeguard that is disabled to show that the checks detect its absence.
enum class Mutation {
    None,
    AnswerBeforeSync, // writes are reported as synced at once
    VoteWithinLease,  // voters grant votes before the old leader's lease has ended
    SlowLeaderClock,  // a clock outside the drift bound, as if the lease ignored drift
    SameIdAfterLoss,  // a member that lost its disk returns empty under its old id
};

class ClusterRig
{
public:
    ClusterRig(std::uint64_t seed, Mutation chosenMutation);

    // The first violation; empty if all checks passed.
    std::optional<std::string> run();

    struct Counts
    {
        std::uint64_t events = 0;
        std::uint64_t acknowledged = 0;
        std::uint64_t leaders = 0;
        std::uint64_t crashes = 0;
        std::uint64_t lostDisks = 0;
        std::uint64_t plannedReplacements = 0;
        std::uint64_t snapshotsReceived = 0;
        std::uint64_t memberChanges = 0;
        std::uint64_t reads = 0;
    };
    const Counts &counts() const { return this->count; }

private:
    using GlobalTime = std::int64_t; // microseconds of true time

    struct Write
    {
        std::uint64_t sequence = 0; // 0: a snapshot taken by this node
        std::optional<state::log::HardState> hardState;
        SnapshotPointer snapshot;
        std::vector<state::log::LogEntry> entries;
    };
    struct Node
    {
        state::VmId id;
        StoredState disk;
        std::deque<Write> unsynced;
        std::optional<Consensus> machine; // empty while the process is down
        std::uint64_t incarnation = 0;
        std::int64_t clockOffset = 0;
        std::int64_t driftPerMille = 0;
        GlobalTime pausedUntil = 0;
        GlobalTime timerAt = -1;
        bool syncUnderWay = false;
        bool receiveBlocked = false;
        bool sendBlocked = false;
        bool diskLost = false;                     // permanently
        std::map<std::string, std::string> claims; // the applied state: key to winning claim
        std::uint64_t applied = 0;
    };
    struct Step
    {
        GlobalTime time = 0;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Step &other) const
        {
            return std::tie(other.time, other.order) < std::tie(this->time, this->order);
        }
    };

    // Simulation: time, network, disks, processes
    void scheduleAt(GlobalTime time, std::function<void()> work);
    void scheduleEvery(GlobalTime period, const std::function<void()> &work);
    state::Instant localTime(const Node &node, GlobalTime time) const;
    GlobalTime trueTime(const Node &node, state::Instant local) const;
    void slowClock(Node &node) const;
    void handleEvent(std::size_t index, const Event &event);
    void performActions(std::size_t index, Actions actions);
    void armTimer(std::size_t index);
    void transmit(const Message &message);
    void deliver(const Message &message);
    void startSync(std::size_t index);
    void endSync(std::size_t index, std::uint64_t incarnation, std::size_t writes);
    static void store(StoredState &disk, const Write &write);
    void apply(Node &node, const Actions &actions);
    void takeSnapshot(std::size_t index, const SnapshotRequest &wanted);

    // Faults, clients, operators
    void start(std::size_t index);
    void crash(std::size_t index);
    void loseDisk(std::size_t index);
    std::size_t addNode(const std::string &name);
    void injectFault();
    void isolate(std::size_t index, std::uint64_t duration);
    void isolateLeaderGradually();
    void cutLink(std::size_t index, std::size_t other);
    void heal();
    void propose();
    void proposeTo(std::size_t index);
    void requestReads();
    void runOperators();
    bool repaired() const;

    // Checks
    void fail(const std::string &what);
    void checkLeases();
    void checkAnswers(const Node &node, const Actions &actions);
    void checkEnd();

    bool chance(unsigned perMille) { return this->number(0, 999) < perMille; }
    std::uint64_t number(std::uint64_t low, std::uint64_t high)
    {
        return low + this->random() % (high - low + 1);
    }

    Mutation mutation;
    std::mt19937_64 random;
    Settings settings;
    std::deque<Node> nodes;
    std::set<std::pair<state::VmId, state::VmId>> cutLinks; // cut in both directions
    MemberSet target;                                       // member set that the operators aim for
    std::priority_queue<Step> queue;
    std::uint64_t order = 0;
    GlobalTime now = 0;
    bool faultsEnded = false;
    GlobalTime quietUntil = 0;
    bool secondLossDue = false;
    unsigned lossPerMille = 0;
    unsigned delayOrDuplicatePerMille = 0;

    std::optional<std::string> violation;
    // Committed entries, as first applied by any node.
    std::map<std::uint64_t, state::log::LogEntry> history;
    MemberSet committedMembers;
    std::map<ProposalId, std::string> proposed;             // payload by proposal id
    std::map<std::string, std::string> acknowledgedWinners; // key to acknowledged winner
    std::uint64_t acknowledgedIndex = 0;                    // highest acknowledged
    std::map<ReadId, std::uint64_t> minimumReadIndex; // acknowledgedIndex when the read was issued
    std::uint64_t nextId = 1;
    std::optional<ProposalId> lastProbe; // latest proposal made after the faults ended
    std::uint64_t probesCommitted = 0;
    Counts count;
};

} // namespace lavenderthread::coordination::consensus
