// One caller for each entry that calls it at a steady rate, however long the answers take.
#pragma once

#include "Callers.h"
#include "Fleet.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lavenderthread::soak {

struct CallCount
{
    std::uint64_t sent = 0;
    std::uint64_t served = 0;

    auto operator<=>(const CallCount &) const = default;
};

class SteadyCallers
{
public:
    struct Settings
    {
        std::uint64_t seed = 0;
        std::string nameSuffix; // tells the request ids of several sets of callers apart
        std::chrono::milliseconds pause{120}; // between two calls at an entry
        std::vector<std::string> paths = {"/stream/", "/post/", "/read/"}; // in turn
    };

    SteadyCallers(boost::asio::io_context &context, Settings chosen, Fleet &fleet, Ledger &ledger);

    void start();
    void stop() { this->stopped = true; }
    // Lets that much time pass and returns what the calls that ended in it brought.
    boost::asio::awaitable<CallCount> count(std::chrono::milliseconds time);
    // Of the calls at that entry since the start that have ended.
    CallCount countOf(std::size_t entry) const { return this->countedAt[entry]; }
    // The index of the process that a request was sent to: request ids begin with it.
    static std::size_t entryOf(const protocol::HttpRequest &request);

private:
    boost::asio::awaitable<void> callSteadily(std::size_t entry);
    boost::asio::awaitable<void> callOnce(std::size_t entry, std::string path);

    boost::asio::io_context &context;
    Settings settings;
    Fleet &fleet;
    std::vector<std::unique_ptr<Caller>> people; // one for each process
    CallCount counted;
    std::vector<CallCount> countedAt; // by process, since the start
    bool stopped = false;
};

// Freezes the last entry for a while, then kills the one before it and starts it again. Returns
// both.
boost::asio::awaitable<std::set<std::size_t>> disturbLastEntries(Fleet &fleet);

} // namespace lavenderthread::soak
