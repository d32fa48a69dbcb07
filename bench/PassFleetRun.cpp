#include "PassFleetRun.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lavenderthread::bench {

namespace admission = coordination::admission;
using std::chrono::milliseconds;

namespace {

constexpr state::Duration hop = std::chrono::microseconds(700);
constexpr double largestShare = 0.1;
constexpr double nextShare = 0.2;

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
    addAll(this->nextFifth, other.nextFifth);
    this->engineTime += other.engineTime;
    this->prefillTime += other.prefillTime;
    this->decodeTime += other.decodeTime;
    this->seconds.resize(std::max(this->seconds.size(), other.seconds.size()));
    for (std::size_t kind = 0; kind < other.seconds.size(); ++kind)
        addAll(this->seconds[kind], other.seconds[kind]);
}

double scoreOf(const PassPlan &plan, const PassResult &result)
{
    constexpr double refusedAgainLoss = 0.3; // who came back as told and was turned away again
    constexpr double wholeWeight = 0.7;
    constexpr double worstClassWeight = 0.15;
    constexpr double worstSecondsWeight = 0.15;
    const auto earned = [](const PassClass &kind, const PassTally &tally) {
        return kind.worth * tally.valueInTime + kind.lateWorth * tally.valueLate;
    };
    double all = 0;
    double sum = 0;
    double losses = 0;
    double worstClass = 1;
    std::vector<std::pair<double, double>> windows; // earned and owed
    for (std::size_t kind = 0; kind < plan.classes.size(); ++kind) {
        const PassClass &asked = plan.classes[kind];
        const PassTally &tally = result.classes[kind];
        if (tally.value <= 0)
            continue;
        all += asked.worth * tally.value;
        sum += earned(asked, tally);
        losses += asked.worth * (refusedAgainLoss * tally.valueRefusedAgain + tally.valueHeld);
        worstClass = std::min(worstClass, earned(asked, tally) / (asked.worth * tally.value));
        windows.resize(std::max(windows.size(), result.seconds[kind].size() / 2 + 1));
        for (std::size_t second = 0; second < result.seconds[kind].size(); ++second) {
            const PassTally &part = result.seconds[kind][second];
            windows[second / 2].first += earned(asked, part);
            windows[second / 2].second += asked.worth * part.value;
        }
    }
    std::vector<double> shares;
    for (const auto &[got, owed] : windows) {
        if (owed > 0)
            shares.push_back(got / owed);
    }
    std::ranges::sort(shares);
    const std::size_t worst = std::min<std::size_t>(shares.size(), 2);
    const double worstShare =
            worst == 0 ? 1
                       : std::accumulate(shares.begin(), shares.begin() + long(worst), 0.0)
                                 / double(worst);
    if (all <= 0)
        return 0;
    return wholeWeight * sum / all + worstClassWeight * worstClass + worstSecondsWeight * worstShare
           - losses / all;
}

PassFleetRun::PassFleetRun(PassPlan chosen)
    : plan(std::move(chosen))
    , random(this->plan.seed)
{
    this->result.classes.resize(this->plan.classes.size());
    this->result.largestTenth.resize(this->plan.classes.size());
    this->result.nextFifth.resize(this->plan.classes.size());
    this->result.seconds.resize(this->plan.classes.size());
    for (std::size_t index = 0; index < this->plan.engines; ++index) {
        PassEngine::Hooks hooks;
        hooks.admitted = [this](std::uint64_t work) { this->startHelpers(work); };
        hooks.partDone = [this](std::uint64_t work) { this->partDone(work); };
        hooks.event = [this](std::uint64_t work, bool last) { this->eventSent(work, last); };
        this->engines.push_back(std::make_unique<PassEngine>(this->plan.profile, hooks));
    }
    this->makeEntries();
}

void PassFleetRun::makeEntries()
{
    this->entries.clear();
    for (std::size_t index = 0; index < this->plan.entries; ++index) {
        admission::DispatcherHooks hooks;
        hooks.fleet.transferTime = [](const state::FailureDomain &) { return hop; };
        this->entries.push_back(std::make_unique<admission::Dispatcher>(
                state::VmId("entry-" + std::to_string(index)), this->plan.policy, hooks, index));
    }
    this->wakeAt.assign(this->plan.entries, state::Instant::max());
}

// All streams end; who may ask once more does so as soon as there is an entry.
void PassFleetRun::restartEntries()
{
    ++this->generation;
    this->readyAt = this->now + this->plan.outage;
    this->makeEntries();
    std::vector<std::uint64_t> cut;
    for (const auto &[work, request] : this->requests) {
        if (!request.over && request.asked != state::Instant{})
            cut.push_back(work);
    }
    for (const std::uint64_t work : cut) {
        for (const auto &engine : this->engines)
            engine->cancel(work);
        for (const std::string &lease : this->requests.at(work).leases)
            for (const auto &engine : this->engines)
                engine->release(lease);
        if (!this->comesBack(work, this->plan.outage))
            this->end(work, &PassTally::unfinished);
    }
    this->announceEngines();
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
        const auto next = std::size_t(double(made.size()) * (largestShare + nextShare));
        for (std::size_t index = 0; index < next; ++index) {
            this->requests[made[index]].largest = index < largest;
            this->requests[made[index]].nextLargest = index >= largest;
        }
    }
}

