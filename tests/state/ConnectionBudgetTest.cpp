// Tests which connections make room for others, and that none does that must not.
#include "state/ConnectionBudget.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace lavenderthread::state {

namespace {

using std::chrono::milliseconds;
using Id = ConnectionBudget::Id;

constexpr ConnectionBudget::Listener callers = 1;
constexpr ConnectionBudget::Listener operators = 2;
constexpr std::size_t any = 1'000;

Instant at(int ms)
{
    return Instant(milliseconds(ms));
}

} // namespace

class ConnectionBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionBudgetTest);
    CPPUNIT_TEST(theOneThatHasWaitedLongestMakesRoom);
    CPPUNIT_TEST(unfinishedRequestsMakeRoomBeforeIdleConnections);
    CPPUNIT_TEST(burstOfNewConnectionsPushesOutNoIdleOne);
    CPPUNIT_TEST(nothingIsClosedForARequestThatHasNoRoomEvenThen);
    CPPUNIT_TEST(connectionsWithARequestMakeNoRoom);
    CPPUNIT_TEST(eachListenerKeepsSomeConnections);
    CPPUNIT_TEST(fullListenerMakesRoomAmongItsOwn);
    CPPUNIT_TEST(largestUnfinishedRequestMakesRoomForBytes);
    CPPUNIT_TEST(smallRequestsAreServedBesideLargeOnes);
    CPPUNIT_TEST(singleConnectionMayHoldAnyNumber);
    CPPUNIT_TEST(slowestReaderIsClosed);
    CPPUNIT_TEST(sumsHoldOverAnyCalls);
    CPPUNIT_TEST_SUITE_END();

    static ConnectionBudget make(std::size_t connections, std::size_t reserved = 0)
    {
        ConnectionBudget::Settings settings;
        settings.connections = connections;
        settings.reserved = reserved;
        settings.bytes = 1'000;
        settings.uncounted = 100;
        settings.patience = milliseconds(500);
        settings.longPatience = milliseconds(2'000);
        return ConnectionBudget(settings);
    }

    static Id admitted(ConnectionBudget &budget, int ms,
                       ConnectionBudget::Listener listener = callers)
    {
        const auto admission = budget.admit(listener, any, at(ms));
        CPPUNIT_ASSERT(admission.admitted);
        return *admission.admitted;
    }

    static bool resize(ConnectionBudget &budget, Id connection, std::size_t bytes, int ms,
                       std::vector<Id> expected = {})
    {
        std::vector<Id> closed;
        const bool hasRoom = budget.resize(connection, bytes, at(ms), closed);
        CPPUNIT_ASSERT(expected == closed);
        return hasRoom;
    }

public:
    // Guards against a crowd that holds all connections, with none left for others.
    void theOneThatHasWaitedLongestMakesRoom()
    {
        ConnectionBudget budget = make(2);
        const Id first = admitted(budget, 0);
        admitted(budget, 10);
        CPPUNIT_ASSERT(!budget.admit(callers, any, at(499)).admitted);
        const auto admission = budget.admit(callers, any, at(500));
        CPPUNIT_ASSERT(admission.admitted);
        CPPUNIT_ASSERT(admission.closed == std::optional(first));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), budget.counts().refusedConnections);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), budget.counts().closedForConnections);
    }

    // Guards against closing the connections of callers that behave before those of a crowd, and
    // against cutting off an upload where an idle connection would do.
    void unfinishedRequestsMakeRoomBeforeIdleConnections()
    {
        for (const bool lastsTooLong : {false, true}) {
            ConnectionBudget budget = make(2);
            const Id kept = admitted(budget, 0);
            budget.enter(kept, ConnectionPhase::Handling, at(1));
            budget.enter(kept, ConnectionPhase::Idle, at(2));
            const Id unfinished = admitted(budget, 1'000);
            const auto admission = budget.admit(callers, any, at(lastsTooLong ? 3'000 : 2'999));
            CPPUNIT_ASSERT(admission.closed == std::optional(lastsTooLong ? unfinished : kept));
            CPPUNIT_ASSERT(!budget.enter(*admission.closed, ConnectionPhase::Handling, at(3'000)));
        }
    }

    // Guards against a burst of strangers that pushes out peers, which are idle between messages.
    void burstOfNewConnectionsPushesOutNoIdleOne()
    {
        ConnectionBudget budget = make(10);
        const Id peer = admitted(budget, 0);
        budget.enter(peer, ConnectionPhase::Idle, at(0));
        for (int stranger = 0; stranger < 9; ++stranger)
            admitted(budget, 60'000);
        CPPUNIT_ASSERT(!budget.admit(callers, any, at(60'100)).admitted);
        CPPUNIT_ASSERT(budget.admit(callers, any, at(60'500)).closed == std::optional(peer));
    }

    // Guards against uploads that are ended for a request that is refused all the same.
    void nothingIsClosedForARequestThatHasNoRoomEvenThen()
    {
        ConnectionBudget budget = make(10);
        const Id handled = admitted(budget, 0);
        const Id upload = admitted(budget, 0);
        CPPUNIT_ASSERT(resize(budget, handled, 800, 0));
        CPPUNIT_ASSERT(resize(budget, upload, 300, 0));
        budget.enter(handled, ConnectionPhase::Handling, at(0));
        CPPUNIT_ASSERT(!resize(budget, admitted(budget, 0), 500, 1'000));
        CPPUNIT_ASSERT(resize(budget, upload, 310, 1'000));
    }

    // Guards against cutting off a request that is being served.
    void connectionsWithARequestMakeNoRoom()
    {
        ConnectionBudget budget = make(1);
        const Id served = admitted(budget, 0);
        budget.enter(served, ConnectionPhase::Handling, at(0));
        CPPUNIT_ASSERT(resize(budget, served, 5'000, 0));
        CPPUNIT_ASSERT(!budget.admit(callers, any, at(60'000)).admitted);
    }

    // Guards against operators who can't connect, since callers hold all connections.
    void eachListenerKeepsSomeConnections()
    {
        ConnectionBudget budget = make(2, 1);
        admitted(budget, 0);
        admitted(budget, 0);
        const Id served = admitted(budget, 0, operators);
        const auto admission = budget.admit(callers, any, at(1'000));
        CPPUNIT_ASSERT(admission.closed && *admission.closed != served);
    }

    void fullListenerMakesRoomAmongItsOwn()
    {
        ConnectionBudget budget = make(10);
        admitted(budget, 0, operators);
        const Id own = admitted(budget, 100);
        CPPUNIT_ASSERT(budget.admit(callers, 1, at(1'000)).closed == std::optional(own));
    }

    // Guards against a process whose memory is filled by bodies that stop short of their ends.
    void largestUnfinishedRequestMakesRoomForBytes()
    {
        ConnectionBudget budget = make(10);
        const Id small = admitted(budget, 0);
        const Id large = admitted(budget, 0);
        const Id next = admitted(budget, 0);
        CPPUNIT_ASSERT(resize(budget, small, 300, 0));
        CPPUNIT_ASSERT(resize(budget, large, 800, 0));
        CPPUNIT_ASSERT(!resize(budget, next, 600, 499));
        CPPUNIT_ASSERT(resize(budget, next, 600, 500, {large}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(200 + 500), budget.counts().bytes);
        CPPUNIT_ASSERT(!resize(budget, large, 10, 600)); // closed
    }

    // Guards against ordinary requests that are refused, since large ones hold all room.
    void smallRequestsAreServedBesideLargeOnes()
    {
        ConnectionBudget budget = make(10);
        const Id large = admitted(budget, 0);
        CPPUNIT_ASSERT(resize(budget, large, 1'100, 0));
        CPPUNIT_ASSERT(resize(budget, admitted(budget, 0), 100, 0));
        CPPUNIT_ASSERT(!resize(budget, admitted(budget, 0), 101, 0));
    }

    // Guards against refusing a request inside the limits in calm.
    void singleConnectionMayHoldAnyNumber()
    {
        ConnectionBudget budget = make(10);
        admitted(budget, 0);
        const Id large = admitted(budget, 0);
        CPPUNIT_ASSERT(resize(budget, large, 2'000, 0));
        CPPUNIT_ASSERT(resize(budget, large, 9'000, 0));
    }

    // Guards against answers that nobody reads and that leave no room for others.
    void slowestReaderIsClosed()
    {
        ConnectionBudget budget = make(10);
        const Id slow = admitted(budget, 0);
        const Id fast = admitted(budget, 0);
        for (const Id reader : {slow, fast}) {
            budget.setAnswerBytes(reader, 1'000);
            budget.enter(reader, ConnectionPhase::Sending, at(reader == slow ? 0 : 900));
        }
        CPPUNIT_ASSERT(!budget.closeSlowestReader(at(400)));
        CPPUNIT_ASSERT(budget.closeSlowestReader(at(1'000)) == std::optional(slow));
        CPPUNIT_ASSERT(!budget.closeSlowestReader(at(1'000)));
    }

    // Guards against bytes or connections that stay counted when what held them is gone.
    void sumsHoldOverAnyCalls()
    {
        std::mt19937 random(11);
        ConnectionBudget budget = make(5, 1);
        std::vector<Id> known;
        for (int ms = 0; ms < 20'000; ms += 7) {
            const auto draw = random() % 4;
            const Id one = known.empty() ? 0 : known[random() % known.size()];
            if (draw == 0) {
                const auto listener = ConnectionBudget::Listener(1 + random() % 3);
                if (const auto admission = budget.admit(listener, 4, at(ms)); admission.admitted)
                    known.push_back(*admission.admitted);
            } else if (draw == 1) {
                std::vector<Id> closed;
                budget.resize(one, random() % 700, at(ms), closed);
            } else if (draw == 2) {
                budget.enter(one, ConnectionPhase(random() % 4), at(ms));
            } else if (random() % 4 == 0) {
                budget.leave(one);
            }
            CPPUNIT_ASSERT(budget.counts().connections <= 5 + 3);
            CPPUNIT_ASSERT(budget.counts().bytes <= 1'000);
        }
        for (const Id each : known)
            budget.leave(each);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.counts().bytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.counts().connections);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionBudgetTest);

} // namespace lavenderthread::state
