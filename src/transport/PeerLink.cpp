// Accepts connections, checks frames, and hands messages to the senders.
#include "transport/PeerLink.h"

#include "transport/PeerLinkSender.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace lavenderthread::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using state::ErrorCode;
using state::makeError;

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t frameReadBytes = 64U << 10U;
constexpr std::chrono::milliseconds acceptPause{
        50}; // after a failed accept, such as no descriptors

using LengthField = std::array<unsigned char, lengthBytes>;

std::string frameOf(const std::string &sealed)
{
    std::string frame;
    frame.reserve(lengthBytes + sealed.size());
    for (std::size_t byte = lengthBytes; byte-- > 0;)
        frame.push_back(static_cast<char>(sealed.size() >> (8 * byte) & 0xffU));
    return frame += sealed;
}

std::size_t lengthOf(const LengthField &field)
{
    std::size_t length = 0;
    for (const unsigned char byte : field)
        length = length << 8U | byte;
    return length;
}

} // namespace

PeerLink::PeerLink(asio::io_context &io, const PeerLinkSettings &chosen,
                   const protocol::SealKeys &sealKeys, const PeerLinkHooks &linkHooks)
    : strand(asio::make_strand(asio::any_io_executor(io.get_executor())))
    , settings(chosen)
    , keys(sealKeys)
    , hooks(linkHooks)
    , listener(this->hooks.pool->addListener())
    , acceptor(this->strand)
{}

state::Result<std::shared_ptr<PeerLink>> PeerLink::listen(asio::io_context &io,
                                                          const PeerLinkSettings &settings,
                                                          const protocol::SealKeys &keys,
                                                          const PeerLinkHooks &hooks)
{
    const std::shared_ptr<PeerLink> link(new PeerLink(io, settings, keys, hooks));
    BOOST_OUTCOME_TRYV(link->bind());
    asio::co_spawn(
            link->strand, [link] { return link->acceptAll(); }, asio::detached);
    return link;
}

state::Result<void> PeerLink::bind()
{
    const std::string peer = this->settings.listen.toString();
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(this->settings.listen.ip, error);
    if (error)
        return makeError(ErrorCode::InvalidArgument, "peer.listen", error.message(), peer);
    const tcp::endpoint endpoint(ip, this->settings.listen.port);
    this->acceptor.open(endpoint.protocol(), error);
    if (!error)
        this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        this->acceptor.bind(endpoint, error);
    if (!error)
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return makeError(ErrorCode::Unavailable, "peer.listen", error.message(), peer);
    this->bound = {this->settings.listen.ip, this->acceptor.local_endpoint().port()};
    return state::outcome::success();
}

void PeerLink::send(const state::Address &peer, std::string bytes)
{
    std::string frame = frameOf(protocol::seal(this->keys, this->settings.context, bytes));
    asio::post(this->strand,
               [self = this->shared_from_this(), peer, frame = std::move(frame)]() mutable {
                   if (self->stopped)
                       return;
                   std::shared_ptr<PeerLinkSender> &sender = self->senders[peer];
                   if (!sender) {
                       sender = std::make_shared<PeerLinkSender>(
                               self->strand, self->settings, peer,
                               [weak = self->weak_from_this()](const state::Error &error) {
                                   if (const auto link = weak.lock())
                                       link->report(error);
                               });
                       sender->start();
                   }
                   sender->push(std::move(frame));
               });
}

void PeerLink::keepOnly(const std::set<state::Address> &peers)
{
    asio::post(this->strand, [self = this->shared_from_this(), peers] {
        std::erase_if(self->senders, [&peers](const auto &known) {
            if (peers.contains(known.first))
                return false;
            known.second->stop();
            return true;
        });
    });
}

void PeerLink::stop()
{
    asio::dispatch(this->strand, [self = this->shared_from_this()] {
        self->stopped = true;
        boost::system::error_code ignored;
        self->acceptor.close(ignored);
        for (const auto &[peer, sender] : self->senders)
            sender->stop();
        self->senders.clear();
        for (const std::shared_ptr<Socket> &socket : self->accepted)
            socket->close(ignored);
    });
}

