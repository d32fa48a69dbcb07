#include "LateCalls.h"

#include "coordination/directory/ShutdownSchedule.h"
#include "program/Clock.h"
#include "transport/Await.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <csignal>
#include <iostream>
#include <utility>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds calmTime{3'000};
constexpr milliseconds calmCallsTime{500};
constexpr milliseconds calmWork{10};
constexpr milliseconds lateTime{1'000}; // before the entry refuses calls
constexpr milliseconds shortestWork{100};
constexpr milliseconds workBeyondTheEnd{1'500};
constexpr milliseconds nextCallPause{20};
constexpr milliseconds check{10};
constexpr milliseconds restartPause{200};
constexpr std::size_t largestBody = 50'000;
constexpr std::string_view callPath = "/post/";

// The status of an answer, else how the call ended.
std::string nameOf(const KeptCallResult &result)
{
    return result.end == CallEnd::Answered ? std::to_string(result.status)
                                           : std::string(toString(result.end));
}

} // namespace

LateCalls::LateCalls(asio::io_context &context, Settings chosen, Fleet &fleet, Ledger &ledger)
    : context(context)
    , settings(chosen)
    , fleet(fleet)
    , ledger(ledger)
    , random(chosen.seed)
{}

milliseconds LateCalls::workTimeOf(const protocol::HttpRequest &request)
{
    const std::string_view path = request.path();
    if (!path.starts_with(callPath))
        return calmWork;
    return milliseconds(std::stoll(std::string(path.substr(callPath.size()))));
}

milliseconds LateCalls::acceptTime() const
{
    using coordination::directory::ShutdownSchedule;
    return milliseconds(program::toMilliseconds(
            ShutdownSchedule::within(this->settings.termination).acceptCallsFor));
}

milliseconds LateCalls::drawUpTo(milliseconds most)
{
    return milliseconds(this->random() % std::uint64_t(most.count()));
}

asio::awaitable<void> LateCalls::play()
{
    co_await transport::pause(calmTime);
    std::size_t entry = this->random() % this->fleet.size();
    for (std::size_t stop = 0; stop < this->settings.stops; ++stop) {
        do
            entry = (entry + 1) % this->fleet.size();
        while (this->fleet.isControl(entry));
        co_await this->stopAndStart(entry);
    }
    for (const auto &[end, count] : this->counts)
        std::cout << "  " << end << ": " << count << '\n';
    if (this->fleet.exitsOfItsOwn() > 0)
        this->ledger.broken("processes ended by themselves");
}

asio::awaitable<void> LateCalls::stopAndStart(std::size_t entry)
{
    this->stoppedAt = program::monotonicNow() + calmCallsTime;
    this->openCallers = this->settings.callers;
    for (std::size_t person = 0; person < this->settings.callers; ++person)
        asio::co_spawn(this->context, this->callLate(entry, person), asio::detached);
    co_await transport::pause(calmCallsTime);
    this->stoppedAt = program::monotonicNow();
    this->fleet.signal(entry, SIGTERM);
    const state::Instant limit = this->stoppedAt + this->settings.termination;
    while (this->fleet.isRunning(entry) && program::monotonicNow() < limit)
        co_await transport::pause(check);
    if (this->fleet.isRunning(entry)) {
        this->ledger.broken("entry " + std::to_string(entry)
                            + " did not end in its termination time");
        this->fleet.kill(entry);
    }
    while (this->openCallers > 0)
        co_await transport::pause(check);
    co_await transport::pause(restartPause);
    this->fleet.start(entry);
}

asio::awaitable<void> LateCalls::callLate(std::size_t entry, std::size_t person)
{
    KeptCaller caller(this->context);
    const std::string name = "l" + std::to_string(entry) + "-" + std::to_string(person) + "-";
    co_await transport::pause(this->drawUpTo(calmCallsTime / 2));
    const KeptCallResult calm =
            co_await this->call(caller, entry, name + std::to_string(++this->calls), calmWork);
    if (calm.end != CallEnd::Answered || calm.status != 200)
        this->ledger.broken("a call at entry " + std::to_string(entry)
                            + " in calm: " + nameOf(calm));
    const state::Instant sendAt = this->stoppedAt + this->acceptTime() - this->drawUpTo(lateTime);
    while (program::monotonicNow() < sendAt)
        co_await transport::pause(check);
    const milliseconds longest = this->settings.termination - this->acceptTime() + workBeyondTheEnd;
    KeptCallResult result;
    do {
        const std::string id = name + std::to_string(++this->calls);
        const milliseconds workTime = shortestWork + this->drawUpTo(longest);
        result = co_await this->call(caller, entry, id, workTime);
        this->judge(entry, id, result);
        co_await transport::pause(nextCallPause);
    } while (result.end == CallEnd::Answered && result.status == 200);
    --this->openCallers;
}

asio::awaitable<KeptCallResult> LateCalls::call(KeptCaller &caller, std::size_t entry,
                                                std::string id, milliseconds workTime)
{
    protocol::HttpRequest request;
    request.method = "POST";
    request.target = std::string(callPath) + std::to_string(workTime.count());
    request.headers = {{"Host", "soak"},
                       {"Request-Id", std::move(id)},
                       {"Request-Deadline", std::to_string(timeLimit.count())},
                       {"Credential", "key-one"}};
    request.body = std::string(1 + this->random() % largestBody, 'x');
    const bool inChunks = this->random() % 2 == 0;
    co_return co_await caller.call(this->fleet.callers(entry), std::move(request), inChunks,
                                   timeLimit);
}

void LateCalls::judge(std::size_t entry, const std::string &id, const KeptCallResult &result)
{
    const std::string end = nameOf(result);
    ++this->counts[end];
    const bool answered = result.end == CallEnd::Answered;
    const bool whole =
            answered && result.status == 200 && result.sealed && result.body == expectedBody(id);
    const bool failed = answered && !result.sealed
                        && (result.status == 502 || result.status == 503 || result.status == 504);
    if (whole)
        this->ledger.succeeded();
    else if (failed && result.status == 503)
        this->ledger.toldNotRun(id, false);
    else
        this->ledger.ended(end);
    if (whole || failed || result.end == CallEnd::NotSent)
        return;
    const auto since = [this](state::Instant at) {
        return std::to_string(program::toMilliseconds(at - this->stoppedAt));
    };
    this->ledger.broken("call " + id + " at entry " + std::to_string(entry) + ", sent "
                        + since(result.sentAt) + " ms after its SIGTERM, " + end + " "
                        + since(result.endedAt) + " ms after it");
}

} // namespace lavenderthread::soak
