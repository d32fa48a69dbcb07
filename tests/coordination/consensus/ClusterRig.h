// A whole cluster of consensus machines under one seed: a network that loses, doubles, delays and
// reorders, disks that forget what was not synced, clocks that drift, pauses, lost disks and
// repairs. Everything is checked at every event; the first violation ends the run.
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

// A safeguard taken away, to show that the checks would notice.
enum class Mutation {
    None,
    AnswerBeforeSync, // writes are reported as synced at once
    VoteWithinLease,  // voters do not wait until the promise to the old leader has ended
    SlowLeaderClock,  // a clock outside the drift bound, as if the lease took no drift off
    SameIdAfterLoss,  // a member with a lost disk comes back empty under its old identity
};

class ClusterRig
{
public:
    ClusterRig(std::uint64_t seed, Mutation chosenMutation);

    // The first violation; nothing if all held.
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
        std::uint64_t sequence = 0; // 0: an own snapshot
        std::optional<state::log::HardState> hardState;
        SnapshotPointer snapshot;
        std::vector<state::log::LogEntry> entries;
    };
    struct Node
    {
        state::VmId id;
        Stored disk;
        std::deque<Write> unsynced;
        std::optional<Consensus> machine; // none while the process is down
        std::uint64_t incarnation = 0;
        std::int64_t clockOffset = 0;
        std::int64_t driftPerMille = 0;
        GlobalTime pausedUntil = 0;
        GlobalTime timerAt = -1;
        bool syncUnderWay = false;
        bool hearsNobody = false;
        bool reachesNobody = false;
        bool diskLost = false;                     // for good
        std::map<std::string, std::string> claims; // the applied state: key, winner
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

    // Driving
    void at(GlobalTime time, std::function<void()> work);
    void every(GlobalTime period, const std::function<void()> &work);
    state::Instant localTime(const Node &node, GlobalTime time) const;
    GlobalTime trueTime(const Node &node, state::Instant local) const;
    void slowClock(Node &node) const;
    void give(std::size_t index, const Event &event);
    void perform(std::size_t index, Actions actions);
    void armTimer(std::size_t index);
    void transmit(const Message &message);
    void deliver(const Message &message);
    void startSync(std::size_t index);
    void endSync(std::size_t index, std::uint64_t incarnation, std::size_t writes);
    static void store(Stored &disk, const Write &write);
    void apply(Node &node, const Actions &actions);
    void takeSnapshot(std::size_t index, const SnapshotWanted &wanted);

    // Faults, callers, operators
    void start(std::size_t index);
    void crash(std::size_t index);
    void loseDisk(std::size_t index);
    std::size_t addNode(const std::string &name);
    void fault();
    void isolate(std::size_t index, std::uint64_t duration);
    void fadeLeader();
    void cutLink(std::size_t index, std::size_t other);
    void heal();
    void propose();
    void proposeTo(std::size_t index);
    void ask();
    void operate();
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
    std::set<std::pair<state::VmId, state::VmId>> cutLinks; // neither way
    MemberSet target;                                       // what the operators want
    std::priority_queue<Step> queue;
    std::uint64_t order = 0;
    GlobalTime now = 0;
    bool calm = false;
    GlobalTime quietUntil = 0;
    bool secondLossDue = false;
    unsigned lossPerMille = 0;
    unsigned latePerMille = 0;

    std::optional<std::string> violation;
    std::map<std::uint64_t, state::log::LogEntry> history; // committed, as first applied anywhere
    MemberSet committedMembers;
    std::map<ProposalId, std::string> proposed; // payload
    std::map<std::string, std::string> granted; // key, told winner
    std::uint64_t acknowledgedIndex = 0;        // highest
    std::map<ReadId, std::uint64_t> readFloor;  // acknowledgedIndex when the read was asked
    std::uint64_t nextId = 1;
    std::optional<ProposalId> lastProbe; // proposals made in calm
    std::uint64_t probesCommitted = 0;
    Counts count;
};

} // namespace lavenderthread::coordination::consensus
