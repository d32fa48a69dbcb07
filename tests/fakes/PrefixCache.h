// Prefix cache of the fake engine: prompt blocks in least recently used order, and the numbered
// events that tell the entries of it.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace lavenderthread::fakes {

struct CacheEvent
{
    enum class Kind { Stored, Evicted, Cleared };

    Kind kind = Kind::Stored;
    std::uint64_t block = 0;
};

// Events with consecutive numbers.
struct CacheEventBatch
{
    std::uint64_t firstSequence = 0;
    std::vector<CacheEvent> events;
};

class PrefixCache
{
public:
    // Every `dropEvery`th event is lost, which leaves a gap in the numbers; 0 loses none.
    explicit PrefixCache(std::uint64_t dropEvery)
        : dropEvery(dropEvery)
    {}

    // Length in blocks of the cached head of `blocks`; marks it used.
    std::size_t lookUp(const std::vector<std::uint64_t> &blocks);
    void store(const std::vector<std::uint64_t> &blocks);
    void shrinkTo(std::uint64_t maximumBlocks);
    void clear();
    // Events since the last call, cut where a number is missing.
    std::vector<CacheEventBatch> takeEvents();

private:
    void record(CacheEvent::Kind kind, std::uint64_t block);

    std::uint64_t dropEvery;
    std::uint64_t nextSequence = 1;
    std::list<std::uint64_t> order; // most recently used first; same blocks as `places`
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
    std::vector<CacheEventBatch> pending;
};

} // namespace lavenderthread::fakes
