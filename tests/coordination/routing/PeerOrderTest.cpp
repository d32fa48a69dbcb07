// Tests which peers a node without paths asks first.
#include "coordination/routing/PeerOrder.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace lavenderthread::coordination::routing {

class PeerOrderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerOrderTest);
    CPPUNIT_TEST(peersOfOtherDomainsAreAmongTheFirst);
    CPPUNIT_TEST(peersThatCouldNotServeComeLast);
    CPPUNIT_TEST(failuresAreForgotten);
    CPPUNIT_TEST_SUITE_END();

    const state::Instant now{std::chrono::seconds(100)};

    static std::vector<state::Address> addresses(const std::string &network, int count)
    {
        std::vector<state::Address> made;
        for (int index = 1; index <= count; ++index)
            made.push_back({network + "." + std::to_string(index), 80});
        return made;
    }

    const RelayPeers peers{addresses("10.0.1", 28), addresses("10.0.2", 88)};

public:
    // Guards against asking only peers that have lost their paths with the whole failure domain.
    void peersOfOtherDomainsAreAmongTheFirst()
    {
        PeerOrder order(1);
        const auto drawn = order.draw(this->peers, this->now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(28 + 88), drawn.size());
        const auto isDistant = [&](const state::Address &each) {
            return std::ranges::find(this->peers.distant, each) != this->peers.distant.end();
        };
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(3),
                             std::count_if(drawn.begin(), drawn.begin() + 6, isDistant));
    }

    // Guards against requests that each ask the same peers in vain again.
    void peersThatCouldNotServeComeLast()
    {
        PeerOrder order(1);
        for (const state::Address &peer : this->peers.nearby)
            order.couldNotServe(peer, this->now);
        order.served(this->peers.nearby.front());
        const auto drawn = order.draw(this->peers, this->now);
        const auto place = [&drawn](const state::Address &peer) {
            return std::ranges::find(drawn, peer) - drawn.begin();
        };
        CPPUNIT_ASSERT(place(this->peers.nearby.front()) < 89);
        for (std::size_t index = 1; index < this->peers.nearby.size(); ++index)
            CPPUNIT_ASSERT(place(this->peers.nearby[index]) >= 89);
    }

    void failuresAreForgotten()
    {
        PeerOrder order(1);
        order.couldNotServe(this->peers.nearby.front(), this->now);
        const RelayPeers two{{this->peers.nearby.front()}, {this->peers.distant.front()}};
        CPPUNIT_ASSERT(order.draw(two, this->now).back() == two.nearby.front());
        const auto later = this->now + std::chrono::seconds(3);
        CPPUNIT_ASSERT(order.draw(two, later).front() == two.nearby.front());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerOrderTest);

} // namespace lavenderthread::coordination::routing
