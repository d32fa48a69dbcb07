// Simulates many Membership state machines in one process and in virtual time. The simulated
// network can lose, delay, duplicate and block datagrams. Runs are reproducible by their seed.
// Shared by the tests and the gossip benchmark.
#pragma once

#include "coordination/membership/Membership.h"

#include <functional>
#include <queue>
#include <vector>

namespace lavenderthread::coordination::membership {

struct FleetSettings
{
    std::size_t nodes = 18;
    double loss = 0;        // share of datagrams that are lost, 0 to 1
    double duplication = 0; // share of datagrams that are sent twice, 0 to 1
    state::Duration shortestDelay = std::chrono::milliseconds(1);
    state::Duration longestDelay = std::chrono::milliseconds(20); // random, so the order differs
    std::uint64_t seed = 1;
    bool preload = true; // all members know each other from the start and don't need to join
    std::function<void(MembershipSettings &)> adjust; // called with the settings of every node
};

class GossipFleet
{
public:
    using Index = std::size_t;
    // A datagram on its way.
    struct Delivery
    {
        state::Instant at;
        std::uint64_t serial = 0; // order among deliveries of the same time
        Index to = 0;
        state::Address from;
        GossipMessage message;

        bool operator>(const Delivery &other) const
        {
            return std::tie(this->at, this->serial) > std::tie(other.at, other.serial);
        }
    };

    explicit GossipFleet(FleetSettings chosen);

    void run(state::Duration time);
    // Runs until `done` returns true, checked every 100 ms. Returns the time it took, or -1 s if
    // `limit` is reached first.
    state::Duration runUntil(const std::function<bool()> &done, state::Duration limit);

    static state::VmId idOf(Index node);
    static state::Address addressOf(Index node);
    MembershipSettings settingsOf(Index node) const;
    Membership &at(Index node) { return this->machines[node]; }
    std::size_t size() const { return this->machines.size(); }
    state::Instant now() const { return this->current; }
    std::mt19937_64 &randomSource() { return this->random; }

    // Stops the node: it gets no more ticks and datagrams.
    void kill(Index node) { this->down[node] = true; }
    void restart(Index node, std::uint64_t incarnation);
    void serve(Index node); // phase Serving and ready
    // A datagram for which it returns false is lost. May be empty.
    std::function<bool(Index from, Index to)> linkFilter;
    std::function<void(const Delivery &)> observer; // of every datagram that arrives; may be empty

    // Puts the datagrams of `actions`, which `node` sends, on the network.
    void perform(Index node, const GossipActions &actions);
    bool isUp(Index node) const { return !this->down[node]; }
    // Returns the number of running nodes other than `subject` that record it with this health.
    std::size_t countViews(Index subject, MemberHealth health);

private:
    void runDueTicks();
    void deliver(const Delivery &delivery);
    // Returns a random number from 0 to below 1.
    double randomFraction() { return static_cast<double>(this->random() % 1'000'000) / 1e6; }

    FleetSettings settings;
    std::mt19937_64 random;
    state::Instant current = state::Instant(std::chrono::seconds(100));
    std::vector<Membership> machines;
    std::vector<bool> down;
    std::vector<state::Instant> nextTick;
    std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> deliveries;
    std::uint64_t serial = 0;
};

} // namespace lavenderthread::coordination::membership
