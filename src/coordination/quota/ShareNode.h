// Weights as shares of the whole fleet: each entry learns how many others have a backlog of the
// same account, and how much weight waits in all, so that its own queue and its own pace add up
// with those of the others to what the table says.
//
// Each sum is kept by one live entry, its broker, found by rendezvous hash. A wrong or lost broker
// makes shares uneven for a moment and breaks nothing: the limits are kept by QuotaNode.
#pragma once

#include "coordination/quota/QuotaTypes.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace lavenderthread::coordination::quota {

// Key of the sum of all waiting weight, beside the keys of accounts.
constexpr QuotaKey fleetKey = 0;

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
    bool settled = false; // the broker has heard everyone since it took over

    auto operator<=>(const ShareSum &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->sum, this->reporters, this->settled);
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
        archive(this->from, this->reports, this->sums);
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

    void setLive(std::vector<state::VmId> entries) { this->live = std::move(entries); }
    // Weight 0: the account has no backlog here.
    void setBacklog(QuotaKey key, std::uint32_t weight, state::Instant now);

    std::vector<OutgoingShareMessage> tick(state::Instant now);
    std::vector<OutgoingShareMessage> receive(const ShareMessage &message, state::Instant now);

    // The part of the account's weight that counts here; for the entry's fair queue.
    double weightHere(QuotaKey key) const;
    // The part of the fleet's work that this entry should have under way, 0 to 1.
    double fleetShare() const;

private:
    // What this entry reports of one key, and what it heard of the sum.
    struct Reported
    {
        std::uint32_t weight = 0;
        std::uint64_t sum = 0; // 0: not heard yet
        bool settled = false;  // the sum came from a broker that had heard everyone
        state::Instant since;
        state::Instant heardAt;
        state::Instant nextReport{};
        state::Duration interval = std::chrono::milliseconds(500);
    };

    struct Contribution
    {
        std::uint32_t value = 0;
        state::Instant until;
    };

    // What this entry keeps as a broker of one key.
    struct Brokered
    {
        std::map<state::VmId, Contribution> contributions;
        state::Instant since; // of the first report
    };

    const state::VmId &brokerOf(QuotaKey key) const;
    std::uint32_t valueOf(QuotaKey key, const Reported &reported) const;
    double waitingWeight() const;
    ShareSum contribute(const state::VmId &from, const ShareReport &report, state::Instant now);
    void hear(const ShareSum &sum, state::Instant now);

    state::VmId self;
    std::vector<state::VmId> live; // sorted; this entry included
    std::unordered_map<QuotaKey, Reported> reported;
    std::unordered_map<QuotaKey, Brokered> brokered;
};

} // namespace lavenderthread::coordination::quota
