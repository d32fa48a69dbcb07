// The messages that members send each other as datagrams.
#pragma once

#include "coordination/endpoints/EndpointRecord.h"
#include "coordination/membership/Member.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lavenderthread::coordination::membership {

enum class GossipKind : std::uint8_t {
    Ping,        // asks `target` for an Ack with the same sequence
    PingRequest, // asks the receiver to ping `target` for the sender
    Ack,
    News,            // records that most members don't have yet; the receiver spreads them
    Digest,          // starts a full-state exchange: one hash for each bucket of keys
    Summary,         // reply to a Digest: the sender's items in some buckets that differ
    Pull,            // requests the records of `keys`
    Load,            // loads of endpoints announced to the sender, for the entries that watch it
    Records,         // records that most members have; the receiver doesn't spread them
    Deregistrations, // News that the receiver confirms to the sender even if it knew them
    Confirm,         // deregistrations (`keys`) that the sender knows
    Broadcast,       // News that the receiver passes on to the members with keys in a range
    BroadcastAck,    // to the sender of the Broadcast with the same sequence
};

// Key and fingerprint of one record in a Summary.
struct SummaryItem
{
    std::uint64_t key = 0;
    std::uint64_t fingerprint = 0;

    bool operator==(const SummaryItem &) const = default;
};

constexpr std::size_t digestBuckets = 64; // a record's bucket is its key modulo this

// Every kind may carry records and statuses. The other lists are used by the kinds named beside
// them.
struct GossipMessage
{
    GossipKind kind = GossipKind::Ping;
    std::string cluster;
    state::VmId sender;
    std::uint64_t senderIncarnation = 0;
    std::uint32_t sequence = 0;
    state::VmId target;
    std::vector<MemberRecord> members;
    std::vector<endpoints::EndpointRecord> endpointRecords;
    std::vector<MemberStatus> statuses;
    std::vector<std::uint64_t> digest; // Digest: digestBuckets hashes
    std::vector<std::uint8_t> buckets; // Summary: those that `summary` covers completely
    std::uint8_t differingBuckets = 0; // Summary: number of buckets that differ, 0 to digestBuckets
    std::vector<SummaryItem> summary;  // Summary
    // Pull: keys of records; Confirm: deregistrationKey(); Broadcast: first and last memberKey()
    std::vector<std::uint64_t> keys;
    std::vector<state::LoadReport> loads; // Load
};

constexpr std::size_t loadWireBytes = 41; // plus the characters of the endpoint's id

// Upper bound of the encoded size, without the seal.
std::size_t wireBytes(const GossipMessage &message);

} // namespace lavenderthread::coordination::membership
