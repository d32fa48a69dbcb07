// Memory audit under failures: orphaned memory is freed in time, and memory that a live holder uses
// is never freed.
#include "coordination/endpoints/MemoryAudit.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <set>

namespace lavenderthread::coordination::endpoints {

namespace {

using std::chrono::seconds;

const state::EndpointId engine("engine-1");

struct AuditHarness
{
    AuditHarness()
        : audit({})
    {
        for (const char *id : {"a", "b"})
            this->setMember(id, 1, membership::MemberHealth::Alive);
        this->audit.ownershipGained(engine);
    }

    void setMember(const char *id, std::uint64_t incarnation, membership::MemberHealth health)
    {
        membership::MemberRecord record{state::VmId(id), incarnation, 1,
                                        membership::MemberPhase::Serving, health};
        record.description = std::make_shared<const membership::MemberDescription>();
        this->members.apply(record, this->now);
    }

    static std::string name(const char *id, std::uint64_t incarnation, std::uint64_t serial = 1)
    {
        return makeLeaseName({state::VmId(id), incarnation}, serial);
    }

    bool grant(const std::string &lease, const char *holder, std::uint64_t incarnation = 1)
    {
        return this->audit
                .grant(engine,
                       {lease, {state::VmId(holder), incarnation}, 100, this->now + seconds(10)})
                .has_value();
    }

    // Audits the engine once per second for up to `limitSeconds`. Returns the number of seconds
    // after which `lease` was freed, -1 if never.
    int poll(const std::string &lease, int limitSeconds,
             const std::function<void()> &beforeAudit = {})
    {
        for (int second = 0; second < limitSeconds; ++second) {
            if (beforeAudit)
                beforeAudit();
            const AuditActions actions =
                    this->audit.auditHeldMemory(engine, {{lease, HeldKind::Reservation, 100}},
                                                this->members, this->isolated, this->now);
            this->queryCount += static_cast<int>(actions.queries.size());
            for (const AuditQuery &query : actions.queries)
                this->lastQuery = query;
            if (!actions.frees.empty())
                return second;
            this->now += seconds(1);
        }
        return -1;
    }

    MemoryAudit audit;
    membership::MemberTable members;
    state::Instant now = state::Instant(seconds(100));
    bool isolated = false;
    int queryCount = 0;
    AuditQuery lastQuery;
};

constexpr int graceSeconds = 12;

} // namespace

class MemoryAuditTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryAuditTest);
    CPPUNIT_TEST(orphanedMemoryIsFreedInTime);
    CPPUNIT_TEST(ownerChangeDuringAReservation);
    CPPUNIT_TEST(adoptionKeepsAStreamUnlessItIsTooLate);
    CPPUNIT_TEST(renewedLeasesAreNeverFreed);
    CPPUNIT_TEST(leaseNamesContainTheirCreator);
    CPPUNIT_TEST_SUITE_END();

