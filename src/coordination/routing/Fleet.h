// The engines that one entry routes to, and the choice among them.
#pragma once

#include "coordination/routing/DemandSplit.h"
#include "coordination/routing/EngineView.h"
#include "coordination/routing/PassSchedule.h"
#include "coordination/routing/Prediction.h"
#include "state/Endpoint.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace lavenderthread::coordination::routing {

// Functions that the owner of a fleet supplies; they have no side effects.
struct FleetHooks
{
    // Returns the one-way transfer time between this entry and the failure domain.
    std::function<state::Duration(const state::FailureDomain &)> transferTime;
};

// A prompt to place and the constraints on its engine.
struct ChoiceQuery
{
    Prompt prompt;
    state::ModelName model;
    std::uint32_t memoryTokens = 0;     // must be free on the engine
    bool ignoreQueueLimit = false;      // asks when the prompt could start, not whether it can now
    state::FailureDomain avoidedDomain; // of a lost attempt; chosen only if no other has room
    // Engine of a resumed stream or a reservation; other engines are excluded.
    std::optional<state::EndpointId> requiredEngine;
};

struct Choice
{
    state::EndpointId engine;
    Prediction prediction;
};

// Slots of the engines of a model that take new work, and those that are believed to be taken.
struct SlotLoad
{
    std::size_t slots = 0;
    std::size_t taken = 0;

    auto operator<=>(const SlotLoad &) const = default;
};

// Keeps a view of each known engine and chooses an engine for each prompt.
class Fleet
{
public:
    Fleet(std::string entryName, const PolicySettings &policy, FleetHooks hooks,
          std::uint64_t seed);

    void announce(const state::EndpointDescription &description,
                  const std::optional<state::routes::EngineProfile> &profile = {});
    void remove(const state::EndpointId &engine);

    EngineView *find(const state::EndpointId &engine);
    const EngineView *find(const state::EndpointId &engine) const;
    EngineView *find(EngineKey engine);
    // Reports that the work decodes or has ended, so that its helpers are done with it.
    void completeHelperWork(std::uint64_t work, WorkStage stage, state::Instant now);
    std::size_t size() const { return this->engines.size(); }

    // Returns the engines of the model that this entry watches, highest rendezvous score first.
    const std::vector<state::EndpointId> &watched(const state::ModelName &model) const;

    // Chooses the engine for the prompt; returns nullopt if none may take it now.
    std::optional<Choice> choose(const ChoiceQuery &query, state::Instant now);

    // Returns whether engines of the model declare a profile of their passes. Prompts for these
    // engines are placed by placeByPasses().
    bool worksInPasses(const state::ModelName &model) const;
    std::optional<PassChoice> chooseByPasses(const state::ModelName &model, PassRequest request,
                                             state::Instant now);
    // Places several prompts of one model in a row; nullopt if no engine of the model is known.
    // Valid until the next change of the fleet.
    std::optional<PassSchedule> scheduleByPasses(std::uint64_t modelHash, state::Instant now);
    // Identifies a model in notes between entries.
    static std::uint64_t hashOf(const state::ModelName &model);
    LongPromptEstimate estimateLongPrompt(const state::ModelName &model, PassRequest request,
                                          state::Instant now);
    // Returns whether the prompt is long for the model's engines; false if none declares a profile.
    bool isLong(const state::ModelName &model, std::uint32_t promptTokens) const;
    // Sets the rate of requests that the engine accepts from all entries; nothing: any rate.
    void limitSends(const state::EndpointId &engine, std::optional<double> perSecond,
                    state::Instant now);
    // When an engine accepts a request again, if the rates that the engines accept keep the model's
    // requests from all of them.
    std::optional<state::Instant> limitedUntil(const state::ModelName &model, state::Instant now);
    // Counts engines that declare a profile. Parts of prompts that helpers prefill take no slot.
    SlotLoad slotLoad(const state::ModelName &model, state::Instant now);
    // Records the pause between two events that a caller of the model tolerates. It expires if no
    // caller requests it for a while; otherwise one misconfigured route would set the limit for
    // ever.
    void notePause(const state::ModelName &model, state::Duration pause, state::Instant now);
    // Sets the engine time per second that the waiting prompts of all entries ask for.
    void setWaitingDemand(const state::ModelName &model, double rate);
    // Records prefill that any entry has sent to an engine that works in passes. Brief prefill is
    // ignored.
    void noteLongPrefill(const EngineView &engine, double seconds, state::Instant now);

