// The fake engine without its wire: continuous batching over given rates, priorities, memory and a
// prefix cache, in time that the caller passes in. Streams run on whether or not anyone reads them.
#pragma once

#include "fakes/ExpectedAnswer.h"
#include "fakes/Leases.h"
#include "fakes/PrefixCache.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lavenderthread::fakes {

struct EngineSettings
{
    std::uint64_t kvCapacityTokens = 200'000;
    double prefillTokensPerSecond = 20'000;
    double decodeTokensPerSecond = 50; // of each sequence
    std::uint32_t batch = 16;          // sequences at once
    std::uint64_t dropCacheEventEvery = 0;
};

// A part [from, to) of a prompt, in tokens: this engine holds and prefills only that part.
struct Span
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
};

struct StreamRequest
{
    std::string id;
    std::string prompt;
    std::uint64_t maxTokens = 16;
    std::uint64_t resumeFrom = 0;
    std::uint8_t priority = 5; // 0 goes first, 9 last
    std::optional<state::Duration> deadline = std::nullopt;
    std::optional<Span> span = std::nullopt; // the whole prompt if absent
};

// What a reader of a stream sees from its offset on.
struct StreamPart
{
    std::vector<std::string> tokens;
    bool done = false; // nothing follows
    bool cut = false;  // cancelled or past its deadline: nothing follows, and it is not whole
};

struct EngineLoad
{
    std::uint32_t runningRequests = 0;
    std::uint32_t waitingRequests = 0;
    std::uint64_t waitingPrefillTokens = 0;
    std::uint64_t kvUsedTokens = 0;
};

// Not thread-safe. Every call first plays the time up to `now`, which must not fall.
class Engine
{
public:
    enum class Admission { Accepted, Exists, Full };

    explicit Engine(EngineSettings settings)
        : settings(settings)
        , cache(settings.dropCacheEventEvery)
    {}

    void advance(state::Instant now);
    Admission start(const StreamRequest &request, state::Instant now);
    // Nothing if the stream is unknown, or was forgotten since it ended.
    std::optional<StreamPart> read(const std::string &id, std::uint64_t from, state::Instant now);
    bool cancel(const std::string &id, state::Instant now);
    bool knows(const std::string &id) const { return this->streams.contains(id); }

    // False if it does not fit. The same name again renews.
    bool reserve(const std::string &lease, std::uint64_t tokens, state::Duration ttl,
                 state::Instant now);
    // Pins a range that a stream computed here, or one that was fetched; false if it does not fit.
    // It draws on the reservation of the same name, if there is one.
    bool pin(const std::string &lease, std::uint64_t tokens, std::optional<state::Duration> ttl,
             state::Instant now);
    bool freeLease(const std::string &lease, LeaseKind kind, state::Instant now);

    EngineLoad load() const;
    std::vector<std::pair<std::string, std::uint64_t>> runningStreams() const;
    const Leases &heldLeases() const { return this->leases; }
    std::vector<CacheEventBatch> takeCacheEvents() { return this->cache.takeEvents(); }

private:
    enum class Phase { Waiting, Running, Finished, Cut };

    struct Stream
    {
        StreamRequest request;
        ExpectedAnswer answer;
        std::vector<std::uint64_t> blocks;
        std::uint64_t arrival = 0;
        std::uint64_t memoryTokens = 0; // held while running
        std::uint64_t outputTokens = 0; // offset at which it is finished
        double prefillLeft = 0;
        double produced = 0; // offset reached; starts at resumeFrom
        Phase phase = Phase::Waiting;
        std::optional<state::Instant> deadline;
        state::Instant ended{}; // when it finished or was cut
    };

    std::uint64_t usedTokens() const;
    void step(state::Instant now, state::Duration length);
    void endOverdue(state::Instant now);
    void admitWaiting();
    // Share of the step that prefill took, 0 to 1.
    double prefill(state::Duration length);
    void decode(state::Instant now, state::Duration length, double prefillShare);
    std::vector<Stream *> byPriority(Phase phase);

    EngineSettings settings;
    PrefixCache cache;
    Leases leases;
    std::map<std::string, Stream> streams; // running, waiting, and for a while the ended ones
    std::uint64_t nextArrival = 0;
    state::Instant clock{};
};

} // namespace lavenderthread::fakes
