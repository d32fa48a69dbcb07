// Packs news into datagrams: as many as fit, each datagram whole by itself.
#include "protocol/PeerNews.h"

#include "protocol/Envelope.h"

namespace lavenderthread::protocol {

namespace {

// Counts up with each change of the news, which are never stored: the version of the envelope is
// that of stored data too, and nodes must read theirs after an upgrade.
constexpr std::string_view peerNewsContext = "peer-news-2";
// Of one cache event in the encoding, and of the rest of a datagram that carries some.
constexpr std::size_t cacheEventBytes = 9;
constexpr std::size_t cacheHeadBytes = 300;

// A batch of cache events in pieces that each fit a datagram.
std::vector<PeerNews> inPieces(const PeerNews &news)
{
    constexpr std::size_t most = (maximumPeerNewsBytes - cacheHeadBytes) / cacheEventBytes;
    const auto *cache = std::get_if<CacheNews>(&news);
    if (cache == nullptr || cache->batch.events.size() <= most)
        return {news};
    std::vector<PeerNews> pieces;
    const auto &events = cache->batch.events;
    for (std::size_t at = 0; at < events.size(); at += most) {
        CacheNews piece{cache->endpoint,
                        {cache->batch.incarnation, cache->batch.firstSequence + at, {}}};
        const std::size_t end = std::min(at + most, events.size());
        piece.batch.events.assign(events.begin() + static_cast<std::ptrdiff_t>(at),
                                  events.begin() + static_cast<std::ptrdiff_t>(end));
        pieces.emplace_back(std::move(piece));
    }
    return pieces;
}

} // namespace

std::vector<std::string> sealPeerNews(const SealKeys &keys, const std::vector<PeerNews> &news)
{
    std::vector<std::string> datagrams;
    std::vector<PeerNews> pending;
    std::size_t pendingBytes = 0;
    const auto flush = [&] {
        if (!pending.empty())
            datagrams.push_back(seal(keys, peerNewsContext, encode(pending)));
        pending.clear();
        pendingBytes = 0;
    };
    for (const PeerNews &whole : news) {
        for (const PeerNews &piece : inPieces(whole)) {
            const std::size_t bytes = encode(piece).size();
            if (pendingBytes + bytes + sealBytes + sizeof(std::uint64_t) > maximumPeerNewsBytes)
                flush();
            pending.push_back(piece);
            pendingBytes += bytes;
        }
    }
    flush();
    return datagrams;
}

state::Result<std::vector<PeerNews>> unsealPeerNews(const SealKeys &keys, std::string_view datagram)
{
    BOOST_OUTCOME_TRY(const std::string bytes, unseal(keys, peerNewsContext, datagram));
    return decode<std::vector<PeerNews>>(bytes);
}

} // namespace lavenderthread::protocol
