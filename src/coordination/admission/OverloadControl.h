// The decision on a request while callers ask a service for more than its endpoints can serve:
// whether it is admitted, waits or is refused, and when a refused caller should return.
//
// The same decision is made at arrival, in the queue and before a retry. It does no I/O and reads
// no clock. Its input is what one entry knows: its own requests and its peers' work notes.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

namespace lavenderthread::coordination::admission {

enum class Verdict : std::uint8_t { Accept, Wait, Refuse };

struct OverloadSettings
{
    // Share of the slots that each rank leaves to the next more urgent one. Rank 0 may use all
    // slots. A free slot found this way needs no message, and stale counts cost at most the
    // margin: entries know of each other's requests after some milliseconds.
    double reservedShare = 0.06;
    // Share of the slots that an account leaves to others once it has fullExcessRatio times its
    // share of what is admitted. It exceeds the margins of all ranks, so that every request of
    // other accounts goes first.
    double overShareReserved = 0.3;
    // Ratio of an account's admitted work to its share that is tolerated. Accounts send at random,
    // and few requests of one account fall into the averaging time.
    double toleratedShareRatio = 1.15;
    double fullExcessRatio = 1.6;
    // Under this share of taken slots, with nothing waiting, every request is admitted.
    double idleShare = 0.5;
    // Part of the tolerated wait that the expected one may take at arrival. The estimate varies;
    // a request that is refused later than at arrival has waited for nothing.
    double expectedWaitShare = 0.7;
    // Least part of the drain rate that a rank is expected to get while more urgent ones come.
    double leastDrainShare = 0.05;
    state::Duration averagingTime = std::chrono::seconds(4); // of accounts' shares
    // Of the rates of ranks. All entries' requests of a rank are many, and a burst begins within
    // a second.
    state::Duration rankAveragingTime = std::chrono::seconds(1);
    // Callers follow a return time up to this part of the time that they have left.
    double returnShare = 1.0 / 3;
    // A return time of exactly a third could be above the caller's own bound, which is counted from
    // the receipt of the refusal some milliseconds later.
    double returnMargin = 0.9;
    state::Duration shortestReturn = std::chrono::milliseconds(50);

    auto operator<=>(const OverloadSettings &) const = default;
};

// The endpoints of one service as the entry knows them.
struct ServiceLoad
{
    double slots = 0;
    double taken = 0;
    double waiting = 0; // requests at the entries that wait for a slot

    auto operator<=>(const ServiceLoad &) const = default;
};

struct OverloadQuery
{
    std::uint8_t rank = 0; // priority of the request within its service; 0 is the most urgent
    state::ClientAccountId account;
    ServiceLoad load;
    double waitingAhead = 0;        // waiting requests that go before this one
    double secondsAhead = 0;        // until engines have done the prefill that goes first
    state::Duration latestStart{0}; // from now until the last start that is in time
    state::Duration timeLeft{0};    // from now until the deadline
    bool queued = false;            // admitted already; it waits in the queue

    auto operator<=>(const OverloadQuery &) const = default;
};

struct OverloadDecision
{
    Verdict verdict = Verdict::Accept;
    state::Duration expectedWait{0};
    state::Duration retryAfter{0}; // of a refusal

    auto operator<=>(const OverloadDecision &) const = default;
};

// Not thread safe.
class OverloadControl
{
public:
    static constexpr std::uint8_t ranks = 4; // priorities of 3 and above are treated alike

    explicit OverloadControl(OverloadSettings controlSettings = {})
        : settings(controlSettings)
    {}

    // Whether every request is admitted: half of the slots are free and nothing waits.
    bool isIdle(const ServiceLoad &load) const;
    OverloadDecision decide(const OverloadQuery &query, state::Instant now);
    // The time after which a caller that is refused now should return. Capacity is expected after
    // `expected`. Times given at one entry differ by a millisecond or more while the bound allows
    // it. They are ordered by rank and then by arrival.
    state::Duration returnTime(std::uint8_t rank, state::Duration expected,
                               state::Duration timeLeft, state::Instant now);

    // A request of any entry has been sent to an endpoint.
    void noteAdmitted(const state::ClientAccountId &account, std::uint8_t rank, state::Instant now);
    // A request of this entry has held its slot for that time.
    void noteHeld(std::uint8_t rank, state::Duration held);
    // The account's part of the admitted work, relative to an equal part for each account; 1 if
    // nothing is known.
    double shareRatio(const state::ClientAccountId &account, state::Instant now) const;

private:
    // Requests, or seconds for which they hold slots, per second; exponentially averaged.
    struct Rate
    {
        double value = 0; // at `updatedAt`
        state::Instant updatedAt{};
    };

    static std::size_t indexOf(std::uint8_t rank);
    static double decayed(const Rate &rate, state::Instant now, state::Duration averagingTime);
    static void count(Rate &rate, double amount, state::Instant now, state::Duration averagingTime);
    // 0: the account keeps to its share; 1: it is far beyond it.
    double excessOf(const state::ClientAccountId &account, state::Instant now) const;
    double slotLimit(const OverloadQuery &query, state::Instant now) const;
    double drainRate(const OverloadQuery &query, state::Instant now) const;

    OverloadSettings settings;
    std::array<Rate, ranks> admittedByRank{};
    // Slot seconds, without accounts that have sent nothing for several averaging times.
    std::map<state::ClientAccountId, Rate> admittedByAccount;
    std::array<state::Instant, ranks> latestReturn{}; // last instant given to a refused caller
    // Mean time for which a request of the rank holds its slot; a first guess until some have
    // ended.
    std::array<double, ranks> heldSeconds{1.5, 1.5, 1.5, 1.5};
};

} // namespace lavenderthread::coordination::admission
