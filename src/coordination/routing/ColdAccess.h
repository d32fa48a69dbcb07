// Decides which entries may send to a cold endpoint, and how often. It handles the load of a
// restarting failure domain: many entries learn of the same cold endpoints at once, and some of
// them are cut off from the others or have just started.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <vector>

namespace lavenderthread::coordination::routing {

// The relay entries that one entry knows, dead or alive, without those that left. Dead ones count,
// because a dead entry can't be told from one that is cut off and still sends.
struct RelayEntries
{
    std::vector<state::VmId> ids;
    // False while the entry has not got the state of the others. It sends nothing to cold endpoints
    // then: if all entries restart, each one knows only itself at first and would use the full
    // rate.
    bool complete = false;

    bool operator==(const RelayEntries &) const = default;
};

// What one entry may send to one cold endpoint.
struct ColdShare
{
    state::Instant until; // warm from then on
    bool isSender = false;
    state::Duration spacing{};    // of the sends of this entry
    state::Instant firstSendAt{}; // not before

    bool operator==(const ColdShare &) const = default;
};

// Whether `self` belongs to the set of ceil(perSecond) entries that may use the endpoint. The order
// of the entries in `known` makes no difference.
bool isColdSender(const state::EndpointId &endpoint, std::uint64_t incarnation,
                  const state::VmId &self, const std::vector<state::VmId> &known, double perSecond);

// The share of `self`, which runs since `startedAt`. `perSecond` must be above 0.
ColdShare coldShare(const state::EndpointId &endpoint, std::uint64_t incarnation,
                    const state::VmId &self, state::Instant startedAt, const RelayEntries &known,
                    double perSecond, state::Instant until);

// Spaces the sends of one entry to one cold endpoint.
class ColdLimit
{
public:
    explicit ColdLimit(const ColdShare &share)
        : share(share)
    {}

    // Keeps the time of the last send.
    void setShare(const ColdShare &next) { this->share = next; }
    bool isCold(state::Instant now) const { return now < this->share.until; }
    // When a request may be sent; not after `now` if one may be sent already.
    state::Instant nextSend(state::Instant now) const;
    void recordSend(state::Instant now) { this->lastSend = now; }

private:
    ColdShare share;
    state::Instant lastSend{}; // Instant{}: none
};

} // namespace lavenderthread::coordination::routing
