// Simulates several quota nodes in virtual time, with a network that loses, delays and duplicates
// messages, different clock rates, crashes and partitions. Each start of a request checks the sums
// over all nodes against the limits.
#pragma once

#include "coordination/quota/QuotaNode.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace lavenderthread::coordination::quota {

struct FleetFaults
{
    double loss = 0;
    double duplication = 0;
    state::Duration minimumDelay = std::chrono::milliseconds(1);
    state::Duration maximumDelay = std::chrono::milliseconds(1);
    double clockSkew = 0; // largest relative error of each clock rate, fast or slow
};

// Requests of one account that arrive at one node.
struct Workload
{
    std::size_t node = 0;
    state::TableKey account;
    double arrivalsPerSecond = 0;
    state::Duration serviceTime = std::chrono::milliseconds(500); // mean
    state::Duration deadline = std::chrono::seconds(10);
    std::uint64_t tokens = 0;
};

class SimulatedQuotaFleet
{
public:
    SimulatedQuotaFleet(std::size_t size, QuotaSettings settings, FleetFaults faults,
                        std::uint64_t seed);

    void setRow(const state::TableRow &row); // at all nodes at once
    void configure(const std::vector<std::size_t> &members, std::uint64_t version, std::size_t at);
    void addWorkload(const Workload &workload);
    void clearWorkloads() { this->workloads.clear(); }
    void run(state::Duration length);
    void at(state::Duration fromNow, std::function<void()> action);

    void crash(std::size_t node); // its requests end and its state is lost
    void restart(std::size_t node);
    bool isUp(std::size_t node) const { return this->nodes[node].quota != nullptr; }
    // Messages pass only between nodes of the same side.
    void partition(const std::function<int(std::size_t)> &sideOf);
    void heal()
    {
        this->partition([](std::size_t) { return 0; });
    }

    std::uint64_t running(const state::TableKey &account) const;
    std::uint64_t started(const state::TableKey &account) const;
    // Largest excess so far: requests above the limit, and tokens above rate * (time + burst).
    std::uint64_t worstExcessSlots() const { return this->excessSlots; }
    double worstExcessTokens() const { return this->excessTokens; }
    QuotaNode &quota(std::size_t node) { return *this->nodes[node].quota; }
    state::Instant localNow(std::size_t node) const;

    std::function<void(std::size_t from, const OutgoingQuotaMessage &)> onSend; // may be empty

private:
    struct WaitingRequest
    {
        state::Instant deadline; // local time of the node
        state::Duration serviceTime;
        std::uint64_t tokens;
    };

    struct Node
    {
        std::unique_ptr<QuotaNode> quota; // null while down
        std::uint64_t incarnation = 1;
        double clockRate = 1;
        state::Duration clockOffset{0};
        int side = 0;
        std::map<state::TableKey, std::deque<WaitingRequest>> waiting;
        std::map<state::TableKey, std::uint64_t> running;
    };

    struct Event
    {
        state::Instant when;
        std::uint64_t order;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return std::pair(this->when, this->order) > std::pair(other.when, other.order);
        }
    };

    struct AccountTotals
    {
        state::TableRow row;
        double tokenLevel = 0; // of one bucket for the whole fleet; below 0 on an excess
        state::Instant filledUntil{};
        std::uint64_t started = 0;
    };

    void startNode(std::size_t node, state::Duration rosterAge);
    void tick(std::size_t node);
    void arrive(std::size_t workload);
    void startWaiting(std::size_t node, const state::TableKey &account);
    void checkLimits(const state::TableKey &account, std::uint64_t tokens);
    void send(std::size_t from, const std::vector<OutgoingQuotaMessage> &messages);
    void deliver(std::size_t from, std::size_t to, const QuotaMessage &message);
    double randomFraction() { return static_cast<double>(this->random() >> 11U) * 0x1p-53; }

    QuotaSettings settings;
    FleetFaults faults;
    std::mt19937_64 random;
    std::vector<Node> nodes;
    Roster roster;
    std::vector<Workload> workloads;
    std::map<state::TableKey, AccountTotals> accountTotals;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t nextOrder = 0;
    state::Instant now{std::chrono::hours(1)};
    std::uint64_t excessSlots = 0;
    double excessTokens = 0;
};

state::VmId fleetVm(std::size_t node);

} // namespace lavenderthread::coordination::quota
