// Packs as many updates into each datagram as fit; every datagram can be decoded on its own.
#include "protocol/PeerUpdate.h"

#include "protocol/Envelope.h"

namespace lavenderthread::protocol {

namespace {

// The number is incremented with each change to the format of the updates, which are never stored.
// The envelope's version can't serve for this: it also applies to stored data, which nodes must be
// able to read after an upgrade.
constexpr std::string_view peerNewsContext = "peer-news-5";
// Encoded size of one cache event, and of the rest of a datagram that carries cache events.
constexpr std::size_t cacheEventBytes = 9;
constexpr std::size_t cacheOverheadBytes = 300;

// Splits a batch of cache events into updates that each fit a datagram.
std::vector<PeerUpdate> splitIntoDatagrams(const PeerUpdate &update)
{
    constexpr std::size_t maxEvents =
            (maximumPeerUpdateBytes - cacheOverheadBytes) / cacheEventBytes;
    const auto *cache = std::get_if<CacheUpdate>(&update);
    if (cache == nullptr || cache->batch.events.size() <= maxEvents)
        return {update};
    std::vector<PeerUpdate> pieces;
    const auto &events = cache->batch.events;
    for (std::size_t at = 0; at < events.size(); at += maxEvents) {
        CacheUpdate piece{cache->endpoint,
                          {cache->batch.incarnation, cache->batch.firstSequence + at, {}}};
        const std::size_t end = std::min(at + maxEvents, events.size());
        piece.batch.events.assign(events.begin() + static_cast<std::ptrdiff_t>(at),
                                  events.begin() + static_cast<std::ptrdiff_t>(end));
        pieces.emplace_back(std::move(piece));
    }
    return pieces;
}

} // namespace

std::vector<std::string> sealPeerUpdates(const SealKeys &keys,
                                         const std::vector<PeerUpdate> &updates)
{
    std::vector<std::string> datagrams;
    std::vector<PeerUpdate> pending;
    std::size_t pendingBytes = 0;
    const auto flush = [&] {
        if (!pending.empty())
            datagrams.push_back(seal(keys, peerNewsContext, encode(pending)));
        pending.clear();
        pendingBytes = 0;
    };
    for (const PeerUpdate &whole : updates) {
        for (const PeerUpdate &piece : splitIntoDatagrams(whole)) {
            const std::size_t bytes = encode(piece).size();
            if (pendingBytes + bytes + sealBytes + sizeof(std::uint64_t) > maximumPeerUpdateBytes)
                flush();
            pending.push_back(piece);
            pendingBytes += bytes;
        }
    }
    flush();
    return datagrams;
}

state::Result<std::vector<PeerUpdate>> unsealPeerUpdates(const SealKeys &keys,
                                                         std::string_view datagram)
{
    BOOST_OUTCOME_TRY(const std::string bytes, unseal(keys, peerNewsContext, datagram));
    return decode<std::vector<PeerUpdate>>(bytes);
}

} // namespace lavenderthread::protocol
