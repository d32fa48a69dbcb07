#include "coordination/routing/Fleet.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavenderthread::coordination::routing {

namespace {

constexpr double ownGroupMaxWaitSeconds = 0.15; // wait at which short prompts may use all engines
constexpr state::Duration pauseLifetime = std::chrono::seconds(60);
constexpr std::size_t sampleTries = 4; // draws per wanted sample before all engines are considered

std::uint64_t scoreOf(const std::string &entry, const state::EndpointId &engine)
{
    const std::uint64_t seed = XXH3_64bits(entry.data(), entry.size());
    return XXH3_64bits_withSeed(engine.value().data(), engine.value().size(), seed);
}

double toSeconds(state::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

Fleet::Fleet(std::string entryName, const PolicySettings &settings, FleetHooks fleetHooks,
             std::uint64_t seed)
    : entry(std::move(entryName))
    , policy(settings)
    , hooks(std::move(fleetHooks))
    , random(seed)
    , nextRoundRobin(seed)
    , demandSplit(settings)
{}

void Fleet::announce(const state::EndpointDescription &description,
                     const std::optional<state::routes::EngineProfile> &profile)
{
    const auto found = this->engines.find(description.id);
    if (found == this->engines.end()) {
        auto view = std::make_unique<EngineView>(description, this->policy);
        view->setProfile(profile);
        this->byKey[EngineKey::of(description.id)] = view.get();
        this->engines.emplace(description.id, std::move(view));
    } else {
        EngineView &view = *found->second;
        const bool sameModels = view.description().models == description.models;
        view.applyAnnouncement(description);
        view.setProfile(profile);
        if (sameModels)
            return;
    }
    this->modelsChanged = true;
}

void Fleet::remove(const state::EndpointId &engine)
{
    const auto found = this->engines.find(engine);
    if (found == this->engines.end())
        return;
    const auto key = this->byKey.find(EngineKey::of(engine));
    if (key != this->byKey.end() && key->second == found->second.get())
        this->byKey.erase(key);
    this->engines.erase(found);
    this->modelsChanged = true;
}

// Grouped when next needed and not with each change: after a start, thousands of engines are
// announced one by one.
const std::map<state::ModelName, Fleet::WatchedEngines> &Fleet::models() const
{
    if (std::exchange(this->modelsChanged, false))
        this->byModel = this->groupByModel();
    return this->byModel;
}

const Fleet::WatchedEngines *Fleet::watchedEngines(const state::ModelName &model) const
{
    const auto &groups = this->models();
    const auto found = groups.find(model);
    return found == groups.end() ? nullptr : &found->second;
}

std::map<state::ModelName, Fleet::WatchedEngines> Fleet::groupByModel() const
{
    std::map<state::ModelName, WatchedEngines> groups;
    for (const auto &[id, view] : this->engines) {
        for (const state::ModelName &model : view->description().models)
            groups[model].ids.push_back(id);
    }
    for (auto &[model, set] : groups) {
        std::vector<std::pair<std::uint64_t, state::EndpointId>> scored;
        scored.reserve(set.ids.size());
        for (const state::EndpointId &id : set.ids)
            scored.emplace_back(scoreOf(this->entry, id), id);
        std::ranges::sort(scored, std::greater<>());
        if (scored.size() > this->policy.watchedEngines)
            scored.resize(this->policy.watchedEngines);
        set.ids.clear();
        std::vector<std::pair<std::uint64_t, std::size_t>> order; // score and index
        for (const auto &[score, id] : scored) {
            order.emplace_back(scoreOf(model.value(), id), set.ids.size());
            set.ids.push_back(id);
            set.views.push_back(this->engines.at(id).get());
            set.prefillRate += 1 / set.views.back()->prefillSeconds(1);
        }
        // All entries rank engines alike, so that they send long prompts to the same engines.
        std::ranges::sort(order);
        set.rank.resize(order.size());
        for (const auto &[score, index] : order) {
            set.rank[index] = std::uint32_t(set.ranked.size());
            set.ranked.push_back(set.views[index]);
        }
    }
    return groups;
}

EngineView *Fleet::find(const state::EndpointId &engine)
{
    const auto found = this->engines.find(engine);
    return found == this->engines.end() ? nullptr : found->second.get();
}

const EngineView *Fleet::find(const state::EndpointId &engine) const
{
    const auto found = this->engines.find(engine);
    return found == this->engines.end() ? nullptr : found->second.get();
}

EngineView *Fleet::find(EngineKey engine)
{
    const auto found = this->byKey.find(engine);
    return found == this->byKey.end() ? nullptr : found->second;
}

void Fleet::completeHelperWork(std::uint64_t work, WorkStage stage, state::Instant now)
{
    for (auto &[id, view] : this->engines)
        view->completeHelperWork(work, stage, now);
}

const std::vector<state::EndpointId> &Fleet::watched(const state::ModelName &model) const
{
    static const std::vector<state::EndpointId> none;
    const WatchedEngines *set = this->watchedEngines(model);
    return set == nullptr ? none : set->ids;
}

std::optional<Choice> Fleet::choose(const ChoiceQuery &query, state::Instant now)
{
    const WatchedEngines *known = this->watchedEngines(query.model);
    if (known == nullptr)
        return std::nullopt;
    const WatchedEngines &set = *known;
    // Must come before any query: it is what removes work whose end was never reported.
    for (EngineView *view : set.views)
        view->advance(now);
    std::vector<std::size_t> eligible = this->eligibleEngines(set, query);
    if (eligible.empty())
        return std::nullopt;
    if (const auto index = this->baselineChoice(set, query, eligible))
        return this->cheapest(set, query, {*index});
    if (!this->policy.splitEngines || query.requiredEngine)
        return this->cheapest(set, query, eligible);

    const bool isShort = query.prompt.promptTokens < this->policy.shortPromptTokens;
    const std::size_t longCount = this->demandSplit.longEngineCount(set.views.size());
    const auto otherGroup =
            std::stable_partition(eligible.begin(), eligible.end(), [&](std::size_t index) {
                return isShort != (set.rank[index] < longCount);
            });
    const std::vector<std::size_t> ownGroup(eligible.begin(), otherGroup);
    std::optional<Choice> choice = this->cheapest(set, query, ownGroup);
    if (isShort && (!choice || choice->prediction.prefillSecondsAhead > ownGroupMaxWaitSeconds))
        return this->cheapest(set, query, eligible);
    // Longer prompts use the engines for short ones only if their own group has no engine left.
    bool groupDrains = true; // an engine of the group without memory is waited for
    for (std::size_t index = 0; index < set.views.size(); ++index) {
        const bool isOwn = isShort != (set.rank[index] < longCount);
        groupDrains = groupDrains && (!isOwn || set.views[index]->draining);
    }
    if (!choice && ownGroup.empty() && (query.ignoreQueueLimit || groupDrains))
        return this->cheapest(set, query, eligible);
    return choice;
}

std::optional<Choice> Fleet::cheapest(const WatchedEngines &set, const ChoiceQuery &query,
                                      const std::vector<std::size_t> &eligible)
{
    const double limit = toSeconds(this->policy.engineQueueLimit);
    const bool limited = this->policy.holdInEntry && !query.ignoreQueueLimit;
    std::optional<Choice> best;
    bool bestAvoided = true;
    for (const std::size_t index : eligible) {
        const EngineView &view = *set.views[index];
        const state::FailureDomain &domain = view.description().failureDomain;
        const double transfer = toSeconds(this->hooks.transferTime(domain));
        const Prediction prediction = predict(view, query.prompt, this->policy, transfer);
        if (limited && prediction.queueSeconds > limit)
            continue;
        const bool avoided = !query.avoidedDomain.empty() && domain == query.avoidedDomain;
        const bool better = !best || (bestAvoided && !avoided)
                            || (bestAvoided == avoided && prediction.cost < best->prediction.cost);
        if (!better)
            continue;
        best = Choice{set.ids[index], prediction};
        bestAvoided = avoided;
    }
    return best;
}

bool Fleet::isEligible(const EngineView &view, std::size_t index, const WatchedEngines &set,
                       const ChoiceQuery &query) const
{
    if (query.requiredEngine && *query.requiredEngine != set.ids[index])
        return false;
    if (view.draining && !query.requiredEngine)
        return false;
    if (this->policy.placement != Placement::Predicted || query.ignoreQueueLimit
        || query.requiredEngine)
        return true;
    return view.freeTokens() >= query.memoryTokens;
}

std::vector<std::size_t> Fleet::eligibleEngines(const WatchedEngines &set, const ChoiceQuery &query)
{
    std::vector<std::size_t> eligible;
    const std::size_t wanted = this->policy.sampledEngines;
    if (wanted > 0 && wanted < set.ids.size() && !query.requiredEngine) {
        for (std::size_t tries = wanted * sampleTries; tries > 0 && eligible.size() < wanted;
             --tries) {
            const std::size_t index = this->random() % set.ids.size();
            const bool repeated = std::ranges::find(eligible, index) != eligible.end();
            if (!repeated && this->isEligible(*set.views[index], index, set, query))
                eligible.push_back(index);
        }
        if (!eligible.empty())
            return eligible;
    }
    for (std::size_t index = 0; index < set.ids.size(); ++index) {
        if (this->isEligible(*set.views[index], index, set, query))
            eligible.push_back(index);
    }
    return eligible;
}

std::optional<std::size_t> Fleet::baselineChoice(const WatchedEngines &set,
                                                 const ChoiceQuery &query,
                                                 const std::vector<std::size_t> &eligible)
{
    switch (this->policy.placement) {
    case Placement::Predicted:
        return std::nullopt;
    case Placement::RoundRobin:
        return eligible[this->nextRoundRobin++ % eligible.size()];
    case Placement::LeastOutstanding:
        return *std::ranges::min_element(eligible, {}, [&set](std::size_t index) {
            return set.views[index]->outstandingRequests();
        });
    case Placement::PrefixAffinity:
        break;
    }
    std::size_t best = eligible.front();
    double bestMatch = 0;
    std::uint64_t bestScore = 0;
    const std::uint64_t seed =
            query.prompt.prefixBlocks.empty() ? this->random() : query.prompt.prefixBlocks.front();
    for (const std::size_t index : eligible) {
        const double match = set.views[index]->prefixes().match(query.prompt.prefixBlocks, 1);
        const std::string &id = set.ids[index].value();
        const std::uint64_t score = XXH3_64bits_withSeed(id.data(), id.size(), seed);
        if (match > bestMatch || (match == bestMatch && score > bestScore)) {
            best = index;
            bestMatch = match;
            bestScore = score;
        }
    }
    return best;
}

bool Fleet::worksInPasses(const state::ModelName &model) const
{
    const WatchedEngines *set = this->watchedEngines(model);
    return set != nullptr && std::ranges::any_of(set->views, [](const EngineView *view) {
               return view->profile().has_value();
           });
}

double Fleet::decayedRate(const LongDemand &demand, state::Instant now) const
{
    return demand.rate
           * std::exp(-toSeconds(now - demand.updatedAt)
                      / this->policy.passes.demandAveragingSeconds);
}

void Fleet::notePause(const state::ModelName &model, state::Duration pause, state::Instant now)
{
    if (pause <= state::Duration(0))
        return;
    ToleratedPauses &pauses = this->toleratedPauses[model];
    const state::Duration before =
            pauses.lastRequested.empty() ? state::Duration(0) : pauses.lastRequested.begin()->first;
    pauses.lastRequested[pause] = now;
    std::erase_if(pauses.lastRequested,
                  [now](const auto &each) { return each.second + pauseLifetime < now; });
    const state::Duration tightest = pauses.lastRequested.begin()->first;
    if (tightest != before)
        pauses.settings = this->policy.passes.withTightestPause(toSeconds(tightest));
}

const PassPlacementSettings &Fleet::passSettings(const state::ModelName &model) const
{
    const auto found = this->toleratedPauses.find(model);
    return found == this->toleratedPauses.end() ? this->policy.passes : found->second.settings;
}

void Fleet::setWaitingDemand(const state::ModelName &model, double rate)
{
    this->longDemand[model].waiting = rate;
}

void Fleet::noteLongPrefill(const EngineView &engine, double seconds, state::Instant now)
{
    for (const state::ModelName &model : engine.description().models) {
        if (seconds <= this->passSettings(model).maxBriefPrefillSeconds)
            continue;
        LongDemand &demand = this->longDemand[model];
        demand.rate = this->decayedRate(demand, now)
                      + seconds / this->policy.passes.demandAveragingSeconds;
        demand.updatedAt = now;
    }
}

// Returns the model's engines in the shared order, advanced to now, and fills in longDemand.
std::vector<const EngineView *> Fleet::rankedViews(const state::ModelName &model,
                                                   PassRequest &request, state::Instant now)
{
    const WatchedEngines *set = this->watchedEngines(model);
    if (set == nullptr)
        return {};
    for (EngineView *view : set->ranked)
        view->advance(now);
    const auto demand = this->longDemand.find(model);
    if (demand != this->longDemand.end())
        request.longDemand =
                std::max(this->decayedRate(demand->second, now), demand->second.waiting);
    return {set->ranked.begin(), set->ranked.end()};
}

std::optional<PassChoice> Fleet::chooseByPasses(const state::ModelName &model, PassRequest request,
                                                state::Instant now)
{
    const std::vector<const EngineView *> views = this->rankedViews(model, request, now);
    return placeByPasses(views, request, this->passSettings(model));
}

std::optional<PassSchedule> Fleet::scheduleByPasses(std::uint64_t modelHash, state::Instant now)
{
    const auto &groups = this->models();
    const auto found = std::ranges::find_if(
            groups, [modelHash](const auto &each) { return hashOf(each.first) == modelHash; });
    if (found == groups.end())
        return std::nullopt;
    PassRequest request;
    const std::vector<const EngineView *> views = this->rankedViews(found->first, request, now);
    return PassSchedule(views, request.longDemand, this->passSettings(found->first));
}

std::uint64_t Fleet::hashOf(const state::ModelName &model)
{
    return XXH3_64bits(model.value().data(), model.value().size());
}

LongPromptEstimate Fleet::estimateLongPrompt(const state::ModelName &model, PassRequest request,
                                             state::Instant now)
{
    const std::vector<const EngineView *> views = this->rankedViews(model, request, now);
    return routing::estimateLongPrompt(views, request, this->passSettings(model));
}

bool Fleet::isLong(const state::ModelName &model, std::uint32_t promptTokens) const
{
    const WatchedEngines *set = this->watchedEngines(model);
    if (set == nullptr)
        return false;
    const auto profiled = std::ranges::find_if(
            set->views, [](const EngineView *view) { return view->profile().has_value(); });
    return profiled != set->views.end()
           && !isBrief(*(*profiled)->profile(), promptTokens, this->passSettings(model));
}

SlotLoad Fleet::slotLoad(const state::ModelName &model, state::Instant now)
{
    SlotLoad load;
    const WatchedEngines *set = this->watchedEngines(model);
    if (set == nullptr)
        return load;
    for (EngineView *view : set->views) {
        if (!view->profile() || view->draining || view->suspected)
            continue;
        view->advance(now);
        const std::size_t slots = view->profile()->slots;
        const auto held = std::size_t(std::ranges::count_if(
                view->residentWork(), [](const ResidentWork &each) { return !each.isHelperWork; }));
        load.slots += slots;
        load.taken += std::min(slots, held);
    }
    return load;
}

void Fleet::limitSends(const state::EndpointId &engine, std::optional<double> perSecond,
                       state::Instant now)
{
    if (EngineView *view = this->find(engine))
        view->limitSends(perSecond, now, this->random());
}

std::optional<state::Instant> Fleet::limitedUntil(const state::ModelName &model, state::Instant now)
{
    const WatchedEngines *set = this->watchedEngines(model);
    std::optional<state::Instant> next;
    if (set == nullptr)
        return next;
    for (EngineView *view : set->views) {
        if (view->draining || view->suspected || view->ended)
            continue;
        view->advance(now);
        if (view->sendsAvailable() > 0)
            return std::nullopt;
        next = next ? std::min(*next, view->nextSend()) : view->nextSend();
    }
    return next;
}

void Fleet::noteDemand(const EngineView &engine, std::uint32_t promptTokens, double prefillTokens,
                       state::Instant now)
{
    this->demandSplit.note(promptTokens < this->policy.shortPromptTokens,
                           engine.prefillSeconds(prefillTokens), now);
}

std::size_t Fleet::longEngineCount(const state::ModelName &model) const
{
    return this->demandSplit.longEngineCount(this->watched(model).size());
}

std::vector<state::EndpointId> Fleet::spanEngines(const state::ModelName &model) const
{
    const WatchedEngines *known = this->watchedEngines(model);
    if (known == nullptr)
        return {};
    const WatchedEngines &set = *known;
    if (!this->policy.splitEngines)
        return set.ids;
    const std::size_t longCount = this->demandSplit.longEngineCount(set.views.size());
    std::vector<state::EndpointId> longGroup;
    for (std::size_t index = 0; index < set.ids.size(); ++index) {
        if (set.rank[index] < longCount)
            longGroup.push_back(set.ids[index]);
    }
    return longGroup;
}

double Fleet::prefillRate(const state::ModelName &model) const
{
    const WatchedEngines *set = this->watchedEngines(model);
    return set == nullptr ? 0 : set->prefillRate;
}

bool Fleet::anyEngineFits(const state::ModelName &model, std::uint64_t tokens) const
{
    const WatchedEngines *set = this->watchedEngines(model);
    if (set == nullptr)
        return false;
    return std::ranges::any_of(set->views, [tokens](const EngineView *view) {
        return !view->draining && view->description().kvCapacityTokens >= tokens;
    });
}

} // namespace lavenderthread::coordination::routing
