// Reservations for spans, prompts that exceed one engine's memory: reserved in order, all or
// nothing, released however the request ends.
#include "DispatcherFixture.h"

#include <cppunit/TestFixture.h>

#include <set>

namespace lavenderthread::coordination::admission {

class SpanTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SpanTest);
    CPPUNIT_TEST(reservesInEngineOrderBeforeAnyPrefill);
    CPPUNIT_TEST(refusedPartReleasesAll);
    CPPUNIT_TEST(everyOutcomeReleasesAll);
    CPPUNIT_TEST(onlyLostPartIsRecomputed);
    CPPUNIT_TEST(lateGrantIsReleased);
    CPPUNIT_TEST(leasesAreRenewed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t million = 1'000'000;

    // Grants reservations until the first part is dispatched; returns the reservations.
    static std::vector<Reserve> grantAll(DispatcherFixture &entry)
    {
        std::vector<Reserve> all;
        while (!entry.actionsOf<Reserve>().empty()) {
            const auto reserve = entry.onlyAction<Reserve>();
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
        for (const Release &release : entry.actionsOf<Release>())
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
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), entry.onlyAction<Dispatch>().from);
    }

    void refusedPartReleasesAll()
    {
        // Two entries plan spans over the same engines, and one of them finds an engine full.
        // Keeping its granted reservations while it waits for the rest could block the other one
        // for good. It must release all of them and retry later.
        DispatcherFixture entry(16);
        entry.handle(RequestArrived{entry.request("a", million)});
        const auto first = entry.onlyAction<Reserve>();
        entry.handle(ReservationAnswered{first.id, first.engine, first.lease, true});
        const auto second = entry.onlyAction<Reserve>();
        entry.handle(ReservationAnswered{second.id, second.engine, second.lease, false});
        CPPUNIT_ASSERT(released(entry).contains(first.lease));
        CPPUNIT_ASSERT(entry.actionsOf<Reserve>().empty());
        entry.now += std::chrono::seconds(1);
        entry.handle(Tick{});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.actionsOf<Reserve>().size());
    }

    void everyOutcomeReleasesAll()
    {
        // A span of a million tokens ends in one of four ways while it holds memory on several
        // engines. Memory that is not released is lost to all entries until the leases expire.
        // Each way must release every lease and tell the peers that the work has ended.
        for (const int outcome : {0, 1, 2, 3}) {
            DispatcherFixture entry(16);
            entry.handle(RequestArrived{entry.request("a", million)});
            const std::vector<Reserve> all = grantAll(entry);
            const auto dispatch = entry.onlyAction<Dispatch>();
            if (outcome == 0)
                entry.handle(CallerCancelled{dispatch.id});
            if (outcome == 1)
                entry.handle(RequestFinished{dispatch.id, dispatch.attempt});
            if (outcome == 2) {
                entry.now += std::chrono::minutes(10);
                entry.handle(Tick{});
            }
            if (outcome == 3)
                entry.handle(AttemptFailed{dispatch.id, dispatch.attempt, false});
            CPPUNIT_ASSERT(released(entry) == leasesOf(all));
            CPPUNIT_ASSERT(entry.actionsOf<ShareWork>().size() >= all.size());
        }
    }

    void onlyLostPartIsRecomputed()
    {
        // The engine of the second part is lost after its part was prefilled, during the third one.
        // Prefilling all of the million tokens again would miss the deadline. Only the lost part
        // may move and be recomputed; the others must keep their engines and leases.
        DispatcherFixture entry(16);
        entry.handle(RequestArrived{entry.request("a", million)});
        const std::vector<Reserve> all = grantAll(entry);
        std::vector<state::EndpointId> order;
        std::uint32_t secondPartFrom = 0;
        std::uint32_t secondPartTo = 0;
        while (order.size() < 3) {
            const auto slice = entry.onlyAction<Dispatch>();
            if (order.empty() || order.back() != slice.engine)
                order.push_back(slice.engine);
            if (order.size() == 2) {
                secondPartFrom = secondPartTo == 0 ? slice.from : secondPartFrom;
                secondPartTo = slice.to;
            }
            entry.handle(SlicePrefilled{slice.id, slice.attempt, slice.to});
        }
        entry.handle(EngineGone{order[1]});
        const auto reserve = entry.onlyAction<Reserve>();
        CPPUNIT_ASSERT(!leasesOf(all).contains(reserve.lease));
        entry.handle(ReservationAnswered{reserve.id, reserve.engine, reserve.lease, true});
        const auto again = entry.onlyAction<Dispatch>();
        CPPUNIT_ASSERT(again.engine == reserve.engine);
        CPPUNIT_ASSERT_EQUAL(secondPartFrom, again.from);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(secondPartTo - secondPartFrom),
                             entry.dispatcher->counts().recomputedTokens);
    }

    void lateGrantIsReleased()
    {
        DispatcherFixture entry(16);
        entry.handle(RequestArrived{entry.request("a", million)});
        const auto reserve = entry.onlyAction<Reserve>();
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
        CPPUNIT_ASSERT(leasesOf(entry.actionsOf<Reserve>()) == leasesOf(all));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpanTest);

} // namespace lavenderthread::coordination::admission
