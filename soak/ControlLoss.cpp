#include "ControlLoss.h"

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

constexpr std::size_t rounds = 4;
constexpr milliseconds calmTime{3'000};
// From its acknowledgement, a change has to be in force on all entries.
constexpr milliseconds inForceWithin{2'000};
// While most control members run, a change has to be acknowledged.
constexpr milliseconds acknowledgedWithin{4'000};
constexpr milliseconds pollPause{50};
constexpr milliseconds outage{5'000};
constexpr milliseconds longestWait{12'000}; // by then all members are back for long
constexpr unsigned statusOk = 200;

} // namespace

ControlLoss::ControlLoss(asio::io_context &context, Settings chosen, Fleet &fleet,
                         Operator &operators, Ledger &ledger)
    : context(context)
    , settings(chosen)
    , fleet(fleet)
    , operators(operators)
    , ledger(ledger)
{
    for (std::size_t index = 0; index < this->fleet.size(); ++index) {
        CallerSettings caller;
        caller.seed = this->settings.seed * 1'000 + index;
        caller.name = "l" + std::to_string(index);
        caller.briefOnly = true;
        this->people.push_back(std::make_unique<Caller>(this->context, caller, this->ledger));
    }
}

asio::awaitable<void> ControlLoss::play()
{
    for (std::size_t round = 0; round < rounds; ++round) {
        co_await transport::pause(calmTime);
        co_await this->playRound(round);
    }
}

asio::awaitable<void> ControlLoss::playRound(std::size_t round)
{
    const auto leader = this->fleet.leader();
    if (!leader) {
        this->ledger.broken("no control member leads in a calm fleet");
        co_return;
    }
    const bool accepted = co_await this->operators.send(acknowledgedWithin);
    const std::uint64_t version = this->operators.lastSent();
    this->acknowledgedAt = program::monotonicNow();
    this->stopMembers(*leader, round);
    if (!accepted)
        this->ledger.broken("a calm fleet accepted no change in 4 s");
    this->slowest = milliseconds(0);
    for (std::size_t entry = 0; entry < this->fleet.size(); ++entry) {
        if (this->fleet.isControl(entry))
            continue;
        ++this->waiting;
        asio::co_spawn(this->context, this->awaitInForce(entry, version), asio::detached);
    }
    co_await transport::pause(inForceWithin);
    const bool next = co_await this->operators.send(acknowledgedWithin);
    if (!next)
        this->ledger.broken("with most control members running, no change is accepted in 4 s");
    while (program::monotonicNow() < this->acknowledgedAt + outage)
        co_await transport::pause(pollPause);
    this->resumeMembers();
    while (this->waiting > 0)
        co_await transport::pause(pollPause);
    std::cout << "  the last entry has version " << version << " after " << this->slowest.count()
              << " ms\n";
    if (this->slowest > inForceWithin)
        this->ledger.broken("version " + std::to_string(version) + " is in force on all entries "
                            + std::to_string(this->slowest.count())
                            + " ms after its acknowledgement");
}

asio::awaitable<void> ControlLoss::awaitInForce(std::size_t entry, std::uint64_t version)
{
    const state::Instant limit = this->acknowledgedAt + longestWait;
    bool served = false;
    state::Instant asked = program::monotonicNow();
    while (!served && asked < limit) {
        asked = program::monotonicNow();
        served = co_await this->serves(entry, version);
        // The next change takes the route away again.
        if (!served && this->operators.lastSent() > version)
            served = co_await this->serves(entry, this->operators.lastSent());
        if (!served)
            co_await transport::pause(pollPause);
    }
    const auto took = std::chrono::ceil<milliseconds>(asked - this->acknowledgedAt);
    this->slowest = std::max(this->slowest, took);
    --this->waiting;
}

// Whether the entry serves the route that only that version has.
asio::awaitable<bool> ControlLoss::serves(std::size_t entry, std::uint64_t version)
{
    const std::string path = "/v" + std::to_string(version) + "/x";
    const state::Address at = this->fleet.callers(entry);
    const unsigned status = co_await this->people[entry]->probe(at, path);
    co_return status == statusOk;
}

// Stops the leader and one of the first founders, in turn, which took part in the acknowledgement.
void ControlLoss::stopMembers(std::size_t leader, std::size_t round)
{
    const std::size_t founders = this->fleet.founderCount();
    std::size_t other = round % founders;
    if (other == leader)
        other = (other + 1) % founders;
    this->stopped = {leader, other};
    for (const std::size_t index : this->stopped) {
        if (this->settings.fault == ControlFault::Frozen)
            this->fleet.signal(index, SIGSTOP);
        else
            this->fleet.kill(index);
    }
}

void ControlLoss::resumeMembers()
{
    for (const std::size_t index : this->stopped) {
        if (this->settings.fault == ControlFault::Frozen)
            this->fleet.signal(index, SIGCONT);
        else
            this->fleet.start(index);
    }
    this->stopped.clear();
}

} // namespace lavenderthread::soak
