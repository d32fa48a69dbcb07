// What goes wrong when: one seeded series of faults, which overlap and come in turn.
#pragma once

#include "Fleet.h"
#include "Proxy.h"
#include "StandIn.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lavenderthread::soak {

class Faults
{
public:
    Faults(Fleet &fleet, std::vector<std::unique_ptr<Proxy>> &proxies,
           std::vector<std::shared_ptr<StandIn>> &endpoints, std::uint64_t seed);

    boost::asio::awaitable<void> strikeForEver(std::chrono::milliseconds pause);
    // Everything runs and every link works again.
    boost::asio::awaitable<void> heal();
    void stop() { this->stopped = true; }

private:
    using Strike = boost::asio::awaitable<void> (Faults::*)(std::chrono::milliseconds);

    boost::asio::awaitable<void> killOne(std::chrono::milliseconds time);
    boost::asio::awaitable<void> killAllControls(std::chrono::milliseconds time);
    boost::asio::awaitable<void> freezeOne(std::chrono::milliseconds time);
    boost::asio::awaitable<void> terminateOne(std::chrono::milliseconds time);
    boost::asio::awaitable<void> reloadOne(std::chrono::milliseconds time);
    boost::asio::awaitable<void> wipeControl(std::chrono::milliseconds time);
    boost::asio::awaitable<void> tearControl(std::chrono::milliseconds time);
    boost::asio::awaitable<void> faultLink(std::chrono::milliseconds time);
    boost::asio::awaitable<void> resetLinks(std::chrono::milliseconds time);
    boost::asio::awaitable<void> faultEndpoint(std::chrono::milliseconds time);
    boost::asio::awaitable<void> restartEndpoint(std::chrono::milliseconds time);

    std::size_t any() { return this->random() % this->fleet.size(); }
    std::size_t anyControl();
    void note(const std::string &what) const;

    Fleet &fleet;
    std::vector<std::unique_ptr<Proxy>> &proxies;
    std::vector<std::shared_ptr<StandIn>> &endpoints;
    std::mt19937_64 random;
    std::size_t open = 0;  // strikes under way
    bool diskLost = false; // one disk at a time: the fleet is made to bear the loss of one
    bool stopped = false;
};

} // namespace lavenderthread::soak
