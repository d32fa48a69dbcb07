// The messages that members exchange by datagram.
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
    News,            // records that are news to most; the receiver spreads them on
    Digest,          // opens a full-state exchange: one hash for each bucket of keys
    Summary,         // answers a Digest: what the sender holds in some buckets that differ
    Pull,            // asks for the records of `keys`
    Load,            // loads of endpoints announced at the sender, to the entries that watch it
    Records,         // records that most know already; the receiver doesn't spread them
    Deregistrations, // news that the receiver confirms to the sender, known or not
    Confirm,         // tells which deregistrations (`keys`) the sender knows of
};

// One record that a Summary mentions.
struct SummaryItem
{
    std::uint64_t key = 0;
    std::uint64_t fingerprint = 0;

    bool operator==(const SummaryItem &) const = default;
};

constexpr std::size_t digestBuckets = 64; // a record's bucket is its key modulo this

// Every kind may carry records and statuses; the other lists belong to the kind that names them.
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
    std::vector<std::uint64_t> digest;    // Digest: digestBuckets hashes
    std::vector<std::uint8_t> buckets;    // Summary: those that `summary` covers whole
    std::uint8_t differingBuckets = 0;    // Summary: of how many; 0 when all agree
    std::vector<SummaryItem> summary;     // Summary
    std::vector<std::uint64_t> keys;      // Pull: of records; Confirm: deregistrationKey()
    std::vector<state::LoadReport> loads; // Load
};

constexpr std::size_t loadWireBytes = 41; // and the characters of the endpoint's id

// Upper bound of the encoded size without seal.
std::size_t wireBytes(const GossipMessage &message);

} // namespace lavenderthread::coordination::membership
