#include "coordination/admission/OverloadControl.h"

#include <algorithm>
#include <cmath>

namespace lavenderthread::coordination::admission {

namespace {

constexpr state::Duration returnGap = std::chrono::milliseconds(1);

double toSeconds(state::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

state::Duration toDuration(double seconds)
{
    constexpr double longest = 3'600;
    return std::chrono::duration_cast<state::Duration>(
            std::chrono::duration<double>(std::clamp(seconds, 0.0, longest)));
}

} // namespace

std::size_t OverloadControl::indexOf(std::uint8_t rank)
{
    return std::min<std::size_t>(rank, ranks - 1);
}

double OverloadControl::decayed(const Rate &rate, state::Instant now, state::Duration averagingTime)
{
    const double age = std::max(toSeconds(now - rate.updatedAt), 0.0);
    return rate.value * std::exp(-age / toSeconds(averagingTime));
}

void OverloadControl::count(Rate &rate, double amount, state::Instant now,
                            state::Duration averagingTime)
{
    rate.value = decayed(rate, now, averagingTime) + amount / toSeconds(averagingTime);
    rate.updatedAt = std::max(rate.updatedAt, now);
}

void OverloadControl::noteAdmitted(const state::ClientAccountId &account, std::uint8_t rank,
                                   state::Instant now)
{
    constexpr int forgottenAfter = 5; // averaging times; less than a hundredth is left by then
    const std::size_t index = indexOf(rank);
    count(this->admittedByRank.at(index), 1, now, this->settings.rankAveragingTime);
    count(this->admittedByAccount[account], this->heldSeconds.at(index), now,
          this->settings.averagingTime);
    std::erase_if(this->admittedByAccount, [&](const auto &each) {
        return now - each.second.updatedAt > this->settings.averagingTime * forgottenAfter;
    });
}

void OverloadControl::noteHeld(std::uint8_t rank, state::Duration held)
{
    constexpr double newestWeight = 0.1;
    constexpr double shortestHold = 0.01;
    double &mean = this->heldSeconds.at(indexOf(rank));
    mean += newestWeight * (std::max(toSeconds(held), shortestHold) - mean);
}

double OverloadControl::shareRatio(const state::ClientAccountId &account, state::Instant now) const
{
    const auto found = this->admittedByAccount.find(account);
    if (found == this->admittedByAccount.end())
        return 1;
    double sum = 0;
    for (const auto &[id, rate] : this->admittedByAccount)
        sum += decayed(rate, now, this->settings.averagingTime);
    if (sum <= 0)
        return 1;
    return decayed(found->second, now, this->settings.averagingTime)
           * double(this->admittedByAccount.size()) / sum;
}

double OverloadControl::excessOf(const state::ClientAccountId &account, state::Instant now) const
{
    const double tolerated = this->settings.toleratedShareRatio;
    const double excess = this->shareRatio(account, now) - tolerated;
    return std::clamp(excess / (this->settings.fullExcessRatio - tolerated), 0.0, 1.0);
}

// Slots that may be taken once the request is admitted.
double OverloadControl::slotLimit(const OverloadQuery &query, state::Instant now) const
{
    const double reserved = this->settings.reservedShare * double(indexOf(query.rank))
                            + this->settings.overShareReserved * this->excessOf(query.account, now);
    return query.load.slots * std::max(1 - reserved, this->settings.idleShare);
}

// Requests of the query's rank that start per second while its slots are taken: those that the
// more urgent ones leave.
double OverloadControl::drainRate(const OverloadQuery &query, state::Instant now) const
{
    const std::size_t index = indexOf(query.rank);
    double left = this->slotLimit(query, now);
    // All ranks of other accounts go before an account beyond its share.
    const bool isBeyond = this->excessOf(query.account, now) > 0;
    const std::size_t ranksAhead = isBeyond ? ranks : index;
    for (std::size_t rank = 0; rank < ranksAhead; ++rank)
        left -= decayed(this->admittedByRank.at(rank), now, this->settings.rankAveragingTime)
                * this->heldSeconds.at(rank);
    const double least = query.load.slots * this->settings.leastDrainShare;
    return std::max(left, least) / this->heldSeconds.at(index);
}

bool OverloadControl::isIdle(const ServiceLoad &load) const
{
    return load.waiting <= 0 && load.taken < load.slots * this->settings.idleShare;
}

OverloadDecision OverloadControl::decide(const OverloadQuery &query, state::Instant now)
{
    const ServiceLoad &load = query.load;
    // Without slots nothing is known of the capacity; the request waits for endpoints.
    if (load.slots <= 0)
        return {query.latestStart > state::Duration(0) ? Verdict::Wait : Verdict::Refuse,
                {},
                query.latestStart > state::Duration(0)
                        ? state::Duration(0)
                        : this->returnTime(query.rank, {}, query.timeLeft, now)};
    if (this->isIdle(load))
        return {};
    const double missing = std::max(load.taken + 1 - this->slotLimit(query, now), 0.0);
    if (missing <= 0 && query.waitingAhead <= 0 && query.secondsAhead <= 0)
        return {};
    const double slotWait = (missing + query.waitingAhead) / this->drainRate(query, now);
    const state::Duration wait = toDuration(std::max(slotWait, query.secondsAhead));
    // A queued request keeps its place while it can be in time: refused because the estimate
    // moved, it would have waited for nothing.
    const state::Duration allowed =
            query.queued
                    ? state::Duration(0)
                    : toDuration(toSeconds(query.latestStart) * this->settings.expectedWaitShare);
    const bool inTime = query.queued ? query.latestStart > state::Duration(0) : wait <= allowed;
    if (inTime)
        return {Verdict::Wait, wait, {}};
    return {Verdict::Refuse, wait, this->returnTime(query.rank, wait, query.timeLeft, now)};
}

state::Duration OverloadControl::returnTime(std::uint8_t rank, state::Duration expected,
                                            state::Duration timeLeft, state::Instant now)
{
    // Each rank has a band of the time between the expected capacity and the bound. Within the band
    // every refusal returns a little later than the one before it.
    constexpr double givenPerBand = 32;
    constexpr double latestOpening = 0.5; // of the bound; the rest spreads the callers
    const std::size_t index = indexOf(rank);
    const double bound =
            toSeconds(timeLeft) * this->settings.returnShare * this->settings.returnMargin;
    const double opening =
            std::min(std::max(toSeconds(expected), toSeconds(this->settings.shortestReturn)),
                     bound * latestOpening);
    const double width = (bound - opening) / double(ranks);
    const state::Instant bandStart = now + toDuration(opening + width * double(index));
    const state::Instant bandEnd = now + toDuration(opening + width * double(index + 1));
    state::Instant chosen = bandStart;
    state::Instant &latest = this->latestReturn.at(index);
    if (latest < bandEnd && latest != state::Instant{}) {
        const state::Duration gap = std::max(toDuration(width / givenPerBand), returnGap);
        // Once the band is nearly used up, half of what is left, so that the order holds.
        chosen = std::max(bandStart, std::min(latest + gap, latest + (bandEnd - latest) / 2));
    } else if (latest >= bandEnd) {
        chosen = bandEnd;
    }
    latest = std::max(latest, chosen);
    return std::max(chosen - now, state::Duration(1));
}

} // namespace lavenderthread::coordination::admission
