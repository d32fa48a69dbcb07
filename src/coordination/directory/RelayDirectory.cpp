#include "coordination/directory/RelayDirectory.h"

#include <functional>

namespace lavenderthread::coordination::directory {

namespace {

using membership::MemberEntry;

// With fewer, the remaining ones of the failure domain would be overloaded while one restarts.
constexpr std::size_t minimumNearbyRelays = 4;

bool isRelay(const MemberEntry &entry)
{
    const auto &record = entry.record;
    return record.isLive() && record.description != nullptr && record.description->relay.port != 0
           && record.phase == membership::MemberPhase::Serving && record.ready;
}

using Accept = std::function<bool(const MemberEntry &)>;
using Members = std::vector<const MemberEntry *>;

Members relaysOf(const membership::MemberTable &members, const Accept &accept)
{
    Members found;
    for (const auto &[id, entry] : members.entries()) {
        if (isRelay(entry) && accept(entry))
            found.push_back(&entry);
    }
    return found;
}

bool isAlive(const MemberEntry &entry)
{
    return entry.record.health == membership::MemberHealth::Alive;
}

bool hasPaths(const MemberEntry &entry)
{
    return isAlive(entry) && entry.record.reachesEndpoints;
}

// The accepted ones in that failure domain, or all accepted ones if these are too few.
Members nearbyRelays(const membership::MemberTable &members, const state::FailureDomain &domain,
                     const Accept &accept)
{
    const Members nearby = relaysOf(members, [&](const MemberEntry &entry) {
        return accept(entry) && entry.record.description->failureDomain == domain;
    });
    return nearby.size() < minimumNearbyRelays ? relaysOf(members, accept) : nearby;
}

} // namespace

std::vector<state::Address> relayAddresses(const membership::MemberTable &members,
                                           const state::FailureDomain &callers)
{
    Members found = nearbyRelays(members, callers, hasPaths);
    if (found.empty())
        found = nearbyRelays(members, callers, isAlive);
    if (found.empty())
        found = relaysOf(members, [](const MemberEntry &) { return true; });
    std::vector<state::Address> addresses;
    for (const MemberEntry *entry : found)
        addresses.push_back(entry->record.description->relay);
    return addresses;
}

routing::RelayPeers relayPeers(const membership::MemberTable &members, const state::VmId &self)
{
    routing::RelayPeers peers;
    const MemberEntry *own = members.find(self);
    if (own == nullptr || own->record.description == nullptr)
        return peers;
    const Accept isPeer = [&](const MemberEntry &entry) {
        return hasPaths(entry) && entry.record.id != self;
    };
    for (const MemberEntry *peer : relaysOf(members, isPeer)) {
        const auto &description = *peer->record.description;
        const bool isNearby = description.failureDomain == own->record.description->failureDomain;
        (isNearby ? peers.nearby : peers.distant).push_back(description.caller);
    }
    return peers;
}

routing::RelayEntries relayEntries(const membership::MemberTable &members, bool complete)
{
    routing::RelayEntries entries;
    entries.complete = complete;
    for (const auto &[id, entry] : members.entries()) {
        const auto &description = entry.record.description;
        if (description != nullptr && description->relay.port != 0
            && entry.record.phase != membership::MemberPhase::Left)
            entries.entries.push_back({id, entry.record.isLive()});
    }
    return entries;
}

} // namespace lavenderthread::coordination::directory
