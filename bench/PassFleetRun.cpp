#include "PassFleetRun.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lavenderthread::bench {

namespace admission = coordination::admission;
using std::chrono::milliseconds;

namespace {

constexpr state::Duration noteDelay = milliseconds(6); // batching and one way between entries
constexpr state::Duration hop = std::chrono::microseconds(700);
constexpr double largestShare = 0.1;

state::EndpointId engineId(std::size_t index)
{
    return state::EndpointId("engine-" + std::to_string(index));
}

void addAll(std::vector<PassTally> &into, const std::vector<PassTally> &from)
{
    into.resize(std::max(into.size(), from.size()));
    for (std::size_t kind = 0; kind < from.size(); ++kind)
        into[kind].add(from[kind]);
}

void append(std::vector<double> &into, const std::vector<double> &from)
{
    into.insert(into.end(), from.begin(), from.end());
}

} // namespace

void PassTally::add(const PassTally &other)
{
    this->asked += other.asked;
    this->inTime += other.inTime;
    this->late += other.late;
    this->refused += other.refused;
    this->refusedAgain += other.refusedAgain;
    this->unfinished += other.unfinished;
    this->lateFirst += other.lateFirst;
    this->value += other.value;
    this->valueInTime += other.valueInTime;
    this->valueLate += other.valueLate;
    this->valueRefusedAgain += other.valueRefusedAgain;
    this->valueHeld += other.valueHeld;
    append(this->firstSeconds, other.firstSeconds);
    append(this->longestPauses, other.longestPauses);
}

void PassResult::add(const PassResult &other)
{
    addAll(this->classes, other.classes);
    addAll(this->largestTenth, other.largestTenth);
    this->seconds.resize(std::max(this->seconds.size(), other.seconds.size()));
    for (std::size_t kind = 0; kind < other.seconds.size(); ++kind)
        addAll(this->seconds[kind], other.seconds[kind]);
}

