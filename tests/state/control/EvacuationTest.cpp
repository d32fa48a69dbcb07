// Tests of operators' orders that keep new work away from a failure domain.
#include "protocol/ControlCommands.h"
#include "state/control/ControlState.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::state::control {

namespace {

const FailureDomain north("north");

class Log
{
public:
    Answer set(const FailureDomain &failureDomain, bool evacuated, std::uint64_t expectedVersion)
    {
        return this->state.apply({1, ++this->index}, SetEvacuation{failureDomain, evacuated,
                                                                   expectedVersion, "caller"});
    }
    std::uint64_t versionOf(const FailureDomain &failureDomain) const
    {
        return this->state.view().evacuations.find(failureDomain)->version;
    }

    ControlState state;
    std::uint64_t index = 0;
};

bool isAccepted(const Answer &answer)
{
    return std::holds_alternative<Accepted>(answer);
}

} // namespace

class EvacuationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationTest);
    CPPUNIT_TEST(resentOrderIsAcceptedAgain);
    CPPUNIT_TEST(delayedOrderDoesNotUndoLaterOne);
    CPPUNIT_TEST(domainsAreIndependent);
    CPPUNIT_TEST(entriesThatAreBehindLearnOfIt);
    CPPUNIT_TEST(snapshotKeepsEvacuationsAndEndedOnes);
    CPPUNIT_TEST(numberOfDomainsIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusing an order whose first acknowledgement was lost, at whatever member it
    // arrives: one that knows the order, or one that is behind.
    void resentOrderIsAcceptedAgain()
    {
        Log log;
        CPPUNIT_ASSERT(isAccepted(log.set(north, true, 0)));
        const std::uint64_t begun = log.versionOf(north);
        CPPUNIT_ASSERT(isAccepted(log.set(north, true, 0)));
        CPPUNIT_ASSERT(isAccepted(log.set(north, true, begun)));
        CPPUNIT_ASSERT_EQUAL(begun, log.versionOf(north));
        CPPUNIT_ASSERT(isAccepted(log.set(north, false, begun)));
        CPPUNIT_ASSERT(isAccepted(log.set(north, false, begun)));
        CPPUNIT_ASSERT(!log.state.view().isEvacuated(north));
    }

    // A member is cut off with a begin; it is sent elsewhere, and the evacuation is finished.
    // Guards against the held up begin, which evacuates the domain again when the member is back.
    void delayedOrderDoesNotUndoLaterOne()
    {
        Log log;
        log.set(north, true, 0);
        const std::uint64_t begun = log.versionOf(north);
        log.set(north, false, begun);
        const Answer delayed = log.set(north, true, 0);
        CPPUNIT_ASSERT(std::get<Refused>(delayed).error.code == ErrorCode::Conflict);
        CPPUNIT_ASSERT(!log.state.view().isEvacuated(north));
        log.set(north, true, log.versionOf(north));
        CPPUNIT_ASSERT(!isAccepted(log.set(north, false, begun)));
        CPPUNIT_ASSERT(log.state.view().isEvacuated(north));
    }

    void domainsAreIndependent()
    {
        Log log;
        const FailureDomain south("south");
        log.set(north, true, 0);
        CPPUNIT_ASSERT(isAccepted(log.set(south, true, 0)));
        CPPUNIT_ASSERT(isAccepted(log.set(north, false, log.versionOf(north))));
        CPPUNIT_ASSERT(!log.state.view().isEvacuated(north));
        CPPUNIT_ASSERT(log.state.view().isEvacuated(south));
    }

    // Guards against entries that never learn of an order, since they ask for the changes after a
    // version that they have.
    void entriesThatAreBehindLearnOfIt()
    {
        Log log;
        log.state.apply({1, ++log.index}, ReplaceConfiguration{{7, "text"}});
        const std::uint64_t known = log.state.view().version;
        log.set(north, true, 0);
        const std::vector<FeedPage> pages = log.state.changesSince(known);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pages.size());
        CPPUNIT_ASSERT_EQUAL(known, pages.front().from);
        const auto &mark = std::get<EvacuationMark>(pages.front().changes.front());
        CPPUNIT_ASSERT(mark.failureDomain == north && mark.evacuated);
    }

    // Guards against a restart from a snapshot that forgets an evacuation, or the version by which
    // a delayed order is told from a new one.
    void snapshotKeepsEvacuationsAndEndedOnes()
    {
        Log log;
        const FailureDomain south("south");
        log.set(north, true, 0);
        log.set(south, true, 0);
        log.set(south, false, log.versionOf(south));
        const auto restored =
                protocol::decodeControlState(protocol::encodeControlState(log.state), {});
        CPPUNIT_ASSERT(restored.has_value());
        Log again;
        again.state = restored.value();
        again.index = log.index;
        CPPUNIT_ASSERT(again.state.view().isEvacuated(north));
        CPPUNIT_ASSERT(!again.state.view().isEvacuated(south));
        CPPUNIT_ASSERT(!isAccepted(again.set(south, true, 0)));
    }

    // Guards against calls that name ever new domains and fill the memory of all nodes.
    void numberOfDomainsIsBounded()
    {
        Log log;
        const std::size_t bound = ControlLimits{}.evacuations;
        for (std::size_t each = 0; each < bound; ++each)
            CPPUNIT_ASSERT(isAccepted(log.set(FailureDomain(std::to_string(each)), true, 0)));
        const Answer answer = log.set(north, true, 0);
        CPPUNIT_ASSERT(std::get<Refused>(answer).error.code == ErrorCode::Overloaded);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

} // namespace lavenderthread::state::control
