#include "EndpointRest.h"

#include "program/Clock.h"
#include "transport/Await.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <csignal>
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
constexpr milliseconds freezeTime{1'500};
constexpr milliseconds lastAnswer{3'500};
constexpr milliseconds restTime{3'000};
// Requests that are under way when an endpoint asks for rest may still arrive.
constexpr milliseconds underWay{500};
constexpr std::uint64_t allowedInOneRest = 2;
constexpr milliseconds drainTime{2'000}; // an entry has this long to stop

constexpr std::array paths = {"/stream/", "/post/", "/read/"};

} // namespace

EndpointRest::EndpointRest(asio::io_context &context, Settings chosen, Fleet &fleet,
                           std::vector<std::shared_ptr<StandIn>> &endpoints, Ledger &ledger)
    : context(context)
    , settings(chosen)
    , fleet(fleet)
    , endpoints(endpoints)
    , ledger(ledger)
{
    for (std::size_t index = 0; index < this->fleet.size(); ++index) {
        CallerSettings caller;
        caller.seed = this->settings.seed * 1'000 + index;
        caller.name = std::to_string(index);
        caller.briefOnly = true;
        this->people.push_back(std::make_unique<Caller>(this->context, caller, this->ledger));
    }
}

// Each entry has a caller of its own, whose name begins its request ids.
std::size_t EndpointRest::entryOf(const protocol::HttpRequest &request)
{
    return std::stoul(std::string(request.headers.find("Request-Id").value_or("0")));
}

void EndpointRest::requestArrived(std::size_t endpoint, const protocol::HttpRequest &request)
{
    const state::Instant now = program::monotonicNow();
    for (Rest &rest : this->rests[{endpoint, entryOf(request)}])
        rest.arrivals += rest.countedFrom < now && now < rest.until ? 1 : 0;
    const auto leaving = this->leavingSince.find({endpoint, entryOf(request)});
    if (leaving != this->leavingSince.end() && now > leaving->second + drainTime)
        ++this->arrivalsAfterLeaving;
}

void EndpointRest::saidLeaving(std::size_t endpoint, const protocol::HttpRequest &request)
{
    this->leavingSince.try_emplace({endpoint, entryOf(request)}, program::monotonicNow());
}

void EndpointRest::askedForRest(std::size_t endpoint, const protocol::HttpRequest &request,
                                milliseconds time)
{
    const state::Instant now = program::monotonicNow();
    this->rests[{endpoint, entryOf(request)}].push_back({now + underWay, now + time, 0});
}

asio::awaitable<void> EndpointRest::callSteadily(std::size_t entry)
{
    std::size_t turn = entry;
    while (!this->stopped) {
        asio::co_spawn(this->context, this->callOnce(entry, paths[++turn % paths.size()]),
                       asio::detached);
        co_await transport::pause(callPause);
    }
}

asio::awaitable<void> EndpointRest::callOnce(std::size_t entry, std::string path)
{
    const bool served = co_await this->people[entry]->callAt(this->fleet.callers(entry), path);
    ++this->counted.sent;
    this->counted.served += served ? 1 : 0;
}

asio::awaitable<EndpointRest::Count> EndpointRest::count(milliseconds time)
{
    this->counted = {};
    co_await transport::pause(time);
    co_return this->counted;
}

asio::awaitable<void> EndpointRest::disturbEntries()
{
    const std::size_t last = this->fleet.size() - 1;
    this->excused = {last, last - 1};
    this->fleet.signal(last, SIGSTOP);
    co_await transport::pause(freezeTime);
    this->fleet.signal(last, SIGCONT);
    this->fleet.kill(last - 1);
    co_await transport::pause(milliseconds(300));
    this->fleet.start(last - 1);
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
    for (std::size_t entry = 0; entry < this->fleet.size(); ++entry) {
        if (!this->fleet.isControl(entry))
            asio::co_spawn(this->context, this->callSteadily(entry), asio::detached);
    }
    co_await transport::pause(calmTime);
    const auto print = [](const char *phase, const Count &seen) {
        std::cout << "  " << phase << ": " << seen.served << " of " << seen.sent << " served\n";
    };
    this->restHalf(restTime, 0);
    const Count half = co_await this->count(phaseTime);
    print("half of the endpoints rest", half);
    for (int turn = 0; turn < turns; ++turn) {
        this->restHalf(restTime, std::size_t(turn) % 2);
        co_await transport::pause(turnTime);
    }
    this->restHalf(restTime, 1);
    co_await this->disturbEntries();
    co_await transport::pause(restTime);
    this->serveAgain();
    co_await transport::pause(restTime);
    const Count afterwards = co_await this->count(calmTime);
    print("afterwards", afterwards);
    this->endpoints.front()->sayLeaving();
    this->endpoints[this->settings.engines]->sayLeaving();
    const Count leaving = co_await this->count(phaseTime);
    print("two endpoints leave", leaving);
    this->stopped = true;
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
