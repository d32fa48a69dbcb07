// What all entries know of one entry VM, and which of two records of it is newer.
#pragma once

#include "state/Address.h"
#include "state/Ids.h"

#include <cstdint>
#include <memory>
#include <tuple>

namespace lavenderthread::coordination::membership {

enum class MemberPhase : std::uint8_t {
    Joining, // fetches the state of the others; not named to callers, owns nothing
    Serving,
    Leaving, // no longer named to callers; still serves those that hold an old answer
    Left,
};

// Ordered: of two records with equal incarnation and version the worse health wins, until the
// member itself refutes it by a higher version.
enum class MemberHealth : std::uint8_t { Alive, Suspect, Dead };

// Fixed for one incarnation.
struct MemberDescription
{
    state::Address caller;
    state::Address control;
    state::Address gossip;
    state::Address relay;        // where callers' relayed requests arrive; port 0 if it relays none
    state::VmId controlIdentity; // of its data folder; empty unless it is a control member
    state::FailureDomain failureDomain;
    state::Region region;

    bool operator==(const MemberDescription &) const = default;
};

// Immutable. Only the member itself raises incarnation and version; others may only worsen health.
struct MemberRecord
{
    state::VmId id;
    std::uint64_t incarnation = 0; // grows with each start of the process: its start in wall time
    std::uint32_t version = 0;     // grows with each change that the member makes to its record
    MemberPhase phase = MemberPhase::Joining;
    MemberHealth health = MemberHealth::Alive;
    bool ready = false; // the member says that its table is fresh and that it admits work
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

// Changes too often to be spread as news: it fills what room datagrams have left, newest first.
struct MemberStatus
{
    std::uint64_t member = 0;       // memberKey of its id
    std::uint64_t sequence = 0;     // starts at the incarnation, so it grows over restarts too
    std::uint64_t tableVersion = 0; // of the table that the member admits under
    std::uint8_t load = 0;          // 0 idle to 15 refusing

    bool operator==(const MemberStatus &) const = default;
};

constexpr std::uint8_t maximumLoad = 15;
constexpr std::size_t statusWireBytes = 25;

std::uint64_t memberKey(const state::VmId &id);
std::uint64_t fingerprint(const MemberRecord &record); // suspicion left out: it ends by itself
std::size_t wireBytes(const MemberRecord &record);     // upper bound of the encoded size

} // namespace lavenderthread::coordination::membership
