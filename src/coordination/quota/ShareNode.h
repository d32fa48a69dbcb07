// Applies weights to the whole fleet. Each entry learns how many entries have a backlog of the same
// account, and the total weight that waits. It scales its own queue weights and its own work by
// them, so that all entries together follow the weights of the table.
//
// Each sum is kept by one live entry, its broker, chosen by rendezvous hashing. A wrong or failed
// broker only makes shares uneven for a short time: QuotaNode enforces the limits.
#pragma once

#include "coordination/quota/QuotaTypes.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace lavenderthread::coordination::quota {

// Key of the sum of all waiting weight; every other key is that of an account.
constexpr QuotaKey totalWeightKey = 0;

struct ShareReport
{
    QuotaKey key = 0;
    std::uint32_t value = 0; // 1 for an account; thousandths of weight for the fleet

    auto operator<=>(const ShareReport &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->value);
    }
};

struct ShareSum
{
    QuotaKey key = 0;
    std::uint64_t sum = 0;
    std::uint16_t reporters = 0;
    bool complete = false; // all entries have reported since the broker took over

    auto operator<=>(const ShareSum &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->sum, this->reporters, this->complete);
    }
};

struct ShareMessage
{
    state::VmId from;
    std::vector<ShareReport> reports;
    std::vector<ShareSum> sums;

    auto operator<=>(const ShareMessage &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->from);
        serializeWithShortLength(archive, this->reports);
        serializeWithShortLength(archive, this->sums);
    }
};

struct OutgoingShareMessage
{
    state::VmId to;
    ShareMessage message;

    auto operator<=>(const OutgoingShareMessage &) const = default;
};

class ShareNode
{
public:
    explicit ShareNode(state::VmId self)
        : self(std::move(self))
    {}

    void setLiveEntries(std::vector<state::VmId> entries)
    {
        this->liveEntries = std::move(entries);
    }
    // `weight`: 0 if the account has no backlog here.
    void setBacklog(QuotaKey key, std::uint32_t weight, state::Instant now);

    std::vector<OutgoingShareMessage> tick(state::Instant now);
    std::vector<OutgoingShareMessage> receive(const ShareMessage &message, state::Instant now);

    // The fraction of the account's weight that applies at this entry, for its fair queue.
    double localWeight(QuotaKey key) const;
    // The fraction of the fleet's work that this entry should have in progress, 0 to 1.
    double fleetShare() const;

private:
    // The report of this entry for one key, and the last sum that it received.
    struct LocalReport
    {
        std::uint32_t weight = 0;
        std::uint64_t sum = 0; // 0: not received yet
        bool complete = false; // the broker of the sum had reports of all entries
        state::Instant backlogSince;
        state::Instant sumReceivedAt;
        state::Instant nextReport{};
        state::Duration interval = std::chrono::milliseconds(500);
    };

    struct Contribution
    {
        std::uint32_t value = 0;
        state::Instant until;
    };

    // The state of this entry as the broker of one key.
    struct BrokerState
    {
        std::map<state::VmId, Contribution> contributions;
        state::Instant firstReportAt; // of the first report
    };

    const state::VmId &brokerOf(QuotaKey key) const;
    std::uint32_t valueOf(QuotaKey key, const LocalReport &reported) const;
    double waitingWeight() const;
    ShareSum addReport(const state::VmId &from, const ShareReport &report, state::Instant now);
    void receiveSum(const ShareSum &sum, state::Instant now);

    state::VmId self;
    std::vector<state::VmId> liveEntries; // sorted; this entry included
    std::unordered_map<QuotaKey, LocalReport> localReports;
    std::unordered_map<QuotaKey, BrokerState> brokerStates;
};

} // namespace lavenderthread::coordination::quota
