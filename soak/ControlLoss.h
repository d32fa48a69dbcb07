// One scenario: the leading control member and another that has voted for a change stop running as
// soon as the change is acknowledged. Measures how long the other nodes take until all entries have
// it, and whether the next change is accepted meanwhile.
#pragma once

#include "Callers.h"
#include "Fleet.h"
#include "Operator.h"

#include "state/Time.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace lavenderthread::soak {

// How the control members stop running.
enum class ControlFault {
    Killed, // connections to them are reset
    Frozen, // connections to them hang, and they go on where they stopped
};

class ControlLoss
{
public:
    struct Settings
    {
        ControlFault fault = ControlFault::Frozen;
        std::uint64_t seed = 0;
    };

    ControlLoss(boost::asio::io_context &context, Settings chosen, Fleet &fleet,
                Operator &operators, Ledger &ledger);

    // Ends after the members are back. Tells the ledger what was broken.
    boost::asio::awaitable<void> play();

private:
    boost::asio::awaitable<void> playRound(std::size_t round);
    // Asks the entry until it serves the route of that version or of the one after it.
    boost::asio::awaitable<void> awaitInForce(std::size_t entry, std::uint64_t version);
    boost::asio::awaitable<bool> serves(std::size_t entry, std::uint64_t version);
    void stopMembers(std::size_t leader, std::size_t round);
    void resumeMembers();

    boost::asio::io_context &context;
    Settings settings;
    Fleet &fleet;
    Operator &operators;
    Ledger &ledger;
    std::vector<std::unique_ptr<Caller>> people; // one for each process
    std::vector<std::size_t> stopped;            // control members that do not run
    std::size_t waiting = 0;                     // entries that do not serve the change yet
    state::Instant acknowledgedAt;               // the change of this round
    std::chrono::milliseconds slowest{0};        // from there until an entry served it
};

} // namespace lavenderthread::soak
