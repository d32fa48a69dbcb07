// Tests the indexed view of the endpoints that requests read.
#include "program/MembershipView.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::program {

namespace {

using coordination::endpoints::EndpointPhase;
using coordination::endpoints::EndpointRecord;
using coordination::endpoints::EndpointTable;
using coordination::membership::MemberDescription;
using coordination::membership::MemberPhase;
using coordination::membership::MemberRecord;
using coordination::membership::MemberTable;
using coordination::ownership::OwnerRing;

constexpr state::Instant start{std::chrono::seconds(100)};

std::shared_ptr<const OwnerRing> ringOf(std::size_t members)
{
    MemberTable table;
    for (std::size_t index = 0; index < members; ++index) {
        MemberDescription description;
        description.failureDomain = state::FailureDomain(index % 2 == 0 ? "even" : "odd");
        description.region = state::Region(index % 2 == 0 ? "north" : "south");
        MemberRecord record;
        record.id = state::VmId("vm-" + std::to_string(index));
        record.incarnation = 1;
        record.phase = MemberPhase::Serving;
        record.description = std::make_shared<const MemberDescription>(description);
        table.apply(record, start);
    }
    return std::make_shared<const OwnerRing>(OwnerRing::fromMembers(table));
}

void announce(EndpointTable &table, std::size_t index, const char *domain,
              std::uint64_t incarnation = 1)
{
    state::EndpointDescription description;
    description.id = state::EndpointId("engine-" + std::to_string(index));
    description.failureDomain = state::FailureDomain(domain);
    description.incarnation = incarnation;
    EndpointRecord record;
    record.id = description.id;
    record.incarnation = incarnation;
    record.version = record.descriptionVersion = 1;
    record.phase = EndpointPhase::Live;
    record.description = std::make_shared<const state::EndpointDescription>(description);
    table.apply(record, start);
}

} // namespace

class MembershipViewTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipViewTest);
    CPPUNIT_TEST(ownersTakenFromPreviousViewAreRight);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an owner that is kept although the ring, or the endpoint's failure domain, has
    // changed: its memory would be audited by nobody, or by two members.
    void ownersTakenFromPreviousViewAreRight()
    {
        constexpr std::size_t endpoints = 40;
        EndpointTable table;
        for (std::size_t index = 0; index < endpoints; index += 2)
            announce(table, index, "even");
        const auto ring = ringOf(8);
        const EndpointsView first = EndpointsView::fromTable(table, ring, nullptr);

        for (std::size_t index = 1; index < endpoints; index += 2)
            announce(table, index, "odd");
        announce(table, 4, "odd", 2);
        const EndpointsView second = EndpointsView::fromTable(table, ring, &first);
        CPPUNIT_ASSERT_EQUAL(endpoints, second.endpoints.size());
        CPPUNIT_ASSERT(second.endpoints
                       == EndpointsView::fromTable(table, ring, nullptr).endpoints);

        const auto smallerRing = ringOf(5);
        const EndpointsView third = EndpointsView::fromTable(table, smallerRing, &second);
        CPPUNIT_ASSERT(third.endpoints
                       == EndpointsView::fromTable(table, smallerRing, nullptr).endpoints);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipViewTest);

} // namespace lavenderthread::program
