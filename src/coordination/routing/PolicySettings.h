// Every knob of admission and routing in one value, and the named settings that benches compare.
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
    Predicted,        // least weighted sum of normalised delays, own and inflicted
    RoundRobin,       // baseline
    LeastOutstanding, // baseline: fewest requests, own ones and reported ones
    PrefixAffinity,   // baseline: longest cached prefix, else the prompt's rendezvous engine
};

// Immutable. Token counts are tokens; weights and ratios have no unit.
struct PolicySettings
{
    std::string name = "default";
    Placement placement = Placement::Predicted;

    // What the users weigh. The two example settings differ in these two members only.
    double shortSlowdownWeight = 1;
    double firstTokenWeight = 1;

    // Length classes.
    std::uint32_t shortPromptTokens = 4'096;
    std::uint32_t mediumPromptTokens = 32'768;
    std::uint32_t longPromptTokens = 250'000;

    // Routing.
    std::uint32_t watchedEngines = 24; // rendezvous subset that one entry routes to, per model
    std::uint32_t sampledEngines = 0;  // power of that many choices; 0 compares the whole subset
    bool shareWork = true;             // tell the peers that watch an engine what went there
    bool useCacheEvents = true;
    double doubtfulTrust = 0.5; // share of a doubtful cached prefix that prediction counts
    std::uint32_t prefixBlockTokens = 512;
    std::uint32_t prefixIndexBlocks = 8'192; // bound on remembered blocks per engine
    double prefillSlowsDecode = 3.4; // decode step beside prefill / decode step without, measured
    std::uint32_t engineStepTokens = 1'024; // prefill tokens that an engine takes in one step
    state::Duration reportSlack = std::chrono::milliseconds(500); // older work a report may hold

    // Order of work.
    bool priorities = true;             // short first inside engines, ageing by response ratio
    std::uint32_t sliceTokens = 16'384; // longer prefills go in slices; 0 sends them whole
    bool splitEngines = true; // short and longer prompts on engines of their own, by demand
    bool holdInEntry = true;  // keep engine queues short, so that the order is decided here
    state::Duration engineQueueLimit = std::chrono::milliseconds(400); // work ahead of a new one
    std::uint8_t queuePriority = 3; // least priority at which longer prompts count that work
    double fairBurstTokens = 5'000; // lead over its share that a flow of short work may take

    // Admission.
    bool admitByDeadline = true;
    double admissionMargin = 1.25;    // predicted time to completion is multiplied by it
    double expectedOutputShare = 0.6; // of maximumOutputTokens
    std::uint32_t queuedRequestsLimit = 4'096;

    // Failures.
    double retryShare = 0.1; // retries per recent success
    double retryBurst = 20;
    std::uint32_t attemptsLimit = 4;

    // Prompts over one engine's memory.
    double spanMemoryShare = 0.98; // of an engine's memory that one prompt may claim
    double spanPartShare = 0.4;    // of an engine's memory that one range takes at most
    double spanSpareShare = 0.3;   // of an engine's memory that ranges leave free
    double spanPatience = 0.8;     // wait / time alone, after which a span leaves less to others:
    double spanLateSpareShare = 0.2;
    std::uint32_t spanPartTokens = 50'000;  // least range; each range imports what precedes it
    std::uint32_t spanFromTokens = 100'000; // such prompts may span when no engine has the room
    double tightFitWeight = 0.2;    // cost of the memory that would stay free, as a share of all
    std::uint32_t spanPriority = 4; // at most, once it holds the memory of several engines
    state::Duration reservationTtl = std::chrono::seconds(10);
    state::Duration reservationRetry = std::chrono::milliseconds(200);

    state::Duration backlogShareLife = std::chrono::milliseconds(300);

    // Engines with a declared profile.
    PassPlacementSettings passes;
    // A request whose first answer is predicted later than this many times its target is refused:
    // behind it, those who come next would be late too, and none would be served as asked.
    double lateTolerance = 4;
    bool budgetRefused = false; // tries after an engine's refusal take from the retry budget too

    auto operator<=>(const PolicySettings &) const = default;

    // Error: InvalidArgument, step "policy.settings", if a member is out of its range.
    static state::Result<PolicySettings> create(PolicySettings draft);

    // A copy with one member changed, by its name in JSON (snake_case); durations are milliseconds
    // with the suffix _ms, switches are 0 or 1. NotFound for a name that is none; no range check.
    state::Result<PolicySettings> with(std::string_view member, double value) const;

    // A setting of the bench by its name; NotFound names the known ones.
    static state::Result<PolicySettings> named(std::string_view name);
    static std::vector<std::string> names();
};

} // namespace lavenderthread::coordination::routing
