// Memory audit under deaths: orphans are freed in time, and what a live holder uses never is.
#include "coordination/endpoints/MemoryAudit.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <set>

namespace lavenderthread::coordination::endpoints {

namespace {

using std::chrono::seconds;

const state::EndpointId engine("engine-1");

struct World
{
    World()
        : audit({})
    {
        for (const char *id : {"a", "b"})
            this->setMember(id, 1, membership::MemberHealth::Alive);
        this->audit.gained(engine);
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

    // Polls the engine for some seconds; gives those after which `lease` was freed, -1 if never.
    int poll(const std::string &lease, int time, const std::function<void()> &each = {})
    {
        for (int second = 0; second < time; ++second) {
            if (each)
                each();
            const AuditActions actions =
                    this->audit.held(engine, {{lease, HeldKind::Reservation, 100}}, this->members,
                                     this->isolated, this->now);
            this->questions += static_cast<int>(actions.questions.size());
            for (const AuditQuestion &question : actions.questions)
                this->last = question;
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
    int questions = 0;
    AuditQuestion last;
};

constexpr int graceSeconds = 12;

} // namespace

class MemoryAuditTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryAuditTest);
    CPPUNIT_TEST(faultTable);
    CPPUNIT_TEST(ownerChangeInTheMiddleOfAReservation);
    CPPUNIT_TEST(adoptionSavesAStreamUnlessItIsTooLate);
    CPPUNIT_TEST(liveLeasesSurviveAnyHistory);
    CPPUNIT_TEST(namesTellTheirMaker);
    CPPUNIT_TEST_SUITE_END();

public:
    void faultTable()
    {
        // An entry takes engine memory and dies, restarts, stalls or is only unknown to this owner.
        // Memory that is never freed shrinks the engine for good; memory freed too early breaks a
        // running request. Each line: what happened, and whether the memory is freed in time.
        struct Case
        {
            const char *name;
            std::function<void(World &)> before;
            std::function<void(World &)> each;
            bool freed;
        };
        const std::string lease = World::name("a", 1);
        const auto kill = [](World &world) {
            world.setMember("a", 1, membership::MemberHealth::Dead);
        };
        const std::vector<Case> cases{
                {"renewed", {}, [&](World &world) { world.grant(lease, "a"); }, false},
                {"holder died",
                 [&](World &world) {
                     world.grant(lease, "a");
                     kill(world);
                 },
                 {},
                 true},
                {"holder died, owner forgot", kill, {}, true},
                {"holder restarted",
                 [](World &world) { world.setMember("a", 2, membership::MemberHealth::Alive); },
                 {},
                 true},
                {"holder only suspected",
                 [&](World &world) { world.setMember("a", 1, membership::MemberHealth::Suspect); },
                 {},
                 false},
                {"unknown here, holder lives and is silent", {}, {}, false},
                {"holder denies it",
                 {},
                 [&](World &world) {
                     if (world.questions > 0)
                         world.audit.denied(engine, lease, {state::VmId("a"), 1});
                 },
                 true},
                {"another denies it",
                 {},
                 [&](World &world) {
                     world.audit.denied(engine, lease, {state::VmId("b"), 1});
                 },
                 false},
                {"released by its holder",
                 [&](World &world) {
                     world.grant(lease, "a");
                     world.audit.release(engine, lease);
                 },
                 {},
                 true},
                {"holder stopped renewing",
                 [&](World &world) { world.grant(lease, "a"); },
                 {},
                 true},
                {"owner is isolated",
                 [&](World &world) {
                     kill(world);
                     world.isolated = true;
                 },
                 {},
                 false},
                {"holder newer than the news of it",
                 [&](World &world) {
                     membership::MemberTable older;
                     world.members = older;
                     world.setMember("a", 0, membership::MemberHealth::Alive);
                 },
                 {},
                 false},
        };
        for (const Case &fault : cases) {
            World world;
            if (fault.before)
                fault.before(world);
            const int after = world.poll(lease, 60, [&] {
                if (fault.each)
                    fault.each(world);
            });
            CPPUNIT_ASSERT_MESSAGE(fault.name, (after >= 0) == fault.freed);
            CPPUNIT_ASSERT_MESSAGE(fault.name, after <= graceSeconds + 10);
        }
        World world;
        kill(world);
        CPPUNIT_ASSERT(world.poll("no-maker", 60) == graceSeconds);
    }

