// Full-state exchange in bounded pieces: hashes of buckets first, then the names held in the
// buckets that differ, then the records themselves. Repairs what news lost, and fills a newcomer.
#pragma once

#include "coordination/endpoints/EndpointTable.h"
#include "coordination/membership/GossipMessage.h"
#include "coordination/membership/MemberTable.h"

#include <random>

namespace lavenderthread::coordination::membership {

// Ended records leave the exchange after this time, long before any member forgets them. Else a
// member that forgot one early would be given it again, and it would circulate for good.
constexpr state::Duration endedExchangedFor = std::chrono::seconds(60);

// Both tables of one member; the exchange covers them alike.
struct ExchangedState
{
    const MemberTable &members;
    const endpoints::EndpointTable &endpointTable;
};

std::vector<std::uint64_t> makeDigest(const ExchangedState &held, state::Instant now);

// Fills the Summary lists of `answer` from the buckets that differ, from a random one on, as far
// as `bytes` reach.
void summarize(const ExchangedState &held, const std::vector<std::uint64_t> &digest,
               std::size_t bytes, std::mt19937_64 &random, state::Instant now,
               GossipMessage &answer);

// What a Summary calls for. A fingerprint does not tell which side is newer, so a record that
// differs goes both ways and the merge decides.
struct SummaryPlan
{
    std::vector<std::uint64_t> pull;
    std::vector<std::uint64_t> push;
};
SummaryPlan planFor(const ExchangedState &held, const GossipMessage &summary, state::Instant now);

// The full records of `keys`, split into lists that fit `bytes` each.
std::vector<GossipMessage> collect(const ExchangedState &held,
                                   const std::vector<std::uint64_t> &keys, std::size_t bytes,
                                   std::size_t maximumMessages);

} // namespace lavenderthread::coordination::membership