PassResult PassFleetRun::run()
{
    this->announceEngines();
    this->makeArrivals();
    if (this->plan.restartAt)
        this->at(this->now + *this->plan.restartAt, [this] { this->restartEntries(); });
    while (!this->order.empty()) {
        const auto [time, id] = this->order.top();
        this->order.pop();
        this->now = std::max(this->now, time);
        const auto step = this->steps.extract(id);
        step.mapped()();
    }
    for (const auto &engine : this->engines) {
        this->result.prefillTime += engine->prefillTime();
        this->result.decodeTime += engine->decodeTime();
    }
    state::Duration length{0};
    for (const PassPhase &phase : this->plan.phases)
        length += phase.length;
    this->result.engineTime =
            std::chrono::duration<double>(length).count() * double(this->engines.size());
    return this->result;
}

void PassFleetRun::arrive(std::uint64_t work)
{
    Request &request = this->requests.at(work);
    if (request.over)
        return;
    if (this->now < this->readyAt) {
        this->at(this->readyAt, [this, work] { this->arrive(work); });
        return;
    }
    request.asked = this->now;
    const state::Instant arrival = this->now;
    const state::Instant known = this->readyAt + this->plan.warmUp;
    if (this->readyAt != state::Instant{} && this->now < known)
        this->at(known, [this, work, arrival] { this->ask(work, arrival); });
    else
        this->ask(work, arrival);
}

void PassFleetRun::ask(std::uint64_t work, state::Instant arrival)
{
    Request &request = this->requests.at(work);
    const PassClass &asked = this->plan.classes[request.kind];
    if (!request.returned)
        ++this->result.classes[request.kind].asked;
    if (request.largest && !request.returned)
        ++this->result.largestTenth[request.kind].asked;
    if (request.nextLargest && !request.returned)
        ++this->result.nextFifth[request.kind].asked;
    admission::CompletionRequest wanted;
    wanted.id = state::RequestId(std::to_string(work));
    wanted.account = state::ClientAccountId("account");
    wanted.workClass = state::WorkClass(asked.name);
    wanted.model = state::ModelName("model");
    wanted.promptTokens = request.tokens;
    wanted.maximumOutputTokens = request.events * this->plan.profile.stepsPerPass;
    wanted.arrival = arrival;
    wanted.deadline = request.deadline;
    wanted.firstEventTarget = asked.firstTarget;
    wanted.toleratedPause = asked.pause;
    wanted.attemptLimit = 2;
    wanted.rank = std::uint8_t(request.kind); // counts with ranked_overload only
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
        this->at(this->now + this->plan.noteDelay,
                 [this, entry, note = share->note, sender = this->generation] {
                     if (sender != this->generation)
                         return;
                     std::bernoulli_distribution lost(this->plan.noteLoss);
                     for (std::size_t peer = 0; peer < this->plan.entries; ++peer) {
                         if (peer != entry && !lost(this->losses))
                             this->handle(peer, admission::PeerWorkReceived{note});
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
    this->at(this->now + hop, [this, entry, asked = action, granted, asker = this->generation] {
        if (asker != this->generation)
            return;
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

void PassFleetRun::refused(const admission::Refuse &action)
{
    const std::uint64_t work = workOf(action.id);
    const Request &request = this->requests.at(work);
    if (request.over || this->comesBack(work, action.retryAfter))
        return;
    PassTally &tally = this->result.classes[request.kind];
    tally.refusedAgain += request.returned ? 1 : 0;
    tally.valueRefusedAgain += request.returned ? this->valueOf(request) : 0;
    this->end(work, &PassTally::refused);
}

// Callers come back once, when they were told to, if that leaves them two thirds of their time.
bool PassFleetRun::comesBack(std::uint64_t work, state::Duration after)
{
    constexpr int mostOfTimeLeft = 3;
    constexpr state::Duration callerHop = milliseconds(2);
    Request &request = this->requests.at(work);
    const state::Duration left = request.deadline - this->now;
    if (request.returned || after > left / mostOfTimeLeft)
        return false;
    request.over = true;
    const std::uint64_t again = ++this->lastWork;
    Request next = request;
    next.returned = true;
    next.over = false;
    next.asked = {};
    next.first.reset();
    next.longestPause = {};
    next.leases.clear();
    next.reserved = 0;
    next.entry = this->random() % this->plan.entries;
    this->requests[again] = next;
    this->at(this->now + after + callerHop, [this, again] { this->arrive(again); });
    return true;
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
    constexpr double mostValue = 4;
    const double size = request.tokens / this->plan.classes[request.kind].meanTokens;
    return std::min(fixedPart + (1 - fixedPart) * size, mostValue);
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
    if (request.nextLargest)
        ++(this->result.nextFifth[request.kind].*outcome);
    const bool firstWasLate =
            request.first
            && *request.first - request.arrival > this->plan.classes[request.kind].firstTarget;
    PassTally &second = this->tallyOfSecond(request);
    ++second.asked;
    ++(second.*outcome);
    second.value += value;
    second.valueInTime += outcome == &PassTally::inTime ? value : 0;
    second.valueLate += outcome == &PassTally::late ? value : 0;
    second.lateFirst += outcome == &PassTally::late && firstWasLate ? 1 : 0;
    if (!request.first)
        return;
    tally.firstSeconds.push_back(
            std::chrono::duration<double>(*request.first - request.arrival).count());
    tally.longestPauses.push_back(std::chrono::duration<double>(request.longestPause).count());
}

} // namespace lavenderthread::bench
