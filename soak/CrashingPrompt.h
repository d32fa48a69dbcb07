// One scenario: engines end when they begin to answer a prompt with a certain part. Checks how many
// more of these requests reach engines after the fifth end, and that sound ones are served.
#pragma once

#include "Callers.h"
#include "EndpointCrashes.h"
#include "Fleet.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lavenderthread::soak {

enum class CrashingPart {
    Second, // behind a part that sound requests have too
    First,
    Two,  // two such parts, in different requests
    None, // no such request: a third of the engines end at once, then a quarter
};

class CrashingPrompt
{
public:
    struct Settings
    {
        CrashingPart part = CrashingPart::Second;
        std::uint64_t seed = 0;
    };

    CrashingPrompt(boost::asio::io_context &context, Settings chosen, Fleet &fleet,
                   EndpointCrashes &engines, Ledger &ledger);

    // What the engines have to call; see StandInSettings.
    void requestArrived(const protocol::HttpRequest &request);
    bool engineEnds(std::size_t engine, const protocol::HttpRequest &request);

    // Tells the ledger what was broken.
    boost::asio::awaitable<void> play();

private:
    struct Count
    {
        std::uint64_t sent = 0;
        std::uint64_t served = 0;

        double share() const { return this->sent == 0 ? 0 : double(this->served) / double(sent); }
    };

    boost::asio::awaitable<void> callSteadily(std::size_t entry);
    boost::asio::awaitable<void> callOnce(std::size_t entry);
    boost::asio::awaitable<void> sendCrashing();
    boost::asio::awaitable<void> callCrashing(std::string prefix);
    boost::asio::awaitable<void> disturbEntries();
    boost::asio::awaitable<void> restartAllEntries();
    boost::asio::awaitable<Count> count(std::chrono::milliseconds time);
    boost::asio::awaitable<void> playCrashingPart();
    boost::asio::awaitable<void> playUnrelatedEnds();
    std::string sharedPart();
    std::string crashingPrefix();
    std::size_t undisturbedEntry();
    void judgeServed(const char *phase, const Count &seen, double leastShare);

    boost::asio::io_context &context;
    Settings settings;
    Fleet &fleet;
    EndpointCrashes &engines;
    Ledger &ledger;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Caller>> people; // one for each process
    std::vector<state::Instant> disturbedUntil;  // of each process
    Count counted;
    std::uint64_t prompts = 0;
    bool crashing = false; // such requests are sent
    bool stopped = false;
};

} // namespace lavenderthread::soak
