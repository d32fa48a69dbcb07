#include "Crowd.h"

#include "transport/Await.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <poll.h>

#include <algorithm>
#include <array>
#include <utility>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds betweenConnections{50};
constexpr milliseconds closeCheckInterval{100};
constexpr std::size_t readBytes = 16U << 10U;

bool hasBeenClosed(tcp::socket &socket)
{
    pollfd watched{socket.native_handle(), POLLRDHUP, 0};
    return !socket.is_open() || ::poll(&watched, 1, 0) > 0;
}

} // namespace

Crowd::Crowd(asio::io_context &context, CrowdScript script, std::size_t connections)
    : context(context)
    , script(std::move(script))
    , connections(connections)
{}

void Crowd::start()
{
    for (std::size_t index = 0; index < this->connections; ++index)
        asio::co_spawn(this->context, this->connectForEver(), asio::detached);
}

void Crowd::stop()
{
    this->stopped = true;
}

asio::awaitable<void> Crowd::connectForEver()
{
    const auto self = this->shared_from_this();
    const tcp::endpoint to(asio::ip::make_address(this->script.to.ip), this->script.to.port);
    while (!this->stopped) {
        const auto socket = std::make_shared<Socket>(this->context);
        const auto [problem] =
                co_await socket->async_connect(to, asio::as_tuple(asio::use_awaitable));
        if (!problem) {
            ++this->made;
            co_await this->play(socket);
        }
        boost::system::error_code ignored;
        socket->close(ignored);
        co_await transport::pause(betweenConnections);
    }
}

asio::awaitable<void> Crowd::play(std::shared_ptr<Socket> socket)
{
    bool open = true;
    while (open && !this->stopped) {
        open = co_await this->sendAll(*socket);
        if (!open || !this->script.again)
            break;
        std::array<char, readBytes> sink{};
        const auto [problem, bytes] = co_await socket->async_read_some(
                asio::buffer(sink), asio::as_tuple(asio::use_awaitable));
        open = !problem;
    }
    boost::system::error_code ignored;
    if (open && this->script.closesSending)
        socket->shutdown(tcp::socket::shutdown_send, ignored);
    if (open)
        co_await this->waitForClose(*socket);
}

// False: the connection has ended.
asio::awaitable<bool> Crowd::sendAll(Socket &socket) const
{
    const auto [headProblem, headBytes] = co_await asio::async_write(
            socket, asio::buffer(this->script.head), asio::as_tuple(asio::use_awaitable));
    if (headProblem)
        co_return false;
    std::uint64_t left = this->script.bytes;
    while (left > 0 && !this->stopped) {
        const std::size_t size = std::min<std::uint64_t>(left, this->script.unit.size());
        const auto [problem, bytes] =
                co_await asio::async_write(socket, asio::buffer(this->script.unit.data(), size),
                                           asio::as_tuple(asio::use_awaitable));
        if (problem)
            co_return false;
        left -= left == CrowdScript::endless ? 0 : size;
        if (this->script.pause.count() > 0)
            co_await transport::pause(this->script.pause);
    }
    co_return true;
}

asio::awaitable<void> Crowd::waitForClose(Socket &socket) const
{
    std::string sink(readBytes, '\0');
    while (!this->stopped && !hasBeenClosed(socket)) {
        boost::system::error_code problem;
        if (this->script.reads && socket.available(problem) > 0)
            socket.read_some(asio::buffer(sink), problem);
        else
            co_await transport::pause(closeCheckInterval);
    }
}

} // namespace lavenderthread::soak
