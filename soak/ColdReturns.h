// Failure domains go down one after the other and come back together, cold, under a load that needs
// their engines, while an entry is killed and started again. Guards against cold engines that get
// more than they can take from all entries together, and against ones that get far less.
#pragma once

#include "Fleet.h"
#include "Ledger.h"
#include "Proxy.h"
#include "StandIn.h"
#include "SteadyCallers.h"

#include "state/Time.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lavenderthread::soak {

class ColdReturns
{
public:
    // What the configuration says of cold engines, and what callers of the operator tolerate.
    static constexpr double requestsPerSecond = 4;
    static constexpr double overshoot = 1.5;
    static constexpr double slack = 5;
    static constexpr std::chrono::milliseconds coldTime{3'000};

    struct Settings
    {
        std::uint64_t seed = 0;
        std::size_t engines = 0;                 // the first endpoints
        std::vector<std::string> failureDomains; // of the endpoint of each index
    };

    ColdReturns(boost::asio::io_context &context, Settings chosen, Fleet &fleet,
                std::vector<Proxy *> proxies, std::vector<std::shared_ptr<StandIn>> endpoints,
                Ledger &ledger);

    // Ends after each failure domain has returned once. Tells the ledger what was broken.
    boost::asio::awaitable<void> play();

    // What the endpoint of that index sees.
    void requestArrived(std::size_t endpoint, const protocol::HttpRequest &request);

private:
    boost::asio::awaitable<void> playRound(const std::string &failureDomain);
    void judge(std::size_t engine);

    boost::asio::io_context &context;
    Settings settings;
    Fleet &fleet;
    std::vector<Proxy *> proxies;
    std::vector<std::shared_ptr<StandIn>> endpoints;
    Ledger &ledger;
    SteadyCallers callers;
    std::map<std::size_t, std::vector<state::Instant>> arrivals; // by engine, while it is cold
    std::map<std::size_t, state::Instant> returnedAt;            // by engine
};

} // namespace lavenderthread::soak
