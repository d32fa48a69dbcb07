#include "EndpointLimits.h"

#include "transport/Await.h"

#include <iostream>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds calmTime{3'000};
constexpr milliseconds learningTime{3'000}; // until all entries keep the limits
constexpr milliseconds phaseTime{8'000};
constexpr milliseconds lastAnswer{3'500};
// Endpoints without a limit take what those with one leave.
constexpr double leastShareBesideOthers = 0.95;
constexpr double leastShareAfterwards = 0.95;
// Of the requests a second that all replicas of a service allow together.
constexpr double leastShareOfLimits = 0.5;
constexpr std::size_t replicaCount = 3;

std::string describe(std::uint64_t served, std::uint64_t sent)
{
    return std::to_string(served) + " of " + std::to_string(sent) + " calls served";
}

} // namespace

EndpointLimits::EndpointLimits(asio::io_context &context, Settings chosen, Fleet &fleet,
                               std::vector<std::shared_ptr<StandIn>> &endpoints, Ledger &ledger)
    : settings(chosen)
    , fleet(fleet)
    , endpoints(endpoints)
    , ledger(ledger)
    , callers(context, {.seed = chosen.seed}, fleet, ledger)
{}

asio::awaitable<void> EndpointLimits::play()
{
    this->callers.start();
    co_await transport::pause(calmTime);

    this->engine(0).nameLimit(1);
    this->engine(1).nameLimit(0.4);
    this->replica(0).nameLimit(2);
    this->replica(1).nameLimit(0.3);
    co_await transport::pause(learningTime);
    const CallCount beside = co_await this->callers.count(phaseTime);
    this->judgeServed("beside endpoints without a limit", beside, leastShareBesideOthers);
    co_await disturbLastEntries(this->fleet);
    co_await transport::pause(phaseTime);
    this->judgeLimits("with some endpoints limited");

    this->engine(0).nameLimit(4);
    constexpr double limitOfEach = 2;
    for (std::size_t index = 0; index < replicaCount; ++index)
        this->replica(index).nameLimit(limitOfEach);
    co_await transport::pause(learningTime);
    std::uint64_t before = 0;
    for (std::size_t index = 0; index < replicaCount; ++index)
        before += this->replica(index).arrivals();
    co_await transport::pause(phaseTime);
    std::uint64_t after = 0;
    for (std::size_t index = 0; index < replicaCount; ++index)
        after += this->replica(index).arrivals();
    this->judgeLimits("with all replicas of a service limited");
    const double allowed =
            limitOfEach * replicaCount * std::chrono::duration<double>(phaseTime).count();
    std::cout << "  " << after - before << " calls of " << allowed << " that all replicas allow\n";
    if (double(after - before) < allowed * leastShareOfLimits)
        this->ledger.broken("replicas that allow " + std::to_string(allowed) + " calls get "
                            + std::to_string(after - before));

    this->engine(1).restart();
    this->engine(0).nameLimit(std::nullopt);
    for (std::size_t index = 0; index < replicaCount; ++index)
        this->replica(index).nameLimit(std::nullopt);
    co_await transport::pause(learningTime);
    const CallCount afterwards = co_await this->callers.count(calmTime);
    this->judgeServed("after the limits were withdrawn", afterwards, leastShareAfterwards);
    this->callers.stop();
    co_await transport::pause(lastAnswer);
}

void EndpointLimits::judgeLimits(const char *phase) const
{
    for (const auto &endpoint : this->endpoints) {
        const auto violation = endpoint->namedLimit().violation();
        if (violation)
            this->ledger.broken(std::string(phase) + ", " + endpoint->name() + " got "
                                + *violation);
    }
}

void EndpointLimits::judgeServed(const char *phase, const CallCount &seen, double leastShare)
{
    const std::string text = std::string(phase) + ": " + describe(seen.served, seen.sent);
    std::cout << "  " << text << '\n';
    if (double(seen.served) < double(seen.sent) * leastShare)
        this->ledger.broken(text);
}

} // namespace lavenderthread::soak
