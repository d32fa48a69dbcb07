// Rendezvous hashing over the members that may own something: every entry that knows the same
// members names the same owner, and a member that comes or goes moves only its own share.
#pragma once

#include "coordination/membership/MemberTable.h"

#include <map>
#include <string_view>
#include <vector>

namespace lavenderthread::coordination::ownership {

// Replicas of one service whose load an entry follows. With 370 entries and 450 replicas of a
// model each replica is watched by 20 entries on average (docs/design/membership.md).
constexpr std::size_t watchedReplicas = 24;

// A member's hash, made once; combined with a key it gives the member's weight for that key.
struct RankedMember
{
    std::uint64_t hash = 0;
    state::VmId id;

    bool operator==(const RankedMember &) const = default;
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

    bool operator==(const OwnerRing &) const = default;

private:
    std::vector<RankedMember> all;
    std::map<state::Region, std::vector<RankedMember>> byRegion;
    std::map<state::FailureDomain, state::Region> regionOf;
};

// Weight of a member or endpoint for a key; the highest wins.
std::uint64_t rendezvousWeight(std::uint64_t candidateHash, std::uint64_t keyHash);
std::uint64_t rendezvousHash(std::string_view text);

// The members of `candidates` with the highest weights for `key`, best first.
std::vector<state::VmId> pickMembers(const std::vector<state::VmId> &candidates,
                                     std::string_view key, std::size_t count);

// The subset of one service's replicas that entry `self` watches; all if there are no more.
std::vector<state::EndpointId> watchedBy(const state::VmId &self,
                                         const std::vector<state::EndpointId> &replicas,
                                         std::size_t count = watchedReplicas);

} // namespace lavenderthread::coordination::ownership
