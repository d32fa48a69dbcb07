// Settings of admission and routing, and the named settings that the benchmarks compare.
#pragma once

#include "coordination/routing/PassPlacementSettings.h"
#include "state/Error.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::coordination::routing {

enum class Placement : std::uint8_t {
    Predicted,        // lowest weighted sum of normalised delays, own and of others
    RoundRobin,       // baseline
    LeastOutstanding, // baseline: fewest requests, own and reported
    PrefixAffinity,   // baseline: longest cached prefix, else rendezvous hash of the prompt
};

// Immutable. Token counts are tokens; weights and ratios have no unit.
struct PolicySettings
{
    std::string name = "default";
    Placement placement = Placement::Predicted;

    // Weights of the users' objectives. The settings timekeep and cascadia differ in these two
    // members only.
    double shortSlowdownWeight = 1;
    double firstTokenWeight = 1;

    // Length classes.
    std::uint32_t shortPromptTokens = 4'096;
    std::uint32_t mediumPromptTokens = 32'768;
    std::uint32_t longPromptTokens = 250'000;

    // Routing.
    std::uint32_t watchedEngines = 24; // engines an entry routes to per model (rendezvous hashing)
    std::uint32_t sampledEngines = 0;  // power of d choices: random candidates; 0: all watched
    bool shareWork = true;             // send work notes to the peers that watch the same engine
    bool useCacheEvents = true;
    double doubtfulTrust = 0.5; // share of a doubtful cached prefix that the prediction counts
    std::uint32_t prefixBlockTokens = 512;
    std::uint32_t prefixIndexBlocks = 8'192; // blocks remembered per engine at most
    double prefillSlowsDecode = 3.4;         // decode step time with prefill in the batch / without
    std::uint32_t engineStepTokens = 1'024;  // prefill tokens per engine step
    // Done work a report may still count.
    state::Duration reportSlack = std::chrono::milliseconds(500);

    // Scheduling order.
    bool priorities = true; // engines serve short prompts first, with ageing by response ratio
    std::uint32_t sliceTokens = 16'384; // longer prefills are sent in slices; 0 sends them whole
    bool splitEngines = true; // separate engines for short and longer prompts, divided by demand
    bool holdInEntry = true;  // keep engine queues short, so that the entry decides the order
    state::Duration engineQueueLimit = std::chrono::milliseconds(400); // prefill ahead of a new one
    std::uint8_t queuePriority = 3; // least priority value at which longer prompts count it
    double fairBurstTokens = 5'000; // service that a flow of short work may get beyond its share

    // Admission.
    bool admitByDeadline = true;
    double admissionMargin = 1.25;    // factor on the predicted completion time
    double expectedOutputShare = 0.6; // of maximumOutputTokens
    std::uint32_t queuedRequestsLimit = 4'096;

    // Failures.
    double retryShare = 0.1; // retries per recent success
    double retryBurst = 20;
    std::uint32_t attemptsLimit = 4;

    // Spans: prompts that exceed one engine's memory and are split over several engines.
    double spanMemoryShare = 0.98;   // of an engine's memory that one prompt may claim
    double spanPartShare = 0.4;      // of an engine's memory that one part takes at most
    double spanSpareShare = 0.3;     // of an engine's memory that parts leave free
    double spanPatience = 0.8;       // wait / ideal time, above which spanLateSpareShare applies
    double spanLateSpareShare = 0.2; // parts leave less memory free once the prompt waited long
    std::uint32_t spanPartTokens = 50'000;  // smallest part; each part imports all that precedes it
    std::uint32_t spanFromTokens = 100'000; // prompts this long may span when no engine has room
    double tightFitWeight = 0.2;    // cost of memory left free, as a share of the engine's memory
    std::uint32_t spanPriority = 4; // highest value once a span holds memory of several engines
    state::Duration reservationTtl = std::chrono::seconds(10);
    state::Duration reservationRetry = std::chrono::milliseconds(200);

    state::Duration backlogShareLife = std::chrono::milliseconds(300);

    // Placement on engines with a declared profile.
    PassPlacementSettings passes;
    // A request is refused if its first answer is predicted later than this many times its target:
    // the requests queued behind it would be late too, and none would meet its target.
    double lateTolerance = 4;
    // For this long after it knows its first engine, an entry places brief requests on all engines.
    // After a loss of all power, every entry would otherwise place the requests that have waited
    // for it on the same few, before the work notes of the others arrive.
    state::Duration startSpreadTime{0};
    // Ranks and shares of accounts decide under overload, on engines that work in passes; else the
    // time of arrival. See admission::OverloadControl.
    bool rankedOverload = false;
    bool budgetRefused = false; // retries after an engine's refusal also use the retry budget

    auto operator<=>(const PolicySettings &) const = default;

    // Error: InvalidArgument, step "policy.settings", if a member is out of its range.
    static state::Result<PolicySettings> create(PolicySettings draft);

    // Returns a copy with one member changed, given by its JSON name (snake_case). Durations are in
    // milliseconds and have the suffix _ms; switches are 0 or 1. Error: NotFound for an unknown
    // name. Ranges are not checked.
    state::Result<PolicySettings> with(std::string_view member, double value) const;

    // Returns the named benchmark settings. Error: NotFound for an unknown name.
    static state::Result<PolicySettings> named(std::string_view name);
    static std::vector<std::string> names();
};

} // namespace lavenderthread::coordination::routing
