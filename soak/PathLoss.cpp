#include "PathLoss.h"

#include "transport/Await.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>
#include <iostream>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds callPause{120};
constexpr milliseconds lastAnswer{3'500}; // every call of a counted stretch has ended by then
constexpr milliseconds calmTime{3'000};
constexpr milliseconds contactTime{3'000}; // an entry has this long to find other ways
constexpr milliseconds countedTime{6'000};
constexpr milliseconds recoveryTime{6'000};
// Quiet scenario: how often paths are lost, and the requests that each entry then gets.
constexpr int quietRounds = 3;
constexpr int quietCalls = 3;
constexpr milliseconds quietCallPause{800};
constexpr milliseconds quietTimeLimit{1'000}; // the shortest that callers have
// The entries without paths serve at least so many of their first tries as the others of theirs, or
// hardly any fail there.
constexpr double leastShareOfOthers = 2.0 / 3;
constexpr double toleratedFailures = 10;
constexpr double toleratedFailureShare = 1.0 / 50; // of all first tries
constexpr double leastShareUndisturbed = 0.95;

constexpr std::array paths = {"/stream/", "/post/", "/read/"};

std::string describe(const std::string &who, std::uint64_t served, std::uint64_t sent)
{
    return who + " served " + std::to_string(served) + " of " + std::to_string(sent)
           + " requests at the first attempt";
}

} // namespace

PathLoss::PathLoss(asio::io_context &context, Settings chosen, Fleet &fleet,
                   std::vector<Proxy *> endpointProxies, Ledger &ledger)
    : context(context)
    , settings(chosen)
    , fleet(fleet)
    , proxies(std::move(endpointProxies))
    , ledger(ledger)
{
    for (std::size_t index = 0; index < this->fleet.size(); ++index) {
        CallerSettings caller;
        caller.seed = this->settings.seed * 1'000 + index;
        caller.name = "p" + std::to_string(index);
        caller.briefOnly = true;
        if (this->settings.quiet)
            caller.timeLimit = quietTimeLimit;
        this->people.push_back(std::make_unique<Caller>(this->context, caller, this->ledger));
    }
}

// A connection is identified by its process, since all processes have the same source address on
// loopback.
LinkFault PathLoss::faultOf(const state::Address &caller, const state::Address &proxy) const
{
    const bool isCut = this->fleet.ownerOfSocket(caller, proxy, this->cut).has_value();
    return isCut ? this->settings.fault : LinkFault::None;
}

asio::awaitable<void> PathLoss::callSteadily(std::size_t entry)
{
    std::size_t turn = entry;
    while (!this->stopped) {
        asio::co_spawn(this->context, this->callOnce(entry, paths[++turn % paths.size()]),
                       asio::detached);
        co_await transport::pause(callPause);
    }
}

asio::awaitable<void> PathLoss::callOnce(std::size_t entry, std::string path)
{
    const bool counts = this->counting;
    const bool served = co_await this->people[entry]->callAt(this->fleet.callers(entry), path);
    if (!counts)
        co_return;
    Count &count = this->cut.contains(entry) ? this->countOfCut : this->countOfOthers;
    ++count.sent;
    count.served += served ? 1 : 0;
}

asio::awaitable<void> PathLoss::play()
{
    if (this->settings.quiet)
        co_await this->playQuiet();
    else
        co_await this->playSteady();
}

// Cuts the wanted number of entries off, counted from `first` on.
void PathLoss::cutPaths(std::size_t first)
{
    this->cut.clear();
    for (std::size_t step = 0; step < this->fleet.size(); ++step) {
        const std::size_t index = (first + step) % this->fleet.size();
        if (this->isEntry(index) && this->cut.size() < this->settings.cutOff)
            this->cut.insert(index);
    }
    for (Proxy *proxy : this->proxies)
        proxy->setFaultOf([this](const state::Address &caller, const state::Address &at) {
            return this->faultOf(caller, at);
        });
}

void PathLoss::restorePaths()
{
    for (Proxy *proxy : this->proxies) {
        proxy->setFaultOf({});
        proxy->resetAll();
    }
}

asio::awaitable<void> PathLoss::playSteady()
{
    for (std::size_t entry = 0; entry < this->fleet.size(); ++entry) {
        if (this->isEntry(entry))
            asio::co_spawn(this->context, this->callSteadily(entry), asio::detached);
    }
    co_await transport::pause(calmTime);
    this->cutPaths(0);
    co_await transport::pause(contactTime);
    this->counting = true;
    co_await transport::pause(countedTime);
    this->counting = false;
    co_await transport::pause(lastAnswer);
    this->judge();
    this->restorePaths();
    co_await transport::pause(recoveryTime);
    this->countOfCut = {};
    this->countOfOthers = {};
    this->counting = true;
    co_await transport::pause(calmTime);
    this->stopped = true;
    co_await transport::pause(lastAnswer);
    if (this->countOfCut.share() < leastShareUndisturbed)
        this->ledger.broken("with their paths back: "
                            + describe("entries that had none", this->countOfCut.served,
                                       this->countOfCut.sent));
}

asio::awaitable<void> PathLoss::callEachInTurn()
{
    for (int call = 0; call < quietCalls; ++call) {
        for (std::size_t entry = 0; entry < this->fleet.size(); ++entry) {
            const std::string path = paths[(entry + std::size_t(call)) % paths.size()];
            if (this->isEntry(entry))
                asio::co_spawn(this->context, this->callOnce(entry, path), asio::detached);
        }
        co_await transport::pause(quietCallPause);
    }
    co_await transport::pause(lastAnswer);
}

asio::awaitable<void> PathLoss::playQuiet()
{
    co_await transport::pause(calmTime);
    co_await this->callEachInTurn();
    this->counting = true;
    for (int round = 0; round < quietRounds; ++round) {
        this->cutPaths(this->settings.seed + std::size_t(round));
        co_await transport::pause(contactTime);
        co_await this->callEachInTurn();
        this->restorePaths();
        co_await transport::pause(recoveryTime);
    }
    this->judge();
}

void PathLoss::judge() const
{
    const Count &ours = this->countOfCut;
    const Count &others = this->countOfOthers;
    const std::string seen = describe("entries without paths", ours.served, ours.sent) + ", "
                             + describe("the others", others.served, others.sent);
    std::cout << "  " << seen << '\n';
    const auto failed = double(ours.sent - ours.served);
    const auto all = double(ours.sent + others.sent);
    const bool few = failed <= toleratedFailures + all * toleratedFailureShare;
    // Without service elsewhere the comparison would say nothing.
    const bool othersServe = others.share() >= leastShareUndisturbed;
    if (!othersServe || (ours.share() < others.share() * leastShareOfOthers && !few))
        this->ledger.broken(seen);
}

} // namespace lavenderthread::soak
