// Tests when a request leaves its entry's own paths for a peer.
#include "coordination/relay/PathChoice.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::relay {

using routing::PathState;

class PathChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PathChoiceTest);
    CPPUNIT_TEST(endedFailureDomainIsNotHandedToPeers);
    CPPUNIT_TEST(entryWithoutPathsAsksPeers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that go from peer to peer, 30 ms each, because the first engine that
    // they met was in a failure domain that is down.
    void endedFailureDomainIsNotHandedToPeers()
    {
        CPPUNIT_ASSERT(!shouldLeaveOwnPaths(PathState::Doubtful, {.ended = 1}, true));
        CPPUNIT_ASSERT(!shouldLeaveOwnPaths(PathState::Usable, {.ended = 5}, true));
    }

    // Guards against an entry that is cut off and tries one endpoint after the other.
    void entryWithoutPathsAsksPeers()
    {
        CPPUNIT_ASSERT(shouldLeaveOwnPaths(PathState::Lost, {}, true));
        CPPUNIT_ASSERT(shouldLeaveOwnPaths(PathState::Doubtful, {.ended = 2}, true));
        CPPUNIT_ASSERT(shouldLeaveOwnPaths(PathState::Doubtful, {.timedOut = 1}, true));
        CPPUNIT_ASSERT(shouldLeaveOwnPaths(PathState::Doubtful, {.ended = 1}, false));
        CPPUNIT_ASSERT(!shouldLeaveOwnPaths(PathState::Doubtful, {}, true));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathChoiceTest);

} // namespace lavenderthread::coordination::relay
