#include "coordination/routing/EngineView.h"

#include <algorithm>
#include <utility>

namespace lavenderthread::coordination::routing {

namespace {

constexpr double fallbackPrefillRate = 1'000; // tokens per second of an engine that names none
constexpr double fallbackDecodeRate = 20;

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

// Prefilled ahead of what waits there, whatever its priority.
void EngineView::help(const WorkNote &note, std::uint32_t memoryTokens, state::Instant now)
{
    this->advance(now);
    std::erase_if(this->work, [&](const Resident &each) { return each.work == note.work; });
    Resident part;
    part.work = note.work;
    part.prefillLeft = double(note.prefillTokens);
    part.memoryTokens = memoryTokens;
    part.expires = now + note.lifetime;
    part.helping = true;
    this->insert(part);
}

// A helper without reserved memory keeps nothing of the prompt: its part is over with the first
// token.
void EngineView::helpOver(std::uint64_t over, WorkStage stage, state::Instant now)
{
    const auto isPart = [over](const Resident &each) { return each.work == over && each.helping; };
    if (std::ranges::none_of(this->work, isPart))
        return;
    this->advance(now); // may drop it, when its request's deadline has come
    const auto part = std::ranges::find_if(this->work, isPart);
    if (part == this->work.end())
        return;
    if (stage == WorkStage::Ended || part->memoryTokens == 0) {
        this->work.erase(part);
        return;
    }
    part->prefillLeft = 0;
    part->decoding = true;
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
    // A report is late: work that has been done since still stands in it. Without the slack an
    // engine would look busy for work that is over, and entries would avoid the idle ones.
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

// The share of its time that an engine prefills while it also decodes: each pass has both, and
// takes in what waits when it begins, up to so much prefill.
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
    constexpr double leastPrefill =
            0.1;                        // seconds of a pass, so that a trickle does not stand still
    constexpr double mostPrefill = 0.8; // what fits one pass, with the pairs of a long prompt
    const double prefill = std::clamp(this->prefillSecondsLeft(), leastPrefill, mostPrefill);
    const double decode = state::routes::decodePassSeconds(*this->declared, decoding, context);
    return prefill / (prefill + decode);
}

void EngineView::dropExpired(state::Instant now)
{
    // A peer that died sends no end of its work; past the deadline nobody waits for it any more.
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
