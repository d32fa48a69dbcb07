// The sending side of one peer link: a bounded queue, a connection, and backoff between attempts.
#pragma once

#include "transport/PeerLink.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <random>
#include <string>

namespace lavenderthread::transport {

// Used on the link's strand only.
class PeerLinkSender : public std::enable_shared_from_this<PeerLinkSender>
{
public:
    PeerLinkSender(const PeerLink::Strand &linkStrand, const PeerLinkSettings &linkSettings,
                   state::Address peerAddress, std::function<void(const state::Error &)> onProblem);

    void start();
    void push(std::string frame); // length and sealed bytes
    void stop();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<void> sendAll();
    boost::asio::awaitable<void> watchClose(std::shared_ptr<boost::asio::ip::tcp::socket> watched);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    std::chrono::milliseconds nextBackoff();
    void dropQueue();

    PeerLink::Strand strand;
    PeerLinkSettings settings;
    state::Address peer;
    std::function<void(const state::Error &)> problem;
    std::shared_ptr<boost::asio::ip::tcp::socket> socket; // of the present attempt
    boost::asio::steady_timer wake;                       // cancelled when there is something to do
    std::deque<std::string> queue;
    std::size_t queuedBytes = 0; // sum over queue
    std::chrono::milliseconds backoff{};
    std::minstd_rand jitter;
    bool stopped = false;
};

} // namespace lavenderthread::transport
