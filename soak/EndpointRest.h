// One scenario: half of the endpoints turn requests away and ask for rest, while an entry freezes
// and another one is restarted; then some say in their answers that they leave. Checks what each
// entry sends them from then on.
#pragma once

#include "Fleet.h"
#include "StandIn.h"
#include "SteadyCallers.h"

#include "state/Time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace lavenderthread::soak {

class EndpointRest
{
public:
    struct Settings
    {
        std::uint64_t seed = 0;
        std::size_t engines = 0; // the first endpoints; the others are replicas of a plain service
    };

    EndpointRest(boost::asio::io_context &context, Settings chosen, Fleet &fleet,
                 std::vector<std::shared_ptr<StandIn>> &endpoints, Ledger &ledger);

    // Ends after all endpoints serve again. Tells the ledger what was broken.
    boost::asio::awaitable<void> play();

    // What the endpoint of that index sees.
    void requestArrived(std::size_t endpoint, const protocol::HttpRequest &request);
    void askedForRest(std::size_t endpoint, const protocol::HttpRequest &request,
                      std::chrono::milliseconds time);
    void saidLeaving(std::size_t endpoint, const protocol::HttpRequest &request);

private:
    // Of one endpoint, from one entry.
    struct Rest
    {
        state::Instant countedFrom; // some time after the answer that asked for it
        state::Instant until;
        std::uint64_t arrivals = 0;
    };
    using Pair = std::pair<std::size_t, std::size_t>; // endpoint, entry

    // The half of the endpoints that is used; other ones have time to take over.
    void restHalf(std::chrono::milliseconds time, std::size_t offset);
    void serveAgain();
    void judge();

    Settings settings;
    Fleet &fleet;
    std::vector<std::shared_ptr<StandIn>> &endpoints;
    Ledger &ledger;
    SteadyCallers callers;
    std::map<Pair, std::vector<Rest>> rests;
    std::map<Pair, state::Instant> leavingSince; // as told by the first answer
    std::uint64_t arrivalsAfterLeaving = 0;      // too late
    std::set<std::size_t> excused;               // entries that were disturbed
};

} // namespace lavenderthread::soak
