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
    CPPUNIT_TEST(coldTimeCountsFromTheReceipt);
    CPPUNIT_TEST(coldTimeOfAnEarlierIncarnationHasNoEffect);
    CPPUNIT_TEST(coldMarkArrivesInAnyOrder);
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

    static EndpointRecord cold(EndpointRecord record, ColdMark mark)
    {
        record.cold = mark;
        return record;
    }

    const EndpointEntry &entryOf(const EndpointTable &table) const
    {
        return *table.find(state::EndpointId("engine-1"));
    }

public:
    // Guards against clocks that differ between entries, and against an entry that counts the whole
    // time again when it gets the record late or a second time.
    void coldTimeCountsFromTheReceipt()
    {
        EndpointTable table;
        table.apply(cold(announcement(7), {7, 1, 3'000}), this->now);
        const state::Instant until = this->now + std::chrono::seconds(3);
        CPPUNIT_ASSERT(entryOf(table).presentColdUntil() == until);
        const state::Instant later = this->now + std::chrono::seconds(2);
        CPPUNIT_ASSERT(!table.apply(cold(announcement(7), {7, 1, 3'000}), later).changed);
        CPPUNIT_ASSERT(entryOf(table).presentColdUntil() == until);
        CPPUNIT_ASSERT_EQUAL(1'000U, entryOf(table).coldMarkAt(later).leftMs);
        EndpointTable joined;
        joined.apply(cold(announcement(7), entryOf(table).coldMarkAt(later)), later);
        CPPUNIT_ASSERT(entryOf(joined).presentColdUntil() == until);
        CPPUNIT_ASSERT_EQUAL(entryOf(table).fingerprint, entryOf(joined).fingerprint);
        CPPUNIT_ASSERT_EQUAL(0U, entryOf(table).coldMarkAt(later + std::chrono::hours(1)).leftMs);
        table.apply(cold(announcement(7), {7, 2, 500}), later + std::chrono::hours(1));
        CPPUNIT_ASSERT_EQUAL(500U, entryOf(table).coldMarkAt(later + std::chrono::hours(1)).leftMs);
    }

    // Guards against a warm endpoint that is limited because the start before it was cold.
    void coldTimeOfAnEarlierIncarnationHasNoEffect()
    {
        EndpointTable table;
        table.apply(cold(announcement(7), {7, 1, 3'000}), this->now);
        table.apply(announcement(8), this->now);
        CPPUNIT_ASSERT(entryOf(table).presentColdUntil() == state::Instant{});
    }

    // Guards against tables that differ for ever because records arrived in different orders.
    void coldMarkArrivesInAnyOrder()
    {
        const std::vector<EndpointRecord> records{announcement(7),
                                                  cold(announcement(7), {7, 1, 3'000}),
                                                  cold(announcement(7), {7, 2, 1'000}), left(7)};
        EndpointTable forward;
        EndpointTable backward;
        for (std::size_t index = 0; index < records.size(); ++index) {
            forward.apply(records[index], this->now);
            backward.apply(records[records.size() - 1 - index], this->now);
        }
        CPPUNIT_ASSERT_EQUAL(entryOf(forward).fingerprint, entryOf(backward).fingerprint);
        CPPUNIT_ASSERT_EQUAL(2U, entryOf(backward).record.cold.sequence);
    }

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
