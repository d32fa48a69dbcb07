// Many membership state machines in one process, in virtual time, joined by a network that loses,
// delays, doubles and cuts on demand. Seeded; shared by the tests and the gossip bench.
#pragma once

#include "coordination/membership/Membership.h"

#include <functional>
#include <queue>
#include <vector>

namespace lavenderthread::coordination::membership {

struct FleetSettings
{
    std::size_t nodes = 18;
    double loss = 0;        // share of datagrams
    double duplication = 0; // share of datagrams that arrive twice
    state::Duration shortestDelay = std::chrono::milliseconds(1);
    state::Duration longestDelay = std::chrono::milliseconds(20); // delays differ, so order does
    std::uint64_t seed = 1;
    bool preload = true; // all know all members from the start, in place of joining
    std::function<void(MembershipSettings &)> adjust; // of every node
};

class GossipFleet
{
public:
    using Index = std::size_t;
    struct Delivery
    {
        state::Instant at;
        std::uint64_t serial = 0;
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
    // Runs until `done` holds, checked every 100 ms; gives the time, or -1 s if `limit` is reached.
    state::Duration runUntil(const std::function<bool()> &done, state::Duration limit);

    static state::VmId idOf(Index node);
    static state::Address addressOf(Index node);
    MembershipSettings settingsOf(Index node) const;
    Membership &at(Index node) { return this->machines[node]; }
    std::size_t size() const { return this->machines.size(); }
    state::Instant now() const { return this->current; }
    std::mt19937_64 &randomSource() { return this->random; }

    void kill(Index node) { this->down[node] = true; }
    void restart(Index node, std::uint64_t incarnation);
    void serve(Index node); // phase Serving and ready
    // False from it loses the datagram.
    std::function<bool(Index from, Index to)> passes;
    std::function<void(const Delivery &)> observer; // of every datagram that arrives

    void perform(Index node, const GossipActions &actions);
    bool isUp(Index node) const { return !this->down[node]; }
    // Nodes that are up, other than `subject`, and see it with this health.
    std::size_t seeing(Index subject, MemberHealth health);

private:
    void tickDue();
    void deliver(const Delivery &delivery);
    double chance() { return static_cast<double>(this->random() % 1'000'000) / 1e6; }

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
