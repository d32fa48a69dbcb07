// Compares what engines hold with the leases of live holders.
#include "coordination/endpoints/MemoryAudit.h"

#include <charconv>
#include <set>

namespace lavenderthread::coordination::endpoints {

std::string makeLeaseName(const LeaseHolder &maker, std::uint64_t serial)
{
    return maker.vm.value() + "." + std::to_string(maker.incarnation) + "."
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
    LeaseHolder maker{state::VmId(std::string(leaseName.substr(0, incarnationDot))), 0};
    const auto [stop, problem] = std::from_chars(begin, end, maker.incarnation);
    if (problem != std::errc() || stop != end)
        return std::nullopt;
    return maker;
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
    const auto doubt = owned->second.doubts.find(lease.name);
    // An adopter that came too late must not be told yes: the free is on its way to the engine.
    if (doubt != owned->second.doubts.end() && doubt->second.freedAt)
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
        const Standing standing = this->standingOf(owned, item, members, now);
        if (standing == Standing::Covered) {
            owned.doubts.erase(item.lease);
            continue;
        }
        Doubt &doubt = owned.doubts[item.lease];
        if (!doubt.since || isolated)
            doubt.since = now;
        if (!isolated)
            this->judge(endpoint, item, standing, owned, actions, now);
    }
    std::erase_if(owned.doubts, [&](const auto &doubt) { return !listed.contains(doubt.first); });
    // A lease that lapsed and that the engine no longer lists has done its work.
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
    const std::optional<LeaseHolder> maker = makerOf(item.lease);
    return maker && isLiveHolder(*maker, members) ? Standing::HolderLives : Standing::HolderGone;
}

bool MemoryAudit::isLiveHolder(const LeaseHolder &holder, const membership::MemberTable &members)
{
    const membership::MemberEntry *entry = members.find(holder.vm);
    if (entry == nullptr)
        return false;
    // A higher incarnation than the one known has started, and its news is on the way.
    return holder.incarnation > entry->record.incarnation
           || (holder.incarnation == entry->record.incarnation && entry->record.isLive());
}

void MemoryAudit::judge(const state::EndpointId &endpoint, const HeldItem &item, Standing standing,
                        Owned &owned, AuditActions &actions, state::Instant now) const
{
    Doubt &doubt = owned.doubts.at(item.lease);
    const auto isDue = [&](const std::optional<state::Instant> &last, state::Duration interval) {
        return !last || now - *last >= interval;
    };
    const state::Duration age = now - *doubt.since;
    const bool waited = age >= this->settings.orphanGrace;
    const auto lease = owned.leases.find(item.lease);
    const std::optional<LeaseHolder> holder =
            lease != owned.leases.end() ? lease->second.holder : makerOf(item.lease);
    const bool isDenied = doubt.deniedBy && doubt.deniedBy == holder;
    // A live holder that the item names is believed to use it until it denies that: its renewals
    // may go to another entry that it takes for the owner. Silence frees nothing.
    const bool mayFree = waited && (standing != Standing::HolderLives || isDenied);
    if (mayFree) {
        if (isDue(doubt.freedAt, this->settings.freeAgainAfter)) {
            doubt.freedAt = now;
            actions.frees.push_back({endpoint, item});
            owned.leases.erase(item.lease);
        }
        return;
    }
    if (!isDenied && age >= this->settings.askAfter
        && isDue(doubt.askedAt, this->settings.askAgainAfter)) {
        doubt.askedAt = now;
        const bool askOne = standing != Standing::HolderGone && holder;
        actions.questions.push_back(
                {endpoint, item.lease, askOne ? std::optional(holder->vm) : std::nullopt});
    }
}

} // namespace lavenderthread::coordination::endpoints
