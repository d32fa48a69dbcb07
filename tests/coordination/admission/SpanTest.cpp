// Reservations of prompts over one engine's memory: order, all or nothing, every way out.
#include "DispatcherFixture.h"

#include <cppunit/TestFixture.h>

#include <set>

namespace lavenderthread::coordination::admission {

class SpanTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SpanTest);
    CPPUNIT_TEST(reservesInEngineOrderBeforeAnyPrefill);
    CPPUNIT_TEST(refusedPartGivesAllBack);
    CPPUNIT_TEST(everyWayOutReleases);
    CPPUNIT_TEST(onlyTheLostRangeIsComputedAgain);
    CPPUNIT_TEST(lateGrantIsReleased);
    CPPUNIT_TEST(leasesAreRenewed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t million = 1'000'000;

    // Grants reservations until the first range is dispatched; gives the leases.
    static std::vector<Reserve> grantAll(DispatcherFixture &entry)
    {
        std::vector<Reserve> all;
        while (!entry.got<Reserve>().empty()) {
            const auto reserve = entry.only<Reserve>();
            all.push_back(reserve);
            entry.handle(ReservationAnswered{reserve.id, reserve.engine, reserve.lease, true});
        }
        return all;
    }

    static std::set<std::string> leasesOf(const std::vector<Reserve> &reserves)
    {
        std::set<std::string> leases;
        for (const Reserve &reserve : reserves)
            leases.insert(reserve.lease);
        return leases;
    }

    static std::set<std::string> released(const DispatcherFixture &entry)
    {
        std::set<std::string> leases;
        for (const Release &release : entry.got<Release>())
            leases.insert(release.lease);
        return leases;
    }

public:
    void reservesInEngineOrderBeforeAnyPrefill()
    {
        DispatcherFixture entry(16);
        entry.handle(RequestArrived{entry.request("a", million)});
        const std::vector<Reserve> all = grantAll(entry);
        CPPUNIT_ASSERT(all.size() >= 3);
        std::uint64_t sum = 0;
        for (std::size_t each = 0; each < all.size(); ++each) {
            sum += all[each].tokens;
            CPPUNIT_ASSERT(each == 0 || all[each - 1].engine < all[each].engine);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(million) + 200, sum);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), entry.only<Dispatch>().from);
    }

    void refusedPartGivesAllBack()
    {
        // Two entries plan spans over the same engines and one of them finds an engine full.
        // Holding what it got while it waits for the rest would block the other for good.
        // It gives everything back and tries again later.
        DispatcherFixture entry(16);
        entry.handle(RequestArrived{entry.request("a", million)});
        const auto first = entry.only<Reserve>();
        entry.handle(ReservationAnswered{first.id, first.engine, first.lease, true});
        const auto second = entry.only<Reserve>();
        entry.handle(ReservationAnswered{second.id, second.engine, second.lease, false});
        CPPUNIT_ASSERT(released(entry).contains(first.lease));
        CPPUNIT_ASSERT(entry.got<Reserve>().empty());
        entry.now += std::chrono::seconds(1);
        entry.handle(Tick{});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.got<Reserve>().size());
    }

    void everyWayOutReleases()
    {
        // A span of a million tokens ends in one of four ways while it holds several engines.
        // Memory that is not given back is lost to everybody until the leases end.
        // Each way out names every lease, and the note of their end reaches the peers.
        for (const int way : {0, 1, 2, 3}) {
            DispatcherFixture entry(16);
            entry.handle(RequestArrived{entry.request("a", million)});
            const std::vector<Reserve> all = grantAll(entry);
            const auto dispatch = entry.only<Dispatch>();
            if (way == 0)
                entry.handle(CallerCancelled{dispatch.id});
            if (way == 1)
                entry.handle(RequestFinished{dispatch.id, dispatch.attempt});
            if (way == 2) {
                entry.now += std::chrono::minutes(10);
                entry.handle(Tick{});
            }
            if (way == 3)
                entry.handle(AttemptFailed{dispatch.id, dispatch.attempt, false});
            CPPUNIT_ASSERT(released(entry) == leasesOf(all));
            CPPUNIT_ASSERT(entry.got<ShareWork>().size() >= all.size());
        }
    }

    void onlyTheLostRangeIsComputedAgain()
    {
        // The second range's engine dies after its range was prefilled, during the third one.
        // The caller waits on; a whole new prefill of a million tokens would miss its deadline.
        // Only the lost range moves and is computed again; the others keep engine and lease.
        DispatcherFixture entry(16);
        entry.handle(RequestArrived{entry.request("a", million)});
        const std::vector<Reserve> all = grantAll(entry);
        std::vector<state::EndpointId> order;
        std::uint32_t secondFrom = 0;
        std::uint32_t secondTo = 0;
        while (order.size() < 3) {
            const auto slice = entry.only<Dispatch>();
            if (order.empty() || order.back() != slice.engine)
                order.push_back(slice.engine);
            if (order.size() == 2) {
                secondFrom = secondTo == 0 ? slice.from : secondFrom;
                secondTo = slice.to;
            }
            entry.handle(SlicePrefilled{slice.id, slice.attempt, slice.to});
        }
        entry.handle(EngineGone{order[1]});
        const auto reserve = entry.only<Reserve>();
        CPPUNIT_ASSERT(!leasesOf(all).contains(reserve.lease));
        entry.handle(ReservationAnswered{reserve.id, reserve.engine, reserve.lease, true});
        const auto again = entry.only<Dispatch>();
        CPPUNIT_ASSERT(again.engine == reserve.engine);
        CPPUNIT_ASSERT_EQUAL(secondFrom, again.from);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(secondTo - secondFrom),
                             entry.dispatcher->counts().recomputedTokens);
    }

    void lateGrantIsReleased()
    {
        DispatcherFixture entry(16);
        entry.handle(RequestArrived{entry.request("a", million)});
        const auto reserve = entry.only<Reserve>();
        entry.handle(CallerCancelled{reserve.id});
        CPPUNIT_ASSERT(released(entry).contains(reserve.lease));
        entry.handle(ReservationAnswered{reserve.id, reserve.engine, reserve.lease, true});
        CPPUNIT_ASSERT(released(entry).contains(reserve.lease));
    }

    void leasesAreRenewed()
    {
        DispatcherFixture entry(16);
        entry.handle(RequestArrived{entry.request("a", million)});
        const std::vector<Reserve> all = grantAll(entry);
        const auto wake = entry.dispatcher->nextWake();
        CPPUNIT_ASSERT(wake && *wake < entry.now + all.front().ttl);
        entry.now = *wake;
        entry.handle(Tick{});
        CPPUNIT_ASSERT(leasesOf(entry.got<Reserve>()) == leasesOf(all));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpanTest);

} // namespace lavenderthread::coordination::admission
