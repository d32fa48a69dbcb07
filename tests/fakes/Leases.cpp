// Bookkeeping of the named holds.
#include "fakes/Leases.h"

namespace lavenderthread::fakes {

bool Leases::free(const std::string &name, LeaseKind kind)
{
    const auto found = this->byName.find(name);
    if (found == this->byName.end() || found->second.kind != kind)
        return false;
    this->byName.erase(found);
    return true;
}

void Leases::expire(state::Instant now)
{
    std::erase_if(this->byName, [&](const auto &entry) {
        return entry.second.expiry && *entry.second.expiry <= now;
    });
}

std::uint64_t Leases::heldTokens() const
{
    std::uint64_t sum = 0;
    for (const auto &[name, lease] : this->byName)
        sum += lease.tokens;
    return sum;
}

std::uint64_t Leases::reservedTokens(const std::string &name) const
{
    const auto found = this->byName.find(name);
    if (found == this->byName.end() || found->second.kind != LeaseKind::Reservation)
        return 0;
    return found->second.tokens;
}

} // namespace lavenderthread::fakes