    // Records prefill that any entry has sent to a watched engine; the split follows this demand.
    void noteDemand(const EngineView &engine, std::uint32_t promptTokens, double prefillTokens,
                    state::Instant now);
    // Returns how many engines of the model, the first in the fleet-wide order, take longer
    // prompts. The others take short ones.
    std::size_t longEngineCount(const state::ModelName &model) const;
    // Returns the watched engines that parts of spans may use: those for longer prompts.
    std::vector<state::EndpointId> spanEngines(const state::ModelName &model) const;

    // Returns the total of the watched engines, in tokens per second.
    double prefillRate(const state::ModelName &model) const;
    // Returns whether the memory of an engine that is not draining is large enough for the tokens.
    bool anyEngineFits(const state::ModelName &model, std::uint64_t tokens) const;

private:
    struct WatchedEngines
    {
        std::vector<state::EndpointId> ids; // by descending score, at most policy.watchedEngines
        std::vector<EngineView *> views;    // the same engines
        double prefillRate = 0;             // tokens per second of all of them
        std::vector<std::uint32_t> rank;    // the same engines: position in the fleet-wide order
        std::vector<EngineView *> ranked;   // the same engines in the fleet-wide order
    };
    // Long prefill in engine seconds per second, exponentially averaged.
    struct LongDemand
    {
        double rate = 0; // at updatedAt
        state::Instant updatedAt;
        double waiting = 0; // of prompts that wait at the entries
    };

    // The pauses that callers of one model tolerate.
    struct ToleratedPauses
    {
        // Time of the last request for each pause; at most one pause per route.
        std::map<state::Duration, state::Instant> lastRequested;
        PassPlacementSettings settings; // adapted to the tightest pause
    };

    double decayedRate(const LongDemand &demand, state::Instant now) const;
    const PassPlacementSettings &passSettings(const state::ModelName &model) const;
    std::vector<const EngineView *> rankedViews(const state::ModelName &model, PassRequest &request,
                                                state::Instant now);
    const std::map<state::ModelName, WatchedEngines> &models() const;
    const WatchedEngines *watchedEngines(const state::ModelName &model) const; // null if unknown
    std::map<state::ModelName, WatchedEngines> groupByModel() const;
    bool isEligible(const EngineView &view, std::size_t index, const WatchedEngines &set,
                    const ChoiceQuery &query) const;
    std::optional<Choice> cheapest(const WatchedEngines &set, const ChoiceQuery &query,
                                   const std::vector<std::size_t> &eligible);
    std::vector<std::size_t> eligibleEngines(const WatchedEngines &set, const ChoiceQuery &query);
    std::optional<std::size_t> baselineChoice(const WatchedEngines &set, const ChoiceQuery &query,
                                              const std::vector<std::size_t> &eligible);

    std::string entry;
    PolicySettings policy;
    FleetHooks hooks;
    std::mt19937_64 random;
    std::unordered_map<state::EndpointId, std::unique_ptr<EngineView>> engines;
    std::map<EngineKey, EngineView *> byKey; // into `engines`
    // Derived from `engines`; read through models(). Points to removed engines while modelsChanged.
    mutable std::map<state::ModelName, WatchedEngines> byModel;
    mutable bool modelsChanged = false;
    std::map<state::ModelName, LongDemand> longDemand;
    std::map<state::ModelName, ToleratedPauses> toleratedPauses;
    std::uint64_t nextRoundRobin;
    DemandSplit demandSplit;
};

} // namespace lavenderthread::coordination::routing
