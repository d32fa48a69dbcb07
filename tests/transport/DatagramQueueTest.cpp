// What happens to datagrams that can't go out at once.
#include "transport/DatagramQueue.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

namespace lavenderthread::transport {

class DatagramQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DatagramQueueTest);
    CPPUNIT_TEST(aFanOutBeyondTheRoomReachesAll);
    CPPUNIT_TEST(newsArriveInTheirOrder);
    CPPUNIT_TEST(theOldestIsDroppedAtTheBound);
    CPPUNIT_TEST(aRefusedDatagramHoldsNothingUp);
    CPPUNIT_TEST_SUITE_END();

    // A link with room for so many bytes.
    struct System
    {
        std::size_t room = 0;
        std::vector<std::pair<std::string, std::string>> sent; // address, datagram

        DatagramQueue::Transmit transmit()
        {
            return [this](const state::Address &to, std::string_view datagram) {
                if (to.ip.empty())
                    return Sent::Refused;
                if (datagram.size() > this->room)
                    return Sent::Blocked;
                this->room -= datagram.size();
                this->sent.emplace_back(to.toString(), std::string(datagram));
                return Sent::Taken;
            };
        }
    };

    static state::Address peer(std::size_t index)
    {
        return {"10.0.0." + std::to_string(index), 7'000};
    }

public:
    void aFanOutBeyondTheRoomReachesAll()
    {
        // An entry tells 116 peers that a review's prompt takes 17 engines. The link has room for
        // 60 of the datagrams. The other 56 peers used to hear nothing, thought the engines free,
        // and sent narratives there: their callers saw pauses of 1.4 s.
        constexpr std::size_t peers = 116;
        const std::string note(900, 'n');
        System system{60 * note.size(), {}};
        DatagramQueue queue(system.transmit());
        for (std::size_t index = 0; index < peers; ++index)
            queue.send(peer(index), note);
        CPPUNIT_ASSERT_EQUAL(std::size_t(60), system.sent.size());
        while (!queue.empty()) {
            system.room += 10 * note.size();
            queue.flush();
        }
        CPPUNIT_ASSERT_EQUAL(peers, system.sent.size());
        for (std::size_t index = 0; index < peers; ++index)
            CPPUNIT_ASSERT_EQUAL(peer(index).toString(), system.sent[index].first);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), queue.dropped());
    }

    void newsArriveInTheirOrder()
    {
        // A later, smaller datagram would fit; it waits behind the one that does not.
        System system{100, {}};
        DatagramQueue queue(system.transmit());
        queue.send(peer(1), std::string(90, 'a'));
        queue.send(peer(1), std::string(50, 'b'));
        queue.send(peer(1), std::string(5, 'c'));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), system.sent.size());
        system.room = 100;
        queue.flush();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), system.sent.size());
        CPPUNIT_ASSERT_EQUAL('b', system.sent[1].second.front());
        CPPUNIT_ASSERT_EQUAL('c', system.sent[2].second.front());
    }

    void theOldestIsDroppedAtTheBound()
    {
        System system;
        DatagramQueue queue(system.transmit());
        const std::string datagram(1'024, 'd');
        const std::size_t most = DatagramQueue::mostBytes / datagram.size();
        for (std::size_t index = 0; index < most + 3; ++index)
            queue.send(peer(index), datagram);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), queue.dropped());
        system.room = datagram.size();
        queue.flush();
        CPPUNIT_ASSERT_EQUAL(peer(3).toString(), system.sent.front().first);
    }

    void aRefusedDatagramHoldsNothingUp()
    {
        System system{1'000, {}};
        DatagramQueue queue(system.transmit());
        queue.send({}, "to nowhere");
        queue.send(peer(1), "to somebody");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), system.sent.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), queue.refused());
        CPPUNIT_ASSERT(queue.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatagramQueueTest);

} // namespace lavenderthread::transport
