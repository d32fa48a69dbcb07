#include "coordination/routing/EngineView.h"

#include <algorithm>
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
    , slowdownBesidePrefill(policy.prefillSlowsDecode)
{
    this->reportSlackTokens =
            policy.shareWork ? toSeconds(policy.reportSlack) / this->prefillSeconds(1) : 0;
}

void EngineView::announce(state::EndpointDescription announced)
{
    if (announced.incarnation > this->endpoint.incarnation) {
        this->work.clear();
        this->prefixIndex.clear();
        this->reportSequence = 0;
        this->unknownPrefill = 0;
        this->reportedMemory = 0;
        this->reportedRequests = 0;
    }
    this->endpoint = std::move(announced);
}

void EngineView::apply(const WorkNote &note, state::Instant now)
{
    this->advance(now);
    const auto found = std::ranges::find(this->work, note.work, &Resident::work);
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
    this->insert(Resident{note.work, note.priority, double(note.prefillTokens),
                          double(note.outputTokens), note.promptTokens, note.outputTokens,
                          note.memoryTokens, false, now + note.lifetime,
                          std::chrono::duration<double>(note.pause).count(), false});
    ++this->dispatchedSinceReport;
}

void EngineView::insert(Resident resident)
{
    const auto place =
            std::ranges::upper_bound(this->work, resident.priority, {}, &Resident::priority);
    this->work.insert(place, resident);
}

// The engine prefills helper work before the requests that wait there, whatever the priority.
void EngineView::help(const WorkNote &note, std::uint32_t memoryTokens, state::Instant now)
{
    this->advance(now);
    std::erase_if(this->work, [&](const Resident &each) { return each.work == note.work; });
    Resident helperWork;
    helperWork.work = note.work;
    helperWork.prefillLeft = double(note.prefillTokens);
    helperWork.memoryTokens = memoryTokens;
    helperWork.expires = now + note.lifetime;
    helperWork.helping = true;
    this->insert(helperWork);
}

// A helper without reserved memory keeps nothing of the prompt, so its work is over when the first
// token arrives.
void EngineView::helpOver(std::uint64_t requestHash, WorkStage stage, state::Instant now)
{
    const auto matches = [requestHash](const Resident &each) {
        return each.work == requestHash && each.helping;
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
    double known = 0;
    for (const Resident &resident : this->work)
        known += resident.prefillLeft;
    // A report arrives late and still counts work that was completed since. Without the slack an
    // idle engine would look busy with completed work, and entries would avoid it.
    this->unknownPrefill =
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
    double budget = elapsed * this->prefillSpeed() / this->prefillSeconds(1);
    const double offered = budget;
    for (Resident &resident : this->work) {
        const double done = std::min(budget, resident.prefillLeft);
        resident.prefillLeft -= done;
        budget -= done;
    }
    const double unknownDone = std::min(budget, this->unknownPrefill);
    this->unknownPrefill -= unknownDone;
    budget -= unknownDone;

    const double prefilling = elapsed * (1 - budget / offered);
    const double step = this->decodeStepSeconds();
    const double decoded =
            prefilling / (step * this->slowdownBesidePrefill) + (elapsed - prefilling) / step;
    for (Resident &resident : this->work) {
        if (resident.decoding)
            resident.outputLeft = std::max(0.0, resident.outputLeft - decoded);
    }
    this->dropExpired(now);
}

// Under continuous batching each pass decodes and also prefills what waits when the pass begins, up
// to a limit.
double EngineView::prefillSpeed() const
{
    if (!this->declared)
        return 1;
    double decoding = 0;
    double context = 0;
    for (const Resident &resident : this->work) {
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
    const double decode = state::routes::decodePassSeconds(*this->declared, decoding, context);
    return prefill / (prefill + decode);
}

void EngineView::dropExpired(state::Instant now)
{
    // A peer that crashed never sends the end of its work. After the deadline nobody waits for
    // the result.
    std::erase_if(this->work, [now](const Resident &resident) { return resident.expires <= now; });
}

double EngineView::prefillSeconds(double tokens) const
{
    const double rate = this->endpoint.prefillTokensPerSecond;
    return tokens / (rate > 0 ? rate : fallbackPrefillRate);
}

double EngineView::secondsAhead(std::uint8_t priority) const
{
    double tokens = this->unknownPrefill;
    for (const Resident &resident : this->work) {
        if (resident.priority > priority)
            break;
        tokens += resident.prefillLeft;
    }
    return this->prefillSeconds(tokens);
}

double EngineView::prefillSecondsLeft() const
{
    double tokens = this->unknownPrefill;
    for (const Resident &resident : this->work)
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
    for (const Resident &resident : this->work)
        claimed += resident.memoryTokens;
    if (!this->peersShareWork)
        claimed = std::max(claimed, this->reportedMemory);
    const std::uint64_t capacity = this->endpoint.kvCapacityTokens;
    return capacity > claimed ? capacity - claimed : 0;
}

std::uint32_t EngineView::outstanding() const
{
    return this->reportedRequests + this->dispatchedSinceReport;
}

} // namespace lavenderthread::coordination::routing
