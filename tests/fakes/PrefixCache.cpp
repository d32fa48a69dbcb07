// Order and events of the cached blocks.
#include "fakes/PrefixCache.h"

#include <utility>

namespace lavenderthread::fakes {

namespace {
constexpr std::size_t maximumBatchEvents = 500;
}

std::size_t PrefixCache::lookUp(const std::vector<std::uint64_t> &blocks)
{
    std::size_t found = 0;
    while (found < blocks.size() && this->places.contains(blocks[found]))
        ++found;
    for (std::size_t index = found; index > 0; --index) {
        const auto place = this->places.at(blocks[index - 1]);
        this->order.splice(this->order.begin(), this->order, place);
    }
    return found;
}

void PrefixCache::store(const std::vector<std::uint64_t> &blocks)
{
    for (const std::uint64_t block : blocks) {
        if (!this->places.contains(block))
            this->record(CacheEvent::Kind::Stored, block);
    }
    // From the last to the first: the head of a prompt must outlive its tail, which is worth
    // nothing without it.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        const auto place = this->places.find(*block);
        if (place != this->places.end())
            this->order.erase(place->second);
        this->order.push_front(*block);
        this->places[*block] = this->order.begin();
    }
}

void PrefixCache::shrinkTo(std::uint64_t maximumBlocks)
{
    while (this->order.size() > maximumBlocks) {
        const std::uint64_t block = this->order.back();
        this->order.pop_back();
        this->places.erase(block);
        this->record(CacheEvent::Kind::Evicted, block);
    }
}

void PrefixCache::clear()
{
    this->order.clear();
    this->places.clear();
    this->record(CacheEvent::Kind::Cleared, 0);
}

std::vector<CacheEventBatch> PrefixCache::takeEvents()
{
    return std::exchange(this->pending, {});
}

void PrefixCache::record(CacheEvent::Kind kind, std::uint64_t block)
{
    const std::uint64_t sequence = this->nextSequence++;
    if (this->dropEvery != 0 && sequence % this->dropEvery == 0)
        return;
    const bool follows =
            !this->pending.empty()
            && this->pending.back().firstSequence + this->pending.back().events.size() == sequence
            && this->pending.back().events.size() < maximumBatchEvents;
    if (!follows)
        this->pending.push_back({sequence, {}});
    this->pending.back().events.push_back({kind, block});
}

} // namespace lavenderthread::fakes
