// Rendezvous hashing: weights and selection of members.
#include "coordination/ownership/OwnerRing.h"

#include <xxhash.h>

#include <algorithm>

namespace lavenderthread::coordination::ownership {

namespace {

// Mixed into the key hash, so that an endpoint and an account of the same name are not always
// assigned to the same member.
constexpr std::uint64_t endpointSalt = 0x65;
constexpr std::uint64_t accountSalt = 0x61;

state::VmId highestWeighted(const std::vector<RankedMember> &members, std::uint64_t keyHash)
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

} // namespace

OwnerRing OwnerRing::fromMembers(const membership::MemberTable &members)
{
    OwnerRing ring;
    for (const auto &[id, entry] : members.entries()) {
        const membership::MemberRecord &record = entry.record;
        ring.regionOf[record.description->failureDomain] = record.description->region;
        if (!record.isLive() || record.phase != membership::MemberPhase::Serving)
            continue;
        const RankedMember ranked{rendezvousHash(id.value()), id};
        ring.rankedMembers.push_back(ranked);
        ring.byRegion[record.description->region].push_back(ranked);
    }
    std::sort(ring.rankedMembers.begin(), ring.rankedMembers.end());
    return ring;
}

state::VmId OwnerRing::endpointOwner(const state::EndpointId &endpoint,
                                     const state::FailureDomain &failureDomain) const
{
    const std::uint64_t key = rendezvousHash(endpoint.value()) ^ endpointSalt;
    const auto region = this->regionOf.find(failureDomain);
    if (region != this->regionOf.end()) {
        const auto members = this->byRegion.find(region->second);
        if (members != this->byRegion.end())
            return highestWeighted(members->second, key);
    }
    return highestWeighted(this->rankedMembers, key);
}

state::VmId OwnerRing::quotaBroker(const state::ClientAccountId &account) const
{
    return highestWeighted(this->rankedMembers, rendezvousHash(account.value()) ^ accountSalt);
}

std::vector<state::VmId> OwnerRing::watchersOf(const state::VmId &home, std::size_t replicas) const
{
    const std::size_t members = this->rankedMembers.size();
    if (members < 2 || replicas == 0)
        return {};
    const RankedMember own{rendezvousHash(home.value()), home};
    const auto lower =
            std::lower_bound(this->rankedMembers.begin(), this->rankedMembers.end(), own);
    const auto position = static_cast<std::size_t>(lower - this->rankedMembers.begin());
    const std::size_t desired = (watchedReplicas * members + replicas - 1) / replicas;
    const std::size_t count = std::min(std::max<std::size_t>(desired, 1), members - 1);
    // Powers of two come first: if all watchers were direct neighbours, adjacent entries on the
    // ring would all send their work to the same few replicas.
    std::vector<std::size_t> distances;
    for (std::size_t distance = 1; distance < members; distance *= 2)
        distances.push_back(distance);
    for (std::size_t distance = 3; distance < members; ++distance) {
        if ((distance & (distance - 1)) != 0)
            distances.push_back(distance);
    }
    std::vector<state::VmId> watchers;
    for (std::size_t index = 0; index < count; ++index)
        watchers.push_back(this->rankedMembers[(position + distances[index]) % members].id);
    return watchers;
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
    const std::uint64_t keyHash = rendezvousHash(key);
    std::vector<std::pair<std::uint64_t, state::VmId>> weighted;
    weighted.reserve(candidates.size());
    for (const state::VmId &candidate : candidates)
        weighted.emplace_back(rendezvousWeight(rendezvousHash(candidate.value()), keyHash),
                              candidate);
    const std::size_t pickCount = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(pickCount),
                      weighted.end(), std::greater<>());
    std::vector<state::VmId> picked;
    picked.reserve(pickCount);
    for (std::size_t index = 0; index < pickCount; ++index)
        picked.push_back(weighted[index].second);
    return picked;
}

} // namespace lavenderthread::coordination::ownership
