// One scenario: another writer announces endpoints that can't be right, deregisters such ones and
// sends configurations like them, while the endpoints restart. Checks that no process ends, that
// entries go on following the endpoints, and that nothing odd is left after a restart of all.
#pragma once

#include "Fleet.h"
#include "StandIn.h"
#include "SteadyCallers.h"

#include "protocol/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lavenderthread::soak {

class OddEntries
{
public:
    OddEntries(boost::asio::io_context &context, std::uint64_t seed, Fleet &fleet,
               std::vector<std::shared_ptr<StandIn>> &endpoints, Ledger &ledger);

    // Ends after the last check. Tells the ledger what was broken.
    boost::asio::awaitable<void> play();

private:
    boost::asio::awaitable<void> sendForEver();
    boost::asio::awaitable<void> send(protocol::HttpRequest request);
    protocol::HttpRequest drawRequest();
    std::string drawHeartbeat();
    boost::asio::awaitable<void> restartEndpoints();
    boost::asio::awaitable<void> restartProcesses();
    // Breaks the promise if fewer than nine in ten calls of some seconds are served.
    boost::asio::awaitable<void> check(const char *phase);

    boost::asio::io_context &context;
    std::mt19937_64 random;
    Fleet &fleet;
    std::vector<std::shared_ptr<StandIn>> &endpoints;
    Ledger &ledger;
    SteadyCallers callers;
    std::uint64_t sent = 0;
    std::uint64_t accepted = 0; // answered 200
    bool stopped = false;
};

} // namespace lavenderthread::soak
