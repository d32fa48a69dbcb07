#include "EndpointCrashes.h"

#include "program/Clock.h"
#include "transport/Await.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <iostream>
#include <utility>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds shortestAbsence{2'000};
constexpr milliseconds longestAbsence{4'000};
constexpr milliseconds contactTime{3'000}; // all entries know by then
constexpr std::ptrdiff_t toleratedArrivals = 3;

} // namespace

EndpointCrashes::EndpointCrashes(asio::io_context &context, std::uint64_t seed,
                                 std::vector<Proxy *> proxies,
                                 std::vector<std::shared_ptr<StandIn>> endpoints, Ledger &ledger)
    : context(context)
    , proxies(std::move(proxies))
    , endpoints(std::move(endpoints))
    , ledger(ledger)
    , random(seed)
{}

void EndpointCrashes::arrived(const std::string &cause)
{
    this->histories[cause].arrivals.push_back(program::monotonicNow());
}

bool EndpointCrashes::endUnder(std::size_t endpoint, const std::string &cause)
{
    if (this->endpoints[endpoint]->hasEnded())
        return false;
    this->histories[cause].ends.push_back(program::monotonicNow());
    this->end(endpoint);
    return true;
}

void EndpointCrashes::end(std::size_t endpoint)
{
    this->endpoints[endpoint]->end();
    this->proxies[endpoint]->endTarget();
    asio::co_spawn(this->context, this->bringBack(endpoint), asio::detached);
}

asio::awaitable<void> EndpointCrashes::bringBack(std::size_t endpoint)
{
    std::uniform_int_distribution<std::int64_t> absence(shortestAbsence.count(),
                                                        longestAbsence.count());
    co_await transport::pause(milliseconds(absence(this->random)));
    this->proxies[endpoint]->listenAgain();
    this->endpoints[endpoint]->restart();
}

void EndpointCrashes::judgeArrivals(std::size_t endsUntilKnown) const
{
    for (const auto &[cause, history] : this->histories) {
        std::cout << "  " << history.ends.size() << " endpoints ended under " << cause << ", "
                  << history.arrivals.size() << " requests with it arrived\n";
        if (history.ends.size() < endsUntilKnown)
            continue;
        const state::Instant counted = history.ends[endsUntilKnown - 1] + contactTime;
        const auto late = std::ranges::count_if(
                history.arrivals, [&](const state::Instant &at) { return at > counted; });
        if (late > toleratedArrivals)
            this->ledger.broken(std::to_string(late) + " requests with " + cause
                                + " reached endpoints later than 3 s after end "
                                + std::to_string(endsUntilKnown));
    }
}

} // namespace lavenderthread::soak
