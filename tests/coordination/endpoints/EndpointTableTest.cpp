// Endpoint table when updates arrive in any order.
#include "coordination/endpoints/EndpointTable.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::endpoints {

class EndpointTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointTableTest);
    CPPUNIT_TEST(deregistrationBeforeTheAnnouncementHolds);
    CPPUNIT_TEST(laterIncarnationOfAnEndpointThatLeftIsUsable);
    CPPUNIT_TEST(deregistrationOfALaterIncarnationHoldsBeforeItsAnnouncement);
    CPPUNIT_TEST_SUITE_END();

    const state::Instant now{std::chrono::seconds(100)};

    static EndpointRecord announcement(std::uint64_t incarnation)
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
        EndpointRecord record = announcement(incarnation);
        record.version = 2;
        record.phase = EndpointPhase::Left;
        record.description = nullptr;
        return record;
    }

public:
    void deregistrationBeforeTheAnnouncementHolds()
    {
        // Guards against requests sent to a terminating engine: an engine is announced to one node
        // and leaves after 3 s. Its deregistration overtakes its announcement on the way to an
        // entry, and the announcement, which arrives 2.4 s later, puts the engine into use
        // there.
        EndpointTable table;
        // A change, so that the deregistration is passed on.
        CPPUNIT_ASSERT(table.apply(left(7), this->now).changed);
        table.apply(announcement(7), this->now);
        const EndpointEntry *entry = table.find(state::EndpointId("engine-1"));
        CPPUNIT_ASSERT(entry != nullptr && !entry->record.isUsable());
        CPPUNIT_ASSERT(entry->record.phase == EndpointPhase::Left);
    }

    void laterIncarnationOfAnEndpointThatLeftIsUsable()
    {
        EndpointTable table;
        table.apply(left(7), this->now);
        table.apply(announcement(8), this->now);
        CPPUNIT_ASSERT(table.find(state::EndpointId("engine-1"))->record.isUsable());
    }

    // Guards against work for an endpoint that restarted under its id and left again, when the
    // deregistration of the second incarnation arrives before its announcement.
    void deregistrationOfALaterIncarnationHoldsBeforeItsAnnouncement()
    {
        EndpointTable table;
        table.apply(announcement(7), this->now);
        CPPUNIT_ASSERT(table.apply(left(8), this->now).changed);
        table.apply(announcement(8), this->now);
        CPPUNIT_ASSERT(!table.find(state::EndpointId("engine-1"))->record.isUsable());
        table.apply(announcement(9), this->now);
        CPPUNIT_ASSERT(table.find(state::EndpointId("engine-1"))->record.isUsable());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointTableTest);

} // namespace lavenderthread::coordination::endpoints
