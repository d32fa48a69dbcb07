// Receive loop and non-blocking sends.
#include "transport/GossipSocket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

#include <utility>

namespace lavenderthread::transport {

namespace asio = boost::asio;
using asio::ip::udp;

GossipSocket::GossipSocket(const asio::any_io_executor &strand, Handler chosen)
    : socket(strand)
    , handler(std::move(chosen))
{}

state::Result<std::shared_ptr<GossipSocket>>
GossipSocket::create(const asio::any_io_executor &strand, const state::Address &bind,
                     Handler handler)
{
    const auto fail = [&](const boost::system::error_code &code) {
        return state::makeError(state::ErrorCode::Unavailable, "gossip.bind", code.message(),
                                bind.toString());
    };
    boost::system::error_code code;
    const asio::ip::address ip = asio::ip::make_address(bind.ip, code);
    if (code)
        return fail(code);
    std::shared_ptr<GossipSocket> made(new GossipSocket(strand, std::move(handler)));
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
    boost::system::error_code code;
    const asio::ip::address ip = asio::ip::make_address(to.ip, code);
    if (code || !this->socket.is_open())
        return;
    this->socket.send_to(asio::buffer(datagram.data(), datagram.size()), {ip, to.port}, 0, code);
}

void GossipSocket::close()
{
    boost::system::error_code code;
    this->socket.close(code);
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
