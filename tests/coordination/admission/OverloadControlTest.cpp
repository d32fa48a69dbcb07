// OverloadControl: under a burst of twice the capacity urgent requests are served first, a surging
// account takes nothing from the others, and refusals come at arrival with spread return times.
#include "coordination/admission/OverloadControl.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lavenderthread::coordination::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kinds = 3;
constexpr std::size_t accounts = 24;
constexpr double slots = 720; // 60 engines of 12

struct Kind
{
    double capacityShare; // of the slots, at the usual load
    double heldSeconds;
    state::Duration target; // of the first event
    state::Duration limit;
};

const std::array<Kind, kinds> &mix()
{
    static const std::array<Kind, kinds> all = {{
            {0.45, 1.2, milliseconds(250), seconds(8)},
            {0.3, 1.6, milliseconds(1'500), seconds(10)},
            {0.25, 2.5, milliseconds(6'000), seconds(15)},
    }};
    return all;
}

struct Tally
{
    double asked = 0;
    double served = 0;

    double share() const { return this->asked == 0 ? 1 : this->served / this->asked; }
};

struct Outcome
{
    std::array<Tally, kinds> byKind;
    std::array<Tally, kinds> ofOthers; // without the account that surges
    double refused = 0;
    double refusedLate = 0; // after more than an eighth of the target
    double unbounded = 0;   // return times above a third of the time left
    double refusedIdle = 0;
    std::vector<state::Instant> returns;
};

// One entry that sees all requests of a service: arrivals, a queue by rank, slots.
class Replay
{
public:
    Replay(std::uint64_t seed, double surge)
        : random(seed)
        , surgeFactor(surge)
    {}

    Outcome run()
    {
        constexpr int steps = 20'000; // of one millisecond
        for (int step = 0; step < steps; ++step) {
            this->now += milliseconds(1);
            this->releaseSlots();
            this->startWaiting();
            this->arrivals(step >= burstFrom && step < burstTo);
        }
        return this->outcome;
    }

private:
    static constexpr int burstFrom = 3'000;
    static constexpr int burstTo = 15'000;
    static constexpr double usualLoad = 0.6;
    static constexpr double burstLoad = 2;

    struct Request
    {
        std::size_t kind = 0;
        std::size_t account = 0;
        state::Instant arrival;
        bool counted = false; // arrived in the burst
        bool returned = false;
    };

    void arrivals(bool burst)
    {
        const double ofFirst = burst ? this->surgeFactor : 1; // requests of the first account
        const double parts = double(accounts) - 1 + ofFirst;
        for (std::size_t kind = 0; kind < kinds; ++kind) {
            const double rate = (burst ? burstLoad : usualLoad) * mix().at(kind).capacityShare
                                * slots / mix().at(kind).heldSeconds;
            std::poisson_distribution<int> count(rate * parts / double(accounts) / 1'000);
            std::uniform_real_distribution<double> sender(0, parts);
            for (int left = count(this->random); left > 0; --left) {
                const double drawn = sender(this->random);
                const std::size_t account = drawn < ofFirst ? 0 : 1 + std::size_t(drawn - ofFirst);
                this->arrive({kind, std::min(account, accounts - 1), this->now, burst, false});
            }
        }
        while (!this->comingBack.empty() && this->comingBack.begin()->first <= this->now) {
            const Request request = this->comingBack.begin()->second;
            this->comingBack.erase(this->comingBack.begin());
            this->decide(request);
        }
    }

    void arrive(const Request &request)
    {
        if (request.counted) {
            ++this->outcome.byKind.at(request.kind).asked;
            if (request.account != 0)
                ++this->outcome.ofOthers.at(request.kind).asked;
        }
        this->decide(request);
    }

    OverloadQuery queryOf(const Request &request, double ahead) const
    {
        OverloadQuery query;
        query.rank = std::uint8_t(request.kind);
        query.account = accountOf(request);
        query.load = {slots, double(this->releases.size()), double(this->waiting.size())};
        query.waitingAhead = ahead;
        query.latestStart = request.arrival + mix().at(request.kind).target / 2 - this->now;
        query.timeLeft = request.arrival + mix().at(request.kind).limit - this->now;
        return query;
    }

    static state::ClientAccountId accountOf(const Request &request)
    {
        return state::ClientAccountId("account-" + std::to_string(request.account));
    }

    void decide(Request request)
    {
        if (request.returned)
            request.arrival = this->now;
        const auto ahead = double(std::ranges::count_if(
                this->waiting, [&](const Request &each) { return each.kind <= request.kind; }));
        const OverloadQuery query = this->queryOf(request, ahead);
        const OverloadDecision decision = this->control.decide(query, this->now);
        if (decision.verdict == Verdict::Accept) {
            this->start(request);
        } else if (decision.verdict == Verdict::Wait) {
            const auto place =
                    std::ranges::upper_bound(this->waiting, request.kind, {}, &Request::kind);
            this->waiting.insert(place, request);
        } else {
            this->refuse(request, query, decision);
        }
    }

    void refuse(const Request &request, const OverloadQuery &query,
                const OverloadDecision &decision)
    {
        constexpr int momentParts = 8;
        ++this->outcome.refused;
        this->outcome.refusedLate +=
                this->now - request.arrival > mix().at(request.kind).target / momentParts ? 1 : 0;
        this->outcome.unbounded += decision.retryAfter * 3 > query.timeLeft ? 1 : 0;
        this->outcome.refusedIdle +=
                query.load.taken < slots / 2 && query.load.waiting == 0 ? 1 : 0;
        this->outcome.returns.push_back(this->now + decision.retryAfter);
        if (request.returned)
            return;
        Request again = request;
        again.returned = true;
        this->comingBack.emplace(this->now + decision.retryAfter, again);
    }

    void startWaiting()
    {
        std::vector<Request> still;
        for (const Request &request : this->waiting) {
            OverloadQuery query = this->queryOf(request, 0);
            query.queued = true;
            // Those ahead of it have just been tried.
            const OverloadDecision decision = this->control.decide(query, this->now);
            if (decision.verdict == Verdict::Accept)
                this->start(request);
            else if (decision.verdict == Verdict::Refuse)
                this->refuse(request, query, decision);
            else
                still.push_back(request);
        }
        this->waiting = std::move(still);
    }

    void start(const Request &request)
    {
        const double held = mix().at(request.kind).heldSeconds;
        CPPUNIT_ASSERT(double(this->releases.size()) < slots);
        std::uniform_real_distribution<double> part(0.5, 1.5);
        const auto length = std::chrono::duration_cast<state::Duration>(
                std::chrono::duration<double>(held * part(this->random)));
        this->releases.emplace(this->now + length, std::pair(request.kind, length));
        this->control.noteAdmitted(accountOf(request), std::uint8_t(request.kind), this->now);
        if (!request.counted)
            return;
        ++this->outcome.byKind.at(request.kind).served;
        if (request.account != 0)
            ++this->outcome.ofOthers.at(request.kind).served;
    }

    void releaseSlots()
    {
        while (!this->releases.empty() && this->releases.begin()->first <= this->now) {
            const auto [kind, held] = this->releases.begin()->second;
            this->control.noteHeld(std::uint8_t(kind), held);
            this->releases.erase(this->releases.begin());
        }
    }

    std::mt19937_64 random;
    double surgeFactor;
    state::Instant now{seconds(100)};
    OverloadControl control;
    // With the kind and the time held.
    std::multimap<state::Instant, std::pair<std::size_t, state::Duration>> releases;
    std::multimap<state::Instant, Request> comingBack;
    std::vector<Request> waiting; // by rank, then by arrival
    Outcome outcome;
};

constexpr std::uint64_t seeds = 3;
constexpr double surge = 8;

// Each run serves several tests.
const Outcome &outcomeOf(std::uint64_t seed, double factor)
{
    static std::map<std::pair<std::uint64_t, double>, Outcome> known;
    auto found = known.find({seed, factor});
    if (found == known.end())
        found = known.emplace(std::pair(seed, factor), Replay(seed, factor).run()).first;
    return found->second;
}

} // namespace

class OverloadControlTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OverloadControlTest);
    CPPUNIT_TEST(nothingIsRefusedWhileHalfIsFree);
    CPPUNIT_TEST(lastSlotsAreLeftToMoreUrgentRanks);
    CPPUNIT_TEST(burstServesNoLessUrgentKindBetter);
    CPPUNIT_TEST(surgeTakesNothingFromOtherAccounts);
    CPPUNIT_TEST(burstIsRefusedAtArrival);
    CPPUNIT_TEST(returnTimesOfBurstAreSpread);
    CPPUNIT_TEST(returnTimesFollowRankAndArrival);
    CPPUNIT_TEST(returnTimesStayDistinctWithLittleTime);
    CPPUNIT_TEST(queuedRequestIsKeptUntilItIsLate);
    CPPUNIT_TEST_SUITE_END();

    const state::Instant start{seconds(100)};

    static OverloadQuery query(std::uint8_t rank, double taken)
    {
        OverloadQuery result;
        result.rank = rank;
        result.account = state::ClientAccountId("account");
        result.load = {slots, taken, 0};
        result.latestStart = milliseconds(100);
        result.timeLeft = seconds(9);
        return result;
    }

public:
    // A refusal with half of the slots free is wrong, whatever the rank or the account's share.
    void nothingIsRefusedWhileHalfIsFree()
    {
        OverloadControl control;
        for (int each = 0; each < 1'000; ++each)
            control.noteAdmitted(state::ClientAccountId("account"), 2, this->start);
        control.noteAdmitted(state::ClientAccountId("other"), 2, this->start);
        OverloadQuery late = query(9, slots / 2 - 1);
        late.latestStart = state::Duration(0);
        late.secondsAhead = 3;
        CPPUNIT_ASSERT(control.decide(late, this->start).verdict == Verdict::Accept);
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            CPPUNIT_ASSERT_EQUAL(0.0, outcomeOf(seed, surge).refusedIdle);
    }

    // Guards against less urgent requests that take each slot which becomes free: the replay below
    // orders its queue by rank, so it would not show that the decision ignores ranks.
    void lastSlotsAreLeftToMoreUrgentRanks()
    {
        OverloadControl control;
        const double nearlyFull = std::floor(slots * 0.95);
        CPPUNIT_ASSERT(control.decide(query(0, nearlyFull), this->start).verdict
                       == Verdict::Accept);
        CPPUNIT_ASSERT(control.decide(query(2, nearlyFull), this->start).verdict
                       != Verdict::Accept);
    }

    // Long prompts tolerate longer waits. Without a margin for urgent ones they would take each
    // slot that becomes free, while brief prompts are refused.
    void burstServesNoLessUrgentKindBetter()
    {
        constexpr double tolerance = 0.05;
        for (const double factor : {1.0, surge}) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const Outcome &outcome = outcomeOf(seed, factor);
                for (std::size_t urgent = 0; urgent < kinds; ++urgent) {
                    for (std::size_t other = urgent + 1; other < kinds; ++other)
                        CPPUNIT_ASSERT_LESSEQUAL(outcome.byKind.at(urgent).share() + tolerance,
                                                 outcome.byKind.at(other).share());
                }
            }
        }
    }

    // One of 24 accounts asks for eight times its load: the others are served as without it.
    void surgeTakesNothingFromOtherAccounts()
    {
        constexpr double tolerance = 0.05;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const Outcome &calm = outcomeOf(seed, 1);
            const Outcome &surging = outcomeOf(seed, surge);
            for (std::size_t kind = 0; kind < kinds; ++kind)
                CPPUNIT_ASSERT_GREATEREQUAL(calm.ofOthers.at(kind).share() - tolerance,
                                            surging.ofOthers.at(kind).share());
        }
    }

    // A caller that is held and then refused has lost the time in which it would have tried
    // elsewhere.
    void burstIsRefusedAtArrival()
    {
        constexpr double mostLate = 0.05;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const Outcome &outcome = outcomeOf(seed, surge);
            CPPUNIT_ASSERT_GREATER(0.0, outcome.refused);
            CPPUNIT_ASSERT_LESSEQUAL(mostLate * outcome.refused, outcome.refusedLate);
        }
    }

    // Callers that return together are a burst of their own.
    void returnTimesOfBurstAreSpread()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const Outcome &outcome = outcomeOf(seed, surge);
            CPPUNIT_ASSERT_EQUAL(0.0, outcome.unbounded);
            std::map<std::int64_t, double> byTenth; // of a second
            for (const state::Instant each : outcome.returns)
                ++byTenth[each.time_since_epoch() / milliseconds(100)];
            constexpr double mostShare = 0.03; // evenly over 12 s it would be 0.008
            for (const auto &[tenth, count] : byTenth)
                CPPUNIT_ASSERT_LESSEQUAL(mostShare * double(outcome.returns.size()), count);
        }
    }

    void returnTimesFollowRankAndArrival()
    {
        OverloadControl control;
        std::vector<state::Duration> times;
        for (const std::uint8_t rank : {2, 0, 1, 0, 2, 1})
            times.push_back(control.returnTime(rank, milliseconds(400), seconds(9), this->start));
        const std::vector<state::Duration> ordered = {times[1], times[3], times[2],
                                                      times[5], times[0], times[4]};
        CPPUNIT_ASSERT_GREATEREQUAL(milliseconds(400).count(),
                                    std::chrono::floor<milliseconds>(ordered.front()).count());
        for (std::size_t index = 1; index < ordered.size(); ++index)
            CPPUNIT_ASSERT(ordered[index] - ordered[index - 1] >= milliseconds(1));
        CPPUNIT_ASSERT(ordered.back() < seconds(3));
    }

    // Capacity is expected after the caller's bound: it still gets a time that it follows.
    void returnTimesStayDistinctWithLittleTime()
    {
        OverloadControl control;
        std::set<state::Duration> times;
        constexpr std::size_t refusals = 12;
        for (std::size_t each = 0; each < refusals; ++each)
            times.insert(control.returnTime(1, seconds(20), milliseconds(1'200), this->start));
        CPPUNIT_ASSERT_EQUAL(refusals, times.size());
        CPPUNIT_ASSERT(*times.rbegin() < milliseconds(400));
    }

    void queuedRequestIsKeptUntilItIsLate()
    {
        OverloadControl control;
        OverloadQuery waiting = query(2, slots);
        waiting.waitingAhead = 5'000;
        CPPUNIT_ASSERT(control.decide(waiting, this->start).verdict == Verdict::Refuse);
        waiting.queued = true;
        CPPUNIT_ASSERT(control.decide(waiting, this->start).verdict == Verdict::Wait);
        waiting.latestStart = state::Duration(0);
        CPPUNIT_ASSERT(control.decide(waiting, this->start).verdict == Verdict::Refuse);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadControlTest);

} // namespace lavenderthread::coordination::admission
