// Endpoints that end under certain requests and come back a while later, and how many more of these
// requests arrive after that.
#pragma once

#include "Ledger.h"
#include "Proxy.h"
#include "StandIn.h"

#include "state/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lavenderthread::soak {

class EndpointCrashes
{
public:
    // A proxy stands before each endpoint.
    EndpointCrashes(boost::asio::io_context &context, std::uint64_t seed,
                    std::vector<Proxy *> proxies, std::vector<std::shared_ptr<StandIn>> endpoints,
                    Ledger &ledger);

    std::size_t size() const { return this->endpoints.size(); }
    void arrived(const std::string &cause);
    // Ends the endpoint; false if it has ended already.
    bool endUnder(std::size_t endpoint, const std::string &cause);
    void end(std::size_t endpoint);
    // Tells the ledger of causes that went on arriving after so many ends.
    void judgeArrivals(std::size_t endsUntilKnown) const;

private:
    struct History
    {
        std::vector<state::Instant> ends;     // of endpoints
        std::vector<state::Instant> arrivals; // at endpoints
    };

    boost::asio::awaitable<void> bringBack(std::size_t endpoint);

    boost::asio::io_context &context;
    std::vector<Proxy *> proxies;
    std::vector<std::shared_ptr<StandIn>> endpoints;
    Ledger &ledger;
    std::mt19937_64 random;
    std::map<std::string, History> histories; // by cause
};

} // namespace lavenderthread::soak
