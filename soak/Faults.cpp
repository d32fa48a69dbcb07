#include "Faults.h"

#include "transport/Await.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>
#include <csignal>
#include <iostream>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t mostAtOnce = 3;
constexpr milliseconds step{50};
constexpr milliseconds newDiskTime{3'000}; // until a member with an empty disk votes again

} // namespace

Faults::Faults(Fleet &fleet, std::vector<std::unique_ptr<Proxy>> &proxies,
               std::vector<std::shared_ptr<StandIn>> &endpoints, std::uint64_t seed)
    : fleet(fleet)
    , proxies(proxies)
    , endpoints(endpoints)
    , random(seed)
{}

std::size_t Faults::anyControl()
{
    std::size_t index = this->any();
    while (!this->fleet.isControl(index))
        index = this->any();
    return index;
}

void Faults::note(const std::string &what) const
{
    std::cout << "  fault: " << what << '\n';
}

asio::awaitable<void> Faults::strikeForEver(milliseconds pause)
{
    static constexpr std::array<Strike, 11> strikes = {
            &Faults::killOne,         &Faults::freezeOne,      &Faults::terminateOne,
            &Faults::reloadOne,       &Faults::wipeControl,    &Faults::tearControl,
            &Faults::faultLink,       &Faults::resetLinks,     &Faults::faultEndpoint,
            &Faults::restartEndpoint, &Faults::killAllControls};
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    while (!this->stopped) {
        co_await transport::pause(milliseconds(this->random() % (2 * pause.count() + 1)));
        if (this->open >= mostAtOnce || this->stopped)
            continue;
        const Strike strike = strikes[this->random() % strikes.size()];
        const milliseconds time(200 + this->random() % 2'500);
        ++this->open;
        asio::co_spawn(executor, (this->*strike)(time), [this](const std::exception_ptr &failure) {
            --this->open;
            if (failure)
                std::rethrow_exception(failure);
        });
    }
}

asio::awaitable<void> Faults::killOne(milliseconds time)
{
    const std::size_t index = this->any();
    this->note("kill " + std::to_string(index));
    this->fleet.kill(index);
    co_await transport::pause(time);
    if (!this->fleet.isRunning(index))
        this->fleet.start(index);
}

asio::awaitable<void> Faults::killAllControls(milliseconds time)
{
    this->note("kill all control members");
    std::vector<std::size_t> killed;
    for (std::size_t index = 0; index < this->fleet.size(); ++index) {
        if (this->fleet.isControl(index)) {
            this->fleet.kill(index);
            killed.push_back(index);
        }
    }
    co_await transport::pause(time / 4);
    for (const std::size_t index : killed) {
        if (!this->fleet.isRunning(index))
            this->fleet.start(index);
    }
}

asio::awaitable<void> Faults::freezeOne(milliseconds time)
{
    const std::size_t index = this->any();
    this->note("freeze " + std::to_string(index));
    this->fleet.signal(index, SIGSTOP);
    co_await transport::pause(time);
    this->fleet.signal(index, SIGCONT);
}

asio::awaitable<void> Faults::terminateOne(milliseconds)
{
    const std::size_t index = this->any();
    this->note("terminate " + std::to_string(index));
    this->fleet.signal(index, SIGTERM);
    constexpr int waits = 120; // six seconds; it has four
    for (int wait = 0; wait < waits && this->fleet.isRunning(index); ++wait)
        co_await transport::pause(step);
    this->fleet.kill(index);
    this->fleet.start(index);
}

asio::awaitable<void> Faults::reloadOne(milliseconds)
{
    const std::size_t index = this->any();
    this->note("reload " + std::to_string(index));
    this->fleet.signal(index, SIGHUP);
    co_return;
}

asio::awaitable<void> Faults::wipeControl(milliseconds time)
{
    if (std::exchange(this->diskLost, true))
        co_return;
    const std::size_t index = this->anyControl();
    this->note("lose the disk of " + std::to_string(index));
    this->fleet.kill(index);
    this->fleet.wipe(index);
    co_await transport::pause(time);
    if (!this->fleet.isRunning(index))
        this->fleet.start(index);
    co_await transport::pause(newDiskTime);
    this->diskLost = false;
}

asio::awaitable<void> Faults::tearControl(milliseconds time)
{
    const std::size_t index = this->anyControl();
    this->note("tear the log of " + std::to_string(index));
    this->fleet.kill(index);
    this->fleet.tearLog(index);
    co_await transport::pause(time / 4);
    if (!this->fleet.isRunning(index))
        this->fleet.start(index);
}

asio::awaitable<void> Faults::faultLink(milliseconds time)
{
    constexpr std::array faults = {LinkFault::Delayed, LinkFault::Silent, LinkFault::SilentAnswers,
                                   LinkFault::Refused};
    Proxy &proxy = *this->proxies[this->random() % this->proxies.size()];
    const std::size_t which = this->random() % faults.size();
    this->note("link fault " + std::to_string(which));
    proxy.setFault(faults[which]);
    co_await transport::pause(time);
    proxy.setFault(LinkFault::None);
}

asio::awaitable<void> Faults::resetLinks(milliseconds)
{
    this->note("reset links");
    for (const auto &proxy : this->proxies) {
        if (this->random() % 2 == 0)
            proxy->resetAll();
    }
    co_return;
}

asio::awaitable<void> Faults::faultEndpoint(milliseconds time)
{
    constexpr std::array faults = {EndpointFault::Fails, EndpointFault::Refuses,
                                   EndpointFault::Breaks, EndpointFault::Hangs,
                                   EndpointFault::Crossed};
    StandIn &endpoint = *this->endpoints[this->random() % this->endpoints.size()];
    const std::size_t which = this->random() % faults.size();
    this->note("endpoint fault " + std::to_string(which));
    endpoint.setFault(faults[which]);
    co_await transport::pause(time);
    endpoint.setFault(EndpointFault::None);
}

asio::awaitable<void> Faults::restartEndpoint(milliseconds)
{
    this->note("restart an endpoint");
    this->endpoints[this->random() % this->endpoints.size()]->restart();
    co_return;
}

asio::awaitable<void> Faults::heal()
{
    this->stopped = true;
    while (this->open > 0)
        co_await transport::pause(step);
    for (const auto &proxy : this->proxies)
        proxy->setFault(LinkFault::None);
    for (std::size_t index = 0; index < this->fleet.size(); ++index) {
        this->fleet.signal(index, SIGCONT);
        if (!this->fleet.isRunning(index))
            this->fleet.start(index);
    }
}

} // namespace lavenderthread::soak
