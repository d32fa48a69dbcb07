// Ordered map whose copies share memory: a copy increments one reference count, an edit copies one
// chunk and the list of chunks. Writers build the next map from the current one and publish it by
// read-copy-update while readers keep the old one.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace lavenderthread::state::table {

// KeyOf is a function object that returns the key of a value by reference.
template <typename Key, typename Value, typename KeyOf>
class PersistentMap
{
public:
    using Item = std::shared_ptr<const Value>;

    PersistentMap() = default;

    // Of several values with the same key the last one is kept.
    static PersistentMap fromValues(std::vector<Value> values)
    {
        std::stable_sort(values.begin(), values.end(), [](const Value &left, const Value &right) {
            return KeyOf()(left) < KeyOf()(right);
        });
        ChunkList list;
        PersistentMap map;
        for (std::size_t index = 0; index < values.size(); ++index) {
            const bool replaced = index + 1 < values.size()
                                  && KeyOf()(values[index]) == KeyOf()(values[index + 1]);
            if (replaced)
                continue;
            if (list.empty() || list.back()->size() >= initialChunkSize)
                list.push_back(std::make_shared<Chunk>());
            list.back()->push_back(std::make_shared<const Value>(std::move(values[index])));
            ++map.count;
        }
        map.chunks = std::make_shared<const ChunkList>(std::move(list));
        return map;
    }

    // Null if absent. The value is valid as long as this map or a copy that still contains it.
    const Value *find(const Key &key) const
    {
        const std::size_t place = this->findChunkIndex(key);
        if (place == this->chunks->size())
            return nullptr;
        const Chunk &chunk = *(*this->chunks)[place];
        const auto found = lowerBound(chunk, key);
        if (found == chunk.end() || KeyOf()(**found) != key)
            return nullptr;
        return found->get();
    }

    PersistentMap with(Value value) const
    {
        const Key &key = KeyOf()(value);
        PersistentMap next(*this);
        ChunkList list(*this->chunks);
        if (list.empty())
            list.push_back(std::make_shared<Chunk>());
        const std::size_t place = std::min(this->findChunkIndex(key), list.size() - 1);
        auto chunk = std::make_shared<Chunk>(*list[place]);
        const auto found = lowerBound(*chunk, key);
        const auto offset = found - chunk->begin();
        const bool replaces = found != chunk->end() && KeyOf()(**found) == key;
        auto item = std::make_shared<const Value>(std::move(value));
        if (replaces) {
            (*chunk)[static_cast<std::size_t>(offset)] = std::move(item);
        } else {
            chunk->insert(chunk->begin() + offset, std::move(item));
            ++next.count;
        }
        list[place] = chunk;
        splitIfLarge(list, place);
        next.chunks = std::make_shared<const ChunkList>(std::move(list));
        return next;
    }

    PersistentMap without(const Key &key) const
    {
        if (this->find(key) == nullptr)
            return *this;
        PersistentMap next(*this);
        ChunkList list(*this->chunks);
        const std::size_t place = this->findChunkIndex(key);
        auto chunk = std::make_shared<Chunk>(*list[place]);
        chunk->erase(lowerBound(*chunk, key));
        if (chunk->empty())
            list.erase(list.begin() + static_cast<std::ptrdiff_t>(place));
        else
            list[place] = std::move(chunk);
        --next.count;
        next.chunks = std::make_shared<const ChunkList>(std::move(list));
        return next;
    }

    std::size_t size() const { return this->count; }
    bool empty() const { return this->count == 0; }

    // In the order of the keys.
    template <typename Visitor>
    void forEach(Visitor visit) const
    {
        for (const auto &chunk : *this->chunks) {
            for (const Item &item : *chunk)
                visit(*item);
        }
    }

    std::vector<Value> values() const
    {
        std::vector<Value> all;
        all.reserve(this->count);
        this->forEach([&](const Value &value) { all.push_back(value); });
        return all;
    }

    friend bool operator==(const PersistentMap &left, const PersistentMap &right)
    {
        return left.chunks == right.chunks
               || (left.count == right.count && left.values() == right.values());
    }

private:
    using Chunk = std::vector<Item>;
    // Chunks are immutable once a map that contains them has been returned.
    using ChunkList = std::vector<std::shared_ptr<Chunk>>;

    static constexpr std::size_t maximumChunkSize = 128;
    static constexpr std::size_t initialChunkSize = 96; // room for inserts before a split

    static typename Chunk::const_iterator lowerBound(const Chunk &chunk, const Key &key)
    {
        return std::lower_bound(
                chunk.begin(), chunk.end(), key,
                [](const Item &item, const Key &wanted) { return KeyOf()(*item) < wanted; });
    }

    // Index of the first chunk whose last key is not below `key`; the number of chunks if none.
    std::size_t findChunkIndex(const Key &key) const
    {
        const auto found = std::lower_bound(this->chunks->begin(), this->chunks->end(), key,
                                            [](const auto &chunk, const Key &wanted) {
                                                return KeyOf()(*chunk->back()) < wanted;
                                            });
        return static_cast<std::size_t>(found - this->chunks->begin());
    }

    static void splitIfLarge(ChunkList &list, std::size_t place)
    {
        Chunk &chunk = *list[place];
        if (chunk.size() <= maximumChunkSize)
            return;
        const auto middle = chunk.begin() + static_cast<std::ptrdiff_t>(chunk.size() / 2);
        auto upper = std::make_shared<Chunk>(middle, chunk.end());
        chunk.erase(middle, chunk.end());
        list.insert(list.begin() + static_cast<std::ptrdiff_t>(place) + 1, std::move(upper));
    }

    // Never null; no chunk in it is empty; keys ascend within and across chunks.
    std::shared_ptr<const ChunkList> chunks = std::make_shared<const ChunkList>();
    std::size_t count = 0; // number of values in all chunks
};

} // namespace lavenderthread::state::table
