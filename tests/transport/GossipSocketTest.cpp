// Datagrams over loopback, at the pace that was asked for.
#include "transport/GossipSocket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace lavenderthread::transport {

class GossipSocketTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GossipSocketTest);
    CPPUNIT_TEST(aFanOutIsSpreadOverTheLinksTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void aFanOutIsSpreadOverTheLinksTime()
    {
        // One note for each of 116 peers of a large fleet, 500 bytes each, on a slow link. Sent in
        // one burst, the link drops what is beyond its queue, and the last peers place their work
        // blind. They go out as the link takes them, and all arrive.
        using namespace std::chrono_literals;
        constexpr std::size_t peers = 116;
        constexpr std::size_t bytes = 500;
        boost::asio::io_context context;
        std::size_t arrived = 0;
        const state::Address any{"127.0.0.1", 0};
        const auto receiver = GossipSocket::create(
                boost::asio::make_strand(context), any,
                [&arrived](std::string_view, const state::Address &) { ++arrived; });
        const auto sender = GossipSocket::create(
                boost::asio::make_strand(context), any,
                [](std::string_view, const state::Address &) {}, DatagramPace{400'000, 16'000});
        CPPUNIT_ASSERT(receiver && sender);
        receiver.value()->start();
        for (std::size_t index = 0; index < peers; ++index)
            sender.value()->send(receiver.value()->address(), std::string(bytes, 'n'));
        context.poll();
        CPPUNIT_ASSERT(arrived * bytes <= 20'000);
        const auto start = std::chrono::steady_clock::now();
        while (arrived < peers && std::chrono::steady_clock::now() < start + 10s)
            context.run_for(5ms);
        CPPUNIT_ASSERT_EQUAL(peers, arrived);
        // 61,000 bytes with their headers, 16,000 at once, the rest at 400,000 a second.
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >= 80ms);
        sender.value()->close();
        receiver.value()->close();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipSocketTest);

} // namespace lavenderthread::transport
