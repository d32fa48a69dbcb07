#include "transport/ConnectProbe.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <utility>

namespace lavenderthread::transport {

namespace asio = boost::asio;
using asio::ip::tcp;

asio::awaitable<PortState> probePort(asio::any_io_executor executor, state::Address peer,
                                     std::chrono::milliseconds timeout)
{
    boost::system::error_code problem;
    const auto ip = asio::ip::make_address(peer.ip, problem);
    if (problem)
        co_return PortState::Unknown;
    boost::beast::tcp_stream stream(std::move(executor));
    stream.expires_after(timeout);
    const tcp::endpoint endpoint(ip, peer.port);
    auto [failure] = co_await stream.async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
    if (!failure)
        co_return PortState::Open;
    co_return failure == asio::error::connection_refused ? PortState::Closed : PortState::Unknown;
}

} // namespace lavenderthread::transport
