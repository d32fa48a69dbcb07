#include "EntryStops.h"

#include "program/Clock.h"
#include "transport/Await.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <utility>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds calmTime{3'000};
constexpr milliseconds callPause{100};
constexpr milliseconds longestStopPause{3'000};
constexpr milliseconds longestReloadPause{1'500};
constexpr milliseconds faultTime{2'000};
constexpr milliseconds restartPause{200};
constexpr milliseconds exitCheck{10};
constexpr milliseconds patience{15'500};
constexpr milliseconds longestReturn{1'000};
// A request whose last byte crosses the close of its connection was not read.
constexpr milliseconds crossingTime{200};
constexpr milliseconds acceptTime{3'000}; // entries take requests for so long after SIGTERM
constexpr int lastShare = 6;              // the last sixth of the termination time
constexpr unsigned statusUnavailable = 503;
constexpr std::size_t largestBody = 200'000;

} // namespace

EntryStops::EntryStops(asio::io_context &context, Settings chosen, Fleet &fleet,
                       std::vector<std::shared_ptr<StandIn>> engines, Ledger &ledger)
    : context(context)
    , settings(chosen)
    , fleet(fleet)
    , engines(std::move(engines))
    , ledger(ledger)
    , random(chosen.seed)
{}

void EntryStops::requestArrived(const protocol::HttpRequest &request)
{
    ++this->working[std::string(request.headers.find("Request-Id").value_or(""))];
}

void EntryStops::workEnded(const protocol::HttpRequest &request, bool brokeOff)
{
    const std::string id(request.headers.find("Request-Id").value_or(""));
    --this->working[id];
    if (brokeOff)
        this->brokenOff.insert(id);
}

milliseconds EntryStops::drawUpTo(milliseconds most)
{
    return milliseconds(this->random() % std::uint64_t(most.count()));
}

asio::awaitable<void> EntryStops::play()
{
    for (std::size_t entry = 0; entry < this->fleet.size(); ++entry) {
        if (this->fleet.isControl(entry))
            continue;
        for (std::size_t person = 0; person < this->settings.callersAtEachEntry; ++person)
            asio::co_spawn(this->context, this->callForEver(entry, person), asio::detached);
    }
    co_await transport::pause(calmTime);
    asio::co_spawn(this->context, this->reloadForEver(), asio::detached);
    asio::co_spawn(this->context, this->breakAnswersForEver(), asio::detached);
    std::vector<std::size_t> entries;
    for (std::size_t entry = 0; entry < this->fleet.size(); ++entry) {
        if (!this->fleet.isControl(entry))
            entries.push_back(entry);
    }
    std::ranges::shuffle(entries, this->random);
    for (std::size_t stop = 0; stop < this->settings.stops; ++stop) {
        const std::size_t entry = entries[stop % entries.size()];
        if (this->stopping.insert(entry).second)
            asio::co_spawn(this->context, this->stopAndStart(entry), asio::detached);
        else
            this->fleet.signal(entry, SIGTERM);
        co_await transport::pause(this->drawUpTo(longestStopPause));
    }
    while (!this->stopping.empty())
        co_await transport::pause(exitCheck);
    this->stopped = true;
    co_await transport::pause(patience);
    for (const auto &[end, count] : this->counts)
        std::cout << "  " << end << ": " << count << '\n';
    if (this->fleet.exitsOfItsOwn() > 0)
        this->ledger.broken("processes ended by themselves");
}

asio::awaitable<void> EntryStops::stopAndStart(std::size_t entry)
{
    if (this->fleet.isRunning(entry)) {
        this->fleet.signal(entry, SIGTERM);
        this->stoppedAt[entry] = program::monotonicNow();
        if (this->random() % 2 == 0) {
            co_await transport::pause(this->drawUpTo(acceptTime));
            this->fleet.signal(entry, SIGTERM); // a supervisor repeats it
        }
        while (this->fleet.isRunning(entry)
               && program::monotonicNow() < this->stoppedAt[entry] + this->settings.termination)
            co_await transport::pause(exitCheck);
        if (this->fleet.isRunning(entry)) {
            this->ledger.broken("entry " + std::to_string(entry)
                                + " did not end in its termination time");
            this->fleet.kill(entry);
        }
        co_await transport::pause(restartPause);
        this->fleet.start(entry);
    }
    this->stopping.erase(entry);
}

asio::awaitable<void> EntryStops::reloadForEver()
{
    while (!this->stopped) {
        this->fleet.signal(this->random() % this->fleet.size(), SIGHUP);
        co_await transport::pause(this->drawUpTo(longestReloadPause));
    }
}

asio::awaitable<void> EntryStops::breakAnswersForEver()
{
    while (!this->stopped) {
        StandIn &engine = *this->engines[this->random() % this->engines.size()];
        engine.setFault(EndpointFault::Breaks);
        co_await transport::pause(faultTime);
        engine.setFault(EndpointFault::None);
    }
}

asio::awaitable<void> EntryStops::callForEver(std::size_t entry, std::size_t person)
{
    KeptCaller caller(this->context);
    std::uint64_t calls = 0;
    co_await transport::pause(this->drawUpTo(calmTime));
    while (!this->stopped) {
        const std::string id = "s" + std::to_string(entry) + "-" + std::to_string(person) + "-"
                               + std::to_string(++calls);
        protocol::HttpRequest request;
        request.method = "POST";
        request.target = "/stream/x";
        request.headers = {{"Host", "soak"},
                           {"Request-Id", id},
                           {"Request-Deadline", std::to_string(timeLimit.count())},
                           {"Credential", "key-one"},
                           {"Model", "m"},
                           {"Token-Count", "190000,200"}};
        request.body = std::string(1 + this->random() % largestBody, 'x');
        const bool inChunks = this->random() % 2 == 0;
        const KeptCallResult result = co_await caller.call(this->fleet.callers(entry),
                                                           std::move(request), inChunks, patience);
        this->judge(entry, id, result);
        const bool refused = result.status == statusUnavailable;
        co_await transport::pause(refused ? std::clamp(result.retryAfter, callPause, longestReturn)
                                          : callPause);
    }
}

bool EntryStops::isExcused(const std::string &id, const KeptCallResult &result,
                           state::Instant stop) const
{
    const auto engines = this->working.find(id);
    const bool atWork = engines != this->working.end() && engines->second > 0;
    const state::Duration lastPart = this->settings.termination / lastShare;
    return atWork && result.sentAt <= stop + acceptTime
           && result.endedAt >= stop + this->settings.termination - lastPart;
}

void EntryStops::judge(std::size_t entry, const std::string &id, const KeptCallResult &result)
{
    std::string end(toString(result.end));
    if (result.end == CallEnd::Answered)
        end += " " + std::to_string(result.status);
    const bool timeIsOver = result.endedAt >= result.sentAt + timeLimit;
    const bool cut =
            (result.end == CallEnd::Closed || result.end == CallEnd::ClosedMidway) && !timeIsOver;
    const auto stop = this->stoppedAt.find(entry);
    const bool crossed = result.end == CallEnd::Closed && !this->working.contains(id)
                         && result.endedAt < result.sentAt + crossingTime;
    const bool brokenOff = result.end == CallEnd::ClosedMidway && this->brokenOff.contains(id);
    if (cut && brokenOff)
        end += ", broken off by an engine";
    else if (cut && stop != this->stoppedAt.end() && this->isExcused(id, result, stop->second))
        end += ", an engine at work";
    else if (cut && crossed)
        end += ", not read";
    else if (cut) {
        const auto since = [&](state::Instant at) {
            const state::Instant from = stop == this->stoppedAt.end() ? at : stop->second;
            return std::to_string(std::chrono::duration_cast<milliseconds>(at - from).count());
        };
        this->ledger.broken("request " + id + " at entry " + std::to_string(entry) + ", sent "
                            + since(result.sentAt) + " ms after its SIGTERM, " + end + " "
                            + since(result.endedAt) + " ms after it");
    }
    ++this->counts[end];
    if (result.end == CallEnd::Answered && result.status == 200)
        this->ledger.succeeded();
    else
        this->ledger.ended(end);
}

} // namespace lavenderthread::soak
