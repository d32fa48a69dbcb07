// One scenario: endpoints name request limits far below what they get, raise and withdraw them,
// while an entry freezes and another one is restarted. Checks what arrives there, and that the
// other endpoints serve the rest.
#pragma once

#include "Fleet.h"
#include "StandIn.h"
#include "SteadyCallers.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace lavenderthread::soak {

class EndpointLimits
{
public:
    struct Settings
    {
        std::uint64_t seed = 0;
        std::size_t engines = 0; // the first endpoints; the others are replicas of a plain service
    };

    EndpointLimits(boost::asio::io_context &context, Settings chosen, Fleet &fleet,
                   std::vector<std::shared_ptr<StandIn>> &endpoints, Ledger &ledger);

    // Ends after the limits are withdrawn. Tells the ledger what was broken.
    boost::asio::awaitable<void> play();

private:
    StandIn &engine(std::size_t index) { return *this->endpoints[index]; }
    StandIn &replica(std::size_t index) { return *this->endpoints[this->settings.engines + index]; }
    void judgeLimits(const char *phase) const;
    void judgeServed(const char *phase, const CallCount &seen, double leastShare);

    Settings settings;
    Fleet &fleet;
    std::vector<std::shared_ptr<StandIn>> &endpoints;
    Ledger &ledger;
    SteadyCallers callers;
};

} // namespace lavenderthread::soak
