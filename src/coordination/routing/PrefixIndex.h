// Estimate of an engine's prefix cache, from cache events that may be late or lost.
#pragma once

#include <compare>
#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lavenderthread::coordination::routing {

// Returns chained hashes of the prompt's full blocks: each hash also covers the blocks before it,
// so that equal hashes mean equal prefixes. The endpoint contract requires XXH64 and counts four
// bytes as one token.
std::vector<std::uint64_t> hashPrefixBlocks(std::string_view prompt, std::uint32_t blockTokens);

enum class CacheOperation : std::uint8_t { Stored, Evicted, Cleared };

struct CacheEvent
{
    CacheOperation operation = CacheOperation::Stored;
    std::uint64_t block = 0;

    auto operator<=>(const CacheEvent &) const = default;
};

// Holds the hashes of the blocks that an engine is believed to cache. When the capacity is
// exceeded, the least recently used block is removed.
class PrefixIndex
{
public:
    explicit PrefixIndex(std::uint32_t capacityBlocks)
        : capacity(capacityBlocks)
    {}

    // Applies events of one incarnation, numbered consecutively from firstSequence. Repeated events
    // are skipped. After a gap every known block is doubtful until it is stored or used again.
    void apply(std::uint64_t incarnation, std::uint64_t firstSequence,
               std::span<const CacheEvent> events);

    // Adds the blocks of a prompt that was just dispatched to the engine, which will cache them.
    void addExpected(std::span<const std::uint64_t> blocks);

    // Returns the number of leading blocks that the engine holds. A doubtful block counts as
    // doubtfulTrust.
    double match(std::span<const std::uint64_t> blocks, double doubtfulTrust) const;

    std::size_t size() const { return this->blocks.size(); }
    void clear();

private:
    struct Entry
    {
        std::uint64_t generation;
        std::list<std::uint64_t>::iterator position;
    };

    void store(std::uint64_t block);
    void evict(std::uint64_t block);

    std::size_t capacity;
    std::uint64_t incarnation = 0;
    std::uint64_t nextSequence = 0; // 0: no event of this incarnation yet
    std::uint64_t generation = 0;   // incremented by each gap; entries of older ones are doubtful
    std::unordered_map<std::uint64_t, Entry> blocks; // at most `capacity`
    std::list<std::uint64_t> recencyOrder; // least recently used first; same keys as `blocks`
};

} // namespace lavenderthread::coordination::routing
