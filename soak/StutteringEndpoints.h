// One scenario: endpoints spoil half of their answers while entries lose their paths to endpoints,
// are told to stop, are killed and frozen. Checks every byte that callers get on kept connections.
#pragma once

#include "Fleet.h"
#include "KeptCaller.h"
#include "Ledger.h"
#include "StandIn.h"
#include "StutteringEndpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lavenderthread::soak {

class StutteringEndpoints
{
public:
    struct Settings
    {
        std::uint64_t seed = 0;
        std::size_t callersAtEachEntry = 2;
    };

    static constexpr std::size_t longRequestBytes = 12U << 20U;

    StutteringEndpoints(boost::asio::io_context &context, Settings chosen, Fleet &fleet,
                        Ledger &ledger);

    // `announcer` announces the endpoint's address.
    void addEndpoint(StutteringEndpoint::Settings endpoint,
                     std::shared_ptr<const StandIn> announcer);
    // Tells the ledger what was broken.
    boost::asio::awaitable<void> play();

private:
    struct Ends
    {
        std::uint64_t whole = 0;
        std::uint64_t failed = 0; // told so, or visibly cut
        std::uint64_t wrong = 0;  // taken for whole and not the caller's, or not whole
    };

    boost::asio::awaitable<void> callForEver(std::size_t entry, std::size_t person);
    boost::asio::awaitable<void> disturbEntries();
    void judge(const std::string &id, const std::string &path, const KeptCallResult &result);
    void printEnds() const;

    boost::asio::io_context &context;
    Settings settings;
    Fleet &fleet;
    Ledger &ledger;
    std::mt19937_64 random;
    std::vector<std::shared_ptr<StutteringEndpoint>> endpoints;
    std::set<std::size_t> cutOff; // processes whose connections to endpoints are refused
    std::map<std::string, std::string> answered; // how an endpoint first answered each request
    std::map<std::string, Ends> ends;            // by how the requests were answered first
    bool stopped = false;
};

} // namespace lavenderthread::soak
