// Scenarios in which some entries lose their paths to all endpoints for some seconds, while callers
// and the other entries still reach them. Compares the first tries at them with those at the
// others.
#pragma once

#include "Callers.h"
#include "Fleet.h"
#include "Proxy.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <vector>

namespace lavenderthread::soak {

class PathLoss
{
public:
    struct Settings
    {
        LinkFault fault =
                LinkFault::Unreachable; // of connections from the entries that are cut off
        std::size_t cutOff = 0;         // how many of the entries
        std::uint64_t seed = 0;
        // Entries get no requests in the time in which they may find other ways.
        bool quiet = false;
    };

    PathLoss(boost::asio::io_context &context, Settings chosen, Fleet &fleet,
             std::vector<Proxy *> endpointProxies, Ledger &ledger);

    // Ends after the paths are back and have been used again. Tells the ledger what was broken.
    boost::asio::awaitable<void> play();

private:
    boost::asio::awaitable<void> playSteady();
    boost::asio::awaitable<void> playQuiet();
    boost::asio::awaitable<void> callEachInTurn();
    void cutPaths(std::size_t first);
    void restorePaths();

    struct Count
    {
        std::uint64_t sent = 0;
        std::uint64_t served = 0;

        double share() const
        {
            return this->sent == 0 ? 0 : double(this->served) / double(this->sent);
        }
    };

    bool isEntry(std::size_t index) const { return !this->fleet.isControl(index); }
    // Calls that entry at a steady rate, however long the answers take.
    boost::asio::awaitable<void> callSteadily(std::size_t entry);
    boost::asio::awaitable<void> callOnce(std::size_t entry, std::string path);
    LinkFault faultOf(const state::Address &caller, const state::Address &proxy) const;
    void judge() const;

    boost::asio::io_context &context;
    Settings settings;
    Fleet &fleet;
    std::vector<Proxy *> proxies; // before the endpoints
    Ledger &ledger;
    std::vector<std::unique_ptr<Caller>> people; // one for each process
    std::set<std::size_t> cut;                   // entries without paths
    bool counting = false;
    bool stopped = false;
    Count countOfCut;
    Count countOfOthers;
};

} // namespace lavenderthread::soak
