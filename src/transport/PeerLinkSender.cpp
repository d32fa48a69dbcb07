// Connects, sends what is queued, and starts again when the connection ends.
#include "transport/PeerLinkSender.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

namespace lavenderthread::transport {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

PeerLinkSender::PeerLinkSender(const PeerLink::Strand &linkStrand,
                               const PeerLinkSettings &linkSettings, state::Address peerAddress,
                               std::function<void(const state::Error &)> onProblem)
    : strand(linkStrand)
    , settings(linkSettings)
    , peer(std::move(peerAddress))
    , problem(std::move(onProblem))
    , wake(linkStrand)
    , backoff(linkSettings.firstBackoff)
    , jitter(static_cast<std::uint32_t>(std::hash<std::string>{}(this->peer.toString())))
{}

void PeerLinkSender::start()
{
    asio::co_spawn(
            this->strand, [self = this->shared_from_this()] { return self->run(); },
            asio::detached);
}

void PeerLinkSender::push(std::string frame)
{
    this->queuedBytes += frame.size();
    this->queue.push_back(std::move(frame));
    while (this->queuedBytes > this->settings.queueBytes && this->queue.size() > 1) {
        this->queuedBytes -= this->queue.front().size();
        this->queue.pop_front();
    }
    this->wake.cancel();
}

void PeerLinkSender::stop()
{
    this->stopped = true;
    this->wake.cancel();
    boost::system::error_code ignored;
    if (this->socket)
        this->socket->close(ignored);
}

void PeerLinkSender::dropQueue()
{
    this->queue.clear();
    this->queuedBytes = 0;
}

asio::awaitable<void> PeerLinkSender::run()
{
    while (!this->stopped) {
        if (this->queue.empty()) {
            co_await this->pause(this->settings.idleTimeout);
            continue;
        }
        const bool connected = co_await this->connect();
        if (connected) {
            this->backoff = this->settings.firstBackoff;
            co_await this->sendAll();
        }
        // What waited is old by now; its sender will ask again.
        this->dropQueue();
        if (this->stopped)
            co_return;
        asio::steady_timer timer(this->strand, this->nextBackoff());
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

// Half to whole of the doubled pause, so that members do not knock in step.
std::chrono::milliseconds PeerLinkSender::nextBackoff()
{
    const std::chrono::milliseconds whole = this->backoff;
    this->backoff = std::min(whole * 2, this->settings.lastBackoff);
    const auto half = static_cast<std::uint32_t>(std::max<std::int64_t>(1, whole.count() / 2));
    return std::chrono::milliseconds(half + this->jitter() % half);
}

asio::awaitable<void> PeerLinkSender::pause(std::chrono::milliseconds time)
{
    this->wake.expires_after(time);
    boost::system::error_code ignored;
    co_await this->wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> PeerLinkSender::connect()
{
    auto attempt = std::make_shared<tcp::socket>(this->strand);
    this->socket = attempt;
    asio::steady_timer timeout(this->strand, this->settings.connectTimeout);
    timeout.async_wait([attempt](boost::system::error_code error) {
        boost::system::error_code ignored;
        if (!error)
            attempt->close(ignored);
    });
    boost::system::error_code error;
    const tcp::endpoint target(asio::ip::make_address(this->peer.ip, error), this->peer.port);
    if (!error)
        co_await attempt->async_connect(target, asio::redirect_error(asio::use_awaitable, error));
    timeout.cancel();
    if (!error)
        attempt->set_option(tcp::no_delay(true), error);
    if (!error)
        attempt->set_option(UserTimeout(static_cast<int>(this->settings.answerTimeout.count())),
                            error);
    if (!error)
        co_return true;
    if (!this->stopped)
        this->problem(state::makeError(state::ErrorCode::Unavailable, "peer.connect",
                                       error.message(), this->peer.toString()));
    co_return false;
}

asio::awaitable<void> PeerLinkSender::sendAll()
{
    const auto connection = this->socket;
    asio::co_spawn(
            this->strand,
            [self = this->shared_from_this(), connection] { return self->watchClose(connection); },
            asio::detached);
    while (!this->stopped && connection->is_open()) {
        if (this->queue.empty()) {
            co_await this->pause(this->settings.idleTimeout);
            continue;
        }
        const std::string frame = std::move(this->queue.front());
        this->queuedBytes -= frame.size();
        this->queue.pop_front();
        boost::system::error_code error;
        co_await asio::async_write(*connection, asio::buffer(frame),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
    }
    boost::system::error_code ignored;
    connection->close(ignored);
    if (!this->stopped)
        this->problem(state::makeError(state::ErrorCode::Unavailable, "peer.send",
                                       "the connection ended", this->peer.toString()));
}

// The peer says nothing on this connection; what comes is its end. Without reading it, the next
// message would be written into a connection that nobody reads any more, and be lost.
asio::awaitable<void> PeerLinkSender::watchClose(std::shared_ptr<tcp::socket> watched)
{
    char unused = 0;
    boost::system::error_code error;
    co_await watched->async_read_some(asio::buffer(&unused, 1),
                                      asio::redirect_error(asio::use_awaitable, error));
    watched->close(error);
    this->wake.cancel();
}

} // namespace lavenderthread::transport
