// Weights and picks of rendezvous hashing.
#include "coordination/ownership/OwnerRing.h"

#include <xxhash.h>

#include <algorithm>

namespace lavenderthread::coordination::ownership {

namespace {

// Two uses of one name must not go to the same member by construction.
constexpr std::uint64_t endpointUse = 0x65;
constexpr std::uint64_t accountUse = 0x61;

state::VmId highest(const std::vector<RankedMember> &members, std::uint64_t keyHash)
{
    const RankedMember *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const RankedMember &member : members) {
        const std::uint64_t weight = rendezvousWeight(member.hash, keyHash);
        if (best == nullptr || std::tie(weight, member.id) > std::tie(bestWeight, best->id)) {
            best = &member;
            bestWeight = weight;
        }
    }
    return best == nullptr ? state::VmId() : best->id;
}

template <typename Id>
std::vector<Id> topByWeight(const std::vector<Id> &candidates, std::string_view key,
                            std::size_t count)
{
    const std::uint64_t keyHash = rendezvousHash(key);
    std::vector<std::pair<std::uint64_t, Id>> weighed;
    weighed.reserve(candidates.size());
    for (const Id &candidate : candidates)
        weighed.emplace_back(rendezvousWeight(rendezvousHash(candidate.value()), keyHash),
                             candidate);
    const std::size_t taken = std::min(count, weighed.size());
    std::partial_sort(weighed.begin(), weighed.begin() + static_cast<std::ptrdiff_t>(taken),
                      weighed.end(), std::greater<>());
    std::vector<Id> picked;
    picked.reserve(taken);
    for (std::size_t index = 0; index < taken; ++index)
        picked.push_back(weighed[index].second);
    return picked;
}

} // namespace

OwnerRing OwnerRing::of(const membership::MemberTable &members)
{
    OwnerRing ring;
    for (const auto &[id, entry] : members.entries()) {
        const membership::MemberRecord &record = entry.record;
        ring.regionOf[record.description->failureDomain] = record.description->region;
        if (!record.isLive() || record.phase != membership::MemberPhase::Serving)
            continue;
        const RankedMember ranked{rendezvousHash(id.value()), id};
        ring.all.push_back(ranked);
        ring.byRegion[record.description->region].push_back(ranked);
    }
    return ring;
}

state::VmId OwnerRing::endpointOwner(const state::EndpointId &endpoint,
                                     const state::FailureDomain &failureDomain) const
{
    const std::uint64_t key = rendezvousHash(endpoint.value()) ^ endpointUse;
    const auto region = this->regionOf.find(failureDomain);
    if (region != this->regionOf.end()) {
        const auto members = this->byRegion.find(region->second);
        if (members != this->byRegion.end())
            return highest(members->second, key);
    }
    return highest(this->all, key);
}

state::VmId OwnerRing::quotaBroker(const state::ClientAccountId &account) const
{
    return highest(this->all, rendezvousHash(account.value()) ^ accountUse);
}

std::uint64_t rendezvousWeight(std::uint64_t candidateHash, std::uint64_t keyHash)
{
    // Finalizer of SplitMix64: every bit of both hashes decides every bit of the weight.
    std::uint64_t mixed = candidateHash ^ (keyHash * 0x9e3779b97f4a7c15ULL);
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

std::uint64_t rendezvousHash(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

std::vector<state::VmId> pickMembers(const std::vector<state::VmId> &candidates,
                                     std::string_view key, std::size_t count)
{
    return topByWeight(candidates, key, count);
}

std::vector<state::EndpointId> watchedBy(const state::VmId &self,
                                         const std::vector<state::EndpointId> &replicas,
                                         std::size_t count)
{
    return topByWeight(replicas, self.value(), count);
}

} // namespace lavenderthread::coordination::ownership
