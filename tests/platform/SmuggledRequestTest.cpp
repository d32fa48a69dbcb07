// Tests that an endpoint gets the requests of callers and no others, whatever ids endpoints and
// accounts have.
#include "RelayFixture.h"

#include "fakes/EveryByte.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace lavenderthread::platform {

namespace {

using Kind = state::routes::CallKind;

// Takes one connection after the other, keeps all their bytes up to a blank line and the two bytes
// of the fixture's body, and answers each with success.
class ByteRecorder
{
public:
    ByteRecorder()
        : acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(this->context, this->serve(), asio::detached);
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~ByteRecorder()
    {
        this->context.stop();
        this->thread.join();
    }
    ByteRecorder(const ByteRecorder &) = delete;
    ByteRecorder &operator=(const ByteRecorder &) = delete;

    state::Address address() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

    std::vector<std::string> takeRequests()
    {
        const std::lock_guard lock(this->mutex);
        return std::exchange(this->requests, {});
    }

private:
    asio::awaitable<void> serve()
    {
        constexpr std::string_view body = "{}";
        while (true) {
            asio::ip::tcp::socket socket =
                    co_await this->acceptor.async_accept(asio::use_awaitable);
            std::string received;
            std::array<char, 4096> part{};
            while (!received.ends_with(std::string("\r\n\r\n") + std::string(body))) {
                const auto [problem, count] = co_await socket.async_read_some(
                        asio::buffer(part), asio::as_tuple(asio::use_awaitable));
                if (problem)
                    break;
                received.append(part.data(), count);
            }
            {
                const std::lock_guard lock(this->mutex);
                this->requests.push_back(received);
            }
            const std::string answer = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
                                       "Content-Length: 0\r\n\r\n";
            co_await asio::async_write(socket, asio::buffer(answer),
                                       asio::as_tuple(asio::use_awaitable));
        }
    }

    std::mutex mutex;
    std::vector<std::string> requests;
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++found;
    return found;
}

} // namespace

class SmuggledRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SmuggledRequestTest);
    CPPUNIT_TEST(idOfAnEndpointBeginsNoOtherRequest);
    CPPUNIT_TEST(endpointWithAnImpossibleIdCostsNoRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an id that ends the head early: the endpoint runs what stands behind as a
    // request of the caller's account.
    void idOfAnEndpointBeginsNoOtherRequest()
    {
        ByteRecorder endpoint;
        RelayFixture fixture(Kind::NonIdempotent, {});
        for (const std::string &id : fakes::textsWithEveryByte()) {
            fixture.announceAs(id, endpoint.address());
            CPPUNIT_ASSERT(fixture.call().has_value());
            for (const std::string &bytes : endpoint.takeRequests()) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::size_t(1), count(bytes, "\r\n\r\n"));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::size_t(1),
                                             count(bytes, "\r\nExpect-Instance: " + id + "\r\n"));
                CPPUNIT_ASSERT_MESSAGE(bytes, id.find_first_of("\r\n\0", 0, 3) == id.npos);
            }
        }
    }

    // Guards against a record that can't be used, in a table from an earlier version, which takes
    // attempts away from the sound endpoints.
    void endpointWithAnImpossibleIdCostsNoRequest()
    {
        ByteRecorder endpoint;
        RelayFixture fixture(Kind::NonIdempotent, {});
        constexpr int impossible = 3;
        constexpr int calls = 20;
        fixture.announce(endpoint.address(), 1);
        for (int index = 0; index < impossible; ++index)
            fixture.announceAs("a\r\nb" + std::to_string(index), endpoint.address(), true);
        for (int index = 0; index < calls; ++index)
            CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(calls), endpoint.takeRequests().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SmuggledRequestTest);

} // namespace lavenderthread::platform
