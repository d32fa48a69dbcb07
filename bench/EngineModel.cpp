#include "EngineModel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavenderthread::bench {

namespace {

constexpr std::uint32_t progressTokens = 16; // output is reported at the first and each of these

} // namespace

double aloneFirstTokenSeconds(const EngineShape &shape, std::uint64_t promptTokens)
{
    const double steps = std::ceil(double(promptTokens) / shape.stepTokens);
    double seconds =
            double(promptTokens) / shape.prefillTokensPerSecond + steps * shape.stepOverheadSeconds;
    // A span over idle engines: equal ranges, each imports what stands before it.
    const std::uint64_t parts = (promptTokens + shape.memoryTokens - 1) / shape.memoryTokens;
    const double range = double(promptTokens) / double(parts);
    for (std::uint64_t part = 1; part < parts; ++part)
        seconds += range * double(part) / shape.kvTransferTokensPerSecond;
    return seconds;
}

double aloneSeconds(const EngineShape &shape, std::uint64_t promptTokens,
                    std::uint32_t outputTokens)
{
    const double step =
            shape.decodeStepSeconds + shape.sequenceStepSeconds + shape.stepOverheadSeconds;
    return aloneFirstTokenSeconds(shape, promptTokens) + (outputTokens - 1) * step;
}

EngineModel::EngineModel(EngineShape engineShape, state::EndpointDescription announced)
    : shape(engineShape)
    , endpoint(std::move(announced))
{}

void EngineModel::submit(const EngineWork &work)
{
    const auto same = [&work](const Sequence &each) { return each.work.id == work.id; };
    const auto found = std::ranges::find_if(this->sequences, same);
    Sequence next;
    if (found != this->sequences.end() && found->work.attempt == work.attempt) {
        next = std::move(*found);
        next.work.priority = work.priority;
        next.work.to = work.to;
        next.work.final = work.final;
        next.work.outputTokens = work.outputTokens;
        next.work.outputOffset = work.outputOffset;
        next.waitsForSlice = false;
    } else {
        next.work = work;
        next.prefilledTo = work.lease.empty() ? 0 : work.from;
        next.importLeft = work.importTokens / this->shape.kvTransferTokensPerSecond;
        next.order = this->nextOrder++;
    }
    if (found != this->sequences.end())
        this->sequences.erase(found);
    const auto after = [](const Sequence &a, const Sequence &b) {
        return std::pair(a.work.priority, a.order) < std::pair(b.work.priority, b.order);
    };
    this->sequences.insert(std::ranges::upper_bound(this->sequences, next, after), next);
}

void EngineModel::cancel(const std::string &id, std::uint32_t attempt)
{
    std::erase_if(this->sequences, [&](const Sequence &each) {
        return each.work.id == id && each.work.attempt == attempt;
    });
}

bool EngineModel::reserve(const std::string &lease, std::uint32_t tokens, state::Instant until,
                          state::Instant now)
{
    this->dropLeases(now);
    const auto found = this->leases.find(lease);
    if (found != this->leases.end()) {
        found->second.until = until;
        return true;
    }
    if (this->pinned() + tokens > this->shape.memoryTokens)
        return false;
    this->leases.emplace(lease, Lease{tokens, until});
    this->makeRoom(0);
    return true;
}

void EngineModel::release(const std::string &lease)
{
    this->leases.erase(lease);
}

std::optional<state::Duration> EngineModel::startStep(state::Instant now)
{
    this->dropLeases(now);
    std::uint32_t budget = this->shape.stepTokens;
    std::uint32_t decoding = 0;
    double importing = 0;
    for (Sequence &sequence : this->sequences) {
        sequence.stepTokens = 0;
        if (sequence.waitsForSlice || (!sequence.admitted && !this->admit(sequence)))
            continue;
        if (sequence.importLeft > 0) {
            importing =
                    importing == 0 ? sequence.importLeft : std::min(importing, sequence.importLeft);
            continue;
        }
        if (sequence.prefilledTo < sequence.work.to) {
            sequence.stepTokens = std::min(budget, sequence.work.to - sequence.prefilledTo);
            budget -= sequence.stepTokens;
        } else if (sequence.work.final) {
            ++decoding;
        }
    }
    const std::uint32_t prefill = this->shape.stepTokens - budget;
    if (prefill == 0 && decoding == 0 && importing == 0)
        return std::nullopt;
    double seconds = prefill / this->shape.prefillTokensPerSecond;
    if (decoding > 0)
        seconds = std::max(seconds, this->shape.decodeStepSeconds);
    if (prefill == 0 && decoding == 0)
        seconds = std::min(importing, this->shape.decodeStepSeconds);
    seconds += this->shape.stepOverheadSeconds + decoding * this->shape.sequenceStepSeconds;
    for (Sequence &sequence : this->sequences)
        sequence.importLeft = std::max(0.0, sequence.importLeft - seconds);
    this->busy += seconds;
    this->prefilled += prefill;
    this->inStep = true;
    return state::Duration(std::llround(seconds * 1e6));
}

