// Rendezvous hashing over the members that may own something: every entry that knows the same
// members names the same owner, and a member that comes or goes moves only its own share.
#pragma once

#include "coordination/membership/MemberTable.h"

#include <map>
#include <string_view>
#include <vector>

namespace lavenderthread::coordination::ownership {

// Replicas whose load an entry follows, about: all of them today, 32 of 1,800 at the planned size
// (docs/design/membership.md). Loads of others are not sent to it.
constexpr std::size_t watchedReplicas = 32;

// A member's hash, made once; combined with a key it gives the member's weight for that key.
struct RankedMember
{
    std::uint64_t hash = 0;
    state::VmId id;

    auto operator<=>(const RankedMember &) const = default;
};

// Immutable. Members that serve and are not dead; suspects stay in, so that a lost probe moves
// nothing. Ownership is a soft role: two entries may disagree for as long as news travels.
class OwnerRing
{
public:
    OwnerRing() = default;
    static OwnerRing of(const membership::MemberTable &members);

    // Prefers members of the endpoint's region, so that a split between regions leaves the owner
    // on its endpoint's side. Empty if there is no member.
    state::VmId endpointOwner(const state::EndpointId &endpoint,
                              const state::FailureDomain &failureDomain) const;
    state::VmId quotaBroker(const state::ClientAccountId &account) const;

    // The entries to which `home` sends the loads of the endpoints announced at it. Members stand
    // on a ring by hash and distances on it are the same for all, so that each entry watches as
    // many homes as every other, and each home has as many watchers.
    std::vector<state::VmId> watchersOf(const state::VmId &home, std::size_t replicas) const;

    bool operator==(const OwnerRing &) const = default;

private:
    std::vector<RankedMember> all; // by hash
    std::map<state::Region, std::vector<RankedMember>> byRegion;
    std::map<state::FailureDomain, state::Region> regionOf;
};

// Weight of a member or endpoint for a key; the highest wins.
std::uint64_t rendezvousWeight(std::uint64_t candidateHash, std::uint64_t keyHash);
std::uint64_t rendezvousHash(std::string_view text);

// The members of `candidates` with the highest weights for `key`, best first.
std::vector<state::VmId> pickMembers(const std::vector<state::VmId> &candidates,
                                     std::string_view key, std::size_t count);

} // namespace lavenderthread::coordination::ownership
