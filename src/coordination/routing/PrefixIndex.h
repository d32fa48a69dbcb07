// What one engine holds in its prefix cache, as far as its late and gappy events tell.
#pragma once

#include <compare>
#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lavenderthread::coordination::routing {

// Hashes of the prompt's full blocks; each covers all that stands before it, so that equal hashes
// mean equal prefixes. Four bytes count as one token, as in the endpoint contract;
// XXH64, as it asks for.
std::vector<std::uint64_t> chainPrefixBlocks(std::string_view prompt, std::uint32_t blockTokens);

enum class CacheOperation : std::uint8_t { Stored, Evicted, Cleared };

struct CacheEvent
{
    CacheOperation operation = CacheOperation::Stored;
    std::uint64_t block = 0;

    auto operator<=>(const CacheEvent &) const = default;
};

class PrefixIndex
{
public:
    explicit PrefixIndex(std::uint32_t capacityBlocks)
        : capacity(capacityBlocks)
    {}

    // Events of one incarnation, numbered from firstSequence on. Repeats are skipped. After a gap
    // every block known so far is doubtful until it is stored or used again.
    void apply(std::uint64_t incarnation, std::uint64_t firstSequence,
               std::span<const CacheEvent> events);

    // The engine has just been given a prompt with these blocks and will hold them.
    void expect(std::span<const std::uint64_t> blocks);

    // Leading blocks that the engine holds; a doubtful one counts doubtfulTrust.
    double match(std::span<const std::uint64_t> blocks, double doubtfulTrust) const;

    std::size_t size() const { return this->blocks.size(); }
    void clear();

private:
    struct Entry
    {
        std::uint64_t generation;
        std::list<std::uint64_t>::iterator place;
    };

    void store(std::uint64_t block);
    void evict(std::uint64_t block);

    std::size_t capacity;
    std::uint64_t incarnation = 0;
    std::uint64_t nextSequence = 0; // 0: no event seen of this incarnation
    std::uint64_t generation = 0;   // grows with each gap; entries of older ones are doubtful
    std::unordered_map<std::uint64_t, Entry> blocks; // at most `capacity`
    std::list<std::uint64_t> order;                  // oldest first; the same keys as `blocks`
};

} // namespace lavenderthread::coordination::routing
