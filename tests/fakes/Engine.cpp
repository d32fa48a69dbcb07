// Batching, memory and pacing of the fake engine.
#include "fakes/Engine.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace lavenderthread::fakes {

using state::Duration;
using state::Instant;

namespace {

constexpr Duration stepLength = std::chrono::milliseconds(2);
constexpr Duration endedStreamsKept = std::chrono::seconds(30);
constexpr std::uint32_t waitingPerBatchSlot = 4; // more than that waiting: full
// Decoding slows to this share while a step is filled with prefill.
constexpr double decodeShareBesidePrefill = 0.5;

double inSeconds(Duration length)
{
    return std::chrono::duration<double>(length).count();
}

// The blocks that lie whole within the span.
std::vector<std::uint64_t> blocksOf(const std::string &prompt, Span span)
{
    std::vector<std::uint64_t> blocks = blockHashes(prompt);
    const auto last = std::min<std::uint64_t>(span.to / blockTokens, blocks.size());
    const auto first = std::min((span.from + blockTokens - 1) / blockTokens, last);
    return {blocks.begin() + static_cast<std::ptrdiff_t>(first),
            blocks.begin() + static_cast<std::ptrdiff_t>(last)};
}

} // namespace

void Engine::advance(Instant now)
{
    while (this->clock < now) {
        const bool idle =
                std::none_of(this->streams.begin(), this->streams.end(), [](const auto &entry) {
                    return entry.second.phase == Phase::Running
                           || entry.second.phase == Phase::Waiting;
                });
        const Duration length = idle ? now - this->clock : std::min(stepLength, now - this->clock);
        this->clock += length;
        this->step(this->clock, length);
    }
}

Engine::Admission Engine::start(const StreamRequest &request, Instant now)
{
    this->advance(now);
    if (this->streams.contains(request.id))
        return Admission::Exists;
    const std::uint64_t promptTokens = countTokens(request.prompt);
    const Span span = request.span.value_or(Span{0, promptTokens});
    const bool decodes = span.to >= promptTokens;

    Stream stream{request, ExpectedAnswer(request.prompt), blocksOf(request.prompt, span)};
    stream.request.prompt.clear();
    stream.arrival = this->nextArrival++;
    stream.outputTokens = decodes ? request.maxTokens : request.resumeFrom;
    stream.memoryTokens = span.to - span.from + (decodes ? request.maxTokens : 0);
    stream.produced = static_cast<double>(request.resumeFrom);
    stream.prefillLeft = static_cast<double>(span.to - span.from + request.resumeFrom);
    if (request.deadline)
        stream.deadline = now + *request.deadline;
    const bool crowded = this->byPriority(Phase::Waiting).size()
                         >= static_cast<std::size_t>(this->settings.batch) * waitingPerBatchSlot;
    if (crowded || stream.memoryTokens > this->settings.kvCapacityTokens)
        return Admission::Full;
    this->streams.emplace(request.id, std::move(stream));
    this->admitWaiting();
    return Admission::Accepted;
}

std::optional<StreamPart> Engine::read(const std::string &id, std::uint64_t from, Instant now)
{
    this->advance(now);
    const auto found = this->streams.find(id);
    if (found == this->streams.end())
        return std::nullopt;
    const Stream &stream = found->second;
    StreamPart part;
    const auto reached = static_cast<std::uint64_t>(stream.produced);
    for (std::uint64_t offset = from; offset < reached; ++offset)
        part.tokens.push_back(stream.answer.token(offset));
    part.done = stream.phase == Phase::Finished;
    part.cut = stream.phase == Phase::Cut;
    return part;
}

bool Engine::cancel(const std::string &id, Instant now)
{
    this->advance(now);
    const auto found = this->streams.find(id);
    if (found == this->streams.end())
        return false;
    if (found->second.phase != Phase::Finished)
        found->second.phase = Phase::Cut;
    found->second.ended = now;
    return true;
}

bool Engine::reserve(const std::string &lease, std::uint64_t tokens, Duration ttl, Instant now)
{
    this->advance(now);
    const std::uint64_t others = this->usedTokens() - this->leases.reservedTokens(lease);
    if (others + tokens > this->settings.kvCapacityTokens)
        return false;
    this->leases.put(lease, {LeaseKind::Reservation, tokens, now + ttl});
    return true;
}

bool Engine::pin(const std::string &lease, std::uint64_t tokens, std::optional<Duration> ttl,
                 Instant now)
{
    this->advance(now);
    const std::uint64_t others = this->usedTokens() - this->leases.reservedTokens(lease);
    if (others + tokens > this->settings.kvCapacityTokens)
        return false;
    std::optional<Instant> expiry;
    if (ttl)
        expiry = now + *ttl;
    this->leases.put(lease, {LeaseKind::Export, tokens, expiry});
    return true;
}

bool Engine::freeLease(const std::string &lease, LeaseKind kind, Instant now)
{
    this->advance(now);
    return this->leases.free(lease, kind);
}

