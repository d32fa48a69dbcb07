// One scenario: replicas of a plain service end when they run a certain call. Checks how many more
// of these calls reach replicas after the third end, and that sound ones are served.
#pragma once

#include "Callers.h"
#include "EndpointCrashes.h"
#include "Fleet.h"
#include "SteadyCallers.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lavenderthread::soak {

// How the calls are alike under which replicas end.
enum class CrashingCallKind {
    Target,   // idempotent, one path
    Body,     // idempotent, one body at different paths
    OnceOnly, // not idempotent, one body at the path of sound calls
    None,     // no such call: replicas end one after the other under calls that are all alike
};

class CrashingCall
{
public:
    struct Settings
    {
        CrashingCallKind kind = CrashingCallKind::Target;
        std::uint64_t seed = 0;
    };

    CrashingCall(boost::asio::io_context &context, Settings chosen, Fleet &fleet,
                 EndpointCrashes &replicas, Ledger &ledger);

    // What the replicas have to call; see StandInSettings.
    void requestArrived(const protocol::HttpRequest &request);
    bool replicaEnds(std::size_t replica, const protocol::HttpRequest &request);

    // Tells the ledger what was broken.
    boost::asio::awaitable<void> play();

private:
    boost::asio::awaitable<void> sendCrashing();
    boost::asio::awaitable<void> callCrashing(CallShape shape);
    boost::asio::awaitable<void> playCrashing();
    boost::asio::awaitable<void> playUnrelatedEnds();
    boost::asio::awaitable<void> restartAllEntries();
    boost::asio::awaitable<void> countServed(std::string phase, std::chrono::milliseconds time);
    CallShape crashingCall();
    std::size_t drawEntry();

    boost::asio::io_context &context;
    Settings settings;
    Fleet &fleet;
    EndpointCrashes &replicas;
    Ledger &ledger;
    std::mt19937_64 random;
    SteadyCallers sound;
    std::vector<std::unique_ptr<Caller>> people; // one for each process
    std::uint64_t calls = 0;
    bool crashing = false; // such calls are sent
};

} // namespace lavenderthread::soak