std::vector<EngineReport> EngineModel::endStep()
{
    this->inStep = false;
    std::vector<EngineReport> reports;
    for (Sequence &sequence : this->sequences)
        this->finishStepOf(sequence, reports);
    for (const EngineReport &report : reports) {
        if (report.news != EngineNews::Finished)
            continue;
        const auto same = [&report](const Sequence &each) { return each.work.id == report.id; };
        const auto found = std::ranges::find_if(this->sequences, same);
        const std::vector<std::uint64_t> blocks = std::move(found->work.blocks);
        this->sequences.erase(found);
        this->store(blocks);
    }
    return reports;
}

void EngineModel::finishStepOf(Sequence &sequence, std::vector<EngineReport> &reports)
{
    EngineWork &work = sequence.work;
    const auto tell = [&](EngineNews news, std::uint32_t value) {
        reports.push_back({news, work.id, work.attempt, value});
    };
    if (!sequence.admitted || sequence.waitsForSlice || sequence.importLeft > 0)
        return;
    const bool prefilling = sequence.prefilledTo < work.to;
    sequence.prefilledTo += sequence.stepTokens;
    this->serviceByKey[work.key] += sequence.stepTokens;
    if (sequence.prefilledTo < work.to)
        return;
    if (!work.final) {
        sequence.waitsForSlice = true;
        tell(EngineNews::SliceDone, work.to);
        return;
    }
    if (prefilling && sequence.stepTokens == 0)
        return;
    ++sequence.produced;
    this->serviceByKey[work.key] += 1;
    sequence.stepTokens = 0;
    const bool ends = sequence.produced >= work.outputTokens;
    if (ends)
        tell(EngineNews::Finished, work.outputOffset + sequence.produced);
    else if (sequence.produced == 1 || sequence.produced % progressTokens == 0)
        tell(EngineNews::Progress, work.outputOffset + sequence.produced);
}

state::LoadReport EngineModel::load()
{
    state::LoadReport report;
    report.endpoint = this->endpoint.id;
    report.incarnation = this->endpoint.incarnation;
    report.sequence = ++this->reportSequence;
    for (const Sequence &sequence : this->sequences) {
        ++(sequence.admitted ? report.runningRequests : report.waitingRequests);
        report.waitingPrefillTokens +=
                sequence.work.to - std::min(sequence.work.to, sequence.prefilledTo);
    }
    report.kvUsedTokens = this->pinned();
    return report;
}

std::pair<std::uint64_t, std::vector<coordination::routing::CacheEvent>>
EngineModel::takeCacheEvents()
{
    const std::uint64_t first = this->firstCacheEvent;
    this->firstCacheEvent += this->cacheEvents.size();
    return {first, std::exchange(this->cacheEvents, {})};
}

std::uint64_t EngineModel::reservedTokens(state::Instant now)
{
    this->dropLeases(now);
    std::uint64_t sum = 0;
    for (const auto &[lease, held] : this->leases)
        sum += held.tokens;
    return sum;
}

std::uint64_t EngineModel::pinned() const
{
    std::uint64_t sum = 0;
    for (const auto &[lease, held] : this->leases)
        sum += held.tokens;
    for (const Sequence &sequence : this->sequences) {
        if (sequence.admitted && sequence.work.lease.empty())
            sum += sequence.work.promptTokens + sequence.work.outputTokens;
    }
    return sum;
}

bool EngineModel::admit(Sequence &sequence)
{
    const EngineWork &work = sequence.work;
    if (work.lease.empty()) {
        const std::uint64_t needed = std::uint64_t(work.promptTokens) + work.outputTokens;
        if (this->pinned() + needed > this->shape.memoryTokens)
            return false;
        std::uint32_t cached = 0;
        for (const std::uint64_t block : work.blocks) {
            const auto found = this->cache.find(block);
            if (found == this->cache.end())
                break;
            this->cacheOrder.splice(this->cacheOrder.end(), this->cacheOrder, found->second);
            cached += this->shape.blockTokens;
        }
        // The last token is always computed: its output is the first new token.
        sequence.prefilledTo = std::min({cached, work.promptTokens - 1, work.to});
        sequence.admitted = true;
        this->makeRoom(0);
        return true;
    }
    sequence.admitted = this->leases.contains(work.lease);
    return sequence.admitted;
}

void EngineModel::makeRoom(std::uint64_t tokens)
{
    const std::uint64_t used = this->pinned() + tokens;
    const std::uint64_t room =
            used < this->shape.memoryTokens ? this->shape.memoryTokens - used : 0;
    while (!this->cacheOrder.empty() && this->cacheOrder.size() * this->shape.blockTokens > room) {
        const std::uint64_t block = this->cacheOrder.front();
        this->cacheOrder.pop_front();
        this->cache.erase(block);
        this->cacheEvents.push_back({coordination::routing::CacheOperation::Evicted, block});
    }
}

void EngineModel::store(const std::vector<std::uint64_t> &blocks)
{
    for (const std::uint64_t block : blocks) {
        const auto found = this->cache.find(block);
        if (found != this->cache.end()) {
            this->cacheOrder.splice(this->cacheOrder.end(), this->cacheOrder, found->second);
            continue;
        }
        this->cacheOrder.push_back(block);
        this->cache.emplace(block, std::prev(this->cacheOrder.end()));
        this->cacheEvents.push_back({coordination::routing::CacheOperation::Stored, block});
    }
    this->makeRoom(0);
}

void EngineModel::dropLeases(state::Instant now)
{
    std::erase_if(this->leases, [now](const auto &each) { return each.second.until <= now; });
}

} // namespace lavenderthread::bench
