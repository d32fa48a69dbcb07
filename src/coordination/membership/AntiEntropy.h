// Anti-entropy: a full-state exchange in bounded messages. Members compare hashes of buckets, then
// the keys in the buckets that differ, then send the records. It repairs missed news and gives a
// joining member the whole state.
#pragma once

#include "coordination/endpoints/EndpointTable.h"
#include "coordination/membership/GossipMessage.h"
#include "coordination/membership/MemberTable.h"

#include <random>

namespace lavenderthread::coordination::membership {

// Records of dead or left members and of left or expired endpoints take part in the exchange for
// this long, much less than any member keeps them. Otherwise a member that forgot such a record
// would receive it again, and it would circulate forever. Endpoints with a drain in force are
// excepted.
constexpr state::Duration endedRecordExchangeTime = std::chrono::seconds(60);

// The two tables of one member that the exchange covers.
struct ExchangedState
{
    const MemberTable &members;
    const endpoints::EndpointTable &endpointTable;
};

// Returns digestBuckets hashes, one for each bucket.
std::vector<std::uint64_t> makeDigest(const ExchangedState &held, state::Instant now);

// Fills the Summary lists of `answer` with the buckets that differ from `digest` and fit into
// `bytes`, starting at a random one.
void summarize(const ExchangedState &held, const std::vector<std::uint64_t> &digest,
               std::size_t bytes, std::mt19937_64 &random, state::Instant now,
               GossipMessage &answer);

// Keys of the records to request and to send after a Summary. A fingerprint does not tell which
// side is newer, so a record that differs is in both lists, and the merge decides.
struct SummaryPlan
{
    std::vector<std::uint64_t> pull;
    std::vector<std::uint64_t> push;
};
SummaryPlan planExchange(const ExchangedState &held, const GossipMessage &summary,
                         state::Instant now);

// Returns the full records of `keys` in at most `maximumMessages` messages, each with at most
// `bytes` of records. A record larger than `bytes` is left out.
std::vector<GossipMessage> collectRecords(const ExchangedState &held,
                                          const std::vector<std::uint64_t> &keys, std::size_t bytes,
                                          std::size_t maximumMessages);

} // namespace lavenderthread::coordination::membership
