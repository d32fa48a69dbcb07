#include "coordination/directory/RelayDirectory.h"

#include <functional>

namespace lavenderthread::coordination::directory {

namespace {

using membership::MemberEntry;

// With fewer the others of the failure domain would be crowded while one of them is restarted.
constexpr std::size_t enoughNearby = 4;

bool relays(const MemberEntry &entry)
{
    const auto &record = entry.record;
    return record.isLive() && record.description != nullptr && record.description->relay.port != 0
           && record.phase == membership::MemberPhase::Serving && record.ready;
}

std::vector<state::Address> addressesOf(const membership::MemberTable &members,
                                        const std::function<bool(const MemberEntry &)> &fits)
{
    std::vector<state::Address> addresses;
    for (const auto &[id, entry] : members.entries()) {
        if (relays(entry) && fits(entry))
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
    const auto isNear = [&](const MemberEntry &entry) {
        return isAlive(entry) && entry.record.description->failureDomain == callers;
    };
    std::vector<state::Address> found = addressesOf(members, isNear);
    if (found.size() < enoughNearby)
        found = addressesOf(members, isAlive);
    if (found.empty())
        found = addressesOf(members, [](const MemberEntry &) { return true; });
    return found;
}

} // namespace lavenderthread::coordination::directory
