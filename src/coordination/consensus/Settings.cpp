// Validation of the settings, and the lease derived from them.
#include "coordination/consensus/Settings.h"

namespace lavenderthread::coordination::consensus {

namespace {

constexpr std::int64_t perMille = 1000;
constexpr std::uint32_t maximumDriftPerMille = 200;

} // namespace

state::Result<void> Settings::check() const
{
    const auto refuse = [](const char *cause) {
        return state::makeError(state::ErrorCode::InvalidArgument, "consensus.settings", cause);
    };
    if (this->heartbeatInterval.count() <= 0)
        return refuse("heartbeatInterval must be above 0");
    if (this->electionTimeout < 3 * this->heartbeatInterval)
        return refuse("electionTimeout must be at least 3 * heartbeatInterval");
    if (this->diskStallTimeout < this->electionTimeout)
        return refuse("diskStallTimeout must be at least electionTimeout");
    if (this->clockDriftPerMille > maximumDriftPerMille)
        return refuse("clockDriftPerMille must be at most 200");
    if (this->maximumBatchEntries == 0 || this->maximumBatchBytes == 0
        || this->maximumInFlightEntries < this->maximumBatchEntries)
        return refuse("maximumBatchEntries and maximumBatchBytes must be above 0, and "
                      "maximumInFlightEntries at least maximumBatchEntries");
    if (this->maximumPayloadBytes == 0 || this->maximumPayloadBytes > this->maximumBatchBytes)
        return refuse("maximumPayloadBytes must be 1 to maximumBatchBytes");
    if (this->snapshotChunkBytes == 0 || this->compactionEntries <= this->trailingEntries)
        return refuse(
                "snapshotChunkBytes must be above 0, and compactionEntries above trailingEntries");
    if (this->minimumCompactionBytes > this->maximumCompactionBytes)
        return refuse("minimumCompactionBytes must be at most maximumCompactionBytes");
    return state::outcome::success();
}

state::Duration Settings::lease() const
{
    const std::int64_t drift = this->clockDriftPerMille;
    return this->electionTimeout * (perMille - drift) / (perMille + drift)
           - state::Duration(1); // both clocks round down to 1 us
}

} // namespace lavenderthread::coordination::consensus
