// One scenario: under steady calls and streams, one failure domain after another is evacuated and
// taken back. The acknowledgement of one order is lost, one entry is restarted during an
// evacuation, and the leader is killed right after another acknowledgement. Checks what endpoints
// of the domain get from then on, and what becomes of the calls.
#pragma once

#include "Fleet.h"
#include "Operator.h"
#include "SteadyCallers.h"

#include "state/Time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lavenderthread::soak {

class Evacuation
{
public:
    struct Settings
    {
        std::uint64_t seed = 0;
        // Of the endpoint of each index.
        std::vector<std::string> failureDomains;
    };

    Evacuation(boost::asio::io_context &context, Settings chosen, Fleet &fleet, Operator &operators,
               Ledger &ledger);

    // Ends after all domains are in use again. Tells the ledger what was broken.
    boost::asio::awaitable<void> play();

    // What the endpoint of that index sees.
    void requestArrived(std::size_t endpoint);
    void streamBegan(std::size_t endpoint);
    void streamEnded(std::size_t endpoint, bool whole);

private:
    enum class Disturbance { EntryRestart, LeaderKill };

    boost::asio::awaitable<void> playRound(Disturbance disturbance);
    // The one with the most running streams, of those that have not been evacuated yet if streams
    // run there. Few brief requests share a few engines, so there may be none in the others.
    std::string busiestDomain() const;
    std::string busiestDomainOf(const std::vector<std::string> &domains) const;
    void judgeRound(std::uint64_t running);
    boost::asio::awaitable<void> restartEntry();
    // Under a load that needs all engines: a lighter one stays on a few of them.
    boost::asio::awaitable<void> checkUsedAgain(std::string failureDomain);
    void judgeCalls();
    std::uint64_t runningIn(const std::string &failureDomain) const;

    boost::asio::io_context &context;
    Settings settings;
    Fleet &fleet;
    Operator &operators;
    Ledger &ledger;
    SteadyCallers callers;
    std::vector<std::unique_ptr<SteadyCallers>> fillers; // further ones, of each round's end
    std::map<std::size_t, std::uint64_t> arrivals;       // by endpoint, in this phase
    std::map<std::size_t, std::uint64_t> runningStreams; // by endpoint
    std::set<std::string> done;                          // domains that have been evacuated
    std::uint64_t brokenStreams = 0;                     // in the evacuated domain
    std::string evacuated;                               // empty: none is
    std::optional<state::Instant> acknowledgedAt;        // of the evacuation
    std::optional<state::Instant> lastArrival;           // there, after the acknowledgement
    std::uint64_t lateArrivals = 0;                      // after the bound
    std::set<std::size_t> excused;                       // entries that were restarted
};

} // namespace lavenderthread::soak
