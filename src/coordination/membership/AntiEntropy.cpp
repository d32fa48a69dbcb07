// Digests are computed on demand in one pass over the fingerprints that the tables store.
#include "coordination/membership/AntiEntropy.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace lavenderthread::coordination::membership {

namespace {

bool isExchanged(const MemberEntry &entry, state::Instant now)
{
    return entry.record.isLive() || now - entry.changedAt <= endedRecordExchangeTime;
}

bool isExchanged(const endpoints::EndpointEntry &entry, state::Instant now)
{
    const endpoints::EndpointPhase phase = entry.record.phase;
    const bool ended =
            phase == endpoints::EndpointPhase::Left || phase == endpoints::EndpointPhase::Expired;
    return !ended || entry.record.drain.draining
           || now - entry.changedAt <= endedRecordExchangeTime;
}

template <typename Visit>
void forEachExchanged(const ExchangedState &held, state::Instant now, Visit visit)
{
    for (const auto &[id, entry] : held.members.entries()) {
        if (isExchanged(entry, now))
            visit(entry.key, entry.fingerprint);
    }
    for (const auto &[id, entry] : held.endpointTable.entries()) {
        if (isExchanged(entry, now))
            visit(entry.key, entry.fingerprint);
    }
}

using ItemsByBucket = std::vector<std::vector<SummaryItem>>;

ItemsByBucket itemsByBucket(const ExchangedState &held, state::Instant now)
{
    ItemsByBucket buckets(digestBuckets);
    forEachExchanged(held, now, [&](std::uint64_t key, std::uint64_t recordFingerprint) {
        buckets[key % digestBuckets].push_back(SummaryItem{key, recordFingerprint});
    });
    return buckets;
}

// Appends the record to the last message, or to a new one if the last is full. Skips a record
// larger than `bytes`. Returns false if the record needs one message more than `maximumMessages`.
template <typename Record, typename ListOf>
bool append(std::vector<GossipMessage> &messages, std::size_t &room, const Record &record,
            std::size_t bytes, std::size_t maximumMessages, ListOf listOf)
{
    const std::size_t needed = wireBytes(record);
    if (needed > bytes)
        return true;
    if (needed > room) {
        if (messages.size() >= maximumMessages)
            return false;
        messages.emplace_back().kind = GossipKind::Records;
        room = bytes;
    }
    listOf(messages.back()).push_back(record);
    room -= needed;
    return true;
}

} // namespace

std::vector<std::uint64_t> makeDigest(const ExchangedState &held, state::Instant now)
{
    std::vector<std::uint64_t> digest(digestBuckets, 0);
    forEachExchanged(held, now, [&](std::uint64_t key, std::uint64_t recordFingerprint) {
        digest[key % digestBuckets] ^= recordFingerprint;
    });
    return digest;
}

void summarize(const ExchangedState &held, const std::vector<std::uint64_t> &digest,
               std::size_t bytes, std::mt19937_64 &random, state::Instant now,
               GossipMessage &answer)
{
    answer.kind = GossipKind::Summary;
    const std::vector<std::uint64_t> own = makeDigest(held, now);
    std::vector<std::size_t> differing;
    for (std::size_t bucket = 0; bucket < digestBuckets; ++bucket) {
        if (own[bucket] != digest[bucket])
            differing.push_back(bucket);
    }
    answer.differingBuckets = static_cast<std::uint8_t>(differing.size());
    if (differing.empty())
        return;
    const ItemsByBucket items = itemsByBucket(held, now);
    const std::size_t first = random() % differing.size();
    for (std::size_t step = 0; step < differing.size(); ++step) {
        const std::size_t bucket = differing[(first + step) % differing.size()];
        const std::size_t needed = 1 + items[bucket].size() * sizeof(SummaryItem);
        if (needed > bytes)
            continue;
        bytes -= needed;
        answer.buckets.push_back(static_cast<std::uint8_t>(bucket));
        answer.summary.insert(answer.summary.end(), items[bucket].begin(), items[bucket].end());
    }
}

SummaryPlan planExchange(const ExchangedState &held, const GossipMessage &summary,
                         state::Instant now)
{
    SummaryPlan plan;
    std::unordered_map<std::uint64_t, std::uint64_t> remoteFingerprints;
    for (const SummaryItem &item : summary.summary)
        remoteFingerprints.emplace(item.key, item.fingerprint);
    std::unordered_set<std::size_t> covered(summary.buckets.begin(), summary.buckets.end());
    const ItemsByBucket items = itemsByBucket(held, now);
    for (const std::size_t bucket : covered) {
        if (bucket >= digestBuckets)
            continue;
        for (const SummaryItem &item : items[bucket]) {
            const auto remote = remoteFingerprints.find(item.key);
            if (remote == remoteFingerprints.end() || remote->second != item.fingerprint)
                plan.push.push_back(item.key);
            if (remote != remoteFingerprints.end() && remote->second == item.fingerprint)
                remoteFingerprints.erase(remote);
        }
    }
    for (const auto &[key, recordFingerprint] : remoteFingerprints)
        plan.pull.push_back(key);
    std::sort(plan.pull.begin(), plan.pull.end());
    return plan;
}

std::vector<GossipMessage> collectRecords(const ExchangedState &held,
                                          const std::vector<std::uint64_t> &keys, std::size_t bytes,
                                          std::size_t maximumMessages)
{
    const std::unordered_set<std::uint64_t> wanted(keys.begin(), keys.end());
    std::vector<GossipMessage> messages;
    std::size_t room = 0;
    for (const auto &[id, entry] : held.members.entries()) {
        if (wanted.contains(entry.key)
            && !append(
                    messages, room, entry.record, bytes, maximumMessages,
                    [](GossipMessage & message) -> auto & { return message.members; }))
            return messages;
    }
    for (const auto &[id, entry] : held.endpointTable.entries()) {
        if (wanted.contains(entry.key)
            && !append(
                    messages, room, entry.record, bytes, maximumMessages,
                    [](GossipMessage & message) -> auto & { return message.endpointRecords; }))
            return messages;
    }
    return messages;
}

} // namespace lavenderthread::coordination::membership
