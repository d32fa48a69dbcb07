// Clients that don't behave: many connections that send the same bytes, read or don't read what
// comes back, and connect again when the other side closes.
#pragma once

#include "state/Address.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>

namespace lavenderthread::soak {

// What each connection of a crowd does.
struct CrowdScript
{
    static constexpr std::uint64_t endless = std::numeric_limits<std::uint64_t>::max();

    state::Address to;
    std::string head;                   // sent first
    std::string unit;                   // then sent again and again
    std::uint64_t bytes = 0;            // in all units together
    std::chrono::milliseconds pause{0}; // between units
    bool reads = true;                  // what comes back
    bool closesSending = false;         // at the end of what it sends
    bool again = false;                 // sends it again once an answer has come
};

class Crowd : public std::enable_shared_from_this<Crowd>
{
public:
    Crowd(boost::asio::io_context &context, CrowdScript script, std::size_t connections);

    void start();
    // Closes all connections.
    void stop();
    std::uint64_t connectionsMade() const { return this->made; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> connectForEver();
    boost::asio::awaitable<void> play(std::shared_ptr<Socket> socket);
    boost::asio::awaitable<bool> sendAll(Socket &socket) const;
    boost::asio::awaitable<void> waitForClose(Socket &socket) const;

    boost::asio::io_context &context;
    const CrowdScript script;
    const std::size_t connections;
    std::uint64_t made = 0;
    bool stopped = false;
};

} // namespace lavenderthread::soak
