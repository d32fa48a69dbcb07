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

std::size_t setSize(double perSecond, std::size_t known)
{
    const double wanted = std::ceil(std::max(perSecond, 0.0));
    return wanted >= double(known) ? known : std::size_t(wanted);
}

} // namespace

bool isColdSender(const state::EndpointId &endpoint, std::uint64_t incarnation,
                  const state::VmId &self, const std::vector<state::VmId> &known, double perSecond)
{
    const std::uint64_t seed =
            XXH3_64bits_withSeed(endpoint.value().data(), endpoint.value().size(), incarnation);
    const std::uint64_t own = scoreOf(self, seed);
    const auto isAhead = [&](const state::VmId &entry) {
        const std::uint64_t score = scoreOf(entry, seed);
        return score > own || (score == own && entry > self);
    };
    return std::size_t(std::ranges::count_if(known, isAhead)) < setSize(perSecond, known.size());
}

ColdShare coldShare(const state::EndpointId &endpoint, std::uint64_t incarnation,
                    const state::VmId &self, state::Instant startedAt, const RelayEntries &known,
                    double perSecond, state::Instant until)
{
    ColdShare share{until};
    if (!known.complete || perSecond <= 0)
        return share;
    share.isSender = isColdSender(endpoint, incarnation, self, known.ids, perSecond);
    const double senders = std::max(1.0, double(setSize(perSecond, known.ids.size())));
    share.spacing =
            std::chrono::ceil<state::Duration>(std::chrono::duration<double>(senders / perSecond));
    // The process that ran here before may have sent just before its end.
    share.firstSendAt = startedAt + share.spacing;
    return share;
}

state::Instant ColdLimit::nextSend(state::Instant now) const
{
    if (!this->isCold(now))
        return now;
    if (!this->share.isSender)
        return this->share.until;
    state::Instant next = this->share.firstSendAt;
    if (this->lastSend != state::Instant{})
        next = std::max(next, this->lastSend + this->share.spacing);
    return std::min(std::max(next, now), this->share.until);
}

} // namespace lavenderthread::coordination::routing
