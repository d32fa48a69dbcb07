// Selects the entries of a client account and orders them for one caller.
#include "coordination/directory/Directory.h"

#include "coordination/ownership/OwnerRing.h"

#include <algorithm>
#include <cmath>

namespace lavenderthread::coordination::directory {

namespace {

using membership::MemberEntry;

constexpr std::uint32_t wholeShareMilli = 1'000;
// Costs in steps of a member's reported load. Another failure domain adds only half a millisecond,
// so it costs little; another region costs as much as a loaded entry nearby.
constexpr unsigned otherDomainCost = 1;
constexpr unsigned otherRegionCost = 8;

bool isEligible(const MemberEntry &entry, std::uint64_t requiredTableVersion)
{
    return entry.record.isLive() && entry.record.phase == membership::MemberPhase::Serving
           && entry.record.ready && entry.status.tableVersion >= requiredTableVersion;
}

// Replaces the last pick if all picks share one failure domain, since a failure of that domain
// would take all of the caller's entries at once.
void spreadOverDomains(std::vector<const MemberEntry *> &picked,
                       const std::vector<const MemberEntry *> &ranked)
{
    if (picked.size() < 2)
        return;
    const auto domainOf = [](const MemberEntry *entry) {
        return entry->record.description->failureDomain;
    };
    const auto isElsewhere = [&](const MemberEntry *entry) {
        return domainOf(entry) != domainOf(picked.front());
    };
    if (std::any_of(picked.begin(), picked.end(), isElsewhere))
        return;
    const auto other = std::find_if(ranked.begin(), ranked.end(), isElsewhere);
    if (other != ranked.end())
        picked.back() = *other;
}

struct CallerLocation
{
    state::FailureDomain failureDomain;
    state::Region region; // empty if the failure domain is not known
};

CallerLocation locationOf(const state::FailureDomain &failureDomain,
                          const membership::MemberTable &members)
{
    for (const auto &[id, entry] : members.entries()) {
        if (entry.record.description->failureDomain == failureDomain)
            return {failureDomain, entry.record.description->region};
    }
    return {failureDomain, {}};
}

unsigned costOf(const MemberEntry &entry, const CallerLocation &location)
{
    unsigned cost = entry.status.load;
    const membership::MemberDescription &description = *entry.record.description;
    if (!location.region.empty() && description.region != location.region)
        cost += otherRegionCost;
    else if (!location.failureDomain.empty() && description.failureDomain != location.failureDomain)
        cost += otherDomainCost;
    return cost;
}

} // namespace

state::Result<Directory> Directory::create(const DirectorySettings &settings)
{
    if (settings.timeToLive <= state::Duration::zero() || settings.minimumEntries == 0
        || settings.maximumEntries < settings.minimumEntries || settings.headroom < 1)
        return state::makeError(state::ErrorCode::InvalidArgument, "directory.create",
                                "needs a time to live above 0, 1 <= minimum <= maximum entries and "
                                "a headroom of 1 or more");
    return Directory(settings);
}

DirectoryAnswer Directory::answer(const DirectoryRequest &request,
                                  const membership::MemberTable &members) const
{
    std::vector<state::VmId> eligible;
    for (const auto &[id, entry] : members.entries()) {
        if (isEligible(entry, request.requiredTableVersion))
            eligible.push_back(id);
    }
    const double share = std::min(request.fleetShareMilli, wholeShareMilli)
                         / static_cast<double>(wholeShareMilli);
    const auto desired = static_cast<std::size_t>(
            std::ceil(share * this->settings.headroom * static_cast<double>(eligible.size())));
    const std::size_t count =
            std::clamp(desired, this->settings.minimumEntries, this->settings.maximumEntries);

    std::vector<const MemberEntry *> ranked;
    for (const state::VmId &id :
         ownership::pickMembers(eligible, request.account.value(), eligible.size()))
        ranked.push_back(members.find(id));
    std::vector<const MemberEntry *> picked(
            ranked.begin(),
            ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size())));
    spreadOverDomains(picked, ranked);

    const CallerLocation location = locationOf(request.callerFailureDomain, members);
    std::sort(picked.begin(), picked.end(), [&](const MemberEntry *a, const MemberEntry *b) {
        const auto order = [&](const MemberEntry *entry) {
            const bool suspect = entry->record.health != membership::MemberHealth::Alive;
            return std::tuple(suspect, costOf(*entry, location),
                              ownership::rendezvousWeight(entry->key, request.callerHash));
        };
        return order(a) < order(b);
    });
    DirectoryAnswer answer{{}, this->settings.timeToLive};
    for (const MemberEntry *entry : picked)
        answer.addresses.push_back(entry->record.description->caller);
    return answer;
}

} // namespace lavenderthread::coordination::directory
