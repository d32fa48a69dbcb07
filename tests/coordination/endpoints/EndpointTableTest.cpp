// What is known of endpoints when news of them come in any order.
#include "coordination/endpoints/EndpointTable.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::endpoints {

class EndpointTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointTableTest);
    CPPUNIT_TEST(farewellBeforeTheAnnouncementHolds);
    CPPUNIT_TEST(laterStartOfAnEndpointThatLeftIsUsed);
    CPPUNIT_TEST(deregistrationOfALaterStartHoldsBeforeItsAnnouncement);
    CPPUNIT_TEST_SUITE_END();

    const state::Instant now{std::chrono::seconds(100)};

    static EndpointRecord announced(std::uint64_t incarnation)
    {
        state::EndpointDescription description{state::EndpointId("engine-1"), {"10.9.9.9", 99}};
        description.incarnation = incarnation;
        EndpointRecord record{description.id,      incarnation,        1, 1,
                              EndpointPhase::Live, state::VmId("home")};
        record.description = std::make_shared<const state::EndpointDescription>(description);
        return record;
    }

    static EndpointRecord left(std::uint64_t incarnation)
    {
        EndpointRecord record = announced(incarnation);
        record.version = 2;
        record.phase = EndpointPhase::Left;
        record.description = nullptr;
        return record;
    }

public:
    void farewellBeforeTheAnnouncementHolds()
    {
        // An engine starts, is announced at one node, and leaves after three seconds. Its farewell
        // overtakes its announcement on the way to an entry. The announcement, which came 2.4 s
        // later, put it into use there, and callers' requests went to an engine that was ending.
        EndpointTable table;
        CPPUNIT_ASSERT(table.apply(left(7), this->now).changed); // so that it is passed on
        table.apply(announced(7), this->now);
        const EndpointEntry *entry = table.find(state::EndpointId("engine-1"));
        CPPUNIT_ASSERT(entry != nullptr && !entry->record.isUsable());
        CPPUNIT_ASSERT(entry->record.phase == EndpointPhase::Left);
    }

    void laterStartOfAnEndpointThatLeftIsUsed()
    {
        EndpointTable table;
        table.apply(left(7), this->now);
        table.apply(announced(8), this->now);
        CPPUNIT_ASSERT(table.find(state::EndpointId("engine-1"))->record.isUsable());
    }

    // Guards against work for an endpoint that restarted under its id and left again, where the
    // second life's end came before its beginning.
    void deregistrationOfALaterStartHoldsBeforeItsAnnouncement()
    {
        EndpointTable table;
        table.apply(announced(7), this->now);
        CPPUNIT_ASSERT(table.apply(left(8), this->now).changed);
        table.apply(announced(8), this->now);
        CPPUNIT_ASSERT(!table.find(state::EndpointId("engine-1"))->record.isUsable());
        table.apply(announced(9), this->now);
        CPPUNIT_ASSERT(table.find(state::EndpointId("engine-1"))->record.isUsable());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointTableTest);

} // namespace lavenderthread::coordination::endpoints