public:
    void orphanedMemoryIsFreedInTime()
    {
        // An entry takes engine memory and dies, restarts, stalls or is only unknown to this
        // owner. Memory that is never freed permanently reduces the engine's capacity; memory freed
        // too early breaks a running request. Each case says what happened and whether the memory
        // is freed in time.
        struct Case
        {
            const char *name;
            std::function<void(AuditHarness &)> before;
            std::function<void(AuditHarness &)> beforeAudit;
            bool freed;
        };
        const std::string lease = AuditHarness::name("a", 1);
        const auto kill = [](AuditHarness &harness) {
            harness.setMember("a", 1, membership::MemberHealth::Dead);
        };
        const std::vector<Case> cases{
                {"renewed", {}, [&](AuditHarness &harness) { harness.grant(lease, "a"); }, false},
                {"holder died",
                 [&](AuditHarness &harness) {
                     harness.grant(lease, "a");
                     kill(harness);
                 },
                 {},
                 true},
                {"holder died, owner has no lease", kill, {}, true},
                {"holder restarted",
                 [](AuditHarness &harness) {
                     harness.setMember("a", 2, membership::MemberHealth::Alive);
                 },
                 {},
                 true},
                {"holder only suspected",
                 [&](AuditHarness &harness) {
                     harness.setMember("a", 1, membership::MemberHealth::Suspect);
                 },
                 {},
                 false},
                {"unknown here, live holder does not answer", {}, {}, false},
                {"holder denies it",
                 {},
                 [&](AuditHarness &harness) {
                     if (harness.queryCount > 0)
                         harness.audit.holderDenied(engine, lease, {state::VmId("a"), 1});
                 },
                 true},
                {"another entry node denies it",
                 {},
                 [&](AuditHarness &harness) {
                     harness.audit.holderDenied(engine, lease, {state::VmId("b"), 1});
                 },
                 false},
                {"released by its holder",
                 [&](AuditHarness &harness) {
                     harness.grant(lease, "a");
                     harness.audit.release(engine, lease);
                 },
                 {},
                 true},
                {"holder stopped renewing",
                 [&](AuditHarness &harness) { harness.grant(lease, "a"); },
                 {},
                 true},
                {"owner is isolated",
                 [&](AuditHarness &harness) {
                     kill(harness);
                     harness.isolated = true;
                 },
                 {},
                 false},
                {"holder incarnation newer than the known one",
                 [&](AuditHarness &harness) {
                     membership::MemberTable older;
                     harness.members = older;
                     harness.setMember("a", 0, membership::MemberHealth::Alive);
                 },
                 {},
                 false},
        };
        for (const Case &fault : cases) {
            AuditHarness harness;
            if (fault.before)
                fault.before(harness);
            const int after = harness.poll(lease, 60, [&] {
                if (fault.beforeAudit)
                    fault.beforeAudit(harness);
            });
            CPPUNIT_ASSERT_MESSAGE(fault.name, (after >= 0) == fault.freed);
            CPPUNIT_ASSERT_MESSAGE(fault.name, after <= graceSeconds + 10);
        }
        AuditHarness harness;
        kill(harness);
        CPPUNIT_ASSERT(harness.poll("no-creator", 60) == graceSeconds);
    }

    void ownerChangeDuringAReservation()
    {
        // An owner grants a reservation and dies right after. The new owner sees memory in use that
        // it never granted; the holder's next renewal reaches it in time.
        AuditHarness harness;
        const std::string lease = AuditHarness::name("a", 1);
        harness.audit.ownershipLost(engine);
        CPPUNIT_ASSERT(!harness.grant(lease, "a"));
        CPPUNIT_ASSERT_EQUAL(-1, harness.poll(lease, 30));
        harness.audit.ownershipGained(engine);
        CPPUNIT_ASSERT_EQUAL(-1, harness.poll(lease, 8));
        CPPUNIT_ASSERT(harness.queryCount > 0 && harness.lastQuery.holder == state::VmId("a"));
        CPPUNIT_ASSERT(harness.grant(lease, "a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(100), harness.audit.leasedTokens(engine, harness.now));
        CPPUNIT_ASSERT_EQUAL(-1, harness.poll(lease, 60, [&] { harness.grant(lease, "a"); }));
    }

    void adoptionKeepsAStreamUnlessItIsTooLate()
    {
        // The entry of a stream dies; its caller resumes at another one, which adopts the
        // stream. All entries are queried before the stream is freed; once the free is ordered,
        // an adoption is refused.
        const std::string lease = AuditHarness::name("a", 1);
        AuditHarness harness;
        harness.setMember("a", 1, membership::MemberHealth::Dead);
        const auto adopt = [&] {
            if (harness.queryCount > 0 && !harness.lastQuery.holder)
                harness.grant(lease, "b");
        };
        CPPUNIT_ASSERT_EQUAL(-1, harness.poll(lease, 60, adopt));
        AuditHarness lateHarness;
        lateHarness.setMember("a", 1, membership::MemberHealth::Dead);
        CPPUNIT_ASSERT_EQUAL(graceSeconds, lateHarness.poll(lease, 60));
        CPPUNIT_ASSERT(!lateHarness.grant(lease, "b"));
        // The free order is repeated until the engine no longer lists the lease.
        CPPUNIT_ASSERT(lateHarness.poll(lease, 9) >= 0);
    }

    void renewedLeasesAreNeverFreed()
    {
        // Random deaths, restarts, owner changes and lost renewals in any order. No lease that its
        // live holder renewed before its expiry is freed, and no orphan is left at the end.
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            std::mt19937_64 random(seed);
            AuditHarness harness;
            std::uint64_t incarnation[2] = {1, 1};
            const char *ids[2] = {"a", "b"};
            std::set<std::string> held;
            std::map<std::string, state::Instant> renewed; // last renewal by a live holder
            std::uint64_t serial = 0;
            for (int second = 0; second < 200; ++second) {
                const std::size_t memberIndex = random() % 2;
                const bool isQuiet = second > 120;
                if (!isQuiet && random() % 20 == 0)
                    harness.setMember(ids[memberIndex], ++incarnation[memberIndex],
                                      membership::MemberHealth::Alive);
                if (!isQuiet && random() % 30 == 0) {
                    harness.audit.ownershipLost(engine);
                    harness.audit.ownershipGained(engine);
                }
                if (!isQuiet && random() % 3 == 0)
                    held.insert(AuditHarness::name(ids[memberIndex], incarnation[memberIndex],
                                                   ++serial));
                std::vector<HeldItem> items;
                for (const std::string &lease : held) {
                    const LeaseHolder creator = *leaseCreator(lease);
                    const std::size_t owner = creator.vm == state::VmId("a") ? 0 : 1;
                    if (creator.incarnation == incarnation[owner] && random() % 3 == 0
                        && harness.grant(lease, ids[owner], creator.incarnation))
                        renewed[lease] = harness.now;
                    items.push_back({lease, HeldKind::Export, 1});
                }
                const auto actions = harness.audit.auditHeldMemory(engine, items, harness.members,
                                                                   false, harness.now);
                for (const AuditFree &free : actions.frees) {
                    const LeaseHolder creator = *leaseCreator(free.item.lease);
                    const std::size_t owner = creator.vm == state::VmId("a") ? 0 : 1;
                    const bool live = creator.incarnation == incarnation[owner];
                    CPPUNIT_ASSERT(!live
                                   || (renewed.contains(free.item.lease)
                                       && harness.now - renewed[free.item.lease] > seconds(10)));
                    held.erase(free.item.lease);
                }
                harness.now += seconds(1);
            }
            for (const std::string &lease : held) {
                const LeaseHolder creator = *leaseCreator(lease);
                CPPUNIT_ASSERT(creator.incarnation
                               == incarnation[creator.vm == state::VmId("a") ? 0 : 1]);
            }
        }
    }

    void leaseNamesContainTheirCreator()
    {
        const LeaseHolder creator{state::VmId("ga.north-1"), 77};
        CPPUNIT_ASSERT(leaseCreator(makeLeaseName(creator, 9)) == creator);
        for (const char *text : {"", ".", "..", "a.1", "a.x.1", "a..1", ".1.1"})
            CPPUNIT_ASSERT_MESSAGE(text, !leaseCreator(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryAuditTest);

} // namespace lavenderthread::coordination::endpoints
