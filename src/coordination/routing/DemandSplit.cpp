#include "coordination/routing/DemandSplit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lavenderthread::coordination::routing {

namespace {

constexpr double memorySeconds = 60; // of the average; a huge prompt alone is tens of seconds
constexpr double mostUsed = 0.98;    // beyond it a part counts as overloaded
constexpr double leastDemand = 0.05; // busy engines; a kind that was not seen yet may come
constexpr double overloadPenalty = 1'000;

double crowding(double demand, double engines)
{
    const double used = demand / engines;
    if (used > mostUsed)
        return overloadPenalty * used;
    return used / (1 - used);
}

} // namespace

DemandSplit::DemandSplit(const PolicySettings &settings)
    : shortWeight(settings.shortSlowdownWeight)
    , longWeight(settings.firstTokenWeight)
    , slowdownBesidePrefill(settings.prefillSlowsDecode)
{}

void DemandSplit::note(bool isShort, double prefillSeconds, state::Instant now)
{
    if (!this->seen) {
        this->seen = true;
        this->started = now;
        this->updated = now;
    }
    const double elapsed = std::chrono::duration<double>(now - this->updated).count();
    if (elapsed > 0) {
        const double kept = std::exp(-elapsed / memorySeconds);
        this->shortDemand *= kept;
        this->longDemand *= kept;
        this->updated = now;
    }
    (isShort ? this->shortDemand : this->longDemand) += prefillSeconds / memorySeconds;
}

std::size_t DemandSplit::longEngines(std::size_t count) const
{
    if (count < 2)
        return count;
    // The average starts at nothing: what is missing of it after a start is made up for.
    const double age = std::chrono::duration<double>(this->updated - this->started).count();
    const double grown = std::max(1 - std::exp(-age / memorySeconds), 1 / memorySeconds);
    const double shorts = std::max(this->shortDemand / grown, leastDemand);
    const double longs = std::max(this->longDemand / grown, leastDemand);
    std::size_t best = count / 2;
    double bestLoss = std::numeric_limits<double>::max();
    for (std::size_t engines = 1; engines < count; ++engines) {
        const double shortLoss =
                crowding(shorts, double(count - engines)) * (this->slowdownBesidePrefill - 1);
        const double longLoss = crowding(longs, double(engines)) / std::sqrt(double(engines));
        const double loss = this->shortWeight * shortLoss + this->longWeight * longLoss;
        if (loss < bestLoss) {
            best = engines;
            bestLoss = loss;
        }
    }
    return this->seen ? best : count / 2;
}

} // namespace lavenderthread::coordination::routing
