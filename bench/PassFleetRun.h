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
    std::uint64_t seed = 1;
};

// The load of the users' heavy days: ten seconds of long prompts, ten of brief ones, and so on.
PassPlan heavyDay(std::uint64_t seed);
// The same on the fleet of the next size: more engines with fewer places each, many more entries.
PassPlan grownHeavyDay(std::uint64_t seed);

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
    std::vector<std::vector<PassTally>> seconds; // of each class by the second of arrival

    void add(const PassResult &other);
};

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
    void announceEngines();
    void makeArrivals();
    void arrive(std::uint64_t work);
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
    std::map<std::uint64_t, Request> requests;
    std::uint64_t lastWork = 0;
    PassResult result;
};

} // namespace lavenderthread::bench
