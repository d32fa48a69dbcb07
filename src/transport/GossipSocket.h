// UDP socket for sealed datagrams between members. Bounded in size both ways, and never waits: a
// datagram that the system doesn't take at once is lost, as datagrams may be.
#pragma once

#include "state/Address.h"
#include "state/Error.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string_view>

namespace lavenderthread::transport {

// All calls, and the handler, run on the executor that was given, which must be a strand.
class GossipSocket : public std::enable_shared_from_this<GossipSocket>
{
public:
    using Handler = std::function<void(std::string_view datagram, const state::Address &from)>;
    // One byte more than any accepted datagram, so that a cut one is seen as too large.
    static constexpr std::size_t bufferBytes = 1'201;

    // Port 0 binds any free one. Error: Unavailable, step "gossip.bind", peer the address.
    static state::Result<std::shared_ptr<GossipSocket>>
    create(const boost::asio::any_io_executor &strand, const state::Address &bind, Handler handler);

    void start();
    void send(const state::Address &to, std::string_view datagram);
    void close(); // the handler is not called any more
    state::Address address() const { return this->bound; }

private:
    GossipSocket(const boost::asio::any_io_executor &strand, Handler handler);

    void receive();

    boost::asio::ip::udp::socket socket;
    Handler handler;
    state::Address bound;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, bufferBytes> buffer{};
};

} // namespace lavenderthread::transport