    void ownerChangeInTheMiddleOfAReservation()
    {
        // A reservation was granted by an owner that died before anything else. The new owner sees
        // memory in use that it never granted; the holder's next renewal reaches it in time.
        World world;
        const std::string lease = World::name("a", 1);
        world.audit.lost(engine);
        CPPUNIT_ASSERT(!world.grant(lease, "a"));
        CPPUNIT_ASSERT_EQUAL(-1, world.poll(lease, 30));
        world.audit.gained(engine);
        CPPUNIT_ASSERT_EQUAL(-1, world.poll(lease, 8));
        CPPUNIT_ASSERT(world.questions > 0 && world.last.holder == state::VmId("a"));
        CPPUNIT_ASSERT(world.grant(lease, "a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(100), world.audit.leasedTokens(engine, world.now));
        CPPUNIT_ASSERT_EQUAL(-1, world.poll(lease, 60, [&] { world.grant(lease, "a"); }));
    }

    void adoptionSavesAStreamUnlessItIsTooLate()
    {
        // The entry of a stream dies; its caller resumes at another one, which adopts the stream.
        // Every entry is asked before it is freed, and once the free is ordered it is too late.
        const std::string lease = World::name("a", 1);
        World world;
        world.setMember("a", 1, membership::MemberHealth::Dead);
        const auto adopt = [&] {
            if (world.questions > 0 && !world.last.holder)
                world.grant(lease, "b");
        };
        CPPUNIT_ASSERT_EQUAL(-1, world.poll(lease, 60, adopt));
        World late;
        late.setMember("a", 1, membership::MemberHealth::Dead);
        CPPUNIT_ASSERT_EQUAL(graceSeconds, late.poll(lease, 60));
        CPPUNIT_ASSERT(!late.grant(lease, "b"));
        CPPUNIT_ASSERT(late.poll(lease, 9) >= 0); // repeated until the engine no longer lists it
    }

    void liveLeasesSurviveAnyHistory()
    {
        // Random deaths, restarts, owner changes and lost renewals. Whatever the order, no lease
        // that its live holder renewed within its time is freed, and orphans are gone at the end.
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            std::mt19937_64 random(seed);
            World world;
            std::uint64_t incarnation[2] = {1, 1};
            const char *ids[2] = {"a", "b"};
            std::set<std::string> held;
            std::map<std::string, state::Instant> renewed; // by live holders
            std::uint64_t serial = 0;
            for (int second = 0; second < 200; ++second) {
                const std::size_t who = random() % 2;
                const bool quiet = second > 120;
                if (!quiet && random() % 20 == 0)
                    world.setMember(ids[who], ++incarnation[who], membership::MemberHealth::Alive);
                if (!quiet && random() % 30 == 0) {
                    world.audit.lost(engine);
                    world.audit.gained(engine);
                }
                if (!quiet && random() % 3 == 0)
                    held.insert(World::name(ids[who], incarnation[who], ++serial));
                std::vector<HeldItem> items;
                for (const std::string &lease : held) {
                    const LeaseHolder maker = *makerOf(lease);
                    const std::size_t owner = maker.vm == state::VmId("a") ? 0 : 1;
                    if (maker.incarnation == incarnation[owner] && random() % 3 == 0
                        && world.grant(lease, ids[owner], maker.incarnation))
                        renewed[lease] = world.now;
                    items.push_back({lease, HeldKind::Export, 1});
                }
                const auto actions =
                        world.audit.held(engine, items, world.members, false, world.now);
                for (const AuditFree &free : actions.frees) {
                    const LeaseHolder maker = *makerOf(free.item.lease);
                    const std::size_t owner = maker.vm == state::VmId("a") ? 0 : 1;
                    const bool live = maker.incarnation == incarnation[owner];
                    CPPUNIT_ASSERT(!live
                                   || (renewed.contains(free.item.lease)
                                       && world.now - renewed[free.item.lease] > seconds(10)));
                    held.erase(free.item.lease);
                }
                world.now += seconds(1);
            }
            for (const std::string &lease : held) {
                const LeaseHolder maker = *makerOf(lease);
                CPPUNIT_ASSERT(maker.incarnation
                               == incarnation[maker.vm == state::VmId("a") ? 0 : 1]);
            }
        }
    }

    void namesTellTheirMaker()
    {
        const LeaseHolder maker{state::VmId("ga.north-1"), 77};
        CPPUNIT_ASSERT(makerOf(makeLeaseName(maker, 9)) == maker);
        for (const char *text : {"", ".", "..", "a.1", "a.x.1", "a..1", ".1.1"})
            CPPUNIT_ASSERT_MESSAGE(text, !makerOf(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryAuditTest);

} // namespace lavenderthread::coordination::endpoints
