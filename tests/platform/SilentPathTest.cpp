// Tests an entry whose connections to all endpoints are never accepted, with its real path monitor.
#include "RelayFixture.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::platform {

namespace {

// Listens with a full queue, so that the kernel drops what opens further connections.
class UnacceptedPort
{
public:
    UnacceptedPort()
        : acceptor(this->context)
    {
        this->acceptor.open(asio::ip::tcp::v4());
        this->acceptor.bind({asio::ip::address_v4::loopback(), 0});
        this->acceptor.listen(0);
        constexpr int moreThanQueued = 4;
        for (int index = 0; index < moreThanQueued; ++index) {
            this->waiting.emplace_back(this->context);
            // Begins at once; the context never runs, so nobody waits for its end.
            this->waiting.back().async_connect(this->acceptor.local_endpoint(),
                                               [](const boost::system::error_code &) {});
        }
    }

    std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::vector<asio::ip::tcp::socket> waiting;
};

} // namespace

class SilentPathTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SilentPathTest);
    CPPUNIT_TEST(firstRequestsAreServedThroughPeers);
    CPPUNIT_TEST_SUITE_END();

    using Kind = state::routes::CallKind;

public:
    // Guards against an entry with few requests whose first ones after the loss of its paths end
    // before it has learned of the loss.
    void firstRequestsAreServedThroughPeers()
    {
        const UnacceptedPort unaccepted;
        RelayFixture fixture(Kind::NonIdempotent, {Behaviour::Answers, Behaviour::Answers}, false,
                             {PeerBehaviour::Serves});
        fixture.losePaths(unaccepted.port());
        for (int call = 0; call < 3; ++call) {
            protocol::HttpRequest request = RelayFixture::request();
            request.headers = {{"Host", "h"},
                               {"Request-Id", "r" + std::to_string(call)},
                               {"Request-Deadline", "1000"}};
            CPPUNIT_ASSERT_EQUAL(200U, fixture.call(std::move(request)).value().status);
        }
        CPPUNIT_ASSERT(fixture.servesThroughPeer());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentPathTest);

} // namespace lavenderthread::platform
