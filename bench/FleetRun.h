// One run of the policy bench: the real Dispatcher of each entry against stand-in engines, in
// virtual time. The same seed gives the same run.
#pragma once

#include "Workload.h"

#include "coordination/admission/Dispatcher.h"
#include "coordination/routing/PolicySettings.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace lavenderthread::bench {

struct RunPlan
{
    Profile profile;
    Scenario scenario = Scenario::Mix;
    coordination::routing::PolicySettings policy;
    double load = 0.7;
    state::Duration length = std::chrono::seconds(240); // of arrivals; then what is left ends
    std::uint64_t seed = 1;
};

constexpr std::size_t outcomeClasses = 4; // under 4k, 32k, 250k tokens, and above
enum class Ending : std::uint8_t { Pending, Finished, Refused, Expired };

struct Outcome
{
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    state::Instant arrival;
    state::Instant deadline;
    state::Instant firstToken{};
    state::Instant ended{};
    Ending ending = Ending::Pending;
    bool admitted = false;
};

// What a run gives. Samples are in units of the same request alone; merged over seeds.
struct RunResult
{
    std::array<std::vector<double>, outcomeClasses> firstToken;
    std::vector<double> shortSlowdown;
    std::array<std::uint64_t, outcomeClasses> arrived{};
    std::array<std::uint64_t, outcomeClasses> refused{};
    std::array<std::uint64_t, outcomeClasses> expired{};
    std::uint64_t pending = 0;      // never answered; must be 0
    std::uint64_t pastDeadline = 0; // ended after the deadline; must be 0
    std::uint64_t retried = 0;
    std::uint64_t recomputedTokens = 0;
    std::uint64_t reservedAtEnd = 0; // tokens still reserved after the leases' ends; must be 0
    std::uint64_t workNotes = 0;
    std::uint64_t dispatches = 0;
    std::vector<double> goodput;       // one a seed: work finished / fleet's capacity
    std::vector<double> fairnessError; // one a 30 s window: largest relative error of any account

    void merge(const RunResult &other);
};

double quantile(std::vector<double> values, double share); // 0 if there are none
std::size_t outcomeClass(std::uint32_t promptTokens);

class FleetRun
{
public:
    explicit FleetRun(RunPlan runPlan);

    RunResult run();
    const std::unordered_map<std::string, Outcome> &outcomes() const { return this->requests; }

private:
    struct Entry
    {
        std::unique_ptr<coordination::admission::Dispatcher> dispatcher;
        std::string failureDomain;
        state::Instant wake = state::Instant::max();
    };
    struct Engine
    {
        std::unique_ptr<EngineModel> model;
        bool alive = true;
        std::uint64_t life = 0; // grows when it dies; ends its pending steps
        std::vector<std::size_t> watchers;
        std::unordered_map<std::string, std::size_t> owners; // request to entry
    };
    struct Later
    {
        state::Instant at;
        std::uint64_t order;
        std::function<void()> action;
    };
    struct LaterAfter
    {
        bool operator()(const Later &a, const Later &b) const
        {
            return std::pair(a.at, a.order) > std::pair(b.at, b.order);
        }
    };

    void build();
    void schedule(state::Duration after, std::function<void()> action);
    void deliver(std::size_t entry, const coordination::admission::Event &event);
    void perform(std::size_t entry, const coordination::admission::Action &action);
    void dispatch(std::size_t entry, const coordination::admission::Dispatch &dispatch);
    void reserve(std::size_t entry, const coordination::admission::Reserve &reserve);
    void share(std::size_t entry, const coordination::routing::WorkNote &note);
    void startStep(std::size_t engine);
    void endStep(std::size_t engine);
    void report(std::size_t engine);
    void sampleService();
    void lose(std::size_t engine);
    void planLosses();
    void settle(const state::RequestId &id, Ending ending);
    bool lost(double share); // draws whether a message is lost
    state::Duration transfer(const std::string &a, const std::string &b) const;
    RunResult collect();

    RunPlan plan;
    std::mt19937_64 random;
    state::Instant now{};
    std::uint64_t nextOrder = 0;
    std::priority_queue<Later, std::vector<Later>, LaterAfter> agenda;
    std::vector<Entry> entries;
    std::vector<Engine> engines;
    std::unordered_map<std::string, std::size_t> engineIndex;
    std::map<coordination::routing::EngineKey, std::size_t> indexByKey;
    std::unordered_map<std::string, Outcome> requests;
    std::vector<Arrival> traffic;
    std::vector<std::vector<double>> serviceSamples; // each second, by account
    std::uint64_t workNotes = 0;
    std::uint64_t dispatches = 0;
    std::size_t unsettled = 0; // requests without a final answer
    state::Instant lastSettled{};
};

} // namespace lavenderthread::bench
