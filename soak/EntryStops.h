// One scenario: prompts wait at the entries for engines that are too few, slower than predicted and
// break some answers off, while entries are told to stop one after the other and reload their
// settings. Checks that every request that an entry has read gets a complete answer.
#pragma once

#include "Fleet.h"
#include "KeptCaller.h"
#include "Ledger.h"
#include "StandIn.h"

#include "protocol/HttpMessage.h"
#include "state/Time.h"

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

class EntryStops
{
public:
    struct Settings
    {
        std::uint64_t seed = 0;
        std::chrono::milliseconds termination{0}; // as the entries are told
        std::size_t callersAtEachEntry = 4;
        std::size_t stops = 8;
    };

    static constexpr std::chrono::milliseconds timeLimit{15'000}; // of each request
    // With the shorter one, entries give up engines that are silent for less than their work takes.
    static constexpr std::chrono::milliseconds firstEventTarget{2'500};
    static constexpr std::chrono::milliseconds shortFirstEventTarget{700};
    static constexpr std::uint32_t readRate = 206'000; // tokens a second, as engines declare
    // An engine's time for a prompt, more than twice of what follows from that rate.
    static constexpr std::chrono::milliseconds workTime{2'500};

    EntryStops(boost::asio::io_context &context, Settings chosen, Fleet &fleet,
               std::vector<std::shared_ptr<StandIn>> engines, Ledger &ledger);

    // Ends after the last entry was started again. Tells the ledger what was broken.
    boost::asio::awaitable<void> play();

    // What an engine sees.
    void requestArrived(const protocol::HttpRequest &request);
    void workEnded(const protocol::HttpRequest &request, bool brokeOff);

private:
    boost::asio::awaitable<void> callForEver(std::size_t entry, std::size_t person);
    boost::asio::awaitable<void> reloadForEver();
    // Some answers of one engine at a time, another one each time.
    boost::asio::awaitable<void> breakAnswersForEver();
    boost::asio::awaitable<void> stopAndStart(std::size_t entry);
    void judge(std::size_t entry, const std::string &id, const KeptCallResult &result);
    // Whether an engine still worked on the request when the process had to end.
    bool isExcused(const std::string &id, const KeptCallResult &result,
                   state::Instant stoppedAt) const;
    std::chrono::milliseconds drawUpTo(std::chrono::milliseconds most);

    boost::asio::io_context &context;
    Settings settings;
    Fleet &fleet;
    std::vector<std::shared_ptr<StandIn>> engines;
    Ledger &ledger;
    std::mt19937_64 random;
    std::map<std::size_t, state::Instant> stoppedAt; // first SIGTERM of the last stop, by process
    std::set<std::size_t> stopping;                  // told to stop, and not started again yet
    std::map<std::string, std::size_t> working;      // engines that work on the request
    std::set<std::string> brokenOff;                 // requests whose answer an engine broke off
    std::map<std::string, std::uint64_t> counts;     // of requests, by how they ended
    bool stopped = false;
};

} // namespace lavenderthread::soak
