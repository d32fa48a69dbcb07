#include "coordination/routing/ColdAccess.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace lavenderthread::coordination::routing {

namespace {

std::uint64_t scoreOf(const state::VmId &entry, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(entry.value().data(), entry.value().size(), seed);
}

// The rest of the bound is for entries that are not known everywhere yet, and for those that have
// just taken the place of another one in the set.
constexpr double usableShare = 0.8;
// Shorter spacings would let each entry send three times in a second.
constexpr std::chrono::milliseconds shortestSpacing{500};
// A send that was late by up to this much doesn't delay the following ones, as long as the entry
// doesn't send twice in a second because of it.
constexpr std::chrono::milliseconds longestCatchUp{200};
constexpr std::chrono::milliseconds shortestAfterCatchUp{1'000};

} // namespace

ColdSenders coldSenders(const ColdRate &rate, std::size_t live, std::size_t known)
{
    ColdSenders senders;
    if (rate.perSecond <= 0 || live == 0)
        return senders;
    const double bound = usableShare * (rate.perSecond * rate.overshoot + rate.slack);
    const std::size_t groups = std::max<std::size_t>(known / live, 1);
    const double share = bound / double(groups);
    // If each of many entries was cut off alone, their first sends would come together.
    if (groups > 1 && share < 1)
        return senders;
    const double wanted = std::min(share, rate.perSecond + rate.slack / 2);
    senders.count = std::min(live, std::size_t(std::ceil(wanted)));
    senders.perSecond = std::min(rate.perSecond, share);
    return senders;
}

bool isColdSender(const state::EndpointId &endpoint, std::uint64_t incarnation,
                  const state::VmId &self, const std::vector<RelayEntry> &known, std::size_t count)
{
    const std::uint64_t seed =
            XXH3_64bits_withSeed(endpoint.value().data(), endpoint.value().size(), incarnation);
    const std::uint64_t own = scoreOf(self, seed);
    const auto isAhead = [&](const RelayEntry &entry) {
        if (!entry.isLive || entry.id == self)
            return false;
        const std::uint64_t score = scoreOf(entry.id, seed);
        return score > own || (score == own && entry.id > self);
    };
    return std::size_t(std::ranges::count_if(known, isAhead)) < count;
}

ColdShare coldShare(const state::EndpointId &endpoint, std::uint64_t incarnation,
                    const state::VmId &self, state::Instant startedAt, const RelayEntries &known,
                    const ColdRate &rate, state::Instant until)
{
    ColdShare share{until};
    if (!known.complete)
        return share;
    const auto live = std::size_t(std::ranges::count_if(
            known.entries, [](const RelayEntry &entry) { return entry.isLive; }));
    const ColdSenders senders = coldSenders(rate, live, known.entries.size());
    if (senders.count == 0)
        return share;
    share.isSender = isColdSender(endpoint, incarnation, self, known.entries, senders.count);
    const std::chrono::duration<double> spacing(double(senders.count) / senders.perSecond);
    share.spacing =
            std::max<state::Duration>(shortestSpacing, std::chrono::ceil<state::Duration>(spacing));
    // The process that ran here before may have sent just before its end.
    share.firstSendAt = startedAt + share.spacing;
    return share;
}

void ColdLimit::setShare(const ColdShare &next, state::Instant now)
{
    if (next.isSender && !this->share.isSender)
        this->notBefore = now + next.spacing;
    this->share = next;
}

state::Instant ColdLimit::nextSend(state::Instant now) const
{
    if (!this->isCold(now))
        return now;
    if (!this->share.isSender)
        return this->share.until;
    state::Instant next = std::max(this->share.firstSendAt, this->notBefore);
    if (this->lastSlot != state::Instant{})
        next = std::max(next, this->lastSlot + this->share.spacing);
    return std::min(std::max(next, now), this->share.until);
}

void ColdLimit::recordSend(state::Instant now)
{
    const state::Instant due =
            this->lastSlot == state::Instant{} ? now : this->lastSlot + this->share.spacing;
    const state::Duration catchUp = std::clamp<state::Duration>(
            this->share.spacing - shortestAfterCatchUp, state::Duration(0), longestCatchUp);
    this->lastSlot = std::clamp(due, now - catchUp, now);
}

} // namespace lavenderthread::coordination::routing
