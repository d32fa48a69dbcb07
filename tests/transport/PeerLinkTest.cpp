// Contract of the peer link on loopback: what is refused, and that it goes on afterwards.
#include "transport/PeerLink.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace lavenderthread::transport {

namespace asio = boost::asio;

namespace {

const protocol::SealKeys keys{{"cluster key"}};

// An io_context on a thread of its own, and one link that notes what it is told.
struct Endpoint
{
    explicit Endpoint(std::uint16_t port = 0)
        : guard(asio::make_work_guard(this->io))
        , thread([this] { this->io.run(); })
    {
        PeerLinkSettings settings;
        settings.listen = {"127.0.0.1", port};
        settings.frameBytes = 1000;
        settings.firstBackoff = std::chrono::milliseconds(2);
        this->link = PeerLink::listen(this->io, settings, keys,
                                      {[this](std::string bytes) { this->note(bytes); },
                                       [this](const state::Error &error) {
                                           this->note(std::string(toString(error.code)));
                                       }})
                             .value();
    }
    ~Endpoint()
    {
        this->link->stop();
        this->guard.reset();
        this->thread.join();
    }
    Endpoint(const Endpoint &) = delete;
    Endpoint &operator=(const Endpoint &) = delete;

    void note(const std::string &what)
    {
        const std::lock_guard lock(this->mutex);
        this->notes.push_back(what);
        this->changed.notify_all();
    }
    // The bound only ends a broken run; it decides nothing.
    bool waitFor(const std::string &what)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, std::chrono::seconds(20), [&] {
            return std::find(this->notes.begin(), this->notes.end(), what) != this->notes.end();
        });
    }
    bool sendsUntilHeard(Endpoint &other, const std::string &what) const
    {
        for (int attempt = 0; attempt < 200; ++attempt) {
            this->link->send(other.link->address(), what);
            std::unique_lock lock(other.mutex);
            const bool heard = other.changed.wait_for(lock, std::chrono::milliseconds(50), [&] {
                return std::find(other.notes.begin(), other.notes.end(), what) != other.notes.end();
            });
            if (heard)
                return true;
        }
        return false;
    }

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> notes;
    std::shared_ptr<PeerLink> link;
    std::thread thread;
};

std::string framed(const std::string &sealed, std::optional<std::size_t> length = std::nullopt)
{
    const std::size_t size = length.value_or(sealed.size());
    std::string frame;
    for (int byte = 3; byte >= 0; --byte)
        frame.push_back(static_cast<char>(size >> (8 * byte)));
    return frame + sealed;
}

void sendRaw(const state::Address &address, const std::string &bytes)
{
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address(address.ip), address.port});
    asio::write(socket, asio::buffer(bytes));
    boost::system::error_code closed; // the link may have refused the bytes and closed already
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, closed);
    boost::system::error_code ended;
    char unused = 0;
    socket.read_some(asio::buffer(&unused, 1), ended); // until the link has closed its side
}

} // namespace

class PeerLinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerLinkTest);
    CPPUNIT_TEST(refusesWhatIsNotAFrame);
    CPPUNIT_TEST(findsAPeerThatComesBack);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusesWhatIsNotAFrame()
    {
        const std::string good = protocol::seal(keys, "consensus", "hello");
        struct Case
        {
            std::string name;
            std::string bytes;
            std::string told; // the error's code, empty if the end is an usual one
        };
        const std::vector<Case> cases = {
                {"early close", "", ""},
                {"cut in the length", framed(good).substr(0, 2), ""},
                {"cut in the body", framed(good).substr(0, 10), "Corrupt"},
                {"too long", framed(good, 1001), "Corrupt"},
                {"hostile length", framed(good, 0xffffffff), "Corrupt"},
                {"shorter than a seal", framed("abc"), "Corrupt"},
                {"other key", framed(protocol::seal({{"other"}}, "consensus", "hello")),
                 "Unauthorized"},
                {"other use", framed(protocol::seal(keys, "gossip", "hello")), "Unauthorized"},
        };
        for (const Case &each : cases) {
            Endpoint endpoint;
            sendRaw(endpoint.link->address(), each.bytes);
            if (!each.told.empty())
                CPPUNIT_ASSERT_MESSAGE(each.name, endpoint.waitFor(each.told));
            sendRaw(endpoint.link->address(), framed(good) + framed(good));
            CPPUNIT_ASSERT_MESSAGE(each.name, endpoint.waitFor("hello"));
            const std::lock_guard lock(endpoint.mutex);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name,
                                         each.told.empty() ? std::string("hello") : each.told,
                                         endpoint.notes.front());
        }
    }

    // A peer restarts on the same address. The sender's connection ends, it backs off and connects
    // again by itself; messages in between may be lost, later ones arrive.
    void findsAPeerThatComesBack()
    {
        Endpoint sender;
        std::uint16_t port = 0;
        {
            Endpoint first;
            port = first.link->address().port;
            CPPUNIT_ASSERT(sender.sendsUntilHeard(first, "before"));
        }
        Endpoint second(port);
        CPPUNIT_ASSERT(sender.sendsUntilHeard(second, "after"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLinkTest);

} // namespace lavenderthread::transport
