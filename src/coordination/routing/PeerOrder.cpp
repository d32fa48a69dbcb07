#include "coordination/routing/PeerOrder.h"

#include <algorithm>

namespace lavenderthread::coordination::routing {

namespace {

// By then a peer that has lost its paths says so in its membership record.
constexpr state::Duration failureMemory = std::chrono::seconds(2);

} // namespace

std::vector<state::Address> PeerOrder::alternate(RelayPeers peers)
{
    std::ranges::shuffle(peers.nearby, this->random);
    std::ranges::shuffle(peers.distant, this->random);
    std::vector<state::Address> order;
    for (std::size_t index = 0; index < std::max(peers.nearby.size(), peers.distant.size());
         ++index) {
        if (index < peers.nearby.size())
            order.push_back(peers.nearby[index]);
        if (index < peers.distant.size())
            order.push_back(peers.distant[index]);
    }
    return order;
}

std::vector<state::Address> PeerOrder::draw(const RelayPeers &peers, state::Instant now)
{
    std::erase_if(this->failedAt,
                  [now](const auto &each) { return now - each.second >= failureMemory; });
    std::vector<state::Address> order = this->alternate(peers);
    std::stable_partition(order.begin(), order.end(), [this](const state::Address &each) {
        return !this->failedAt.contains(each);
    });
    return order;
}

void PeerOrder::couldNotServe(const state::Address &peer, state::Instant now)
{
    this->failedAt[peer] = now;
}

} // namespace lavenderthread::coordination::routing
