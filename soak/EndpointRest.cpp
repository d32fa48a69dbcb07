#include "EndpointRest.h"

#include "program/Clock.h"
#include "transport/Await.h"

#include <algorithm>
#include <iostream>
#include <string>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds callPause{100};
constexpr milliseconds calmTime{3'000};
constexpr milliseconds phaseTime{7'000};
constexpr milliseconds turnTime{500}; // how long each half rests where they do by turns
constexpr int turns = 12;
constexpr milliseconds lastAnswer{3'500};
constexpr milliseconds restTime{3'000};
// Requests that are under way when an endpoint asks for rest may still arrive.
constexpr milliseconds underWay{500};
constexpr std::uint64_t allowedInOneRest = 2;
constexpr milliseconds drainTime{2'000}; // an entry has this long to stop

} // namespace

EndpointRest::EndpointRest(asio::io_context &context, Settings chosen, Fleet &fleet,
                           std::vector<std::shared_ptr<StandIn>> &endpoints, Ledger &ledger)
    : settings(chosen)
    , fleet(fleet)
    , endpoints(endpoints)
    , ledger(ledger)
    , callers(context, {.seed = chosen.seed, .pause = callPause}, fleet, ledger)
{}

void EndpointRest::requestArrived(std::size_t endpoint, const protocol::HttpRequest &request)
{
    const state::Instant now = program::monotonicNow();
    for (Rest &rest : this->rests[{endpoint, SteadyCallers::entryOf(request)}])
        rest.arrivals += rest.countedFrom < now && now < rest.until ? 1 : 0;
    const auto leaving = this->leavingSince.find({endpoint, SteadyCallers::entryOf(request)});
    if (leaving != this->leavingSince.end() && now > leaving->second + drainTime)
        ++this->arrivalsAfterLeaving;
}

void EndpointRest::saidLeaving(std::size_t endpoint, const protocol::HttpRequest &request)
{
    this->leavingSince.try_emplace({endpoint, SteadyCallers::entryOf(request)},
                                   program::monotonicNow());
}

void EndpointRest::askedForRest(std::size_t endpoint, const protocol::HttpRequest &request,
                                milliseconds time)
{
    const state::Instant now = program::monotonicNow();
    this->rests[{endpoint, SteadyCallers::entryOf(request)}].push_back(
            {now + underWay, now + time, 0});
}

void EndpointRest::restHalf(milliseconds time, std::size_t offset)
{
    for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
        const bool rests = index % 2 == offset;
        this->endpoints[index]->askForRest(rests ? std::optional(time) : std::nullopt);
    }
}

void EndpointRest::serveAgain()
{
    for (const auto &endpoint : this->endpoints)
        endpoint->askForRest(std::nullopt);
}

asio::awaitable<void> EndpointRest::play()
{
    this->callers.start();
    co_await transport::pause(calmTime);
    const auto print = [](const char *phase, const CallCount &seen) {
        std::cout << "  " << phase << ": " << seen.served << " of " << seen.sent << " served\n";
    };
    this->restHalf(restTime, 0);
    const CallCount half = co_await this->callers.count(phaseTime);
    print("half of the endpoints rest", half);
    for (int turn = 0; turn < turns; ++turn) {
        this->restHalf(restTime, std::size_t(turn) % 2);
        co_await transport::pause(turnTime);
    }
    this->restHalf(restTime, 1);
    this->excused = co_await disturbLastEntries(this->fleet);
    co_await transport::pause(restTime);
    this->serveAgain();
    co_await transport::pause(restTime);
    const CallCount afterwards = co_await this->callers.count(calmTime);
    print("afterwards", afterwards);
    this->endpoints.front()->sayLeaving();
    this->endpoints[this->settings.engines]->sayLeaving();
    const CallCount leaving = co_await this->callers.count(phaseTime);
    print("two endpoints leave", leaving);
    this->callers.stop();
    co_await transport::pause(lastAnswer);
    this->judge();
}

void EndpointRest::judge()
{
    std::size_t broken = 0;
    std::uint64_t most = 0;
    for (const auto &[pair, all] : this->rests) {
        if (this->excused.contains(pair.second))
            continue;
        for (const Rest &rest : all) {
            broken += rest.arrivals > allowedInOneRest ? 1 : 0;
            most = std::max(most, rest.arrivals);
        }
    }
    if (broken > 0)
        this->ledger.broken("in " + std::to_string(broken)
                            + " rests more than two requests came from one entry, at most "
                            + std::to_string(most));
    if (this->arrivalsAfterLeaving > 0)
        this->ledger.broken(std::to_string(this->arrivalsAfterLeaving)
                            + " requests reached endpoints that had said that they leave");
}

} // namespace lavenderthread::soak
