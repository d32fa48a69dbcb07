// Weighted fair queueing of waiting requests by tokens, with a flow for each table row, that is,
// each (client account, work class).
//
// The service of a row is the number of its tokens that any entry has dispatched, decayed
// exponentially with a time constant of serviceDecaySeconds and divided by the row's weight; the
// row with the least service goes first. All entries charge the same work notes, so they agree on
// the order without coordination. An idle row that becomes active starts with at least the service
// of the least served waiting row, so being idle earns no credit.
#pragma once

#include "state/Ids.h"
#include "state/TableRow.h"
#include "state/Time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lavenderthread::coordination::admission {

// Class of a prompt by its length; the three bounds are in PolicySettings. Among rows within their
// share the shorter class goes first.
enum class LengthClass : std::uint8_t { Short, Medium, Long, Huge };
constexpr std::size_t lengthClassCount = 4;

struct QueuedRequest
{
    state::RequestId id;
    state::TableKey key;
    LengthClass lengthClass = LengthClass::Short;
    std::uint64_t tokens = 0; // prompt and maximum output
};

// The first waiting request of a row and length class.
struct QueueHead
{
    QueuedRequest request;
    double service = 0;        // of its row: decayed tokens per weight
    std::uint8_t priority = 0; // of its row
};

class FairQueue
{
public:
    // Ignored if it is older than the known version of the row.
    void setRow(const state::TableRow &row);
    const state::TableRow &row(const state::TableKey &key) const;

    void push(const QueuedRequest &request, bool front, state::Instant now);
    bool remove(const QueuedRequest &request);
    void charge(const state::TableKey &key, double tokens, state::Instant now);

    // The heads of the `limit` least served waiting rows of each (priority, length class), in the
    // order in which placement should try them. Rows that are ahead of the least served one by more
    // than burstTokens come last.
    std::vector<QueueHead> heads(std::size_t limit, double burstTokens, state::Instant now) const;

    double service(const state::TableKey &key, state::Instant now) const; // tokens per weight
    double tokensPerSecond(const state::TableKey &key, state::Instant now) const;
    std::optional<double> leastService(state::Instant now) const; // over the waiting rows
    // The least service among the rows that wait at peers; nothing if none waits. It counts for the
    // initial service of an own row that becomes active.
    void setPeersLeastService(std::optional<double> least) { this->peersLeastService = least; }
    // Over the waiting rows here and at peers.
    std::optional<double> leastServiceAnywhere(state::Instant now) const;

    std::size_t size() const { return this->waiting; }
    std::uint64_t waitingTokensOf(const state::TableKey &key) const;
    std::uint64_t
    waitingTokensUpTo(LengthClass last) const; // waiting in that class and shorter ones
    std::uint64_t weightWaiting() const { return this->waitingWeight; }
    std::size_t rowCount() const { return this->flows.size(); }

private:
    // The state of one table row.
    struct Flow
    {
        state::TableRow row;
        double scaledService = 0; // service times decayScale(); decay leaves it unchanged
        std::uint64_t tokens = 0;
        std::size_t waiting = 0;
        std::array<std::deque<QueuedRequest>, lengthClassCount> queues;
    };
    struct KeyHash
    {
        std::size_t operator()(const state::TableKey &key) const noexcept;
    };
    // Ordered by scaled service; the second member is the index of the flow.
    using RowOrder = std::set<std::pair<double, std::uint32_t>>;

    static constexpr std::size_t priorityLevels = 10;

    std::uint32_t flowIndexOf(const state::TableKey &key);
    RowOrder &rowOrderOf(const Flow &flow, std::size_t lengthClass);
    void setScaledService(std::uint32_t index, double value);
    // The factor by which services have decayed since the epoch. Scaled services are divided by it
    // when read, so decay needs no update of all flows.
    double decayScale(state::Instant now) const;
    void rebase(state::Instant now);

    std::unordered_map<state::TableKey, std::uint32_t, KeyHash> flowIndexByKey;
    std::vector<Flow> flows;
    // Rows with a waiting request, for each (priority, length class), ordered by service. Decay
    // scales all rows equally, so the order holds between charges.
    std::array<RowOrder, priorityLevels * lengthClassCount> rowOrders;
    std::array<std::uint64_t, lengthClassCount> waitingTokens{};
    std::size_t waiting = 0;
    std::uint64_t waitingWeight = 0;
    state::Instant epoch{}; // when decayScale() is 1
    std::optional<double> peersLeastService;
};

} // namespace lavenderthread::coordination::admission
