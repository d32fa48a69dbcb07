// One scenario: an entry is told to stop, and callers on kept connections send it calls that may
// run once shortly before it refuses them. Replicas take from a moment to longer than the entry has
// left. Checks that every call gets a complete answer, and that "not run" is true.
#pragma once

#include "Fleet.h"
#include "KeptCaller.h"
#include "Ledger.h"

#include "protocol/HttpMessage.h"
#include "state/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace lavenderthread::soak {

class LateCalls
{
public:
    struct Settings
    {
        std::uint64_t seed = 0;
        std::chrono::milliseconds termination{0}; // as the entries are told
        std::size_t callers = 32;                 // at the entry that stops
        std::size_t stops = 4;
    };

    static constexpr std::chrono::milliseconds timeLimit{15'000}; // of each call

    LateCalls(boost::asio::io_context &context, Settings chosen, Fleet &fleet, Ledger &ledger);

    // Ends after the last entry was started again. Tells the ledger what was broken.
    boost::asio::awaitable<void> play();

    // How long a replica works on this call, which names it.
    static std::chrono::milliseconds workTimeOf(const protocol::HttpRequest &request);

private:
    boost::asio::awaitable<void> stopAndStart(std::size_t entry);
    // Calls during the calm, once shortly before the entry refuses, and until it is refused.
    boost::asio::awaitable<void> callLate(std::size_t entry, std::size_t person);
    boost::asio::awaitable<KeptCallResult> call(KeptCaller &caller, std::size_t entry,
                                                std::string id, std::chrono::milliseconds workTime);
    void judge(std::size_t entry, const std::string &id, const KeptCallResult &result);
    std::chrono::milliseconds acceptTime() const;
    std::chrono::milliseconds drawUpTo(std::chrono::milliseconds most);

    boost::asio::io_context &context;
    Settings settings;
    Fleet &fleet;
    Ledger &ledger;
    std::mt19937_64 random;
    state::Instant stoppedAt;                    // the last SIGTERM
    std::size_t openCallers = 0;                 // of the present stop
    std::uint64_t calls = 0;                     // of all callers
    std::map<std::string, std::uint64_t> counts; // of late calls, by how they ended
};

} // namespace lavenderthread::soak
