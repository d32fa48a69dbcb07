#include "ColdReturns.h"

#include "program/Clock.h"
#include "transport/Await.h"

#include <algorithm>
#include <iostream>
#include <set>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds callPause{136}; // some 53 of the 64 slots are taken; two domains have fewer
constexpr milliseconds calmTime{3'000};
constexpr milliseconds downTime{2'000};
constexpr milliseconds untilEntryIsKilled{500};
constexpr milliseconds restartPause{300};
constexpr milliseconds pauseBetween{3'000}; // until the next domain goes down
constexpr milliseconds lastAnswer{3'500};
constexpr double leastShareUsed = 0.7;

} // namespace

ColdReturns::ColdReturns(asio::io_context &context, Settings chosen, Fleet &fleet,
                         std::vector<Proxy *> proxies,
                         std::vector<std::shared_ptr<StandIn>> endpoints, Ledger &ledger)
    : context(context)
    , settings(std::move(chosen))
    , fleet(fleet)
    , proxies(std::move(proxies))
    , endpoints(std::move(endpoints))
    , ledger(ledger)
    , callers(context, {.seed = this->settings.seed, .pause = callPause, .paths = {"/stream/"}},
              fleet, ledger)
{}

// An answer with 421 doesn't count: it asks for an earlier process.
void ColdReturns::requestArrived(std::size_t endpoint, const protocol::HttpRequest &request)
{
    const auto returned = this->returnedAt.find(endpoint);
    const state::Instant now = program::monotonicNow();
    if (returned == this->returnedAt.end() || now >= returned->second + coldTime
        || request.headers.find("Expect-Instance").value_or("")
                   != this->endpoints[endpoint]->name())
        return;
    this->arrivals[endpoint].push_back(now);
}

asio::awaitable<void> ColdReturns::play()
{
    this->callers.start();
    co_await transport::pause(calmTime);
    const std::set<std::string> domains(this->settings.failureDomains.begin(),
                                        this->settings.failureDomains.end());
    for (const std::string &domain : domains)
        co_await this->playRound(domain);
    this->callers.stop();
    co_await transport::pause(lastAnswer);
}

asio::awaitable<void> ColdReturns::playRound(const std::string &failureDomain)
{
    std::vector<std::size_t> there;
    for (std::size_t index = 0; index < this->settings.engines; ++index) {
        if (this->settings.failureDomains[index] == failureDomain)
            there.push_back(index);
    }
    for (const std::size_t engine : there) {
        this->endpoints[engine]->end();
        this->proxies[engine]->endTarget();
    }
    co_await transport::pause(downTime);
    for (const std::size_t engine : there) {
        this->proxies[engine]->listenAgain();
        this->endpoints[engine]->restartCold(coldTime);
        this->returnedAt[engine] = program::monotonicNow();
    }
    co_await transport::pause(untilEntryIsKilled);
    const std::size_t entry = this->fleet.size() - 1;
    this->fleet.kill(entry);
    co_await transport::pause(restartPause);
    this->fleet.start(entry);
    co_await transport::pause(coldTime - untilEntryIsKilled - restartPause);
    for (const std::size_t engine : there)
        this->judge(engine);
    this->returnedAt.clear();
    this->arrivals.clear();
    co_await transport::pause(pauseBetween);
}

void ColdReturns::judge(std::size_t engine)
{
    constexpr double allowed = requestsPerSecond * overshoot + slack;
    const state::Instant end = this->returnedAt[engine] + coldTime;
    const state::Instant known = this->endpoints[engine]->announcedAt().value_or(end);
    const double seconds = std::chrono::duration<double>(end - known).count();
    const std::vector<state::Instant> &times = this->arrivals[engine];
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto after = std::ranges::lower_bound(times, *first + std::chrono::seconds(1));
        most = std::max(most, std::size_t(after - first));
    }
    const double share = double(times.size()) / (requestsPerSecond * seconds);
    std::cout << "  engine " << engine << ", cold: " << times.size() << " requests, " << most
              << " in one second (allowed: " << allowed << "), " << share << " of the rate\n";
    if (double(most) > allowed)
        this->ledger.broken("cold engine " + std::to_string(engine) + " got " + std::to_string(most)
                            + " requests in one second");
    if (share < leastShareUsed)
        this->ledger.broken("cold engine " + std::to_string(engine) + " got "
                            + std::to_string(share) + " of what it may get");
}

} // namespace lavenderthread::soak
