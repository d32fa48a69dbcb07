#include "coordination/routing/DemandSplit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lavenderthread::coordination::routing {

namespace {

constexpr double averagingSeconds = 60; // time constant; a single huge prompt takes tens of seconds
constexpr double maxUtilization = 0.98; // above it a group of engines counts as overloaded
constexpr double minDemand = 0.05; // busy engines; a kind without requests so far may still arrive
constexpr double overloadPenalty = 1'000;

// Expected number of requests in an M/M/1 queue; above maxUtilization a penalty that grows with
// demand.
double queueLength(double demand, double engines)
{
    const double utilization = demand / engines;
    if (utilization > maxUtilization)
        return overloadPenalty * utilization;
    return utilization / (1 - utilization);
}

} // namespace

DemandSplit::DemandSplit(const PolicySettings &settings)
    : shortWeight(settings.shortSlowdownWeight)
    , longWeight(settings.firstTokenWeight)
    , decodeSlowdownDuringPrefill(settings.prefillSlowsDecode)
{}

void DemandSplit::note(bool isShort, double prefillSeconds, state::Instant now)
{
    if (!this->hasDemand) {
        this->hasDemand = true;
        this->started = now;
        this->updated = now;
    }
    const double elapsed = std::chrono::duration<double>(now - this->updated).count();
    if (elapsed > 0) {
        const double kept = std::exp(-elapsed / averagingSeconds);
        this->shortDemand *= kept;
        this->longDemand *= kept;
        this->updated = now;
    }
    (isShort ? this->shortDemand : this->longDemand) += prefillSeconds / averagingSeconds;
}

std::size_t DemandSplit::longEngineCount(std::size_t count) const
{
    if (count < 2)
        return count;
    // The average starts at zero; dividing by the share reached so far corrects for that.
    const double age = std::chrono::duration<double>(this->updated - this->started).count();
    const double reachedShare =
            std::max(1 - std::exp(-age / averagingSeconds), 1 / averagingSeconds);
    const double shortLoad = std::max(this->shortDemand / reachedShare, minDemand);
    const double longLoad = std::max(this->longDemand / reachedShare, minDemand);
    std::size_t best = count / 2;
    double bestLoss = std::numeric_limits<double>::max();
    for (std::size_t engines = 1; engines < count; ++engines) {
        const double shortLoss = queueLength(shortLoad, double(count - engines))
                                 * (this->decodeSlowdownDuringPrefill - 1);
        const double longLoss = queueLength(longLoad, double(engines)) / std::sqrt(double(engines));
        const double loss = this->shortWeight * shortLoss + this->longWeight * longLoss;
        if (loss < bestLoss) {
            best = engines;
            bestLoss = loss;
        }
    }
    return this->hasDemand ? best : count / 2;
}

} // namespace lavenderthread::coordination::routing
