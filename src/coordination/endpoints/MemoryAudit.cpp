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

std::optional<LeaseHolder> makerOf(std::string_view leaseName)
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

void MemoryAudit::gained(const state::EndpointId &endpoint)
{
    this->ownedEndpoints.try_emplace(endpoint);
}

void MemoryAudit::lost(const state::EndpointId &endpoint)
{
    this->ownedEndpoints.erase(endpoint);
}

state::Result<void> MemoryAudit::grant(const state::EndpointId &endpoint, const MemoryLease &lease)
{
    const auto owned = this->ownedEndpoints.find(endpoint);
    if (owned == this->ownedEndpoints.end())
        return state::makeError(state::ErrorCode::NotFound, "lease.grant",
                                "this entry does not own the endpoint", endpoint.value());
    const auto candidate = owned->second.doubts.find(lease.name);
    // An adoption that comes too late must be refused: the free order is on its way to the engine.
    if (candidate != owned->second.doubts.end() && candidate->second.freedAt)
        return state::makeError(state::ErrorCode::Conflict, "lease.grant",
                                "the lease is being freed", endpoint.value());
    owned->second.leases.insert_or_assign(lease.name, lease);
    owned->second.doubts.erase(lease.name);
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
    this->denied(endpoint, lease, found->second.holder);
    owned->second.leases.erase(found);
}

void MemoryAudit::denied(const state::EndpointId &endpoint, const std::string &lease,
                         const LeaseHolder &holder)
{
    const auto owned = this->ownedEndpoints.find(endpoint);
    if (owned == this->ownedEndpoints.end())
        return;
    owned->second.doubts[lease].deniedBy = holder;
}

AuditActions MemoryAudit::held(const state::EndpointId &endpoint,
                               const std::vector<HeldItem> &items,
                               const membership::MemberTable &members, bool isolated,
                               state::Instant now)
{
    AuditActions actions;
    const auto found = this->ownedEndpoints.find(endpoint);
    if (found == this->ownedEndpoints.end())
        return actions;
    Owned &owned = found->second;
    std::set<std::string> listed;
    for (const HeldItem &item : items) {
        listed.insert(item.lease);
        const Standing status = this->standingOf(owned, item, members, now);
        if (status == Standing::Covered) {
            owned.doubts.erase(item.lease);
            continue;
        }
        Doubt &candidate = owned.doubts[item.lease];
        if (!candidate.since || isolated)
            candidate.since = now;
        if (!isolated)
            this->judge(endpoint, item, status, owned, actions, now);
    }
    std::erase_if(owned.doubts,
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

MemoryAudit::Standing MemoryAudit::standingOf(const Owned &owned, const HeldItem &item,
                                              const membership::MemberTable &members,
                                              state::Instant now) const
{
    const auto lease = owned.leases.find(item.lease);
    if (lease != owned.leases.end()) {
        if (!isLiveHolder(lease->second.holder, members))
            return Standing::HolderGone;
        return now < lease->second.expires ? Standing::Covered : Standing::Lapsed;
    }
    const std::optional<LeaseHolder> creator = makerOf(item.lease);
    return creator && isLiveHolder(*creator, members) ? Standing::HolderLives
                                                      : Standing::HolderGone;
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

void MemoryAudit::judge(const state::EndpointId &endpoint, const HeldItem &item, Standing status,
                        Owned &owned, AuditActions &actions, state::Instant now) const
{
    Doubt &candidate = owned.doubts.at(item.lease);
    const auto isDue = [&](const std::optional<state::Instant> &last, state::Duration interval) {
        return !last || now - *last >= interval;
    };
    const state::Duration age = now - *candidate.since;
    const bool graceElapsed = age >= this->settings.orphanGrace;
    const auto lease = owned.leases.find(item.lease);
    const std::optional<LeaseHolder> holder =
            lease != owned.leases.end() ? lease->second.holder : makerOf(item.lease);
    const bool isDenied = candidate.deniedBy && candidate.deniedBy == holder;
    // The live holder named by the item is assumed to use it until it denies that: its renewals may
    // go to another entry node that it takes for the owner. A missing answer frees nothing.
    const bool mayFree = graceElapsed && (status != Standing::HolderLives || isDenied);
    if (mayFree) {
        if (isDue(candidate.freedAt, this->settings.freeAgainAfter)) {
            candidate.freedAt = now;
            actions.frees.push_back({endpoint, item});
            owned.leases.erase(item.lease);
        }
        return;
    }
    if (!isDenied && age >= this->settings.askAfter
        && isDue(candidate.askedAt, this->settings.askAgainAfter)) {
        candidate.askedAt = now;
        const bool queryHolderOnly = status != Standing::HolderGone && holder;
        actions.questions.push_back(
                {endpoint, item.lease, queryHolderOnly ? std::optional(holder->vm) : std::nullopt});
    }
}

} // namespace lavenderthread::coordination::endpoints
