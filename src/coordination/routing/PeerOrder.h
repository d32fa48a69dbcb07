// Chooses which peers a node without paths to the endpoints asks to serve a request, and in which
// order.
#pragma once

#include "state/Address.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace lavenderthread::coordination::routing {

// Peers that may have paths to the endpoints, by their place.
struct RelayPeers
{
    std::vector<state::Address> nearby; // in the node's own failure domain
    std::vector<state::Address> distant;

    bool operator==(const RelayPeers &) const = default;

    bool empty() const { return this->nearby.empty() && this->distant.empty(); }
};

// Peers of the own failure domain and others are asked in turn: what takes this node's links may
// have taken those of its whole domain. Those that could not serve a moment ago come last.
class PeerOrder
{
public:
    explicit PeerOrder(std::uint64_t seed)
        : random(seed)
    {}

    std::vector<state::Address> draw(const RelayPeers &peers, state::Instant now);
    // The peer was not reached, or has no path either.
    void couldNotServe(const state::Address &peer, state::Instant now);
    void served(const state::Address &peer) { this->failedAt.erase(peer); }

private:
    std::vector<state::Address> alternate(RelayPeers peers);

    std::mt19937_64 random;
    std::map<state::Address, state::Instant> failedAt; // recent ones
};

} // namespace lavenderthread::coordination::routing
