#include "FleetRun.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavenderthread::bench {

namespace admission = coordination::admission;
namespace routing = coordination::routing;

namespace {

constexpr state::Duration reportPeriod = std::chrono::milliseconds(250);
constexpr state::Duration reportLag = std::chrono::milliseconds(200);
constexpr state::Duration poorLag = std::chrono::milliseconds(1'500);
constexpr state::Duration lossDetection = std::chrono::milliseconds(800);
constexpr state::Duration samplePeriod = std::chrono::seconds(1);
constexpr state::Duration drainTime = std::chrono::seconds(900); // the longest deadline, and leases
constexpr double reportLoss = 0.05;
constexpr double poorLoss = 0.5;
constexpr double noteLoss = 0.1;
constexpr double warmShare = 0.15; // of the run, left out of the figures
constexpr std::size_t fairWindowSamples = 30;

const char *const modelName = "model-v1";

double toSeconds(state::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

FleetRun::FleetRun(RunPlan runPlan)
    : plan(std::move(runPlan))
    , random(this->plan.seed)
{
    this->build();
}

void FleetRun::build()
{
    const Profile &profile = this->plan.profile;
    const auto domain = [&profile](std::size_t index) {
        return "domain-" + std::to_string(index % profile.failureDomains);
    };
    for (std::size_t index = 0; index < profile.engines; ++index) {
        state::EndpointDescription description;
        description.id = state::EndpointId("engine-" + std::to_string(index));
        description.failureDomain = state::FailureDomain(domain(index));
        description.models = {state::ModelName(modelName)};
        description.incarnation = 1;
        description.kvCapacityTokens = profile.shape.memoryTokens;
        description.prefillTokensPerSecond = profile.shape.prefillTokensPerSecond;
        description.decodeTokensPerSecond = 1 / profile.shape.decodeStepSeconds;
        Engine engine;
        engine.model = std::make_unique<EngineModel>(profile.shape, description);
        this->engineIndex.emplace(description.id.value(), index);
        this->indexByKey.emplace(routing::EngineKey::of(description.id), index);
        this->engines.push_back(std::move(engine));
    }
    for (std::size_t index = 0; index < profile.entries; ++index) {
        Entry entry;
        entry.failureDomain = domain(index);
        admission::DispatcherHooks hooks;
        hooks.fleet.transferTime = [this, own = entry.failureDomain](const auto &other) {
            return this->transfer(own, other.value());
        };
        entry.dispatcher = std::make_unique<admission::Dispatcher>(
                state::VmId("entry-" + std::to_string(index)), this->plan.policy, hooks,
                this->plan.seed * profile.entries + index);
        this->entries.push_back(std::move(entry));
    }
    for (std::size_t index = 0; index < profile.entries; ++index) {
        this->deliver(index, admission::TableChanged{tableOf(profile)});
        for (const Engine &engine : this->engines)
            this->deliver(index, admission::EngineAnnounced{engine.model->description()});
        const auto &fleet = this->entries[index].dispatcher->fleet();
        for (const state::EndpointId &id : fleet.watched(state::ModelName(modelName)))
            this->engines[this->engineIndex.at(id.value())].watchers.push_back(index);
    }
    for (std::size_t index = 0; index < profile.engines; ++index) {
        const state::Duration phase(std::int64_t(this->random() % reportPeriod.count()));
        this->schedule(phase, [this, index] { this->report(index); });
    }
    this->schedule(samplePeriod, [this] { this->sampleService(); });
    this->planLosses();
    this->traffic = arrivals(profile, this->plan.scenario, this->plan.load, this->plan.length,
                             this->plan.seed);
}

void FleetRun::planLosses()
{
    if (this->plan.scenario == Scenario::EngineLost)
        this->schedule(this->plan.length / 2, [this] { this->lose(1); });
    if (this->plan.scenario != Scenario::ThirdLost)
        return;
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
        if (index % this->plan.profile.failureDomains == 1)
            this->schedule(this->plan.length / 2, [this, index] { this->lose(index); });
    }
}

RunResult FleetRun::run()
{
    std::size_t number = 0;
    for (const Arrival &arrival : this->traffic) {
        admission::CompletionRequest request;
        request.id = state::RequestId("request-" + std::to_string(number++));
        request.account = state::ClientAccountId(accountName(arrival.account));
        request.workClass = state::WorkClass("completion");
        request.model = state::ModelName(modelName);
        request.promptTokens = arrival.promptTokens;
        request.maximumOutputTokens = arrival.maximumOutputTokens;
        request.prefixBlocks = arrival.blocks;
        request.arrival = arrival.at;
        request.deadline = arrival.at + arrival.deadline;
        this->requests.emplace(
                request.id.value(),
                Outcome{arrival.promptTokens, arrival.outputTokens, arrival.at, request.deadline});
        this->agenda.push({arrival.at, this->nextOrder++,
                           [this, entry = arrival.entry, request = std::move(request)] {
                               this->requests.at(request.id.value()).admitted = true;
                               this->deliver(entry, admission::RequestArrived{request});
                           }});
    }
    const state::Instant end =
            state::Instant(this->plan.length)
            + (this->plan.scenario == Scenario::Backlog ? state::Duration(0) : drainTime);
    this->unsettled = this->requests.size();
    while (!this->agenda.empty() && this->agenda.top().at <= end) {
        // Leases may outlive the last answer by their time to live, not longer.
        if (this->unsettled == 0
            && this->now > this->lastSettled + this->plan.policy.reservationTtl)
            break;
        const Later next = this->agenda.top();
        this->agenda.pop();
        this->now = next.at;
        next.action();
    }
    return this->collect();
}

void FleetRun::schedule(state::Duration after, std::function<void()> action)
{
    this->agenda.push({this->now + after, this->nextOrder++, std::move(action)});
}

void FleetRun::deliver(std::size_t index, const admission::Event &event)
{
    Entry &entry = this->entries[index];
    for (const admission::Action &action : entry.dispatcher->handle(event, this->now))
        this->perform(index, action);
    const std::optional<state::Instant> wake = entry.dispatcher->nextWake();
    if (!wake || *wake >= entry.wake)
        return;
    entry.wake = std::max(*wake, this->now);
    this->schedule(entry.wake - this->now, [this, index, at = entry.wake] {
        if (this->entries[index].wake != at)
            return;
        this->entries[index].wake = state::Instant::max();
        this->deliver(index, admission::Tick{});
    });
}

void FleetRun::settle(const state::RequestId &id, Ending ending)
{
    Outcome &outcome = this->requests.at(id.value());
    outcome.ending = ending;
    outcome.ended = this->now;
    this->lastSettled = this->now;
    --this->unsettled;
}

void FleetRun::perform(std::size_t entry, const admission::Action &action)
{
    if (const auto *dispatched = std::get_if<admission::Dispatch>(&action)) {
        this->dispatch(entry, *dispatched);
    } else if (const auto *refused = std::get_if<admission::Refuse>(&action)) {
        this->settle(refused->id, Ending::Refused);
    } else if (const auto *expired = std::get_if<admission::Expire>(&action)) {
        this->settle(expired->id, Ending::Expired);
    } else if (const auto *cancelled = std::get_if<admission::CancelOnEngine>(&action)) {
        const std::size_t at = this->engineIndex.at(cancelled->engine.value());
        this->schedule(this->plan.profile.betweenDomains, [this, at, cancel = *cancelled] {
            this->engines[at].model->cancel(cancel.id.value(), cancel.attempt);
        });
    } else if (const auto *reservation = std::get_if<admission::Reserve>(&action)) {
        this->reserve(entry, *reservation);
    } else if (const auto *released = std::get_if<admission::Release>(&action)) {
        const std::size_t at = this->engineIndex.at(released->engine.value());
        this->schedule(2 * this->plan.profile.betweenDomains, [this, at, lease = released->lease] {
            this->engines[at].model->release(lease);
            this->startStep(at);
        });
    } else if (const auto *shared = std::get_if<admission::ShareWork>(&action)) {
        this->share(entry, shared->note);
    } else if (const auto *backlog = std::get_if<admission::ShareBacklog>(&action)) {
        for (std::size_t peer = 0; peer < this->entries.size(); ++peer) {
            if (peer != entry)
                this->schedule(this->plan.profile.betweenDomains,
                               [this, peer, note = backlog->note] {
                                   this->deliver(peer, admission::PeerBacklogReceived{note});
                               });
        }
    }
}

void FleetRun::dispatch(std::size_t entry, const admission::Dispatch &dispatched)
{
    ++this->dispatches;
    const std::size_t at = this->engineIndex.at(dispatched.engine.value());
    const Outcome &outcome = this->requests.at(dispatched.id.value());
    const Arrival &arrival = this->traffic[std::stoul(dispatched.id.value().substr(8))];
    EngineWork work;
    work.id = dispatched.id.value();
    work.key = accountName(arrival.account);
    work.attempt = dispatched.attempt;
    work.priority = dispatched.priority;
    work.from = dispatched.from;
    work.to = dispatched.to;
    work.promptTokens = outcome.promptTokens;
    work.final = dispatched.final;
    work.outputTokens =
            outcome.outputTokens - std::min(outcome.outputTokens - 1, dispatched.resumeOffset);
    work.outputOffset = dispatched.resumeOffset;
    work.lease = dispatched.lease;
    if (work.lease.empty())
        work.blocks = arrival.blocks;
    for (const admission::KvSource &source : dispatched.imports)
        work.importTokens += source.to - source.from;
    const state::Duration way =
            this->transfer(this->entries[entry].failureDomain,
                           this->engines[at].model->description().failureDomain.value());
    this->schedule(way, [this, at, entry, way, work] {
        Engine &engine = this->engines[at];
        if (!engine.alive) {
            this->schedule(way, [this, entry, work] {
                this->deliver(entry, admission::AttemptFailed{state::RequestId(work.id),
                                                              work.attempt, true});
            });
            return;
        }
        engine.owners[work.id] = entry;
        engine.model->submit(work);
        this->startStep(at);
    });
}

void FleetRun::reserve(std::size_t entry, const admission::Reserve &reservation)
{
    const std::size_t at = this->engineIndex.at(reservation.engine.value());
    const state::Duration way = 2 * this->plan.profile.betweenDomains; // through the owner
    this->schedule(way, [this, at, entry, way, reservation] {
        Engine &engine = this->engines[at];
        const bool granted = engine.alive
                             && engine.model->reserve(reservation.lease, reservation.tokens,
                                                      this->now + reservation.ttl, this->now);
        this->schedule(way, [this, entry, reservation, granted] {
            this->deliver(entry, admission::ReservationAnswered{reservation.id, reservation.engine,
                                                                reservation.lease, granted});
        });
    });
}

void FleetRun::share(std::size_t entry, const routing::WorkNote &note)
{
    const Engine &engine = this->engines[this->indexByKey.at(note.engine)];
    for (const std::size_t peer : engine.watchers) {
        if (peer == entry)
            continue;
        ++this->workNotes;
        if (this->plan.scenario == Scenario::MessagesLost && this->lost(noteLoss))
            continue;
        const state::Duration way = this->transfer(this->entries[entry].failureDomain,
                                                   this->entries[peer].failureDomain);
        this->schedule(way, [this, peer, note] {
            this->deliver(peer, admission::PeerWorkReceived{note});
        });
    }
}

void FleetRun::startStep(std::size_t at)
{
    Engine &engine = this->engines[at];
    if (!engine.alive || engine.model->stepping())
        return;
    const std::optional<state::Duration> length = engine.model->startStep(this->now);
    if (!length)
        return;
    this->schedule(*length, [this, at, life = engine.life] {
        if (this->engines[at].life == life)
            this->endStep(at);
    });
}

void FleetRun::endStep(std::size_t at)
{
    Engine &engine = this->engines[at];
    const std::vector<EngineReport> reports = engine.model->endStep();
    this->startStep(at);
    for (const EngineReport &each : reports) {
        const std::size_t entry = engine.owners.at(each.id);
        const state::Duration way =
                this->transfer(this->entries[entry].failureDomain,
                               engine.model->description().failureDomain.value());
        this->schedule(way, [this, entry, each] {
            const state::RequestId id(each.id);
            if (each.news == EngineNews::SliceDone) {
                this->deliver(entry, admission::SlicePrefilled{id, each.attempt, each.value});
                return;
            }
            Outcome &outcome = this->requests.at(each.id);
            if (outcome.ending == Ending::Pending && outcome.firstToken == state::Instant{})
                outcome.firstToken = this->now;
            this->deliver(entry, admission::TokensReceived{id, each.attempt, each.value});
            if (each.news != EngineNews::Finished)
                return;
            if (outcome.ending == Ending::Pending)
                this->settle(id, Ending::Finished);
            this->deliver(entry, admission::RequestFinished{id, each.attempt});
        });
    }
}

void FleetRun::report(std::size_t at)
{
    Engine &engine = this->engines[at];
    if (!engine.alive)
        return;
    const bool poor = this->plan.scenario == Scenario::PoorReports;
    const state::Duration lag = poor ? poorLag : reportLag;
    const double loss = poor ? poorLoss : reportLoss;
    const state::LoadReport load = engine.model->load();
    const auto [first, events] = engine.model->takeCacheEvents();
    for (const std::size_t entry : engine.watchers) {
        if (!this->lost(loss))
            this->schedule(lag, [this, entry, load] {
                this->deliver(entry, admission::LoadReported{load});
            });
        if (!events.empty() && !this->lost(loss))
            this->schedule(lag, [this, entry, load, sequence = first, batch = events] {
                this->deliver(entry, admission::CacheReported{load.endpoint, load.incarnation,
                                                              sequence, batch});
            });
    }
    if (this->now < state::Instant(this->plan.length) + drainTime)
        this->schedule(reportPeriod, [this, at] { this->report(at); });
}

void FleetRun::sampleService()
{
    std::vector<double> sample(this->plan.profile.accounts);
    for (std::uint32_t account = 0; account < sample.size(); ++account) {
        for (const Engine &engine : this->engines) {
            const auto found = engine.model->service().find(accountName(account));
            if (found != engine.model->service().end())
                sample[account] += found->second;
        }
    }
    this->serviceSamples.push_back(std::move(sample));
    if (this->plan.scenario == Scenario::Backlog)
        this->schedule(samplePeriod, [this] { this->sampleService(); });
}

void FleetRun::lose(std::size_t at)
{
    Engine &engine = this->engines[at];
    engine.alive = false;
    ++engine.life;
    const state::EndpointId id = engine.model->description().id;
    for (const std::size_t entry : engine.watchers) {
        this->schedule(lossDetection,
                       [this, entry, id] { this->deliver(entry, admission::EngineGone{id}); });
    }
}

bool FleetRun::lost(double share)
{
    return double(this->random() >> 11U) * 0x1.0p-53 < share;
}

state::Duration FleetRun::transfer(const std::string &a, const std::string &b) const
{
    return a == b ? this->plan.profile.withinDomain : this->plan.profile.betweenDomains;
}

RunResult FleetRun::collect()
{
    const EngineShape &shape = this->plan.profile.shape;
    const state::Instant warm(
            std::chrono::duration_cast<state::Duration>(this->plan.length * warmShare));
    const state::Instant end(this->plan.length);
    RunResult result;
    double finishedWork = 0;
    for (const auto &[id, outcome] : this->requests) {
        const std::size_t length = outcomeClass(outcome.promptTokens);
        const double ideal = aloneFirstTokenSeconds(shape, outcome.promptTokens);
        if (outcome.ending == Ending::Finished && outcome.ended >= warm && outcome.ended < end)
            finishedWork += ideal + outcome.outputTokens * shape.sequenceStepSeconds;
        if (outcome.arrival < warm)
            continue;
        ++result.arrived[length];
        result.refused[length] += outcome.ending == Ending::Refused ? 1 : 0;
        result.expired[length] += outcome.ending == Ending::Expired ? 1 : 0;
        result.pending += outcome.ending == Ending::Pending ? 1 : 0;
        result.pastDeadline += outcome.ended > outcome.deadline ? 1 : 0;
        const bool answered = outcome.firstToken != state::Instant{};
        // One that expired without a first token counts with the time that its caller waited.
        if (answered || outcome.ending == Ending::Expired) {
            const state::Instant until = answered ? outcome.firstToken : outcome.ended;
            result.firstToken[length].push_back(toSeconds(until - outcome.arrival) / ideal);
        }
        if (length == 0 && outcome.ending == Ending::Finished) {
            result.shortSlowdown.push_back(
                    toSeconds(outcome.ended - outcome.arrival)
                    / aloneSeconds(shape, outcome.promptTokens, outcome.outputTokens));
        }
    }
    result.goodput.push_back(finishedWork / (toSeconds(end - warm) * double(this->engines.size())));
    result.workNotes = this->workNotes;
    result.dispatches = this->dispatches;
    for (const Entry &entry : this->entries) {
        result.retried += entry.dispatcher->counts().retried;
        result.recomputedTokens += entry.dispatcher->counts().recomputedTokens;
    }
    if (this->plan.scenario != Scenario::Backlog) {
        for (Engine &engine : this->engines)
            result.reservedAtEnd += engine.alive ? engine.model->reservedTokens(this->now) : 0;
        return result;
    }
    const std::vector<state::TableRow> rows = tableOf(this->plan.profile);
    double weights = 0;
    for (const state::TableRow &row : rows)
        weights += row.weight;
    const auto first = std::size_t(toSeconds(warm - state::Instant{}));
    for (std::size_t at = first; at + fairWindowSamples < this->serviceSamples.size(); ++at) {
        const auto &before = this->serviceSamples[at];
        const auto &after = this->serviceSamples[at + fairWindowSamples];
        double total = 0;
        for (std::size_t account = 0; account < rows.size(); ++account)
            total += after[account] - before[account];
        double worst = 0;
        for (std::size_t account = 0; account < rows.size(); ++account) {
            const double share = (after[account] - before[account]) / total;
            worst = std::max(worst, std::abs(share * weights / rows[account].weight - 1));
        }
        result.fairnessError.push_back(worst);
    }
    return result;
}

void RunResult::merge(const RunResult &other)
{
    const auto append = [](std::vector<double> &to, const std::vector<double> &from) {
        to.insert(to.end(), from.begin(), from.end());
    };
    for (std::size_t length = 0; length < outcomeClasses; ++length) {
        append(this->firstToken[length], other.firstToken[length]);
        this->arrived[length] += other.arrived[length];
        this->refused[length] += other.refused[length];
        this->expired[length] += other.expired[length];
    }
    append(this->shortSlowdown, other.shortSlowdown);
    append(this->goodput, other.goodput);
    append(this->fairnessError, other.fairnessError);
    this->pending += other.pending;
    this->pastDeadline += other.pastDeadline;
    this->retried += other.retried;
    this->recomputedTokens += other.recomputedTokens;
    this->reservedAtEnd += other.reservedAtEnd;
    this->workNotes += other.workNotes;
    this->dispatches += other.dispatches;
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto at = std::min(values.size() - 1, std::size_t(double(values.size()) * share));
    std::nth_element(values.begin(), values.begin() + std::ptrdiff_t(at), values.end());
    return values[at];
}

std::size_t outcomeClass(std::uint32_t promptTokens)
{
    constexpr std::array<std::uint32_t, outcomeClasses - 1> bounds = {4'096, 32'768, 250'000};
    return std::size_t(std::ranges::upper_bound(bounds, promptTokens) - bounds.begin());
}

} // namespace lavenderthread::bench
