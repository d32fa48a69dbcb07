// Compares the memory that engines hold with the leases of live holders.
#include "coordination/endpoints/MemoryAudit.h"

#include <charconv>
#include <set>

namespace lavenderthread::coordination::endpoints {

std::string makeLeaseName(const LeaseHolder &creator, std::uint64_t serial)
{
    return creator.vm.value() + "." + std::to_string(creator.incarnation) + "."
           + std::to_string(serial);
}

std::optional<LeaseHolder> leaseCreator(std::string_view leaseName)
{
    const auto serialDot = leaseName.rfind('.');
    if (serialDot == std::string_view::npos || serialDot == 0)
        return std::nullopt;
    const auto incarnationDot = leaseName.rfind('.', serialDot - 1);
    if (incarnationDot == std::string_view::npos || incarnationDot == 0)
        return std::nullopt;
    const char *begin = leaseName.data() + incarnationDot + 1;
    const char *end = leaseName.data() + serialDot;
    LeaseHolder creator{state::VmId(std::string(leaseName.substr(0, incarnationDot))), 0};
    const auto [stop, problem] = std::from_chars(begin, end, creator.incarnation);
    if (problem != std::errc() || stop != end)
        return std::nullopt;
    return creator;
}

void MemoryAudit::ownershipGained(const state::EndpointId &endpoint)
{
    this->ownedEndpoints.try_emplace(endpoint);
}

void MemoryAudit::ownershipLost(const state::EndpointId &endpoint)
{
    this->ownedEndpoints.erase(endpoint);
}

state::Result<void> MemoryAudit::grant(const state::EndpointId &endpoint, const MemoryLease &lease)
{
    const auto owned = this->ownedEndpoints.find(endpoint);
    if (owned == this->ownedEndpoints.end())
        return state::makeError(state::ErrorCode::NotFound, "lease.grant",
                                "this entry does not own the endpoint", endpoint.value());
    const auto candidate = owned->second.orphanCandidates.find(lease.name);
    // An adoption that comes too late must be refused: the free order is on its way to the engine.
    if (candidate != owned->second.orphanCandidates.end() && candidate->second.freeOrderedAt)
        return state::makeError(state::ErrorCode::Conflict, "lease.grant",
                                "the lease is being freed", endpoint.value());
    owned->second.leases.insert_or_assign(lease.name, lease);
    owned->second.orphanCandidates.erase(lease.name);
    return state::outcome::success();
}

void MemoryAudit::release(const state::EndpointId &endpoint, const std::string &lease)
{
    const auto owned = this->ownedEndpoints.find(endpoint);
    if (owned == this->ownedEndpoints.end())
        return;
    const auto found = owned->second.leases.find(lease);
    if (found == owned->second.leases.end())
        return;
    this->holderDenied(endpoint, lease, found->second.holder);
    owned->second.leases.erase(found);
}

void MemoryAudit::holderDenied(const state::EndpointId &endpoint, const std::string &lease,
                               const LeaseHolder &holder)
{
    const auto owned = this->ownedEndpoints.find(endpoint);
    if (owned == this->ownedEndpoints.end())
        return;
    owned->second.orphanCandidates[lease].deniedBy = holder;
}

AuditActions MemoryAudit::auditHeldMemory(const state::EndpointId &endpoint,
                                          const std::vector<HeldItem> &items,
                                          const membership::MemberTable &members, bool isolated,
                                          state::Instant now)
{
    AuditActions actions;
    const auto found = this->ownedEndpoints.find(endpoint);
    if (found == this->ownedEndpoints.end())
        return actions;
    OwnedEndpoint &owned = found->second;
    std::set<std::string> listed;
    for (const HeldItem &item : items) {
        listed.insert(item.lease);
        const LeaseStatus status = this->leaseStatusOf(owned, item, members, now);
        if (status == LeaseStatus::Covered) {
            owned.orphanCandidates.erase(item.lease);
            continue;
        }
        OrphanCandidate &candidate = owned.orphanCandidates[item.lease];
        if (!candidate.graceStart || isolated)
            candidate.graceStart = now;
        if (!isolated)
            this->freeOrQuery(endpoint, item, status, owned, actions, now);
    }
    std::erase_if(owned.orphanCandidates,
                  [&](const auto &candidate) { return !listed.contains(candidate.first); });
    // A lapsed lease that the engine no longer lists covers no memory.
    std::erase_if(owned.leases, [&](const auto &lease) {
        return now >= lease.second.expires && !listed.contains(lease.first);
    });
    return actions;
}

std::uint64_t MemoryAudit::leasedTokens(const state::EndpointId &endpoint, state::Instant now) const
{
    std::uint64_t tokens = 0;
    const auto owned = this->ownedEndpoints.find(endpoint);
    if (owned == this->ownedEndpoints.end())
        return tokens;
    for (const auto &[name, lease] : owned->second.leases)
        tokens += now < lease.expires ? lease.tokens : 0;
    return tokens;
}

std::size_t MemoryAudit::leaseCount(const state::EndpointId &endpoint) const
{
    const auto owned = this->ownedEndpoints.find(endpoint);
    return owned == this->ownedEndpoints.end() ? 0 : owned->second.leases.size();
}

MemoryAudit::LeaseStatus MemoryAudit::leaseStatusOf(const OwnedEndpoint &owned,
                                                    const HeldItem &item,
                                                    const membership::MemberTable &members,
                                                    state::Instant now) const
{
    const auto lease = owned.leases.find(item.lease);
    if (lease != owned.leases.end()) {
        if (!isLiveHolder(lease->second.holder, members))
            return LeaseStatus::HolderGone;
        return now < lease->second.expires ? LeaseStatus::Covered : LeaseStatus::Lapsed;
    }
    const std::optional<LeaseHolder> creator = leaseCreator(item.lease);
    return creator && isLiveHolder(*creator, members) ? LeaseStatus::HolderAlive
                                                      : LeaseStatus::HolderGone;
}

bool MemoryAudit::isLiveHolder(const LeaseHolder &holder, const membership::MemberTable &members)
{
    const membership::MemberEntry *entry = members.find(holder.vm);
    if (entry == nullptr)
        return false;
    // An incarnation above the known one has started; its membership update is still in transit.
    return holder.incarnation > entry->record.incarnation
           || (holder.incarnation == entry->record.incarnation && entry->record.isLive());
}

void MemoryAudit::freeOrQuery(const state::EndpointId &endpoint, const HeldItem &item,
                              LeaseStatus status, OwnedEndpoint &owned, AuditActions &actions,
                              state::Instant now) const
{
    OrphanCandidate &candidate = owned.orphanCandidates.at(item.lease);
    const auto isDue = [&](const std::optional<state::Instant> &last, state::Duration interval) {
        return !last || now - *last >= interval;
    };
    const state::Duration age = now - *candidate.graceStart;
    const bool graceElapsed = age >= this->settings.orphanGrace;
    const auto lease = owned.leases.find(item.lease);
    const std::optional<LeaseHolder> holder =
            lease != owned.leases.end() ? lease->second.holder : leaseCreator(item.lease);
    const bool isDenied = candidate.deniedBy && candidate.deniedBy == holder;
    // The live holder named by the item is assumed to use it until it denies that: its renewals may
    // go to another entry that it takes for the owner. A missing answer frees nothing.
    const bool mayFree = graceElapsed && (status != LeaseStatus::HolderAlive || isDenied);
    if (mayFree) {
        if (isDue(candidate.freeOrderedAt, this->settings.freeRetryInterval)) {
            candidate.freeOrderedAt = now;
            actions.frees.push_back({endpoint, item});
            owned.leases.erase(item.lease);
        }
        return;
    }
    if (!isDenied && age >= this->settings.queryAfter
        && isDue(candidate.queriedAt, this->settings.queryRetryInterval)) {
        candidate.queriedAt = now;
        const bool queryHolderOnly = status != LeaseStatus::HolderGone && holder;
        actions.queries.push_back(
                {endpoint, item.lease, queryHolderOnly ? std::optional(holder->vm) : std::nullopt});
    }
}

} // namespace lavenderthread::coordination::endpoints
