// Decides which entries may send to a cold endpoint, and how often. It handles the load of a
// restarting failure domain: many entries learn of the same cold endpoints at once, and some of
// them are cut off from the others or have just started.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <vector>

namespace lavenderthread::coordination::routing {

struct RelayEntry
{
    state::VmId id;
    bool isLive = true; // as membership sees it: a dead entry may be cut off and still send

    bool operator==(const RelayEntry &) const = default;
};

// The relay entries that one entry knows, dead or alive, without those that left.
struct RelayEntries
{
    std::vector<RelayEntry> entries;
    // False while the entry has not got the state of the others. It sends nothing to cold endpoints
    // then: if all entries restart, each one knows only itself at first and would use the full
    // rate.
    bool complete = false;

    bool operator==(const RelayEntries &) const = default;
};

// What all entries together may send to a cold endpoint.
struct ColdRate
{
    double perSecond = 0; // accepted by the endpoint
    // The endpoint may crash if it gets more than perSecond * overshoot + slack requests in a
    // second. The entries plan with a part of that, for the time in which their views differ.
    double overshoot = 0;
    double slack = 0;

    bool operator==(const ColdRate &) const = default;
};

// What one entry may send to one cold endpoint.
struct ColdShare
{
    state::Instant until; // warm from then on
    bool isSender = false;
    state::Duration spacing{};    // of the sends of this entry, on average
    state::Instant firstSendAt{}; // not before

    bool operator==(const ColdShare &) const = default;
};

// The entries that may use a cold endpoint, as one entry sees them.
struct ColdSenders
{
    std::size_t count = 0;
    double perSecond = 0; // of all of them together

    bool operator==(const ColdSenders &) const = default;
};

// `live` of the `known` entries are alive, as one entry sees them. Entries that are cut off from
// each other take each other for dead, so as many groups as could each have this share of the
// entries divide the bound; a group whose part is below one request a second sends nothing. An
// entry that sees most of the others uses the full rate.
ColdSenders coldSenders(const ColdRate &rate, std::size_t live, std::size_t known);

// Whether `self` is one of the `count` live entries that may use the endpoint, by rendezvous
// hashing. The order of the entries makes no difference.
bool isColdSender(const state::EndpointId &endpoint, std::uint64_t incarnation,
                  const state::VmId &self, const std::vector<RelayEntry> &known, std::size_t count);

// The share of `self`, which runs since `startedAt`.
ColdShare coldShare(const state::EndpointId &endpoint, std::uint64_t incarnation,
                    const state::VmId &self, state::Instant startedAt, const RelayEntries &known,
                    const ColdRate &rate, state::Instant until);

// Spaces the sends of one entry to one cold endpoint.
class ColdLimit
{
public:
    explicit ColdLimit(const ColdShare &share)
        : share(share)
    {}

    // Keeps the slot of the last send. An entry that takes the place of another one waits for one
    // spacing: the other one may have sent just before, or not know yet that it is taken for dead.
    void setShare(const ColdShare &next, state::Instant now);
    bool isCold(state::Instant now) const { return now < this->share.until; }
    // When a request may be sent; not after `now` if one may be sent already.
    state::Instant nextSend(state::Instant now) const;
    void recordSend(state::Instant now);

private:
    ColdShare share;
    state::Instant notBefore{}; // this entry has taken the place of another one
    state::Instant lastSlot{};  // of the last send; Instant{}: none
};

} // namespace lavenderthread::coordination::routing
