#include "CrashingCall.h"

#include "transport/Await.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <iostream>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds soundPause{120};
constexpr milliseconds crashingPause{250};
constexpr milliseconds calmTime{3'000};
constexpr milliseconds crashingTime{12'000};
constexpr milliseconds countedTime{5'000};
constexpr milliseconds contactTime{3'000}; // all entries know by then
constexpr milliseconds recoveryTime{5'000};
constexpr milliseconds lastAnswer{3'500};

constexpr std::size_t endsUntilKnown = 3;
constexpr double leastShare = 0.95;
constexpr int unrelatedEnds = 3;

constexpr const char *crashingWord = "bad00001";

} // namespace

CrashingCall::CrashingCall(asio::io_context &context, Settings chosen, Fleet &fleet,
                           EndpointCrashes &replicas, Ledger &ledger)
    : context(context)
    , settings(chosen)
    , fleet(fleet)
    , replicas(replicas)
    , ledger(ledger)
    , random(chosen.seed)
    , sound(context, {.seed = chosen.seed, .pause = soundPause, .paths = {"/post/", "/read/"}},
            fleet, ledger)
{
    for (std::size_t index = 0; index < this->fleet.size(); ++index) {
        CallerSettings caller;
        caller.seed = this->settings.seed * 1'000 + index;
        caller.name = "q" + std::to_string(index);
        caller.briefOnly = true;
        this->people.push_back(std::make_unique<Caller>(this->context, caller, this->ledger));
    }
}

void CrashingCall::requestArrived(const protocol::HttpRequest &request)
{
    if ((request.target + request.body).find(crashingWord) != std::string::npos)
        this->replicas.arrived(crashingWord);
}

bool CrashingCall::replicaEnds(std::size_t replica, const protocol::HttpRequest &request)
{
    return (request.target + request.body).find(crashingWord) != std::string::npos
           && this->replicas.endUnder(replica, crashingWord);
}

CallShape CrashingCall::crashingCall()
{
    CallShape shape;
    switch (this->settings.kind) {
    case CrashingCallKind::Body:
        shape.rest = std::to_string(++this->calls);
        shape.body = crashingWord;
        break;
    case CrashingCallKind::OnceOnly:
        shape.path = "/post/";
        shape.body = crashingWord;
        break;
    default:
        shape.rest = crashingWord;
        break;
    }
    return shape;
}

std::size_t CrashingCall::drawEntry()
{
    std::size_t entry = 0;
    do {
        entry = this->random() % this->fleet.size();
    } while (this->fleet.isControl(entry));
    return entry;
}

asio::awaitable<void> CrashingCall::sendCrashing()
{
    while (this->crashing) {
        asio::co_spawn(this->context, this->callCrashing(this->crashingCall()), asio::detached);
        co_await transport::pause(crashingPause);
    }
}

// A caller that repeats its call once, at another entry, if the call may be repeated.
asio::awaitable<void> CrashingCall::callCrashing(CallShape shape)
{
    const int tries = this->settings.kind == CrashingCallKind::OnceOnly ? 1 : 2;
    for (int attempt = 0; attempt < tries; ++attempt) {
        const std::size_t entry = this->drawEntry();
        const bool served = co_await this->people[entry]->callAt(this->fleet.callers(entry), shape);
        if (served)
            co_return;
    }
}

asio::awaitable<void> CrashingCall::countServed(std::string phase, milliseconds time)
{
    const CallCount seen = co_await this->sound.count(time);
    const std::string text = phase + ": " + std::to_string(seen.served) + " of "
                             + std::to_string(seen.sent) + " sound calls served";
    std::cout << "  " << text << '\n';
    if (double(seen.served) < leastShare * double(seen.sent))
        this->ledger.broken(text);
}

asio::awaitable<void> CrashingCall::play()
{
    this->sound.start();
    co_await transport::pause(calmTime);
    co_await this->countServed("before", calmTime);
    if (this->settings.kind == CrashingCallKind::None)
        co_await this->playUnrelatedEnds();
    else
        co_await this->playCrashing();
    co_await transport::pause(recoveryTime);
    co_await this->countServed("afterwards", calmTime);
    this->sound.stop();
    co_await transport::pause(lastAnswer);
}

asio::awaitable<void> CrashingCall::playCrashing()
{
    this->crashing = true;
    asio::co_spawn(this->context, this->sendCrashing(), asio::detached);
    co_await transport::pause(crashingTime);
    co_await this->countServed("beside crashing calls", countedTime);
    co_await this->restartAllEntries();
    co_await this->countServed("after all entries were killed", countedTime);
    this->crashing = false;
    co_await transport::pause(lastAnswer);
    this->replicas.judgeArrivals(endsUntilKnown);
}

// Only the control members go on, so what all entries knew has to come from them.
asio::awaitable<void> CrashingCall::restartAllEntries()
{
    this->crashing = false;
    co_await transport::pause(crashingPause);
    for (std::size_t index = 0; index < this->fleet.size(); ++index) {
        if (this->fleet.isControl(index))
            continue;
        this->fleet.kill(index);
        this->fleet.start(index);
    }
    co_await transport::pause(contactTime);
    this->crashing = true;
    asio::co_spawn(this->context, this->sendCrashing(), asio::detached);
}

asio::awaitable<void> CrashingCall::playUnrelatedEnds()
{
    for (int turn = 0; turn < unrelatedEnds; ++turn) {
        this->replicas.end(std::size_t(turn) % this->replicas.size());
        co_await this->countServed("while a replica has ended", countedTime);
    }
}

} // namespace lavenderthread::soak