asio::awaitable<void> PeerLink::acceptAll()
{
    while (!this->stopped) {
        auto socket = std::make_shared<Socket>(this->strand);
        boost::system::error_code error;
        co_await this->acceptor.async_accept(*socket,
                                             asio::redirect_error(asio::use_awaitable, error));
        if (this->stopped)
            co_return;
        std::unique_ptr<ConnectionPool::Member> member;
        if (!error)
            member = this->hooks.pool->join(this->listener, this->settings.connections,
                                            [strand = this->strand, socket] {
                                                asio::post(strand, [socket] {
                                                    boost::system::error_code ignored;
                                                    socket->close(ignored);
                                                });
                                            });
        if (!member) {
            this->report(makeError(ErrorCode::Overloaded, "peer.accept",
                                   error ? error.message() : "too many connections"));
            asio::steady_timer timer(this->strand, acceptPause);
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        this->accepted.insert(socket);
        asio::co_spawn(
                this->strand,
                [self = this->shared_from_this(), socket, member = std::move(member)]() mutable {
                    return self->receiveAll(socket, std::move(member));
                },
                asio::detached);
    }
}

asio::awaitable<state::Result<std::string>>
PeerLink::receiveFrame(Socket &socket, ConnectionPool::Member &member, std::size_t length) const
{
    std::string sealed;
    while (sealed.size() < length) {
        const std::size_t received = sealed.size();
        const std::size_t piece = std::min(frameReadBytes, length - received);
        sealed.resize(received + piece);
        if (!member.resize(sealed.capacity()))
            co_return makeError(ErrorCode::Overloaded, "peer.receive", "no room for a frame");
        boost::system::error_code error;
        co_await asio::async_read(socket, asio::buffer(sealed.data() + received, piece),
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return makeError(ErrorCode::Corrupt, "peer.receive",
                                "cut inside a frame: " + error.message());
    }
    co_return sealed;
}

asio::awaitable<void> PeerLink::receiveAll(std::shared_ptr<Socket> socket,
                                           std::unique_ptr<ConnectionPool::Member> member)
{
    boost::system::error_code error;
    const tcp::endpoint remote = socket->remote_endpoint(error);
    const std::string peer = error ? "" : remote.address().to_string();
    asio::steady_timer idle(this->strand);
    std::string problem;
    ErrorCode code = ErrorCode::Corrupt;
    while (!this->stopped && problem.empty()) {
        idle.expires_after(this->settings.idleTimeout);
        idle.async_wait([socket](boost::system::error_code cancelled) {
            boost::system::error_code ignored;
            if (!cancelled)
                socket->close(ignored);
        });
        LengthField field{};
        co_await asio::async_read(*socket, asio::buffer(field),
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break; // the usual end, between two frames
        const std::size_t length = lengthOf(field);
        if (length < protocol::sealBytes || length > this->settings.frameBytes) {
            problem = "frame of " + std::to_string(length) + " bytes";
            break;
        }
        member->enter(ConnectionPool::Phase::Receiving);
        const auto sealed = co_await this->receiveFrame(*socket, *member, length);
        if (sealed.has_error()) {
            code = sealed.error().code;
            problem = sealed.error().cause;
            break;
        }
        state::Result<std::string> bytes =
                protocol::unseal(this->keys, this->settings.context, sealed.value());
        if (bytes.has_error()) {
            code = bytes.error().code;
            problem = bytes.error().cause;
        } else if (!this->stopped) {
            this->hooks.received(std::move(bytes).value());
            // Who holds a key makes room only after strangers.
            member->resize(0);
            member->enter(ConnectionPool::Phase::Idle);
        }
    }
    idle.cancel();
    socket->close(error);
    this->accepted.erase(socket);
    if (!problem.empty())
        this->report(makeError(code, "peer.receive", problem, peer));
}

void PeerLink::report(const state::Error &error) const
{
    if (!this->stopped && this->hooks.problem)
        this->hooks.problem(error);
}

} // namespace lavenderthread::transport
