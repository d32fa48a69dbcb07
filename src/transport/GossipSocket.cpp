// Receive loop and non-blocking sends.
#include "transport/GossipSocket.h"

#include "transport/MonotonicClock.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

#include <utility>

namespace lavenderthread::transport {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr std::size_t headerBytes = 28;          // of IP and UDP
constexpr std::chrono::milliseconds paceTick{1}; // a slow link sends one or two datagrams in it

} // namespace

GossipSocket::GossipSocket(const asio::any_io_executor &strand, Handler chosen,
                           const std::optional<DatagramPace> &pace)
    : socket(strand)
    , handler(std::move(chosen))
    , queue([this](const state::Address &to, std::string_view datagram) {
        return this->transmit(to, datagram);
    })
    , paceTimer(strand)
{
    if (pace)
        this->budget.emplace(pace->bytesPerSecond, pace->burstBytes, -pace->burstBytes,
                             monotonicNow());
}

state::Result<std::shared_ptr<GossipSocket>>
GossipSocket::create(const asio::any_io_executor &strand, const state::Address &bind,
                     Handler handler, const std::optional<DatagramPace> &pace)
{
    const auto fail = [&](const boost::system::error_code &code) {
        return state::makeError(state::ErrorCode::Unavailable, "gossip.bind", code.message(),
                                bind.toString());
    };
    boost::system::error_code code;
    const asio::ip::address ip = asio::ip::make_address(bind.ip, code);
    if (code)
        return fail(code);
    std::shared_ptr<GossipSocket> made(new GossipSocket(strand, std::move(handler), pace));
    const udp::endpoint local(ip, bind.port);
    made->socket.open(local.protocol(), code);
    if (!code)
        made->socket.bind(local, code);
    if (!code)
        made->socket.non_blocking(true, code);
    if (code)
        return fail(code);
    made->bound = {bind.ip, made->socket.local_endpoint(code).port()};
    return made;
}

void GossipSocket::start()
{
    this->receive();
}

void GossipSocket::send(const state::Address &to, std::string_view datagram)
{
    if (!this->socket.is_open())
        return;
    this->queue.send(to, datagram);
    this->awaitRoom();
}

// Spends what it allows.
bool GossipSocket::mayGo(std::size_t bytes)
{
    if (!this->budget)
        return true;
    if (this->budget->left(monotonicNow()) <= 0)
        return false;
    this->budget->spend(bytes + headerBytes);
    return true;
}

Sent GossipSocket::transmit(const state::Address &to, std::string_view datagram)
{
    boost::system::error_code code;
    const asio::ip::address ip = asio::ip::make_address(to.ip, code);
    if (code)
        return Sent::Refused;
    if (!this->mayGo(datagram.size()))
        return Sent::Blocked;
    this->socket.send_to(asio::buffer(datagram.data(), datagram.size()), {ip, to.port}, 0, code);
    if (code == asio::error::would_block || code == asio::error::no_buffer_space)
        return Sent::Blocked;
    return code ? Sent::Refused : Sent::Taken;
}

// In the budget or in the system's buffer: either way a moment later.
void GossipSocket::awaitRoom()
{
    if (this->queue.empty() || std::exchange(this->awaitsRoom, true))
        return;
    this->paceTimer.expires_after(paceTick);
    this->paceTimer.async_wait([self = this->shared_from_this()](boost::system::error_code code) {
        self->awaitsRoom = false;
        if (code || !self->socket.is_open())
            return;
        self->queue.flush();
        self->awaitRoom();
    });
}

void GossipSocket::close()
{
    boost::system::error_code code;
    this->socket.close(code);
    this->paceTimer.cancel();
}

void GossipSocket::receive()
{
    this->socket.async_receive_from(
            asio::buffer(this->buffer), this->sender,
            [self = this->shared_from_this()](boost::system::error_code code, std::size_t size) {
                if (!self->socket.is_open())
                    return;
                // Errors of single datagrams, such as a peer's closed port, end nothing.
                if (!code)
                    self->handler({self->buffer.data(), size},
                                  {self->sender.address().to_string(), self->sender.port()});
                self->receive();
            });
}

} // namespace lavenderthread::transport
