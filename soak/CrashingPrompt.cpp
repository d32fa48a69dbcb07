#include "CrashingPrompt.h"

#include "program/Clock.h"
#include "transport/Await.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <csignal>
#include <iostream>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds callPause{200};
constexpr milliseconds crashingPause{125};
constexpr milliseconds calmTime{3'000};
constexpr milliseconds contactTime{3'000}; // all entries know by then
constexpr milliseconds crashingTime{14'000};
constexpr milliseconds countedTime{5'000};
constexpr milliseconds recoveryTime{6'000};
constexpr milliseconds freezeTime{1'500};
constexpr milliseconds lastAnswer{3'500};

constexpr std::size_t endsUntilKnown = 5;
constexpr double leastShareOfCalm = 0.5;
constexpr double leastShareUndisturbed = 0.95;

constexpr std::size_t sharedParts = 12;
constexpr const char *crashingPart = "bad00001";
constexpr const char *otherCrashingPart = "bad00002";

} // namespace

CrashingPrompt::CrashingPrompt(asio::io_context &context, Settings chosen, Fleet &fleet,
                               EndpointCrashes &engines, Ledger &ledger)
    : context(context)
    , settings(chosen)
    , fleet(fleet)
    , engines(engines)
    , ledger(ledger)
    , random(chosen.seed)
    , disturbedUntil(fleet.size())
{
    for (std::size_t index = 0; index < this->fleet.size(); ++index) {
        CallerSettings caller;
        caller.seed = this->settings.seed * 1'000 + index;
        caller.name = "q" + std::to_string(index);
        caller.briefOnly = true;
        this->people.push_back(std::make_unique<Caller>(this->context, caller, this->ledger));
    }
}

void CrashingPrompt::requestArrived(const protocol::HttpRequest &request)
{
    const std::string prefix(request.headers.find("Prompt-Prefix").value_or(""));
    for (const char *part : {crashingPart, otherCrashingPart}) {
        if (prefix.find(part) != std::string::npos)
            this->engines.arrived(part);
    }
}

bool CrashingPrompt::engineEnds(std::size_t engine, const protocol::HttpRequest &request)
{
    const std::string prefix(request.headers.find("Prompt-Prefix").value_or(""));
    for (const char *part : {crashingPart, otherCrashingPart}) {
        if (prefix.find(part) != std::string::npos && this->engines.endUnder(engine, part))
            return true;
    }
    return false;
}

// Some parts are far more frequent than others.
std::string CrashingPrompt::sharedPart()
{
    std::geometric_distribution<std::size_t> rank(0.25);
    return "5a0000" + std::to_string(10 + rank(this->random) % sharedParts);
}

std::string CrashingPrompt::crashingPrefix()
{
    const std::string own = std::to_string(++this->prompts) + ":2900";
    const bool isOther = this->settings.part == CrashingPart::Two && this->prompts % 2 == 0;
    const std::string part = std::string(isOther ? otherCrashingPart : crashingPart) + ":60";
    const std::string shared = this->sharedPart() + ":40";
    if (this->settings.part == CrashingPart::First)
        return part + "," + shared + "," + own;
    return shared + "," + part + "," + own;
}

asio::awaitable<void> CrashingPrompt::callSteadily(std::size_t entry)
{
    while (!this->stopped) {
        asio::co_spawn(this->context, this->callOnce(entry), asio::detached);
        co_await transport::pause(callPause);
    }
}

asio::awaitable<void> CrashingPrompt::callOnce(std::size_t entry)
{
    const bool counts = this->disturbedUntil[entry] < program::monotonicNow();
    const std::string prefix =
            this->sharedPart() + ":40," + std::to_string(++this->prompts) + ":2960";
    const bool served =
            co_await this->people[entry]->callAt(this->fleet.callers(entry), "/stream/", prefix);
    if (!counts)
        co_return;
    ++this->counted.sent;
    this->counted.served += served ? 1 : 0;
}

std::size_t CrashingPrompt::undisturbedEntry()
{
    std::vector<std::size_t> entries;
    for (std::size_t index = 0; index < this->fleet.size(); ++index) {
        if (!this->fleet.isControl(index) && this->disturbedUntil[index] < program::monotonicNow())
            entries.push_back(index);
    }
    return entries[this->random() % entries.size()];
}

asio::awaitable<void> CrashingPrompt::sendCrashing()
{
    while (this->crashing) {
        asio::co_spawn(this->context, this->callCrashing(this->crashingPrefix()), asio::detached);
        co_await transport::pause(crashingPause);
    }
}

// A caller that repeats its request once, at another entry.
asio::awaitable<void> CrashingPrompt::callCrashing(std::string prefix)
{
    constexpr int tries = 2;
    for (int attempt = 0; attempt < tries; ++attempt) {
        const std::size_t entry = this->undisturbedEntry();
        const bool served = co_await this->people[entry]->callAt(this->fleet.callers(entry),
                                                                 "/stream/", prefix);
        if (served)
            co_return;
    }
}

asio::awaitable<CrashingPrompt::Count> CrashingPrompt::count(milliseconds time)
{
    this->counted = {};
    co_await transport::pause(time);
    co_return this->counted;
}

// One entry is killed and started again, and another one freezes: they miss what the others learn.
asio::awaitable<void> CrashingPrompt::disturbEntries()
{
    const std::size_t last = this->fleet.size() - 1;
    this->disturbedUntil[last] = this->disturbedUntil[last - 1] = state::Instant::max();
    this->fleet.kill(last);
    this->fleet.signal(last - 1, SIGSTOP);
    co_await transport::pause(freezeTime);
    this->fleet.start(last);
    this->fleet.signal(last - 1, SIGCONT);
    this->disturbedUntil[last] = this->disturbedUntil[last - 1] =
            program::monotonicNow() + contactTime;
}

// Only the control members go on, so what all entries knew has to come from them.
asio::awaitable<void> CrashingPrompt::restartAllEntries()
{
    this->crashing = false;
    co_await transport::pause(crashingPause);
    for (std::size_t index = 0; index < this->fleet.size(); ++index) {
        if (this->fleet.isControl(index))
            continue;
        this->fleet.kill(index);
        this->fleet.start(index);
        this->disturbedUntil[index] = program::monotonicNow() + contactTime;
    }
    co_await transport::pause(contactTime + crashingPause);
    this->crashing = true;
    asio::co_spawn(this->context, this->sendCrashing(), asio::detached);
}

asio::awaitable<void> CrashingPrompt::play()
{
    for (std::size_t entry = 0; entry < this->fleet.size(); ++entry) {
        if (!this->fleet.isControl(entry))
            asio::co_spawn(this->context, this->callSteadily(entry), asio::detached);
    }
    co_await transport::pause(calmTime);
    const Count calm = co_await this->count(calmTime);
    this->judgeServed("before", calm, leastShareUndisturbed);
    if (this->settings.part == CrashingPart::None)
        co_await this->playUnrelatedEnds();
    else
        co_await this->playCrashingPart();
    co_await transport::pause(recoveryTime);
    const Count afterwards = co_await this->count(calmTime);
    this->judgeServed("afterwards", afterwards, leastShareUndisturbed);
    this->stopped = true;
    co_await transport::pause(lastAnswer);
}

asio::awaitable<void> CrashingPrompt::playCrashingPart()
{
    this->crashing = true;
    asio::co_spawn(this->context, this->sendCrashing(), asio::detached);
    co_await transport::pause(crashingTime);
    const Count beside = co_await this->count(countedTime);
    this->judgeServed("beside crashing prompts", beside, leastShareOfCalm);
    co_await this->disturbEntries();
    const Count disturbed = co_await this->count(countedTime + contactTime);
    this->judgeServed("beside crashing prompts and disturbed entries", disturbed, leastShareOfCalm);
    co_await this->restartAllEntries();
    const Count restarted = co_await this->count(countedTime);
    this->judgeServed("after all entries were killed", restarted, leastShareOfCalm);
    this->crashing = false;
    co_await transport::pause(lastAnswer);
    this->engines.judgeArrivals(endsUntilKnown);
}

asio::awaitable<void> CrashingPrompt::playUnrelatedEnds()
{
    for (const std::size_t divisor : {3, 4}) {
        for (std::size_t index = 0; index < this->engines.size() / divisor; ++index)
            this->engines.end(index);
        const Count beside = co_await this->count(countedTime);
        this->judgeServed("while engines have ended", beside, leastShareOfCalm);
        co_await transport::pause(recoveryTime);
    }
}

void CrashingPrompt::judgeServed(const char *phase, const Count &seen, double leastShare)
{
    const std::string text = std::string(phase) + ": " + std::to_string(seen.served) + " of "
                             + std::to_string(seen.sent) + " sound requests served";
    std::cout << "  " << text << '\n';
    if (seen.share() < leastShare)
        this->ledger.broken(text);
}

} // namespace lavenderthread::soak
