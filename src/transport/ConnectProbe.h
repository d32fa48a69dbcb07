// Tells whether a peer's port takes connections.
#pragma once

#include "state/Address.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>

namespace lavenderthread::transport {

enum class PortState : std::uint8_t {
    Open,
    Closed,  // the peer's machine refuses connections there
    Unknown, // no answer in time, or no route
};

// Connects and closes the connection at once. Takes `timeout` at most.
boost::asio::awaitable<PortState> probePort(boost::asio::any_io_executor executor,
                                            state::Address peer, std::chrono::milliseconds timeout);

} // namespace lavenderthread::transport
