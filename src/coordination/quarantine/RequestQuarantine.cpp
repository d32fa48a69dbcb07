#include "coordination/quarantine/RequestQuarantine.h"

#include <algorithm>
#include <tuple>

namespace lavenderthread::coordination::quarantine {

using state::Instant;
using state::RequestPart;
using state::ServiceName;

namespace {

constexpr std::size_t maximumBlocks = 16;

// Ages come from other processes and may be anything.
Instant instantOf(std::int64_t ageUs, Instant now)
{
    constexpr state::Duration longestAge = std::chrono::hours(24 * 365);
    return now - state::Duration(std::clamp<std::int64_t>(ageUs, 0, longestAge.count()));
}

std::int64_t ageOf(Instant at, Instant now)
{
    return (now - at).count();
}

bool contains(const std::vector<RequestPart> &parts, const std::vector<RequestPart> &wanted)
{
    return std::ranges::all_of(wanted, [&](RequestPart each) {
        return std::ranges::find(parts, each) != parts.end();
    });
}

} // namespace

bool Block::isOfDigest() const
{
    return std::ranges::any_of(this->parts, &state::isDigest);
}

ReportResult RequestQuarantine::apply(const CrashReport &report, Instant now)
{
    const Instant at = instantOf(report.ageUs, now);
    const CutOffRequest request{report.hasBegun, instantOf(report.sentAgeUs, now)};
    std::vector<RequestPart> suspects = report.parts;
    suspects.resize(std::min(suspects.size(), CrashReport::maximumParts));
    std::ranges::sort(suspects);
    suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
    std::erase_if(suspects, [&](RequestPart part) {
        return this->isCleared({report.service, part}, at);
    });
    if (suspects.empty())
        return ReportResult::Cleared;
    if (now - at >= this->settings.memory)
        return ReportResult::Known;
    this->forgetOld(now);
    const auto known = this->crashes.find(report.crash);
    if (known == this->crashes.end()) {
        this->makeRoom();
        this->crashes[report.crash] = {report.service, at, {{std::move(suspects), request}}};
    } else if (known->second.requests.size() >= this->settings.maximumRequestsOfCrash
               || !add(known->second, std::move(suspects), request)) {
        return ReportResult::Known;
    }
    this->update();
    return ReportResult::New;
}

// Returns whether the crash has changed. What is known of a request comes again with reports that
// were passed on, whose ages don't include the time on their way.
bool RequestQuarantine::add(Crash &crash, std::vector<RequestPart> parts,
                            const CutOffRequest &request)
{
    const auto [known, isNew] = crash.requests.try_emplace(std::move(parts), request);
    const bool isEarlier = known->second.hasBegun && !request.hasBegun;
    if (isEarlier)
        known->second = request;
    return isNew || isEarlier;
}

bool RequestQuarantine::apply(const PartCleared &cleared, Instant now)
{
    const PartKey key{cleared.service, cleared.part};
    const Instant at = instantOf(cleared.ageUs, now);
    const auto known = this->clearedAt.find(key);
    if (known != this->clearedAt.end() && known->second >= at)
        return false;
    if (this->clearedAt.size() >= this->settings.maximumClearedParts)
        this->clearedAt.erase(std::ranges::min_element(
                this->clearedAt, {}, [](const auto &each) { return each.second; }));
    this->clearedAt[key] = at;
    bool wasSuspect = false;
    for (auto &[id, crash] : this->crashes) {
        if (crash.service != cleared.service || crash.at > at)
            continue;
        Crash left{crash.service, crash.at, {}};
        for (const auto &[before, request] : crash.requests) {
            std::vector<RequestPart> parts = before;
            wasSuspect = std::erase(parts, cleared.part) > 0 || wasSuspect;
            if (!parts.empty())
                add(left, std::move(parts), request);
        }
        crash = std::move(left);
    }
    std::erase_if(this->crashes, [](const auto &each) { return each.second.requests.empty(); });
    if (wasSuspect)
        this->update();
    return wasSuspect;
}

bool RequestQuarantine::apply(const TrialStarted &trial, Instant now)
{
    bool isNew = false;
    for (const RequestPart part : trial.parts) {
        Trials &known = this->trials[{trial.service, part}];
        if (trial.count <= known.count)
            continue;
        known = {trial.count, instantOf(trial.ageUs, now)};
        isNew = true;
    }
    return isNew;
}

std::vector<PartCleared> RequestQuarantine::answerSurvived(const ServiceName &service,
                                                           const std::vector<RequestPart> &parts,
                                                           Instant now)
{
    std::vector<PartCleared> cleared;
    for (const RequestPart part : parts) {
        const PartCleared news{service, part, 0};
        if (this->suspects(service, {part}) && this->apply(news, now))
            cleared.push_back(news);
    }
    return cleared;
}

bool RequestQuarantine::suspects(const ServiceName &service,
                                 const std::vector<RequestPart> &parts) const
{
    return std::ranges::any_of(parts, [&](RequestPart part) {
        return this->suspectParts.contains({part, service});
    });
}

std::vector<PartCleared> RequestQuarantine::recentlyCleared(Instant now) const
{
    std::vector<PartCleared> cleared;
    for (const auto &[key, at] : this->clearedAt) {
        if (now - at < this->settings.clearedToldFor)
            cleared.push_back({key.first, key.second, ageOf(at, now)});
    }
    std::ranges::sort(cleared, {}, &PartCleared::ageUs);
    cleared.resize(std::min(cleared.size(), this->settings.maximumClearedTold));
    return cleared;
}

SendDecision RequestQuarantine::decide(const ServiceName &service,
                                       const std::vector<RequestPart> &parts, Instant now) const
{
    const Block *block = this->blockOf(service, parts);
    if (block == nullptr)
        return this->decideBySameBody(service, parts, now);
    if (now - block->lastCrashAt() >= this->settings.memory)
        return {};
    const Trials done = this->trialsOf(*block);
    Instant next = block->lastCrashAt() + this->settings.memory;
    if (done.count < this->settings.maximumTrials)
        next = std::max(block->lastCrashAt(), done.lastAt) + this->trialDelay(*block, done.count);
    if (next <= now)
        return {SendVerdict::SendAsTrial, *block, {}};
    return {SendVerdict::Refuse, *block, next - now};
}

SendDecision RequestQuarantine::decideBySameBody(const ServiceName &service,
                                                 const std::vector<RequestPart> &parts,
                                                 Instant now) const
{
    const auto body = std::ranges::find_if(parts, &state::isBody);
    if (body == parts.end())
        return {};
    const auto blocked = std::ranges::find_if(this->blockList, [&](const Block &block) {
        return block.service == service && contains(block.parts, {*body});
    });
    if (blocked == this->blockList.end() || now - blocked->lastCrashAt() >= this->settings.memory)
        return {};
    Block ofBody = *blocked;
    ofBody.parts = {*body};
    const Trials done = this->trialsOf(ofBody);
    const Instant next = done.lastAt + this->settings.sameBodyInterval;
    if (done.count == 0 || next <= now)
        return {SendVerdict::SendAsTrial, std::move(ofBody), {}};
    return {SendVerdict::Refuse, std::move(ofBody), next - now};
}

state::Duration RequestQuarantine::trialDelay(const Block &block, std::uint32_t trialsDone) const
{
    if (trialsDone == 0 && block.isOfDigest())
        return this->settings.firstTrialOfDigestAfter;
    state::Duration delay = this->settings.firstTrialAfter;
    for (std::uint32_t trial = 0; trial < trialsDone; ++trial)
        delay *= this->settings.trialDelayFactor;
    return delay;
}

TrialStarted RequestQuarantine::startTrial(const Block &block, Instant now)
{
    TrialStarted trial{block.service, block.parts, this->trialsOf(block).count + 1, 0};
    this->apply(trial, now);
    return trial;
}

bool RequestQuarantine::mayRepeat(const ServiceName &service,
                                  const std::vector<RequestPart> &parts) const
{
    if (this->blockOf(service, parts) != nullptr)
        return false;
    const CrashesOfParts all = this->crashesOfParts(service, {});
    return std::ranges::none_of(parts, [&](RequestPart part) {
        const auto found = all.find(part);
        return found != all.end()
               && this->countIndependent(found->second) >= this->settings.crashesUntilNoRepeat;
    });
}

std::vector<CrashReport> RequestQuarantine::reportsOfBlocks(Instant now) const
{
    std::vector<CrashReport> reports;
    for (const Block &block : this->blockList) {
        const std::size_t count =
                std::min(block.crashes.size(), this->settings.maximumReportsOfBlock);
        for (std::size_t index = block.crashes.size() - count; index < block.crashes.size();
             ++index) {
            const CrashOfPart &crash = block.crashes[index];
            reports.push_back({block.service, crash.id, block.parts, crash.hasBegun,
                               ageOf(crash.at, now), ageOf(crash.sentAt, now)});
        }
    }
    return reports;
}

std::vector<TrialStarted> RequestQuarantine::trialsOfBlocks(Instant now) const
{
    std::vector<TrialStarted> started;
    for (const Block &block : this->blockList) {
        const Trials done = this->trialsOf(block);
        if (done.count > 0)
            started.push_back({block.service, block.parts, done.count, ageOf(done.lastAt, now)});
    }
    return started;
}

void RequestQuarantine::forgetOld(Instant now)
{
    const auto erased = std::erase_if(this->crashes, [&](const auto &each) {
        return now - each.second.at >= this->settings.memory;
    });
    if (erased > 0)
        this->update();
}

void RequestQuarantine::makeRoom()
{
    if (this->crashes.size() < this->settings.maximumCrashes)
        return;
    const auto order = [this](const auto &each) {
        return std::pair(this->backsBlock(each.first), each.second.at);
    };
    this->crashes.erase(std::ranges::min_element(this->crashes, {}, order));
}

void RequestQuarantine::update()
{
    this->blockList.clear();
    this->suspectParts.clear();
    std::set<ServiceName> services;
    for (const auto &[id, crash] : this->crashes) {
        services.insert(crash.service);
        for (const auto &[parts, request] : crash.requests) {
            for (const RequestPart part : parts)
                this->suspectParts.insert({part, crash.service});
        }
    }
    for (const ServiceName &service : services)
        this->findBlocks(service);
    std::erase_if(this->trials, [this](const auto &each) {
        return std::ranges::none_of(this->blockList, [&](const Block &block) {
            return block.service == each.first.first && block.parts.front() == each.first.second;
        });
    });
}

// The part with the most crashes explains these; the others are judged by the crashes that are
// left, so that parts which requests share with the crashing one are not blocked with it.
void RequestQuarantine::findBlocks(const ServiceName &service)
{
    std::set<CrashId> explained;
    while (this->blockList.size() < maximumBlocks) {
        const CrashesOfParts left = this->crashesOfParts(service, explained);
        const auto weight = [this](const auto &each) {
            return std::tuple(this->countIndependent(each.second), each.second.size(), each.first);
        };
        auto worst = left.end();
        for (auto each = left.begin(); each != left.end(); ++each) {
            if (this->isConclusive(each->first, each->second)
                && (worst == left.end() || weight(*worst) < weight(*each)))
                worst = each;
        }
        if (worst == left.end())
            return;
        Block block;
        block.service = service;
        for (const auto &[part, crashesOfPart] : left) {
            if (std::ranges::equal(crashesOfPart, worst->second, {}, &CrashView::crash,
                                   &CrashView::crash))
                block.parts.push_back(part);
        }
        std::ranges::sort(block.parts);
        for (const CrashView &each : worst->second) {
            block.crashes.push_back(
                    {each.at(), each.id(), each.sentAt, hasBegunAll(each.crash->second)});
            explained.insert(each.id());
        }
        this->blockList.push_back(std::move(block));
    }
}

bool RequestQuarantine::isConclusive(RequestPart part, const std::vector<CrashView> &crashes) const
{
    const std::uint32_t count = this->countIndependent(crashes);
    if (count >= this->settings.crashesUntilBlocked)
        return true;
    return state::isWholeRequest(part) && count >= this->settings.crashesUntilRequestBlocked
           && !haveOtherRequestsInCommon(part, crashes);
}

// Whether requests without that part explain the crashes as well: some other part is in one of them
// at each crash.
bool RequestQuarantine::haveOtherRequestsInCommon(RequestPart part,
                                                  const std::vector<CrashView> &crashes)
{
    std::map<RequestPart, std::size_t> crashesOfOthers;
    for (const CrashView &view : crashes) {
        std::set<RequestPart> others;
        for (const auto &[parts, request] : view.crash->second.requests) {
            if (!std::ranges::binary_search(parts, part))
                others.insert(parts.begin(), parts.end());
        }
        for (const RequestPart other : others)
            ++crashesOfOthers[other];
    }
    return std::ranges::any_of(crashesOfOthers,
                               [&](const auto &each) { return each.second == crashes.size(); });
}

RequestQuarantine::CrashesOfParts
RequestQuarantine::crashesOfParts(const ServiceName &service,
                                  const std::set<CrashId> &explained) const
{
    std::vector<const std::pair<const CrashId, Crash> *> inOrder;
    for (const auto &each : this->crashes) {
        if (each.second.service == service && !explained.contains(each.first))
            inOrder.push_back(&each);
    }
    std::ranges::stable_sort(inOrder, {}, [](const auto *each) { return each->second.at; });
    CrashesOfParts found;
    for (const auto *each : inOrder) {
        // An engine crashes when it begins to answer a prompt: if it had not begun some answers,
        // the prompt is among these.
        const bool allBegun = hasBegunAll(each->second);
        for (const auto &[parts, request] : each->second.requests) {
            if (request.hasBegun && !allBegun)
                continue;
            for (const RequestPart part : parts) {
                std::vector<CrashView> &crashesOfPart = found[part];
                if (crashesOfPart.empty() || crashesOfPart.back().crash != each)
                    crashesOfPart.push_back({each, request.sentAt});
                CrashView &last = crashesOfPart.back();
                last.sentAt = std::max(last.sentAt, request.sentAt);
            }
        }
    }
    return found;
}

bool RequestQuarantine::hasBegunAll(const Crash &crash)
{
    return std::ranges::all_of(crash.requests,
                               [](const auto &each) { return each.second.hasBegun; });
}

std::uint32_t RequestQuarantine::countIndependent(const std::vector<CrashView> &crashes) const
{
    std::uint32_t count = 0;
    Instant last;
    for (const CrashView &crash : crashes) {
        const bool sameCause =
                crash.at() - last < this->settings.sameMoment && crash.sentAt <= last;
        if (count > 0 && sameCause)
            continue;
        ++count;
        last = crash.at();
    }
    return count;
}

bool RequestQuarantine::isCleared(const PartKey &part, Instant crashAt) const
{
    const auto known = this->clearedAt.find(part);
    return known != this->clearedAt.end() && known->second >= crashAt;
}

bool RequestQuarantine::backsBlock(const CrashId &crash) const
{
    return std::ranges::any_of(this->blockList, [&](const Block &block) {
        return std::ranges::find(block.crashes, crash, &CrashOfPart::id) != block.crashes.end();
    });
}

const Block *RequestQuarantine::blockOf(const ServiceName &service,
                                        const std::vector<RequestPart> &parts) const
{
    const auto found = std::ranges::find_if(this->blockList, [&](const Block &block) {
        return block.service == service && contains(parts, block.parts);
    });
    return found == this->blockList.end() ? nullptr : &*found;
}

RequestQuarantine::Trials RequestQuarantine::trialsOf(const Block &block) const
{
    Trials most;
    for (const RequestPart part : block.parts) {
        const auto known = this->trials.find({block.service, part});
        if (known != this->trials.end() && known->second.count > most.count)
            most = known->second;
    }
    return most;
}

} // namespace lavenderthread::coordination::quarantine
