// A fleet of engines that work in passes, entries with the real admission and routing objects, and
// a load that swings between many brief and many long prompts. Virtual time, fixed seeds.
#pragma once

#include "PassEngine.h"

#include "coordination/admission/Dispatcher.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lavenderthread::bench {

// One kind of request, as callers ask for it.
struct PassClass
{
    std::string name;
    double perSecond = 0;
    double meanTokens = 0;
    double spread = 0; // sigma of the logarithm
    double mostTokens = 0;
    double meanEvents = 0;
    state::Duration firstTarget{0};
    state::Duration pause{0};
    state::Duration timeLimit{0};
    double worth = 1;     // of one of mean length that is in time
    double lateWorth = 0; // the same, of one that is late
};

// Factors on the classes' rates for a while.
struct PassPhase
{
    state::Duration length{0};
    std::vector<double> factors;
};

struct PassPlan
{
    coordination::routing::PolicySettings policy;
    state::routes::EngineProfile profile;
    bool declareProfile = true; // else the entries know the engines by their rates only
    std::size_t engines = 21;
    std::size_t entries = 18;
    std::vector<PassClass> classes;
    std::vector<PassPhase> phases;
    state::Duration noteDelay = std::chrono::milliseconds(6); // batching, one way between entries
    double noteLoss = 0;                                      // share of them, to each entry
    // All entries are killed at this time, if any, are back after the outage, and know the engines
    // some time later; what they had in flight is asked again then.
    std::optional<state::Duration> restartAt;
    state::Duration outage = std::chrono::milliseconds(800);
    state::Duration warmUp = std::chrono::milliseconds(250);
    std::uint64_t seed = 1;
};

struct PassTally
{
    std::size_t asked = 0;
    std::size_t inTime = 0; // first event and every pause as asked, and complete
    std::size_t late = 0;
    std::size_t refused = 0;      // for good
    std::size_t refusedAgain = 0; // of them, those who had come back as they were told to
    std::size_t unfinished = 0;   // past its time limit
    std::size_t lateFirst = 0;    // of the late ones, those whose first event was
    double value = 0;             // of all requests: a third each, the rest by prompt length
    double valueInTime = 0;
    double valueLate = 0;
    double valueRefusedAgain = 0;
    double valueHeld = 0; // of those not served: nothing if told at once, all if held to the end
    std::vector<double> firstSeconds;
    std::vector<double> longestPauses;

    double share() const
    {
        return this->asked == 0 ? 1 : double(this->inTime) / double(this->asked);
    }
    // In time or late; what was turned away or cut off was not served.
    double servedShare() const
    {
        return this->asked == 0 ? 1 : double(this->inTime + this->late) / double(this->asked);
    }
    void add(const PassTally &other);
};

struct PassResult
{
    std::vector<PassTally> classes;
    std::vector<PassTally> largestTenth;         // of each class by prompt length
    std::vector<PassTally> nextFifth;            // of each class, the fifth below those
    std::vector<std::vector<PassTally>> seconds; // of each class by the second of arrival
    double engineTime = 0;                       // in seconds, of all engines together
    double prefillTime = 0;                      // of it
    double decodeTime = 0;

    void add(const PassResult &other);
};

// What callers got out of what they asked for, 0 to 1: the value of what came in time and, by the
// classes' terms, late; less what was held for nothing and a part of what was turned away twice.
// Seven tenths over all requests, the rest over the worst class and the two worst seconds.
double scoreOf(const PassPlan &plan, const PassResult &result);

class PassFleetRun
{
public:
    explicit PassFleetRun(PassPlan chosen);
    PassResult run();

private:
    struct Request
    {
        std::size_t kind = 0;
        std::size_t entry = 0;
        std::uint32_t tokens = 0;
        std::uint32_t events = 0;
        bool largest = false;
        bool nextLargest = false;
        bool returned = false;  // after a refusal; callers come back once
        state::Instant arrival; // for the first time
        state::Instant asked;   // this time
        state::Instant deadline;
        std::uint32_t attempt = 0;
        std::size_t engine = 0;
        std::vector<std::size_t> helpers;
        double partTokens = 0;
        double partSeconds = 0;
        std::size_t partsLeft = 0;
        double reserved = 0; // tokens held for it at helpers
        std::set<std::string> leases;
        std::optional<state::Instant> first;
        state::Instant lastEvent;
        state::Duration longestPause{0};
        bool over = false;
    };
    using Step = std::function<void()>;

    void at(state::Instant time, Step step);
    void makeEntries();
    void announceEngines();
    void restartEntries();
    void makeArrivals();
    void arrive(std::uint64_t work);
    void ask(std::uint64_t work, state::Instant arrival);
    bool comesBack(std::uint64_t work, state::Duration after);
    void handle(std::size_t entry, const coordination::admission::Event &event);
    void carryOut(std::size_t entry, const coordination::admission::Action &action);
    void dispatch(const coordination::admission::Dispatch &action);
    void startHelpers(std::uint64_t work);
    void reserve(std::size_t entry, const coordination::admission::Reserve &action);
    void wake(std::size_t entry);
    void startPass(std::size_t engine);
    void partDone(std::uint64_t work);
    void eventSent(std::uint64_t work, bool last);
    void end(std::uint64_t work, std::size_t PassTally::*outcome);
    void refused(const coordination::admission::Refuse &action);
    double valueOf(const Request &request) const;
    double heldShare(const Request &request) const;
    PassTally &tallyOfSecond(const Request &request);
    static std::uint64_t workOf(const state::RequestId &id) { return std::stoull(id.value()); }
    std::size_t engineOf(const state::EndpointId &id) const;

    PassPlan plan;
    std::mt19937_64 random;
    state::Instant now{std::chrono::seconds(1)};
    struct Later
    {
        bool operator()(const std::pair<state::Instant, std::uint64_t> &one,
                        const std::pair<state::Instant, std::uint64_t> &other) const
        {
            return one > other;
        }
    };
    std::priority_queue<std::pair<state::Instant, std::uint64_t>,
                        std::vector<std::pair<state::Instant, std::uint64_t>>, Later>
            order;
    std::map<std::uint64_t, Step> steps;
    std::uint64_t lastStep = 0;
    std::vector<std::unique_ptr<PassEngine>> engines;
    std::vector<std::unique_ptr<coordination::admission::Dispatcher>> entries;
    std::vector<state::Instant> wakeAt;
    state::Instant readyAt;       // after the restart
    std::uint64_t generation = 0; // of the entries; what an earlier one has sent is void
    std::map<std::uint64_t, Request> requests;
    std::uint64_t lastWork = 0;
    std::mt19937_64 losses; // apart from the load, which stays the same for every policy
    PassResult result;
};

} // namespace lavenderthread::bench
