#include "coordination/routing/PrefixIndex.h"

#include <xxhash.h>

namespace lavenderthread::coordination::routing {

namespace {

constexpr std::size_t bytesPerToken = 4;

} // namespace

std::vector<std::uint64_t> hashPrefixBlocks(std::string_view prompt, std::uint32_t blockTokens)
{
    const std::size_t blockBytes = blockTokens * bytesPerToken;
    std::vector<std::uint64_t> hashes;
    hashes.reserve(prompt.size() / blockBytes);
    std::uint64_t previous = 0;
    for (std::size_t at = 0; at + blockBytes <= prompt.size(); at += blockBytes) {
        previous = XXH64(prompt.data() + at, blockBytes, previous);
        hashes.push_back(previous);
    }
    return hashes;
}

void PrefixIndex::apply(std::uint64_t eventIncarnation, std::uint64_t firstSequence,
                        std::span<const CacheEvent> events)
{
    if (eventIncarnation < this->incarnation)
        return;
    if (eventIncarnation > this->incarnation) {
        this->clear();
        this->incarnation = eventIncarnation;
        this->nextSequence = firstSequence;
    }
    // Lost events may include evictions. Routing by evicted blocks would send prompts to an engine
    // that has to prefill them in full, so doubtful blocks count less until they are seen again.
    if (firstSequence > this->nextSequence)
        ++this->generation;
    std::uint64_t sequence = firstSequence;
    for (const CacheEvent &event : events) {
        if (sequence++ < this->nextSequence)
            continue;
        switch (event.operation) {
        case CacheOperation::Stored:
            this->store(event.block);
            break;
        case CacheOperation::Evicted:
            this->evict(event.block);
            break;
        case CacheOperation::Cleared:
            this->blocks.clear();
            this->recencyOrder.clear();
            break;
        }
    }
    this->nextSequence = std::max(this->nextSequence, sequence);
}

void PrefixIndex::addExpected(std::span<const std::uint64_t> expected)
{
    for (const std::uint64_t block : expected)
        this->store(block);
}

double PrefixIndex::match(std::span<const std::uint64_t> wanted, double doubtfulTrust) const
{
    double matched = 0;
    for (const std::uint64_t block : wanted) {
        const auto found = this->blocks.find(block);
        if (found == this->blocks.end())
            break;
        matched += found->second.generation == this->generation ? 1 : doubtfulTrust;
    }
    return matched;
}

void PrefixIndex::clear()
{
    this->blocks.clear();
    this->recencyOrder.clear();
    this->nextSequence = 0;
    this->generation = 0;
}

void PrefixIndex::store(std::uint64_t block)
{
    const auto found = this->blocks.find(block);
    if (found != this->blocks.end()) {
        found->second.generation = this->generation;
        this->recencyOrder.splice(this->recencyOrder.end(), this->recencyOrder,
                                  found->second.position);
        return;
    }
    if (this->blocks.size() >= this->capacity)
        this->evict(this->recencyOrder.front());
    this->recencyOrder.push_back(block);
    this->blocks.emplace(block, Entry{this->generation, std::prev(this->recencyOrder.end())});
}

void PrefixIndex::evict(std::uint64_t block)
{
    const auto found = this->blocks.find(block);
    if (found == this->blocks.end())
        return;
    this->recencyOrder.erase(found->second.position);
    this->blocks.erase(found);
}

} // namespace lavenderthread::coordination::routing
