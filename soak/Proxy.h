// A loopback proxy before one address, which delays, resets, silences or cuts what goes through.
#pragma once

#include "state/Address.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <set>

namespace lavenderthread::soak {

enum class LinkFault {
    None,
    Delayed,       // every piece comes later
    Silent,        // nothing passes either way, connections stay open
    Unreachable,   // nothing passes, and connections end once their bytes stay unacknowledged
    SilentAnswers, // only what the target sends is held
    Refused,       // new connections are closed at once
};

class Proxy
{
public:
    Proxy(boost::asio::io_context &context, const state::Address &listen, state::Address target);

    void start();
    void setFault(LinkFault next) { this->fault = next; }
    // Faults of single connections, by the addresses that they come from and go to; an empty
    // function: none.
    using FaultOf = std::function<LinkFault(const state::Address &from, const state::Address &to)>;
    void setFaultOf(FaultOf next) { this->faultOf = std::move(next); }
    void resetAll(); // open connections
    // Closes all connections, and the port until listenAgain(), as if the target's process had
    // ended.
    void endTarget();
    void listenAgain();

private:
    struct Pair;

    boost::asio::awaitable<void> acceptAll();
    boost::asio::awaitable<void> carry(std::shared_ptr<Pair> pair, bool fromTarget);

    boost::asio::io_context &context;
    state::Address listen;
    boost::asio::ip::tcp::acceptor acceptor;
    state::Address target;
    LinkFault fault = LinkFault::None;
    FaultOf faultOf;
    std::set<std::shared_ptr<Pair>> pairs;
};

} // namespace lavenderthread::soak
