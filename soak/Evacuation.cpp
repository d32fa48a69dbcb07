#include "Evacuation.h"

#include "program/Clock.h"
#include "transport/Await.h"

#include <algorithm>
#include <iostream>
#include <iterator>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds callPause{100};
constexpr milliseconds calmTime{3'000};
// From the acknowledgement on, this long is allowed until nothing new arrives; the aim is 1 s.
constexpr milliseconds inForceWithin{5'000};
constexpr milliseconds aim{1'000};
constexpr milliseconds checkedTime{4'000}; // after the bound
constexpr milliseconds restartPause{300};
constexpr milliseconds untilRestart{1'500};
constexpr milliseconds usedAgainWithin{5'000};
constexpr milliseconds lastAnswer{3'500};
// With the other callers, some 53 of the 64 slots of the engines are taken; three engines have 48.
constexpr milliseconds fillerPause{250};

} // namespace

Evacuation::Evacuation(asio::io_context &context, Settings chosen, Fleet &fleet,
                       Operator &operators, Ledger &ledger)
    : context(context)
    , settings(std::move(chosen))
    , fleet(fleet)
    , operators(operators)
    , ledger(ledger)
    , callers(context, {.seed = this->settings.seed, .pause = callPause}, fleet, ledger)
{}

void Evacuation::requestArrived(std::size_t endpoint)
{
    ++this->arrivals[endpoint];
    if (!this->acknowledgedAt || this->settings.failureDomains[endpoint] != this->evacuated)
        return;
    const state::Instant now = program::monotonicNow();
    this->lastArrival = now;
    this->lateArrivals += now > *this->acknowledgedAt + inForceWithin ? 1 : 0;
}

void Evacuation::streamBegan(std::size_t endpoint)
{
    ++this->runningStreams[endpoint];
}

void Evacuation::streamEnded(std::size_t endpoint, bool whole)
{
    --this->runningStreams[endpoint];
    if (!whole && this->settings.failureDomains[endpoint] == this->evacuated)
        ++this->brokenStreams;
}

std::uint64_t Evacuation::runningIn(const std::string &failureDomain) const
{
    std::uint64_t running = 0;
    for (const auto &[endpoint, count] : this->runningStreams)
        running += this->settings.failureDomains[endpoint] == failureDomain ? count : 0;
    return running;
}

std::string Evacuation::busiestDomain() const
{
    std::vector<std::string> others;
    std::ranges::copy_if(this->settings.failureDomains, std::back_inserter(others),
                         [this](const auto &domain) { return !this->done.contains(domain); });
    const std::string busiest = this->busiestDomainOf(others);
    return this->runningIn(busiest) > 0 ? busiest
                                        : this->busiestDomainOf(this->settings.failureDomains);
}

std::string Evacuation::busiestDomainOf(const std::vector<std::string> &domains) const
{
    return *std::ranges::max_element(
            domains, {}, [this](const std::string &domain) { return this->runningIn(domain); });
}

asio::awaitable<void> Evacuation::play()
{
    this->callers.start();
    co_await this->playRound(Disturbance::EntryRestart);
    co_await this->playRound(Disturbance::LeaderKill);
    this->callers.stop();
    co_await transport::pause(lastAnswer);
    this->judgeCalls();
}

asio::awaitable<void> Evacuation::playRound(Disturbance disturbance)
{
    co_await transport::pause(calmTime);
    const auto leader = this->fleet.leader();
    if (!leader) {
        this->ledger.broken("no control member leads in a calm fleet");
        co_return;
    }
    const std::string failureDomain = this->busiestDomain();
    this->done.insert(failureDomain);
    this->evacuated = failureDomain;
    const std::size_t lostAnswers = disturbance == Disturbance::EntryRestart ? 1 : 0;
    const bool begun = co_await this->operators.evacuate(failureDomain, true, lostAnswers);
    this->acknowledgedAt = program::monotonicNow();
    if (disturbance == Disturbance::LeaderKill)
        this->fleet.kill(*leader);
    const std::uint64_t running = this->runningIn(failureDomain);
    if (!begun)
        this->ledger.broken("the evacuation of " + failureDomain + " was not acknowledged");
    if (running == 0)
        this->ledger.broken("no stream runs in " + failureDomain + " when its evacuation begins");
    co_await transport::pause(untilRestart);
    if (disturbance == Disturbance::EntryRestart)
        co_await this->restartEntry();
    co_await transport::pause(inForceWithin - untilRestart + checkedTime);
    this->judgeRound(running);
    this->acknowledgedAt.reset();
    this->evacuated.clear();
    this->arrivals.clear();
    const bool finished = co_await this->operators.evacuate(failureDomain, false, 0);
    if (!finished)
        this->ledger.broken("the end of the evacuation was not acknowledged");
    if (disturbance == Disturbance::LeaderKill)
        this->fleet.start(*leader);
    co_await this->checkUsedAgain(failureDomain);
}

void Evacuation::judgeRound(std::uint64_t running)
{
    if (this->lastArrival) {
        const auto after =
                std::chrono::ceil<milliseconds>(*this->lastArrival - *this->acknowledgedAt);
        std::cout << "  the last request reached " << this->evacuated << " " << after.count()
                  << " ms after the acknowledgement (aim: " << aim.count() << " ms)\n";
    } else {
        std::cout << "  no request reached " << this->evacuated << " after the acknowledgement\n";
    }
    std::cout << "  " << running << " streams ran there, " << this->brokenStreams
              << " were broken off\n";
    if (this->lateArrivals > 0)
        this->ledger.broken(std::to_string(this->lateArrivals) + " requests reached "
                            + this->evacuated + " more than 5 s after the acknowledgement");
    if (this->brokenStreams > 0)
        this->ledger.broken(std::to_string(this->brokenStreams) + " streams in " + this->evacuated
                            + " were broken off");
    this->lastArrival.reset();
    this->lateArrivals = 0;
    this->brokenStreams = 0;
}

// The last one, when the streams that ran in the domain at the acknowledgement have ended.
asio::awaitable<void> Evacuation::restartEntry()
{
    const std::size_t entry = this->fleet.size() - 1;
    this->excused.insert(entry);
    const std::uint64_t servedBefore = this->callers.countOf(entry).served;
    this->fleet.kill(entry);
    co_await transport::pause(restartPause);
    this->fleet.start(entry);
    co_await transport::pause(inForceWithin - untilRestart);
    if (this->callers.countOf(entry).served == servedBefore)
        this->ledger.broken("the restarted entry serves no call");
}

asio::awaitable<void> Evacuation::checkUsedAgain(std::string failureDomain)
{
    SteadyCallers::Settings settings;
    settings.seed = this->settings.seed + 1;
    settings.nameSuffix = "f" + std::to_string(this->fillers.size());
    settings.pause = fillerPause;
    settings.paths = {"/stream/"};
    this->fillers.push_back(
            std::make_unique<SteadyCallers>(this->context, settings, this->fleet, this->ledger));
    this->fillers.back()->start();
    co_await transport::pause(usedAgainWithin);
    this->fillers.back()->stop();
    for (std::size_t endpoint = 0; endpoint < this->settings.failureDomains.size(); ++endpoint) {
        if (this->settings.failureDomains[endpoint] == failureDomain
            && this->arrivals[endpoint] == 0)
            this->ledger.broken("endpoint " + std::to_string(endpoint) + " of " + failureDomain
                                + " gets nothing after the evacuation");
    }
}

void Evacuation::judgeCalls()
{
    CallCount all;
    for (std::size_t entry = 0; entry < this->fleet.size(); ++entry) {
        if (this->fleet.isControl(entry) || this->excused.contains(entry))
            continue;
        all.sent += this->callers.countOf(entry).sent;
        all.served += this->callers.countOf(entry).served;
    }
    std::cout << "  " << all.served << " of " << all.sent
              << " calls served by entries that were not restarted\n";
    if (all.served < all.sent)
        this->ledger.broken(std::to_string(all.sent - all.served) + " calls failed");
}

} // namespace lavenderthread::soak
