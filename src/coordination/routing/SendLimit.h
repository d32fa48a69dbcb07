// The request rate that an endpoint accepts from all entries together, as one entry counts it.
#pragma once

#include "state/Time.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace lavenderthread::coordination::routing {

// A token bucket from which the sends of all entries are taken: its owner records its own and those
// that the peers report. The entries' buckets agree up to the delay of these reports. Sends that
// cross on their way take the bucket below zero, so they are made up for before the next one.
class SendLimit
{
public:
    // The bucket starts empty: what was sent before the limit was known is not counted.
    SendLimit(double perSecond, state::Instant now, std::uint64_t seed);

    void setRate(double perSecond, state::Instant now);
    double perSecond() const { return this->rate; }

    // How many requests may be sent now.
    std::size_t available(state::Instant now) const;
    // When one may be sent, unless a peer sends first.
    state::Instant nextSend(state::Instant now) const;
    // This entry or a peer has sent a request.
    void recordSend(state::Instant now);

private:
    double tokensAt(state::Instant now) const;
    double spreadTokens() const;
    double capacity() const;
    void drawReserve();

    double rate; // requests per second
    double tokens = 0;
    state::Instant updatedAt;
    std::minstd_rand random;
    // Tokens that must be left after a send. Drawn anew after each one: requests wait at several
    // entries, and without it all of these would send in the moment in which the bucket holds a
    // token, before any of them knows of the others.
    double reserve = 0;
};

} // namespace lavenderthread::coordination::routing
