// Tests global limits over many entries: they hold under all failures, and units that are idle at
// one entry are used at another. Every case runs in virtual time with a fixed seed.
#include "coordination/quota/SimulatedQuotaFleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace lavenderthread::coordination::quota {

using namespace std::chrono_literals; // NOLINT(google-build-using-namespace): literals only
using state::TableKey;

namespace {

constexpr std::size_t fleetSize = 18;

TableKey accountKey(const std::string &name)
{
    return {state::ClientAccountId(name), state::WorkClass("any")};
}

state::TableRow rowOf(const std::string &name, std::uint32_t inFlight,
                      std::uint64_t tokensPerSecond = 0)
{
    state::TableRow row;
    row.key = accountKey(name);
    row.inFlightLimit = inFlight;
    row.tokensPerSecondLimit = tokensPerSecond;
    return row;
}

void assertWithin(const SimulatedQuotaFleet &fleet, const std::string &name)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::uint64_t{0}, fleet.worstExcessSlots());
    CPPUNIT_ASSERT_MESSAGE(name + " tokens over " + std::to_string(fleet.worstExcessTokens()),
                           fleet.worstExcessTokens() < 1);
}

} // namespace

class QuotaNodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaNodeTest);
    CPPUNIT_TEST(lendsToEntryWithDemand);
    CPPUNIT_TEST(returnedSlotsServeHomeAgain);
    CPPUNIT_TEST(holdsLimitUnderEveryFault);
    CPPUNIT_TEST(holdsLimitOverRandomSchedules);
    CPPUNIT_TEST(partitionNeverGrantsLimitTwice);
    CPPUNIT_TEST(lostHomeCostsOnlyItsPart);
    CPPUNIT_TEST(busyHomesLendToOtherEntries);
    CPPUNIT_TEST(slotsOfFailedBorrowerReturn);
    CPPUNIT_TEST(gainedPartWaitsForPreviousHome);
    CPPUNIT_TEST(raisedAndLoweredLimitsTakeEffect);
    CPPUNIT_TEST_SUITE_END();