EngineLoad Engine::load() const
{
    EngineLoad load;
    for (const auto &[id, stream] : this->streams) {
        load.runningRequests += stream.phase == Phase::Running ? 1 : 0;
        load.waitingRequests += stream.phase == Phase::Waiting ? 1 : 0;
        if (stream.phase == Phase::Running || stream.phase == Phase::Waiting)
            load.waitingPrefillTokens += static_cast<std::uint64_t>(stream.prefillLeft);
    }
    load.kvUsedTokens = this->usedTokens();
    return load;
}

std::vector<std::pair<std::string, std::uint64_t>> Engine::runningStreams() const
{
    std::vector<std::pair<std::string, std::uint64_t>> running;
    for (const auto &[id, stream] : this->streams) {
        if (stream.phase == Phase::Running)
            running.emplace_back(id, stream.memoryTokens);
    }
    return running;
}

std::uint64_t Engine::usedTokens() const
{
    std::uint64_t used = this->leases.heldTokens();
    for (const auto &[id, stream] : this->streams)
        used += stream.phase == Phase::Running ? stream.memoryTokens : 0;
    return used;
}

void Engine::step(Instant now, Duration length)
{
    this->leases.expire(now);
    this->endOverdue(now);
    this->admitWaiting();
    const double prefillShare = this->prefill(length);
    this->decode(now, length, prefillShare);
}

void Engine::endOverdue(Instant now)
{
    for (auto &[id, stream] : this->streams) {
        const bool active = stream.phase == Phase::Running || stream.phase == Phase::Waiting;
        if (active && stream.deadline && *stream.deadline <= now) {
            stream.phase = Phase::Cut;
            stream.ended = now;
        }
    }
    std::erase_if(this->streams, [&](const auto &entry) {
        const Stream &stream = entry.second;
        return (stream.phase == Phase::Finished || stream.phase == Phase::Cut)
               && stream.ended + endedStreamsKept <= now;
    });
}

void Engine::admitWaiting()
{
    std::size_t running = this->byPriority(Phase::Running).size();
    for (Stream *stream : this->byPriority(Phase::Waiting)) {
        const std::uint64_t reserved = this->leases.reservedTokens(stream->request.id);
        const std::uint64_t others = this->usedTokens() - reserved;
        if (running >= this->settings.batch
            || others + stream->memoryTokens > this->settings.kvCapacityTokens)
            return;
        this->leases.free(stream->request.id, LeaseKind::Reservation);
        const std::size_t cached = this->cache.lookUp(stream->blocks);
        stream->prefillLeft -= static_cast<double>(cached * blockTokens);
        stream->prefillLeft = std::max(stream->prefillLeft, 1.0); // the last token is computed
        stream->phase = Phase::Running;
        ++running;
    }
}

double Engine::prefill(Duration length)
{
    const double budget = this->settings.prefillTokensPerSecond * inSeconds(length);
    double left = budget;
    for (Stream *stream : this->byPriority(Phase::Running)) {
        if (left <= 0)
            break;
        if (stream->prefillLeft <= 0)
            continue;
        const double taken = std::min(left, stream->prefillLeft);
        stream->prefillLeft -= taken;
        left -= taken;
        if (stream->prefillLeft > 0)
            continue;
        this->cache.store(stream->blocks);
        const std::uint64_t room =
                this->settings.kvCapacityTokens
                - std::min(this->settings.kvCapacityTokens, this->leases.heldTokens());
        this->cache.shrinkTo(room / blockTokens);
    }
    return budget > 0 ? (budget - left) / budget : 0;
}

void Engine::decode(Instant now, Duration length, double prefillShare)
{
    const double slowdown = 1 - (1 - decodeShareBesidePrefill) * prefillShare;
    const double made = this->settings.decodeTokensPerSecond * inSeconds(length) * slowdown;
    for (auto &[id, stream] : this->streams) {
        if (stream.phase != Phase::Running || stream.prefillLeft > 0)
            continue;
        const auto total = static_cast<double>(stream.outputTokens);
        // The end of prefill gives the first token at once.
        const double first = static_cast<double>(stream.request.resumeFrom) + 1;
        stream.produced = stream.produced < first ? first : stream.produced + made;
        if (stream.produced < total)
            continue;
        stream.produced = total;
        stream.phase = Phase::Finished;
        stream.ended = now;
    }
}

std::vector<Engine::Stream *> Engine::byPriority(Phase phase)
{
    std::vector<Stream *> chosen;
    for (auto &[id, stream] : this->streams) {
        if (stream.phase == phase)
            chosen.push_back(&stream);
    }
    std::sort(chosen.begin(), chosen.end(), [](const Stream *left, const Stream *right) {
        return std::tie(left->request.priority, left->arrival)
               < std::tie(right->request.priority, right->arrival);
    });
    return chosen;
}

} // namespace lavenderthread::fakes
