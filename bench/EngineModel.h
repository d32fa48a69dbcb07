// A stand-in for one model engine, in virtual time: continuous batching in steps, bounded memory,
// priorities, prefix cache, slices, reservations. Nothing of it is a promise of real engines; its
// numbers are ratios between policies on the same stand-in.
#pragma once

#include "coordination/routing/PrefixIndex.h"
#include "state/Endpoint.h"
#include "state/Time.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lavenderthread::bench {

struct EngineShape
{
    double prefillTokensPerSecond = 20'000;
    std::uint64_t memoryTokens = 400'000;
    double decodeStepSeconds = 0.015;     // a step that only decodes
    double sequenceStepSeconds = 0.000'1; // more, for each decoding sequence
    double stepOverheadSeconds = 0.001;
    std::uint32_t stepTokens = 1'024; // prefill tokens of one step
    std::uint32_t blockTokens = 512;
    double kvTransferTokensPerSecond = 500'000;
};

// Time to the first token, and to the last one, of a prompt alone on idle engines without cache.
double aloneFirstTokenSeconds(const EngineShape &shape, std::uint64_t promptTokens);
double aloneSeconds(const EngineShape &shape, std::uint64_t promptTokens,
                    std::uint32_t outputTokens);

// One attempt on an engine; a later slice of the same attempt extends it.
struct EngineWork
{
    std::string id;
    std::string key; // account, for the tally of service
    std::uint32_t attempt = 0;
    std::uint8_t priority = 0;
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    std::uint32_t promptTokens = 0;
    bool final = true;
    std::uint32_t outputTokens = 0; // still to come
    std::uint32_t outputOffset = 0;
    std::uint32_t importTokens = 0;
    std::string lease; // empty: memory is taken from what is free
    std::vector<std::uint64_t> blocks;
};

enum class EngineNews : std::uint8_t { SliceDone, Progress, Finished };

struct EngineReport
{
    EngineNews news = EngineNews::Progress;
    std::string id;
    std::uint32_t attempt = 0;
    std::uint32_t value = 0; // prefilled up to, or next output offset
};

class EngineModel
{
public:
    EngineModel(EngineShape engineShape, state::EndpointDescription announced);

    const state::EndpointDescription &description() const { return this->endpoint; }

    void submit(const EngineWork &work);
    void cancel(const std::string &id, std::uint32_t attempt);
    bool reserve(const std::string &lease, std::uint32_t tokens, state::Instant until,
                 state::Instant now);
    void release(const std::string &lease);

    // Starts the next step; gives its length, or nothing when there is nothing to do.
    std::optional<state::Duration> startStep(state::Instant now);
    std::vector<EngineReport> endStep();
    bool stepping() const { return this->inStep; }

    state::LoadReport load();
    // Events since the last call, with the sequence number of the first one.
    std::pair<std::uint64_t, std::vector<coordination::routing::CacheEvent>> takeCacheEvents();

    std::uint64_t reservedTokens(state::Instant now);
    double busySeconds() const { return this->busy; }
    std::uint64_t prefilledTokens() const { return this->prefilled; }
    const std::map<std::string, double> &service() const { return this->serviceByKey; }

private:
    struct Sequence
    {
        EngineWork work;
        std::uint32_t prefilledTo = 0;
        std::uint32_t produced = 0;
        double importLeft = 0; // seconds
        bool admitted = false;
        bool waitsForSlice = false;
        std::uint32_t stepTokens = 0; // prefill of the running step
        std::uint64_t order = 0;
    };
    struct Lease
    {
        std::uint32_t tokens;
        state::Instant until;
    };

    std::uint64_t pinned() const;
    bool admit(Sequence &sequence);
    void makeRoom(std::uint64_t tokens);
    void store(const std::vector<std::uint64_t> &blocks);
    void dropLeases(state::Instant now);
    void finishStepOf(Sequence &sequence, std::vector<EngineReport> &reports);

    EngineShape shape;
    state::EndpointDescription endpoint;
    std::vector<Sequence> sequences; // by priority, then by arrival
    std::map<std::string, Lease> leases;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
    std::list<std::uint64_t> cacheOrder; // least recently used first
    std::vector<coordination::routing::CacheEvent> cacheEvents;
    std::uint64_t firstCacheEvent = 1;
    std::uint64_t reportSequence = 0;
    std::uint64_t nextOrder = 0;
    std::uint64_t prefilled = 0;
    double busy = 0;
    bool inStep = false;
    std::map<std::string, double> serviceByKey; // tokens prefilled and decoded
};

} // namespace lavenderthread::bench
