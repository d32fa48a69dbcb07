// The engines that one entry routes to, and the choice among them.
#pragma once

#include "coordination/routing/DemandSplit.h"
#include "coordination/routing/EngineView.h"
#include "coordination/routing/PassPlacement.h"
#include "coordination/routing/Prediction.h"
#include "state/Endpoint.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace lavenderthread::coordination::routing {

// What the fleet asks of its driver; pure functions.
struct FleetHooks
{
    // One way between this entry and that failure domain.
    std::function<state::Duration(const state::FailureDomain &)> transferTime;
};

struct ChoiceQuery
{
    Prompt prompt;
    state::ModelName model;
    std::uint32_t memoryTokens = 0;        // that must be free on the engine
    bool ignoreQueueLimit = false;         // tells when it could start, not whether now
    state::FailureDomain avoid;            // of a lost attempt; used only if no other has room
    std::optional<state::EndpointId> only; // a resumed or reserved engine
};

struct Choice
{
    state::EndpointId engine;
    Prediction prediction;
};

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
    // That work decodes, or has ended: its helpers are done with it.
    void helpOver(std::uint64_t work, WorkStage stage, state::Instant now);
    std::size_t size() const { return this->engines.size(); }

    // Engines of the model that this entry watches, best rendezvous score first.
    const std::vector<state::EndpointId> &watched(const state::ModelName &model) const;

    // The engine for the prompt; nothing if none may take it now.
    std::optional<Choice> choose(const ChoiceQuery &query, state::Instant now);

    // Whether the model's engines work in declared passes; placeByPasses() places on them.
    bool worksInPasses(const state::ModelName &model) const;
    std::optional<PassChoice> chooseByPasses(const state::ModelName &model, PassRequest request,
                                             state::Instant now);
    LongOutlook longOutlook(const state::ModelName &model, PassRequest request, state::Instant now);
    // Whether the prompt is long for the model's engines, which work in passes.
    bool isLong(const state::ModelName &model, std::uint32_t promptTokens) const;
    // A pause between two events that a caller of the model bears; forgotten when no caller has
    // asked for it for a while, or one mistaken route would decide for ever.
    void notePause(const state::ModelName &model, state::Duration pause, state::Instant now);
    // Long prefill that some entry has sent to engines that work in passes.
    void noteLongPrefill(const EngineView &engine, double seconds, state::Instant now);

    // Prefill that some entry has sent to a watched engine; the split follows it.
    void noteDemand(const EngineView &engine, std::uint32_t promptTokens, double prefillTokens,
                    state::Instant now);
    // Engines of the model, first in the fleet-wide order, that take longer prompts; the rest is
    // for short ones.
    std::size_t longEngines(const state::ModelName &model) const;
    // The watched engines that ranges of spans may use: those for longer prompts.
    std::vector<state::EndpointId> spanEngines(const state::ModelName &model) const;

    double prefillRate(const state::ModelName &model) const; // of the watched engines
    bool anyEngineHolds(const state::ModelName &model, std::uint64_t tokens) const;

private:
    struct Watched
    {
        std::vector<state::EndpointId> ids; // by falling score, at most policy.watchedEngines
        std::vector<EngineView *> views;    // the same engines; unordered_map keeps them in place
        double prefillRate = 0;             // tokens per second of all of them
        std::vector<std::uint32_t> rank;    // the same engines: place in the fleet-wide order
        std::vector<EngineView *> ranked;   // the same engines in the fleet-wide order
    };
    // Seconds of long prefill a second, exponentially averaged.
    struct LongDemand
    {
        double rate = 0; // at `at`
        state::Instant at;
    };

    struct AskedPauses
    {
        std::map<state::Duration, state::Instant> last; // when each was; one a route at most
        PassPlacementSettings terms;                    // that follow from the tightest
    };

    double decayed(const LongDemand &demand, state::Instant now) const;
    const PassPlacementSettings &passTerms(const state::ModelName &model) const;
    std::vector<const EngineView *> rankedViews(const state::ModelName &model, PassRequest &request,
                                                state::Instant now);
    void rebuild();
    bool mayTake(const EngineView &view, std::size_t index, const Watched &set,
                 const ChoiceQuery &query) const;
    std::optional<Choice> best(const Watched &set, const ChoiceQuery &query,
                               const std::vector<std::size_t> &able);
    std::vector<std::size_t> candidates(const Watched &set, const ChoiceQuery &query);
    std::optional<std::size_t> baselineChoice(const Watched &set, const ChoiceQuery &query,
                                              const std::vector<std::size_t> &able);

    std::string entry;
    PolicySettings policy;
    FleetHooks hooks;
    std::mt19937_64 random;
    std::unordered_map<state::EndpointId, EngineView> engines;
    std::map<EngineKey, EngineView *> byKey; // into `engines`
    std::map<state::ModelName, Watched> byModel;
    std::map<state::ModelName, LongDemand> longDemand;
    std::map<state::ModelName, AskedPauses> askedPauses;
    std::uint64_t nextRoundRobin;
    DemandSplit split;
};

} // namespace lavenderthread::coordination::routing
