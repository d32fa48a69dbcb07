// The record that all entries keep of one entry VM, and the order of two records of the same VM.
#pragma once

#include "state/Address.h"
#include "state/Ids.h"

#include <cstdint>
#include <memory>
#include <tuple>

namespace lavenderthread::coordination::membership {

enum class MemberPhase : std::uint8_t {
    Joining, // fetches the state of the others; not listed for callers, owns nothing
    Serving,
    Leaving, // no longer listed for callers; still serves those with an older answer
    Left,
};

// Ordered: of two records with equal incarnation and version, the one with the worse health wins,
// until the member refutes it by a higher version.
enum class MemberHealth : std::uint8_t { Alive, Suspect, Dead };

// Addresses and placement of a member, constant during one incarnation.
struct MemberDescription
{
    state::Address caller;
    state::Address control;
    state::Address gossip;
    state::Address relay;        // takes callers' requests to relay; port 0 if it relays none
    state::VmId controlIdentity; // id of its data folder; empty unless a control member
    state::FailureDomain failureDomain;
    state::Region region;

    bool operator==(const MemberDescription &) const = default;
};

// Immutable. Only the member itself raises incarnation and version; others may only change health
// to a worse one.
struct MemberRecord
{
    state::VmId id;
    std::uint64_t incarnation = 0; // start of the process in wall time, so each start raises it
    std::uint32_t version = 0;     // raised by each change that the member makes to its record
    MemberPhase phase = MemberPhase::Joining;
    MemberHealth health = MemberHealth::Alive;
    bool ready = false; // its table is fresh and it admits work, as the member reports
    // It has paths to endpoints, as the member reports. One without still serves, through others.
    bool reachesEndpoints = true;
    std::shared_ptr<const MemberDescription> description; // null in the short form

    bool isLive() const
    {
        return this->health != MemberHealth::Dead && this->phase != MemberPhase::Left;
    }
    bool supersedes(const MemberRecord &other) const
    {
        return std::tuple(this->incarnation, this->version, this->health)
               > std::tuple(other.incarnation, other.version, other.health);
    }
};

// Changes too often to be spread as news, so it goes into the unused bytes of datagrams, the least
// sent first.
struct MemberStatus
{
    std::uint64_t member = 0;       // memberKey of its id
    std::uint64_t sequence = 0;     // starts at the incarnation, so it grows over restarts too
    std::uint64_t tableVersion = 0; // version of the table that the member admits work by
    std::uint8_t load = 0;          // 0 (idle) to 15 (refuses work)

    bool operator==(const MemberStatus &) const = default;
};

constexpr std::uint8_t maximumLoad = 15;
constexpr std::size_t statusWireBytes = 25;

std::uint64_t memberKey(const state::VmId &id);
// Ignores suspicion, which ends by itself.
std::uint64_t fingerprint(const MemberRecord &record);
std::size_t wireBytes(const MemberRecord &record); // upper bound of the encoded size

} // namespace lavenderthread::coordination::membership
