// Limits and cost weights of placement on engines that work in passes.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace lavenderthread::coordination::routing {

// The order of waiting long prompts. In each, a prompt lets later ones pass for a bounded time.
enum class WaitingOrder : std::uint8_t {
    BoundedDelay,     // arrival, and a delay by the time for which it occupies its engines
    EarliestDeadline, // of the first event
    LeastSlack,       // the same, less its prefill
    ShortestFirst,    // by prefill, but at most its target behind prompts that came later
};

struct PassPlacementSettings
{
    // A request whose prefill takes at most this long is brief and shares an engine with others.
    // Once callers have stated the pauses that they tolerate, the limit is briefPauseShare of the
    // tightest one: longer prefill would exceed the pauses of requests that decode beside it.
    double maxBriefPrefillSeconds = 0.1;
    double briefPauseShare = 0.6;
    // Target share of an engine's slots for brief requests. Entries place concurrently, on work
    // notes that are some milliseconds old, and a request that finds all slots taken waits for a
    // second or more. The second share applies when long requests need the engines.
    double briefSlotShare = 0.69;
    double briefSlotShareCrowded = 0.81;
    // Share of the requested time to the first event. If the brief group would need longer, all
    // engines are considered.
    double briefTargetShare = 0.8;
    // Engines whose load differs by at most this much count as equal, and one is drawn at random.
    // Otherwise all entries that place at the same moment choose the same engine.
    double equalLoadSeconds = 0.05;
    // Target of long prefill per engine of the long group, in seconds per second, and the number
    // of engines that are added to the result.
    double longSecondsPerEngine = 0.6;
    double extraLongEngines = 2;
    // Time constant of the average of long demand; short, as load changes within seconds.
    double demandAveragingSeconds = 1.5;
    // Cost of each helper, as time to the first token: it stalls the requests that decode there,
    // and one more engine has to stay alive.
    double helperCostSeconds = 0.008;
    std::size_t maxHelpers = 16; // limit of the engine API
    // Cost of long prefill on an engine that decodes for requests with tight pauses, as time to the
    // first token.
    double tightPauseCostSeconds = 0.5;
    // Longest part, in seconds, on engines whose requests have tight pauses; it fits into one of
    // their passes. A longer part would delay the answers of some ten callers for one prompt.
    double tightPauseMaxPartSeconds = 0.1;
    // Up to this number of requests with tight pauses on an engine is too small to matter.
    double ignoredBriefRequests = 2;
    // Passes that a part is delayed by on a decoding engine: it is admitted when the current pass
    // ends and is returned when the next one ends.
    double decodingDelayPasses = 1.5;
    // Cost, in seconds, of answering a long request outside the group of answering engines.
    double outsideAnsweringCostSeconds = 0.4;
    double answeringMemoryShare = 0.8; // target share of an answering engine's memory
    // A long prompt starts when this share of the long group, or as many engines as are worth their
    // cost, have at most startWaitingSeconds of prefill waiting. The engines thus work on one
    // prompt after the other and not on several at once.
    double startEngineShare = 0.8;
    // It also starts once its parts would take at most this share of the requested time to the
    // first event.
    double startPartShare = 0.15;
    double startWaitingSeconds = 0.06;
    std::size_t maxPartsPerHelper = 2;   // parts that are not known to be done
    double startOwnWaitingSeconds = 0.1; // limit of the answering engine's own waiting prefill
    // A long prompt is refused when it would wait for its start longer than this share of the
    // requested time to the first token.
    double maxWaitingShare = 0.6;
    // A waiting long prompt ranks behind shorter ones that arrive within this many times its
    // prefill time on as many engines as may share it.
    double rankDelayFactor = 8.5;
    WaitingOrder waitingOrder = WaitingOrder::BoundedDelay;
    // ShortestFirst: as rankDelayFactor, so large that the bound applies to most prompts.
    double shortestFirstFactor = 60;
    // With PolicySettings::rankedOverload, each rank lets prompts of the next more urgent one pass
    // that arrive within this time. It exceeds the targets of long prompts, after which a prompt
    // is deferred or refused.
    double rankStepSeconds = 6;
    // Tightest pause that callers of the model tolerate; a default until they state one. A pause is
    // tight if it is below tightPauseFactor times this value.
    double tightestPauseSeconds = 0.2;
    double tightPauseFactor = 1.5;
    // A prompt larger than an engine's memory keeps the rest at helpers: the share of an engine's
    // free memory that one such prompt may take, and the largest number of helpers that hold some.
    double memoryShare = 0.8;
    std::size_t maxMemoryHelpers = 6;
    // Target number of long requests that one engine answers at once: the context of each one
    // lengthens the passes of the others.
    double longRequestsPerEngine = 4;
    // An engine of the brief group also answers up to this number of long requests if its passes,
    // with the prompt's part and context, take at most briefEnginePauseShare of the tightest pause.
    // Its passes run for the brief requests anyway, and one more engine remains free to prefill.
    double longRequestsPerBriefEngine = 1;
    double briefEnginePauseShare = 0.7;

    bool isTight(double pauseSeconds) const
    {
        return pauseSeconds < this->tightPauseFactor * this->tightestPauseSeconds;
    }
    // Returns the settings adapted to the tightest pause that callers of the model tolerate.
    PassPlacementSettings withTightestPause(double seconds) const
    {
        PassPlacementSettings adapted = *this;
        adapted.maxBriefPrefillSeconds = this->briefPauseShare * seconds;
        adapted.tightestPauseSeconds = seconds;
        return adapted;
    }

    auto operator<=>(const PassPlacementSettings &) const = default;
};

} // namespace lavenderthread::coordination::routing
