// UDP socket for sealed datagrams between members. Bounded in size both ways, and its callers never
// wait: what the system doesn't take at once is sent when it does.
#pragma once

#include "state/Address.h"
#include "state/ByteBudget.h"
#include "state/Error.h"
#include "transport/DatagramQueue.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace lavenderthread::transport {

// How fast datagrams go out. A message to every member of a large fleet is a burst of some ten
// thousand bytes, and a slow link drops what is beyond its own queue: the members at the end of the
// list heard of none of the long prompts that others placed, and sent brief requests to the same
// engines, whose callers then saw pauses of 1.4 s.
struct DatagramPace
{
    double bytesPerSecond = 0;
    double burstBytes = 0;
};

// All calls, and the handler, run on the executor that was given, which must be a strand.
class GossipSocket : public std::enable_shared_from_this<GossipSocket>
{
public:
    using Handler = std::function<void(std::string_view datagram, const state::Address &from)>;
    // One byte more than any accepted datagram, so that a cut one is seen as too large.
    static constexpr std::size_t bufferBytes = 1'201;

    // Port 0 binds any free one; without a pace all goes out at once. Error: Unavailable, step
    // "gossip.bind", peer the address.
    static state::Result<std::shared_ptr<GossipSocket>>
    create(const boost::asio::any_io_executor &strand, const state::Address &bind, Handler handler,
           const std::optional<DatagramPace> &pace = std::nullopt);

    void start();
    void send(const state::Address &to, std::string_view datagram);
    void close(); // the handler is not called any more
    state::Address address() const { return this->bound; }
    const DatagramQueue &outgoing() const { return this->queue; }

private:
    GossipSocket(const boost::asio::any_io_executor &strand, Handler handler,
                 const std::optional<DatagramPace> &pace);

    void receive();
    Sent transmit(const state::Address &to, std::string_view datagram);
    bool mayGo(std::size_t bytes);
    void awaitRoom();

    boost::asio::ip::udp::socket socket;
    Handler handler;
    DatagramQueue queue;
    std::optional<state::ByteBudget> budget;
    boost::asio::steady_timer paceTimer;
    bool awaitsRoom = false;
    state::Address bound;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, bufferBytes> buffer{};
};

} // namespace lavenderthread::transport
