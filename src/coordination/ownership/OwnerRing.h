// Rendezvous hashing over the members that may own endpoints or accounts: entries that know the
// same members compute the same owner, and a member that joins or leaves moves only its own share.
#pragma once

#include "coordination/membership/MemberTable.h"

#include <map>
#include <string_view>
#include <vector>

namespace lavenderthread::coordination::ownership {

// Approximate number of replicas whose load an entry watches: all of them in today's clusters,
// 32 of 1,800 at the planned size (docs/design/membership.md). Loads of others are not sent to it.
constexpr std::size_t watchedReplicas = 32;

// A member and its hash, computed once. The hash and a key's hash give the member's weight for that
// key.
struct RankedMember
{
    std::uint64_t hash = 0;
    state::VmId id;

    auto operator<=>(const RankedMember &) const = default;
};

// The members that serve and are not dead. Suspect members stay in, so that a lost probe moves no
// ownership. Ownership is not exclusive: two entries may disagree about an owner while a
// membership update spreads. Immutable.
class OwnerRing
{
public:
    OwnerRing() = default;
    static OwnerRing fromMembers(const membership::MemberTable &members);

    // Prefers members of the endpoint's region, so that a network partition between regions leaves
    // the owner on the endpoint's side. Empty if there are no members.
    state::VmId endpointOwner(const state::EndpointId &endpoint,
                              const state::FailureDomain &failureDomain) const;
    state::VmId quotaBroker(const state::ClientAccountId &account) const;

    // The entries to which `home` sends the loads of the endpoints announced to it. Members are
    // ordered on a ring by hash and the same distances apply to all, so that every entry
    // watches the same number of homes and every home has the same number of watchers.
    std::vector<state::VmId> watchersOf(const state::VmId &home, std::size_t replicas) const;

    bool operator==(const OwnerRing &) const = default;

private:
    std::vector<RankedMember> rankedMembers; // ordered by hash
    std::map<state::Region, std::vector<RankedMember>> byRegion;
    std::map<state::FailureDomain, state::Region> regionOf;
};

// Weight of a member or endpoint for a key; the candidate with the highest weight is selected.
std::uint64_t rendezvousWeight(std::uint64_t candidateHash, std::uint64_t keyHash);
std::uint64_t rendezvousHash(std::string_view text);

// Returns up to `count` of `candidates` with the highest weights for `key`, highest first.
std::vector<state::VmId> pickMembers(const std::vector<state::VmId> &candidates,
                                     std::string_view key, std::size_t count);

} // namespace lavenderthread::coordination::ownership
