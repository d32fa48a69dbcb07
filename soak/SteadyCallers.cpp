#include "SteadyCallers.h"

#include "transport/Await.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <csignal>
#include <utility>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds freezeTime{1'500};
constexpr milliseconds restartPause{300};

} // namespace

SteadyCallers::SteadyCallers(asio::io_context &context, Settings chosen, Fleet &fleet,
                             Ledger &ledger)
    : context(context)
    , settings(std::move(chosen))
    , fleet(fleet)
    , countedAt(fleet.size())
{
    for (std::size_t index = 0; index < this->fleet.size(); ++index) {
        CallerSettings caller;
        caller.seed = this->settings.seed * 1'000 + index;
        caller.name = std::to_string(index) + this->settings.nameSuffix;
        caller.briefOnly = true;
        this->people.push_back(std::make_unique<Caller>(this->context, caller, ledger));
    }
}

void SteadyCallers::start()
{
    for (std::size_t entry = 0; entry < this->fleet.size(); ++entry) {
        if (!this->fleet.isControl(entry))
            asio::co_spawn(this->context, this->callSteadily(entry), asio::detached);
    }
}

asio::awaitable<void> SteadyCallers::callSteadily(std::size_t entry)
{
    std::size_t turn = entry;
    while (!this->stopped) {
        const std::string &path = this->settings.paths[++turn % this->settings.paths.size()];
        asio::co_spawn(this->context, this->callOnce(entry, path), asio::detached);
        co_await transport::pause(this->settings.pause);
    }
}

asio::awaitable<void> SteadyCallers::callOnce(std::size_t entry, std::string path)
{
    const bool served = co_await this->people[entry]->callAt(this->fleet.callers(entry), path);
    ++this->counted.sent;
    this->counted.served += served ? 1 : 0;
    ++this->countedAt[entry].sent;
    this->countedAt[entry].served += served ? 1 : 0;
}

asio::awaitable<CallCount> SteadyCallers::count(milliseconds time)
{
    this->counted = {};
    co_await transport::pause(time);
    co_return this->counted;
}

std::size_t SteadyCallers::entryOf(const protocol::HttpRequest &request)
{
    return std::stoul(std::string(request.headers.find("Request-Id").value_or("0")));
}

asio::awaitable<std::set<std::size_t>> disturbLastEntries(Fleet &fleet)
{
    const std::size_t last = fleet.size() - 1;
    fleet.signal(last, SIGSTOP);
    co_await transport::pause(freezeTime);
    fleet.signal(last, SIGCONT);
    fleet.kill(last - 1);
    co_await transport::pause(restartPause);
    fleet.start(last - 1);
    co_return std::set<std::size_t>{last - 1, last};
}

} // namespace lavenderthread::soak