public:
    void lendsToEntryWithDemand()
    {
        // One entry with high demand, home or not, gets all units but the floors within 2 s.
        for (std::size_t hot = 0; hot < fleetSize; hot += 5) {
            SimulatedQuotaFleet fleet(fleetSize, {}, {}, hot);
            fleet.setRow(rowOf("a", 200, 40'000));
            fleet.addWorkload({hot, accountKey("a"), 1'000, 10s, 60s, 10});
            fleet.run(2s);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.running(accountKey("a"))),
                                   fleet.running(accountKey("a")) >= 175);
            assertWithin(fleet, "hot " + std::to_string(hot));
        }
    }

    // Callers of entry 1 use the whole limit, then callers of the other entries arrive and wait at
    // their homes for borrowed slots. The homes recall these slots, and within seconds each has its
    // own part again.
    void returnedSlotsServeHomeAgain()
    {
        SimulatedQuotaFleet fleet(fleetSize, {}, {}, 3);
        fleet.setRow(rowOf("a", 180));
        fleet.addWorkload({1, accountKey("a"), 400, 2s, 10s, 0});
        fleet.run(5s);
        for (std::size_t node = 2; node < fleetSize; ++node)
            fleet.addWorkload({node, accountKey("a"), 100, 2s, 10s, 0});
        fleet.run(8s);
        const auto key = quotaKeyOf(accountKey("a"));
        for (std::size_t node = 2; node < fleetSize; ++node) {
            const QuotaView view = fleet.quota(node).view(key, fleet.localNow(node));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(view.running), view.running >= 9);
        }
        assertWithin(fleet, "returned slots");
    }

    // Requests start and finish, and neither requests nor tokens exceed the limit. Messages are
    // lost, delayed, duplicated and reordered, clocks differ, and entries crash with loans given
    // and taken. No unit may be used in two places: only its holder lends it, and it returns when
    // the borrower says so or when the loan expires.
    void holdsLimitUnderEveryFault()
    {
        struct Row
        {
            const char *name;
            FleetFaults faults;
            bool crashes;
        };
        const Row rows[] = {
                {"none", {}, false},
                {"lost", {0.3, 0, 1ms, 2ms, 0}, false},
                {"delayed", {0, 0, 1ms, 3s, 0}, false},
                {"duplicated", {0, 0.5, 1ms, 800ms, 0}, false},
                {"clocks differ", {0, 0, 1ms, 5ms, 0.007}, false},
                {"crashes", {0, 0, 1ms, 5ms, 0}, true},
                {"everything", {0.2, 0.2, 1ms, 2s, 0.007}, true},
        };
        for (const Row &row : rows) {
            SimulatedQuotaFleet fleet(6, {}, row.faults, 11);
            fleet.setRow(rowOf("a", 31, 3'000));
            fleet.setRow(rowOf("b", 5));
            for (std::size_t node = 0; node < 6; ++node) {
                fleet.addWorkload({node, accountKey("a"), node < 2 ? 30.0 : 2.0, 700ms, 8s, 20});
                fleet.addWorkload({node, accountKey("b"), node == 3 ? 20.0 : 1.0, 300ms, 8s, 20});
            }
            for (int round = 0; row.crashes && round < 20; ++round) {
                const auto victim = static_cast<std::size_t>(round * 7 % 6);
                fleet.at(round * 3s + 2s, [&fleet, victim] { fleet.crash(victim); });
                fleet.at(round * 3s + 3s, [&fleet, victim] { fleet.restart(victim); });
            }
            fleet.run(70s);
            assertWithin(fleet, row.name);
            CPPUNIT_ASSERT_MESSAGE(row.name, fleet.started(accountKey("a")) > 300);
            CPPUNIT_ASSERT_MESSAGE(row.name, fleet.started(accountKey("b")) > 100);
        }
    }

    void holdsLimitOverRandomSchedules()
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            std::mt19937_64 random(seed);
            const std::size_t size = 2 + random() % 8;
            FleetFaults faults{0.01 * static_cast<double>(random() % 40),
                               0.01 * static_cast<double>(random() % 40), 1ms,
                               std::chrono::milliseconds(1 + random() % 2'500), 0.007};
            QuotaSettings settings;
            settings.maximumHold = std::chrono::seconds(6 + random() % 20);
            SimulatedQuotaFleet fleet(size, settings, faults, seed);
            fleet.setRow(rowOf("a", static_cast<std::uint32_t>(1 + random() % 60), 2'000));
            for (std::size_t node = 0; node < size; ++node)
                fleet.addWorkload({node, accountKey("a"), 1.0 + static_cast<double>(random() % 30),
                                   std::chrono::milliseconds(100 + random() % 4'000),
                                   std::chrono::seconds(1 + random() % 20), 1 + random() % 30});
            for (int event = 0; event < 25; ++event) {
                const std::size_t node = random() % size;
                const auto when = std::chrono::milliseconds(random() % 40'000);
                const int kind = static_cast<int>(random() % 4);
                fleet.at(when, [&fleet, node, kind] {
                    if (kind == 0)
                        fleet.crash(node);
                    else if (kind == 1)
                        fleet.partition([&](std::size_t other) { return other < node ? 1 : 0; });
                    else if (kind == 2)
                        fleet.heal();
                    fleet.at(1s, [&fleet, node] { fleet.restart(node); });
                });
            }
            fleet.run(45s);
            assertWithin(fleet, "seed " + std::to_string(seed));
        }
    }

    // Entries on both sides of a partition have more demand than the limit. A broker chosen by the
    // view of live entries would exist on both sides and grant the whole limit twice. The parts add
    // up to the limit only once, and each side continues with its own parts.
    void partitionNeverGrantsLimitTwice()
    {
        SimulatedQuotaFleet fleet(fleetSize, {}, {}, 5);
        fleet.setRow(rowOf("a", 180, 18'000));
        for (std::size_t node = 0; node < fleetSize; ++node)
            fleet.addWorkload({node, accountKey("a"), 40, 1s, 10s, 8});
        fleet.run(5s);
        fleet.partition([](std::size_t node) { return node % 3 == 0 ? 1 : 0; });
        fleet.run(20s);
        CPPUNIT_ASSERT(fleet.running(accountKey("a")) >= 170);
        fleet.heal();
        fleet.run(10s);
        assertWithin(fleet, "partition");
    }

    // The demand at all homes exceeds their parts, and callers arrive at an entry that is not a
    // home. They wait for the first free slot. If a home reused it at once, they would wait
    // forever.
    void busyHomesLendToOtherEntries()
    {
        SimulatedQuotaFleet fleet(fleetSize, {}, {}, 10);
        fleet.setRow(rowOf("a", 32));
        const auto homes = fleet.quota(0).homes(quotaKeyOf(accountKey("a")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, homes.size());
        std::size_t nonHome = 0;
        for (std::size_t node = 0; node < fleetSize; ++node) {
            const bool isHome = std::find(homes.begin(), homes.end(), fleetVm(node)) != homes.end();
            nonHome = isHome ? nonHome : node;
            if (isHome)
                fleet.addWorkload({node, accountKey("a"), 20, 1s, 10s, 0});
        }
        fleet.run(5s);
        fleet.addWorkload({nonHome, accountKey("a"), 40, 1s, 10s, 0});
        fleet.run(10s);
        const auto key = quotaKeyOf(accountKey("a"));
        const QuotaView view = fleet.quota(nonHome).view(key, fleet.localNow(nonHome));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(view.running), view.running >= 4);
        assertWithin(fleet, "busy homes");
    }

    // A home fails permanently. Only its part is unused until the roster changes: for the callers
    // of the other entries, the limit shrinks by one part of eighteen.
    void lostHomeCostsOnlyItsPart()
    {
        SimulatedQuotaFleet fleet(fleetSize, {}, {}, 6);
        fleet.setRow(rowOf("a", 180));
        for (std::size_t node = 1; node < fleetSize; ++node)
            fleet.addWorkload({node, accountKey("a"), 40, 1s, 10s, 0});
        fleet.run(5s);
        fleet.crash(0);
        fleet.run(15s);
        CPPUNIT_ASSERT(fleet.running(accountKey("a")) >= 165);
        assertWithin(fleet, "lost home");
    }

    // An entry fails with borrowed slots, and its requests end with it. The homes can't know that,
    // so they use the slots again only after the requested durations of the loans.
    void slotsOfFailedBorrowerReturn()
    {
        SimulatedQuotaFleet fleet(3, {}, {}, 7);
        fleet.setRow(rowOf("a", 30));
        fleet.addWorkload({0, accountKey("a"), 100, 5s, 20s, 0});
        fleet.run(4s);
        CPPUNIT_ASSERT(fleet.running(accountKey("a")) >= 27);
        fleet.clearWorkloads();
        fleet.crash(0);
        fleet.addWorkload({1, accountKey("a"), 100, 1s, 20s, 0});
        fleet.run(5s);
        CPPUNIT_ASSERT(fleet.running(accountKey("a")) <= 10);
        fleet.run(25s);
        CPPUNIT_ASSERT(fleet.running(accountKey("a")) >= 18);
        assertWithin(fleet, "dead borrower");
    }

    // The operators remove a VM from the roster, and the entries learn of it at different times.
    // Entry 3 still uses its part when the others know. They take the part over only when entry 3
    // must know too and the loans that it gave have ended.
    void gainedPartWaitsForPreviousHome()
    {
        QuotaSettings settings;
        settings.maximumHold = 6s;
        SimulatedQuotaFleet fleet(4, settings, {}, 8);
        fleet.setRow(rowOf("a", 40));
        for (std::size_t node = 0; node < 4; ++node)
            fleet.addWorkload({node, accountKey("a"), 60, 1s, 5s, 0});
        fleet.run(3s);
        for (const std::size_t node : {0U, 1U, 2U})
            fleet.configure({0, 1, 2}, 2, node);
        fleet.at(11s, [&fleet] { fleet.configure({0, 1, 2}, 2, 3); });
        fleet.run(16s);
        assertWithin(fleet, "before the increase");
        fleet.run(10s);
        CPPUNIT_ASSERT(fleet.running(accountKey("a")) >= 38);
        assertWithin(fleet, "after the increase");
    }

    void raisedAndLoweredLimitsTakeEffect()
    {
        SimulatedQuotaFleet fleet(fleetSize, {}, {}, 9);
        fleet.setRow(rowOf("a", 180));
        for (std::size_t node = 0; node < fleetSize; ++node)
            fleet.addWorkload({node, accountKey("a"), 60, 500ms, 5s, 0});
        fleet.run(3s);
        fleet.setRow(rowOf("a", 360));
        fleet.run(3s);
        CPPUNIT_ASSERT(fleet.running(accountKey("a")) >= 350);
        assertWithin(fleet, "raised");
        fleet.setRow(rowOf("a", 90));
        fleet.run(3s);
        CPPUNIT_ASSERT(fleet.running(accountKey("a")) <= 90);
        fleet.setRow(rowOf("a", 0));
        fleet.run(1s);
        CPPUNIT_ASSERT(fleet.running(accountKey("a")) > 400);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaNodeTest);

} // namespace lavenderthread::coordination::quota
