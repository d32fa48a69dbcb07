// Memory of the fake engine that is held by name and not by a running stream: reservations, and
// ranges of KV cache that were exported or imported.
#pragma once

#include "state/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lavenderthread::fakes {

enum class LeaseKind { Reservation, Export };

struct Lease
{
    LeaseKind kind = LeaseKind::Reservation;
    std::uint64_t tokens = 0;
    std::optional<state::Instant> expiry; // none: held until it is freed
};

class Leases
{
public:
    // Takes the place of a lease of that name, as a renewal does.
    void put(const std::string &name, const Lease &lease) { this->byName[name] = lease; }
    // False if there is none of that name and kind.
    bool free(const std::string &name, LeaseKind kind);
    void expire(state::Instant now);
    std::uint64_t heldTokens() const;
    // Of the one reservation of that name; 0 if there is none.
    std::uint64_t reservedTokens(const std::string &name) const;
    const std::map<std::string, Lease> &all() const { return this->byName; }

private:
    std::map<std::string, Lease> byName;
};

} // namespace lavenderthread::fakes
