// Weighted fair order of the waiting requests, by tokens, over (client account, work class).
//
// Each row's service is its tokens given by any entry, decayed over fairMemory and divided by its
// weight; the row with the least goes first. All entries charge the same work notes, so that they
// agree on who is behind without asking anybody. A row that was idle starts level with the least
// served waiting one, so that idling saves up nothing.
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

// By prompt length, PolicySettings' three bounds. Shorter goes first among rows within their share.
enum class LengthClass : std::uint8_t { Short, Medium, Long, Huge };
constexpr std::size_t lengthClasses = 4;

struct QueuedRequest
{
    state::RequestId id;
    state::TableKey key;
    LengthClass lengthClass = LengthClass::Short;
    std::uint64_t tokens = 0;
};

struct QueueHead
{
    QueuedRequest request;
    double service = 0; // decayed tokens per weight of its row
    std::uint8_t priority = 0;
};

class FairQueue
{
public:
    void setRow(const state::TableRow &row);
    const state::TableRow &row(const state::TableKey &key) const;

    void push(const QueuedRequest &request, bool front, state::Instant now);
    bool remove(const QueuedRequest &request);
    void charge(const state::TableKey &key, double tokens, state::Instant now);

    // The first `limit` waiting rows' heads of each (priority, length class), in the order in which
    // they should be tried; rows that lead the least served one by more than burstTokens last.
    std::vector<QueueHead> heads(std::size_t limit, double burstTokens, state::Instant now) const;

    double service(const state::TableKey &key, state::Instant now) const; // per weight
    double tokensPerSecond(const state::TableKey &key, state::Instant now) const;
    std::optional<double> leastService(state::Instant now) const; // over the waiting rows
    // The least service among rows that wait at peers; an own row that wakes starts level with it.
    void setPeersLeast(std::optional<double> least) { this->peersLeast = least; }
    std::optional<double> leastAnywhere(state::Instant now) const;

    std::size_t size() const { return this->waiting; }
    std::uint64_t tokensOf(const state::TableKey &key) const;
    std::uint64_t tokensUpTo(LengthClass last) const; // waiting in that class and shorter ones
    std::uint64_t weightWaiting() const { return this->waitingWeight; }
    std::size_t rows() const { return this->flows.size(); }

private:
    struct Flow
    {
        state::TableRow row;
        double inflated = 0; // service times growth at the time it was given
        std::uint64_t tokens = 0;
        std::size_t waiting = 0;
        std::array<std::deque<QueuedRequest>, lengthClasses> queues;
    };
    struct KeyHash
    {
        std::size_t operator()(const state::TableKey &key) const noexcept;
    };
    using Band = std::set<std::pair<double, std::uint32_t>>; // inflated service, index of the flow

    static constexpr std::size_t priorities = 10;

    std::uint32_t flowOf(const state::TableKey &key);
    Band &band(const Flow &flow, std::size_t lengthClass);
    void setInflated(std::uint32_t index, double inflated);
    double growth(state::Instant now) const;
    void rebase(state::Instant now);

    std::unordered_map<state::TableKey, std::uint32_t, KeyHash> index;
    std::vector<Flow> flows;
    // Rows with a waiting request of that priority and class, by service. Decay scales all rows
    // alike, so the order holds between charges.
    std::array<Band, priorities * lengthClasses> bands;
    std::array<std::uint64_t, lengthClasses> waitingTokens{};
    std::size_t waiting = 0;
    std::uint64_t waitingWeight = 0;
    state::Instant epoch{}; // growth is 1 here
    std::optional<double> peersLeast;
};

} // namespace lavenderthread::coordination::admission
