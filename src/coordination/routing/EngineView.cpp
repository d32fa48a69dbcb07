#include "coordination/routing/EngineView.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lavenderthread::coordination::routing {

namespace {

constexpr double fallbackPrefillRate = 1'000; // tokens per second, if none is announced
constexpr double fallbackDecodeRate = 20;     // tokens per second and request

double toSeconds(state::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

EngineView::EngineView(state::EndpointDescription announced, const PolicySettings &policy)
    : endpoint(std::move(announced))
    , prefixIndex(policy.prefixIndexBlocks)
    , reportSlackTokens(0)
    , peersShareWork(policy.shareWork)
    , decodeSlowdownDuringPrefill(policy.prefillSlowsDecode)
{
    this->reportSlackTokens =
            policy.shareWork ? toSeconds(policy.reportSlack) / this->prefillSeconds(1) : 0;
}

void EngineView::applyAnnouncement(state::EndpointDescription announced)
{
    if (announced.incarnation > this->endpoint.incarnation) {
        this->work.clear();
        this->prefixIndex.clear();
        this->reportSequence = 0;
        this->unattributedPrefillTokens = 0;
        this->reportedMemory = 0;
        this->reportedRequests = 0;
        this->sendLimit.reset();
        this->coldLimit.reset();
        this->restsUntil = {};
        this->refusesUntil = {};
    }
    this->endpoint = std::move(announced);
}

void EngineView::limitSends(std::optional<double> perSecond, state::Instant now, std::uint64_t seed)
{
    if (!perSecond)
        this->sendLimit.reset();
    else if (this->sendLimit)
        this->sendLimit->setRate(*perSecond, now);
    else
        this->sendLimit.emplace(*perSecond, now, seed);
}

void EngineView::restUntil(state::Instant until)
{
    this->restsUntil = std::max(this->restsUntil, until);
}

void EngineView::fullUntil(state::Instant until)
{
    this->refusesUntil = std::max(this->refusesUntil, until);
}

void EngineView::limitCold(const std::optional<ColdShare> &share, state::Instant now)
{
    if (!share)
        this->coldLimit.reset();
    else if (this->coldLimit)
        this->coldLimit->setShare(*share, now);
    else
        this->coldLimit.emplace(*share);
}

void EngineView::recordOwnSend(state::Instant now)
{
    if (this->coldLimit)
        this->coldLimit->recordSend(now);
}

bool EngineView::isCold() const
{
    return this->coldLimit && this->coldLimit->isCold(this->advancedTo);
}

std::size_t EngineView::sendsAvailable() const
{
    if (this->advancedTo < this->restsUntil)
        return 0;
    if (this->isCold()) {
        const bool isLimited = this->sendLimit && this->sendLimit->available(this->advancedTo) == 0;
        const bool isHeldBack = this->coldLimit->nextSend(this->advancedTo) > this->advancedTo;
        return isLimited || isHeldBack ? 0 : 1;
    }
    return this->sendLimit ? this->sendLimit->available(this->advancedTo)
                           : std::numeric_limits<std::size_t>::max();
}

state::Instant EngineView::nextSend() const
{
    const state::Instant next =
            this->sendLimit ? this->sendLimit->nextSend(this->advancedTo) : state::Instant{};
    const state::Instant whenCold =
            this->coldLimit ? this->coldLimit->nextSend(this->advancedTo) : state::Instant{};
    return std::max({next, whenCold, this->restsUntil});
}

void EngineView::apply(const WorkNote &note, state::Instant now)
{
    this->advance(now);
    if (note.stage == WorkStage::Dispatched && this->sendLimit)
        this->sendLimit->recordSend(now);
    const auto found = std::ranges::find(this->work, note.requestHash, &ResidentWork::requestHash);
    if (note.stage == WorkStage::Ended) {
        if (found != this->work.end())
            this->work.erase(found);
        return;
    }
    if (note.stage == WorkStage::Decoding) {
        if (found != this->work.end()) {
            found->prefillLeft = 0;
            found->decoding = true;
        }
        return;
    }
    if (found != this->work.end())
        this->work.erase(found);
    this->insert(ResidentWork{note.requestHash, note.priority, double(note.prefillTokens),
                              double(note.outputTokens), note.promptTokens, note.outputTokens,
                              note.memoryTokens, false, now + note.lifetime,
                              std::chrono::duration<double>(note.toleratedPause).count(), false});
    ++this->dispatchedSinceReport;
}

void EngineView::insert(ResidentWork resident)
{
    const auto place =
            std::ranges::upper_bound(this->work, resident.priority, {}, &ResidentWork::priority);
    this->work.insert(place, resident);
}

// The engine prefills helper work before the requests that wait there, whatever the priority.
void EngineView::addHelperWork(const WorkNote &note, std::uint32_t memoryTokens, state::Instant now)
{
    this->advance(now);
    std::erase_if(this->work,
                  [&](const ResidentWork &each) { return each.requestHash == note.requestHash; });
    ResidentWork helperWork;
    helperWork.requestHash = note.requestHash;
    helperWork.prefillLeft = double(note.prefillTokens);
    helperWork.memoryTokens = memoryTokens;
    helperWork.expires = now + note.lifetime;
    helperWork.isHelperWork = true;
    this->insert(helperWork);
}

// A helper without reserved memory keeps nothing of the prompt, so its work is over when the first
// token arrives.
void EngineView::completeHelperWork(std::uint64_t requestHash, WorkStage stage, state::Instant now)
{
    const auto matches = [requestHash](const ResidentWork &each) {
        return each.requestHash == requestHash && each.isHelperWork;
    };
    if (std::ranges::none_of(this->work, matches))
        return;
    this->advance(now); // drops it if the request's deadline has passed
    const auto helperWork = std::ranges::find_if(this->work, matches);
    if (helperWork == this->work.end())
        return;
    if (stage == WorkStage::Ended || helperWork->memoryTokens == 0) {
        this->work.erase(helperWork);
        return;
    }
    helperWork->prefillLeft = 0;
    helperWork->decoding = true;
}

void EngineView::apply(const state::LoadReport &report, state::Instant now)
{
    if (report.incarnation != this->endpoint.incarnation || report.sequence <= this->reportSequence)
        return;
    this->advance(now);
    this->reportSequence = report.sequence;
    this->refusesUntil = {};
    double known = 0;
    for (const ResidentWork &resident : this->work)
        known += resident.prefillLeft;
    // A report arrives late and still counts work that was completed since. Without the slack an
    // idle engine would look busy with completed work, and entries would avoid it.
    this->unattributedPrefillTokens =
            std::max(0.0, double(report.waitingPrefillTokens) - known - this->reportSlackTokens);
    this->reportedMemory = report.kvUsedTokens;
    this->reportedRequests = report.runningRequests + report.waitingRequests;
    this->dispatchedSinceReport = 0;
}

void EngineView::advance(state::Instant now)
{
    if (now <= this->advancedTo)
        return;
    const double elapsed = toSeconds(now - this->advancedTo);
    this->advancedTo = now;
    double budget = elapsed * this->prefillTimeShare() / this->prefillSeconds(1);
    const double offered = budget;
    for (ResidentWork &resident : this->work) {
        const double done = std::min(budget, resident.prefillLeft);
        resident.prefillLeft -= done;
        budget -= done;
    }
    const double unknownDone = std::min(budget, this->unattributedPrefillTokens);
    this->unattributedPrefillTokens -= unknownDone;
    budget -= unknownDone;

    const double prefilling = elapsed * (1 - budget / offered);
    const double step = this->decodeStepSeconds();
    const double decoded =
            prefilling / (step * this->decodeSlowdownDuringPrefill) + (elapsed - prefilling) / step;
    for (ResidentWork &resident : this->work) {
        if (resident.decoding)
            resident.outputLeft = std::max(0.0, resident.outputLeft - decoded);
    }
    this->dropExpired(now);
}

// Under continuous batching each pass decodes and also prefills what waits when the pass begins, up
// to a limit.
double EngineView::prefillTimeShare() const
{
    if (!this->declaredProfile)
        return 1;
    double decoding = 0;
    double context = 0;
    for (const ResidentWork &resident : this->work) {
        if (!resident.decoding)
            continue;
        decoding += 1;
        context += resident.promptTokens;
    }
    if (decoding == 0)
        return 1;
    constexpr double minimumPrefill = 0.1; // seconds per pass, so that little prefill progresses
    constexpr double maximumPrefill = 0.8; // that fit a pass, with a long prompt's attention
    const double prefill = std::clamp(this->prefillSecondsLeft(), minimumPrefill, maximumPrefill);
    const double decode =
            state::routes::decodePassSeconds(*this->declaredProfile, decoding, context);
    return prefill / (prefill + decode);
}

void EngineView::dropExpired(state::Instant now)
{
    // A peer that crashed never sends the end of its work. After the deadline nobody waits for
    // the result.
    std::erase_if(this->work,
                  [now](const ResidentWork &resident) { return resident.expires <= now; });
}

double EngineView::prefillSeconds(double tokens) const
{
    const double rate = this->endpoint.prefillTokensPerSecond;
    return tokens / (rate > 0 ? rate : fallbackPrefillRate);
}

double EngineView::prefillSecondsAhead(std::uint8_t priority) const
{
    double tokens = this->unattributedPrefillTokens;
    for (const ResidentWork &resident : this->work) {
        if (resident.priority > priority)
            break;
        tokens += resident.prefillLeft;
    }
    return this->prefillSeconds(tokens);
}

double EngineView::prefillSecondsLeft() const
{
    double tokens = this->unattributedPrefillTokens;
    for (const ResidentWork &resident : this->work)
        tokens += resident.prefillLeft;
    return this->prefillSeconds(tokens);
}

double EngineView::decodeStepSeconds() const
{
    const double rate = this->endpoint.decodeTokensPerSecond;
    return 1 / (rate > 0 ? rate : fallbackDecodeRate);
}

std::uint64_t EngineView::freeTokens() const
{
    std::uint64_t claimed = 0;
    for (const ResidentWork &resident : this->work)
        claimed += resident.memoryTokens;
    if (!this->peersShareWork)
        claimed = std::max(claimed, this->reportedMemory);
    const std::uint64_t capacity = this->endpoint.kvCapacityTokens;
    return capacity > claimed ? capacity - claimed : 0;
}

std::uint32_t EngineView::outstandingRequests() const
{
    return this->reportedRequests + this->dispatchedSinceReport;
}

} // namespace lavenderthread::coordination::routing