PassPlan heavyDay(std::uint64_t seed)
{
    PassPlan plan;
    plan.seed = seed;
    plan.policy.watchedEngines = 1'000;
    plan.policy.budgetRefused = true;
    plan.policy.reservationTtl = milliseconds(3'500);
    plan.profile = {.slots = 16,
                    .kvCapacityTokens = 450'000,
                    .stridePerPass = 46,
                    .stepMs = 0.925,
                    .sequenceStepMs = 0.00483,
                    .contextStepMs = 0.00254,
                    .prefillTokensPerSecond = 256'000,
                    .pairsMs = 0.0917,
                    .stepTokens = 2'048,
                    .reportLagMs = 200};
    plan.classes = {
            {"narrative", 46.1, 4'960, 0.9, 23'800, 34.9, milliseconds(300), milliseconds(200),
             milliseconds(10'000)},
            {"summary", 3.34, 45'000, 0.5, 110'000, 20.9, milliseconds(1'500), milliseconds(500),
             milliseconds(10'000)},
            {"review", 1.38, 210'000, 0.55, 440'000, 17.4, milliseconds(3'000), milliseconds(800),
             milliseconds(15'000)},
    };
    plan.phases = {{milliseconds(2'000), {1, 1, 1}},
                   {milliseconds(9'500), {0.32, 1.3, 2.7}},
                   {milliseconds(9'500), {2.4, 0.5, 0.05}},
                   {milliseconds(9'500), {0.33, 1.3, 2.7}}};
    return plan;
}

PassPlan grownHeavyDay(std::uint64_t seed)
{
    PassPlan plan = heavyDay(seed);
    plan.engines = 69;
    plan.entries = 117;
    plan.profile.slots = 12;
    plan.profile.stridePerPass = 52;
    plan.classes = {
            {"narrative", 118, 4'960, 0.9, 23'800, 33, milliseconds(300), milliseconds(200),
             milliseconds(10'000)},
            {"summary", 10.8, 45'000, 0.5, 110'000, 19.8, milliseconds(1'500), milliseconds(500),
             milliseconds(10'000)},
            {"review", 2.45, 300'000, 0.55, 1'000'000, 16.5, milliseconds(4'000), milliseconds(800),
             milliseconds(15'000)},
    };
    return plan;
}

PassFleetRun::PassFleetRun(PassPlan chosen)
    : plan(std::move(chosen))
    , random(this->plan.seed)
{
    this->result.classes.resize(this->plan.classes.size());
    this->result.largestTenth.resize(this->plan.classes.size());
    this->result.seconds.resize(this->plan.classes.size());
    for (std::size_t index = 0; index < this->plan.engines; ++index) {
        PassEngine::Hooks hooks;
        hooks.admitted = [this](std::uint64_t work) { this->startHelpers(work); };
        hooks.partDone = [this](std::uint64_t work) { this->partDone(work); };
        hooks.event = [this](std::uint64_t work, bool last) { this->eventSent(work, last); };
        this->engines.push_back(std::make_unique<PassEngine>(this->plan.profile, hooks));
    }
    for (std::size_t index = 0; index < this->plan.entries; ++index) {
        admission::DispatcherHooks hooks;
        hooks.fleet.transferTime = [](const state::FailureDomain &) { return hop; };
        this->entries.push_back(std::make_unique<admission::Dispatcher>(
                state::VmId("entry-" + std::to_string(index)), this->plan.policy, hooks, index));
    }
    this->wakeAt.assign(this->plan.entries, state::Instant::max());
}

void PassFleetRun::at(state::Instant time, Step step)
{
    this->order.emplace(time, ++this->lastStep);
    this->steps[this->lastStep] = std::move(step);
}

void PassFleetRun::announceEngines()
{
    for (std::size_t index = 0; index < this->plan.engines; ++index) {
        state::EndpointDescription engine;
        engine.id = engineId(index);
        engine.models = {state::ModelName("model")};
        engine.incarnation = 1;
        engine.kvCapacityTokens = this->plan.profile.kvCapacityTokens;
        engine.prefillTokensPerSecond = this->plan.profile.prefillTokensPerSecond;
        engine.decodeTokensPerSecond = 1'000 / this->plan.profile.stepMs;
        admission::EngineAnnounced announced{engine, {}};
        if (this->plan.declareProfile)
            announced.profile = this->plan.profile;
        for (std::size_t entry = 0; entry < this->plan.entries; ++entry)
            this->handle(entry, announced);
    }
}

void PassFleetRun::makeArrivals()
{
    for (std::size_t kind = 0; kind < this->plan.classes.size(); ++kind) {
        const PassClass &asked = this->plan.classes[kind];
        std::lognormal_distribution<double> size(
                std::log(asked.meanTokens) - asked.spread * asked.spread / 2, asked.spread);
        std::vector<std::uint64_t> made;
        state::Instant phaseStart = this->now;
        for (const PassPhase &phase : this->plan.phases) {
            std::exponential_distribution<double> gap(asked.perSecond * phase.factors.at(kind));
            const state::Instant phaseEnd = phaseStart + phase.length;
            state::Instant time = phaseStart;
            while (true) {
                time += std::chrono::duration_cast<state::Duration>(
                        std::chrono::duration<double>(gap(this->random)));
                if (time >= phaseEnd)
                    break;
                Request request;
                request.kind = kind;
                request.entry = this->random() % this->plan.entries;
                request.tokens = std::uint32_t(std::min(size(this->random), asked.mostTokens)) + 1;
                std::exponential_distribution<double> events(1 / asked.meanEvents);
                request.events =
                        1 + std::uint32_t(std::min(events(this->random), asked.meanEvents * 2.5));
                request.arrival = time;
                request.deadline = time + asked.timeLimit;
                const std::uint64_t work = ++this->lastWork;
                this->requests[work] = request;
                made.push_back(work);
                this->at(time, [this, work] { this->arrive(work); });
            }
            phaseStart = phaseEnd;
        }
        std::ranges::sort(made, std::greater<>(),
                          [this](std::uint64_t each) { return this->requests[each].tokens; });
        const auto largest = std::size_t(double(made.size()) * largestShare);
        for (std::size_t index = 0; index < largest; ++index)
            this->requests[made[index]].largest = true;
    }
}

PassResult PassFleetRun::run()
{
    this->announceEngines();
    this->makeArrivals();
    while (!this->order.empty()) {
        const auto [time, id] = this->order.top();
        this->order.pop();
        this->now = std::max(this->now, time);
        const auto step = this->steps.extract(id);
        step.mapped()();
    }
    return this->result;
}

void PassFleetRun::arrive(std::uint64_t work)
{
    Request &request = this->requests.at(work);
    request.asked = this->now;
    const PassClass &asked = this->plan.classes[request.kind];
    if (!request.returned)
        ++this->result.classes[request.kind].asked;
    if (request.largest && !request.returned)
        ++this->result.largestTenth[request.kind].asked;
    admission::CompletionRequest wanted;
    wanted.id = state::RequestId(std::to_string(work));
    wanted.account = state::ClientAccountId("account");
    wanted.workClass = state::WorkClass(asked.name);
    wanted.model = state::ModelName("model");
    wanted.promptTokens = request.tokens;
    wanted.maximumOutputTokens = request.events * this->plan.profile.stridePerPass;
    wanted.arrival = this->now;
    wanted.deadline = request.deadline;
    wanted.firstTarget = asked.firstTarget;
    wanted.pause = asked.pause;
    wanted.attempts = 2;
    this->handle(request.entry, admission::RequestArrived{wanted});
}

void PassFleetRun::handle(std::size_t entry, const admission::Event &event)
{
    for (const admission::Action &action : this->entries[entry]->handle(event, this->now))
        this->carryOut(entry, action);
    this->wake(entry);
}

void PassFleetRun::wake(std::size_t entry)
{
    const auto next = this->entries[entry]->nextWake();
    if (!next || *next >= this->wakeAt[entry])
        return;
    const state::Instant due = std::max(*next, this->now + milliseconds(1));
    this->wakeAt[entry] = due;
    this->at(due, [this, entry, due] {
        if (this->wakeAt[entry] != due)
            return;
        this->wakeAt[entry] = state::Instant::max();
        this->handle(entry, admission::Tick{});
    });
}

void PassFleetRun::carryOut(std::size_t entry, const admission::Action &action)
{
    if (const auto *dispatch = std::get_if<admission::Dispatch>(&action)) {
        this->at(this->now + hop, [this, sent = *dispatch] { this->dispatch(sent); });
    } else if (const auto *refuse = std::get_if<admission::Refuse>(&action)) {
        this->refused(*refuse);
    } else if (const auto *expire = std::get_if<admission::Expire>(&action)) {
        this->end(workOf(expire->id), &PassTally::unfinished);
    } else if (const auto *cancel = std::get_if<admission::CancelOnEngine>(&action)) {
        for (const auto &engine : this->engines)
            engine->cancel(workOf(cancel->id));
    } else if (const auto *reserve = std::get_if<admission::Reserve>(&action)) {
        this->at(this->now + hop, [this, entry, asked = *reserve] { this->reserve(entry, asked); });
    } else if (const auto *release = std::get_if<admission::Release>(&action)) {
        this->at(this->now + hop,
                 [this, engine = this->engineOf(release->engine), lease = release->lease] {
                     this->engines[engine]->release(lease);
                     this->startPass(engine);
                 });
    } else if (const auto *share = std::get_if<admission::ShareWork>(&action)) {
        this->at(this->now + noteDelay, [this, entry, note = share->note] {
            for (std::size_t peer = 0; peer < this->plan.entries; ++peer) {
                if (peer != entry)
                    this->handle(peer, admission::PeerWorkNoted{note});
            }
        });
    }
}

std::size_t PassFleetRun::engineOf(const state::EndpointId &id) const
{
    return std::stoull(id.value().substr(std::string("engine-").size()));
}

void PassFleetRun::dispatch(const admission::Dispatch &action)
{
    const std::uint64_t work = workOf(action.id);
    Request &request = this->requests.at(work);
    if (request.over)
        return;
    request.attempt = action.attempt;
    request.engine = this->engineOf(action.engine);
    request.helpers.clear();
    for (const state::EndpointId &helper : action.helpers)
        request.helpers.push_back(this->engineOf(helper));
    request.partsLeft = request.helpers.size() + 1;
    const double parts = double(request.partsLeft);
    request.partTokens = request.tokens / parts;
    request.partSeconds = state::routes::prefillSeconds(this->plan.profile, request.tokens) / parts;
    const double memory = std::max(0.0, double(request.tokens) - request.reserved);
    this->engines[request.engine]->ask(work, request.partTokens, request.partSeconds, memory,
                                       action.priority);
    this->startPass(request.engine);
}

void PassFleetRun::startHelpers(std::uint64_t work)
{
    const Request &request = this->requests.at(work);
    for (const std::size_t helper : request.helpers) {
        this->engines[helper]->help(work, request.partTokens, request.partSeconds);
        this->startPass(helper);
    }
}

// Renewals of a lease that is held change nothing.
void PassFleetRun::reserve(std::size_t entry, const admission::Reserve &action)
{
    Request &request = this->requests.at(workOf(action.id));
    const bool renewed = request.leases.contains(action.lease);
    const bool granted =
            renewed
            || this->engines[this->engineOf(action.engine)]->reserve(action.lease, action.tokens);
    if (granted && request.leases.insert(action.lease).second)
        request.reserved += action.tokens;
    this->at(this->now + hop, [this, entry, asked = action, granted] {
        this->handle(entry,
                     admission::ReservationAnswered{asked.id, asked.engine, asked.lease, granted});
    });
}

void PassFleetRun::startPass(std::size_t engine)
{
    const auto end = this->engines[engine]->begin(this->now);
    if (!end)
        return;
    this->at(*end, [this, engine] {
        this->engines[engine]->end();
        this->startPass(engine);
    });
}

void PassFleetRun::partDone(std::uint64_t work)
{
    Request &request = this->requests.at(work);
    if (request.over || --request.partsLeft > 0)
        return;
    this->engines[request.engine]->decode(work, request.tokens, request.events);
    this->startPass(request.engine);
}

void PassFleetRun::eventSent(std::uint64_t work, bool last)
{
    Request &request = this->requests.at(work);
    if (request.over)
        return;
    const state::RequestId id(std::to_string(work));
    if (request.first)
        request.longestPause = std::max(request.longestPause, this->now - request.lastEvent);
    request.lastEvent = this->now;
    if (!request.first) {
        request.first = this->now;
        this->handle(request.entry, admission::TokensReceived{id, request.attempt, 1});
    }
    if (!last)
        return;
    const PassClass &asked = this->plan.classes[request.kind];
    const bool inTime = *request.first - request.arrival <= asked.firstTarget
                        && request.longestPause <= asked.pause;
    this->end(work, inTime ? &PassTally::inTime : &PassTally::late);
    this->handle(request.entry, admission::RequestFinished{id, request.attempt});
}

// Callers come back when they were told to, if that leaves them two thirds of their time.
void PassFleetRun::refused(const admission::Refuse &action)
{
    constexpr int mostOfTimeLeft = 3;
    constexpr state::Duration callerHop = milliseconds(2);
    const std::uint64_t work = workOf(action.id);
    Request &request = this->requests.at(work);
    if (request.over)
        return;
    const state::Duration left = request.deadline - this->now;
    if (request.returned || action.retryAfter > left / mostOfTimeLeft) {
        PassTally &tally = this->result.classes[request.kind];
        tally.refusedAgain += request.returned ? 1 : 0;
        tally.valueRefusedAgain += request.returned ? this->valueOf(request) : 0;
        this->end(work, &PassTally::refused);
        return;
    }
    request.over = true;
    const std::uint64_t again = ++this->lastWork;
    Request next = request;
    next.returned = true;
    next.over = false;
    next.entry = this->random() % this->plan.entries;
    this->requests[again] = next;
    this->at(this->now + action.retryAfter + callerHop, [this, again] { this->arrive(again); });
}

PassTally &PassFleetRun::tallyOfSecond(const Request &request)
{
    const auto second = std::size_t(
            std::chrono::duration_cast<std::chrono::seconds>(request.arrival.time_since_epoch())
                    .count());
    std::vector<PassTally> &tallies = this->result.seconds[request.kind];
    tallies.resize(std::max(tallies.size(), second + 1));
    return tallies[second];
}

double PassFleetRun::valueOf(const Request &request) const
{
    constexpr double fixedPart = 0.3;
    return fixedPart
           + (1 - fixedPart) * request.tokens / this->plan.classes[request.kind].meanTokens;
}

// Of the time in which its caller would have tried elsewhere: from a moment to three quarters of
// what it had left.
double PassFleetRun::heldShare(const Request &request) const
{
    constexpr double momentShare = 0.125; // of the time to the first event
    constexpr double endShare = 0.75;
    const auto moment = this->plan.classes[request.kind].firstTarget * momentShare;
    const auto whole = (request.deadline - request.asked) * endShare - moment;
    return std::clamp((this->now - request.asked - moment) / whole, 0.0, 1.0);
}

void PassFleetRun::end(std::uint64_t work, std::size_t PassTally::*outcome)
{
    Request &request = this->requests.at(work);
    if (std::exchange(request.over, true))
        return;
    PassTally &tally = this->result.classes[request.kind];
    const double value = this->valueOf(request);
    tally.value += value;
    tally.valueInTime += outcome == &PassTally::inTime ? value : 0;
    tally.valueLate += outcome == &PassTally::late ? value : 0;
    if (outcome == &PassTally::refused || outcome == &PassTally::unfinished)
        tally.valueHeld += value * this->heldShare(request);
    ++(tally.*outcome);
    if (request.largest)
        ++(this->result.largestTenth[request.kind].*outcome);
    const bool firstWasLate =
            request.first
            && *request.first - request.arrival > this->plan.classes[request.kind].firstTarget;
    PassTally &second = this->tallyOfSecond(request);
    ++second.asked;
    ++(second.*outcome);
    second.lateFirst += outcome == &PassTally::late && firstWasLate ? 1 : 0;
    if (!request.first)
        return;
    tally.firstSeconds.push_back(
            std::chrono::duration<double>(*request.first - request.arrival).count());
    tally.longestPauses.push_back(std::chrono::duration<double>(request.longestPause).count());
}

} // namespace lavenderthread::bench
