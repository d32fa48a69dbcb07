#include "Proxy.h"

#include "transport/Await.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <fcntl.h>

#include <array>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds delay{40};
constexpr std::chrono::milliseconds silenceStep{20};
// When the sender's TCP gives up on bytes that a lost link leaves unacknowledged. The proxy's host
// acknowledges them, so the proxy closes the connection at that time.
constexpr std::chrono::milliseconds unacknowledgedTime{1'500};
constexpr std::size_t pieceBytes = 16U << 10U;

tcp::endpoint endpointOf(const state::Address &address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

state::Address peerOf(const tcp::socket &socket)
{
    boost::system::error_code ignored;
    const tcp::endpoint peer = socket.remote_endpoint(ignored);
    return {peer.address().to_string(), peer.port()};
}

// Processes that are started later must not inherit the socket: closing it here would not close it.
template <typename Socket>
void closeOnExec(Socket &socket)
{
    ::fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
}

} // namespace

struct Proxy::Pair
{
    Pair(tcp::socket caller, asio::io_context &context)
        : caller(std::move(caller))
        , endpoint(context)
    {}

    void close()
    {
        boost::system::error_code ignored;
        this->caller.close(ignored);
        this->endpoint.close(ignored);
    }

    tcp::socket caller;
    tcp::socket endpoint;
    LinkFault fault = LinkFault::None; // of this connection only
    int directions = 2;
};

Proxy::Proxy(asio::io_context &context, const state::Address &listen, state::Address target)
    : context(context)
    , listen(listen)
    , acceptor(context, endpointOf(listen))
    , target(std::move(target))
{
    closeOnExec(this->acceptor);
}

void Proxy::start()
{
    asio::co_spawn(this->context, this->acceptAll(), asio::detached);
}

void Proxy::resetAll()
{
    for (const auto &pair : this->pairs) {
        boost::system::error_code ignored;
        pair->caller.set_option(asio::socket_base::linger(true, 0), ignored);
        pair->endpoint.set_option(asio::socket_base::linger(true, 0), ignored);
        pair->close();
    }
}

void Proxy::endTarget()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    for (const auto &pair : this->pairs)
        pair->close();
}

void Proxy::listenAgain()
{
    this->acceptor = tcp::acceptor(this->context, endpointOf(this->listen));
    closeOnExec(this->acceptor);
    this->start();
}

asio::awaitable<void> Proxy::acceptAll()
{
    while (true) {
        auto [problem, socket] =
                co_await this->acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (problem)
            co_return;
        const LinkFault own =
                this->faultOf ? this->faultOf(peerOf(socket), this->listen) : LinkFault::None;
        if (this->fault == LinkFault::Refused || own == LinkFault::Refused)
            continue;
        const auto pair = std::make_shared<Pair>(std::move(socket), this->context);
        pair->fault = own;
        const tcp::endpoint to = endpointOf(this->target);
        auto [unreachable] =
                co_await pair->endpoint.async_connect(to, asio::as_tuple(asio::use_awaitable));
        if (unreachable)
            continue;
        closeOnExec(pair->caller);
        closeOnExec(pair->endpoint);
        this->pairs.insert(pair);
        asio::co_spawn(this->context, this->carry(pair, false), asio::detached);
        asio::co_spawn(this->context, this->carry(pair, true), asio::detached);
    }
}

asio::awaitable<void> Proxy::carry(std::shared_ptr<Pair> pair, bool fromTarget)
{
    tcp::socket &from = fromTarget ? pair->endpoint : pair->caller;
    tcp::socket &to = fromTarget ? pair->caller : pair->endpoint;
    std::array<char, pieceBytes> piece{};
    while (true) {
        auto [problem, size] = co_await from.async_read_some(asio::buffer(piece),
                                                             asio::as_tuple(asio::use_awaitable));
        if (problem)
            break;
        if (pair->fault == LinkFault::Unreachable) {
            co_await transport::pause(unacknowledgedTime);
            break;
        }
        if (this->fault == LinkFault::Delayed)
            co_await transport::pause(delay);
        while (this->fault == LinkFault::Silent
               || (this->fault == LinkFault::SilentAnswers && fromTarget))
            co_await transport::pause(silenceStep);
        auto [lost, written] = co_await asio::async_write(to, asio::buffer(piece.data(), size),
                                                          asio::as_tuple(asio::use_awaitable));
        if (lost)
            break;
    }
    boost::system::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
    if (--pair->directions == 0 || !fromTarget) {
        pair->close();
        this->pairs.erase(pair);
    }
}

} // namespace lavenderthread::soak
