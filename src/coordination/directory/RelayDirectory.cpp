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

std::vector<state::Address> addressesOf(const membership::MemberTable &members,
                                        const std::function<bool(const MemberEntry &)> &accept)
{
    std::vector<state::Address> addresses;
    for (const auto &[id, entry] : members.entries()) {
        if (isRelay(entry) && accept(entry))
            addresses.push_back(entry.record.description->relay);
    }
    return addresses;
}

} // namespace

std::vector<state::Address> relayAddresses(const membership::MemberTable &members,
                                           const state::FailureDomain &callers)
{
    const auto isAlive = [](const MemberEntry &entry) {
        return entry.record.health == membership::MemberHealth::Alive;
    };
    const auto isInDomain = [&](const MemberEntry &entry) {
        return isAlive(entry) && entry.record.description->failureDomain == callers;
    };
    std::vector<state::Address> found = addressesOf(members, isInDomain);
    if (found.size() < minimumNearbyRelays)
        found = addressesOf(members, isAlive);
    if (found.empty())
        found = addressesOf(members, [](const MemberEntry &) { return true; });
    return found;
}

} // namespace lavenderthread::coordination::directory
