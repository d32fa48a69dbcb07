// Fault table of endpoint life, on a few entries that hear of each other's records at once.
#include "coordination/endpoints/EndpointLife.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::endpoints {

namespace {

using std::chrono::seconds;

const state::EndpointId engine("engine-1");

// Three entries; records spread within one step of a second.
struct World
{
    World()
    {
        for (const char *id : {"a", "b", "c"}) {
            this->setMember(id, 1, membership::MemberHealth::Alive);
            this->lives.push_back(EndpointLife::create({}, state::VmId(id), this->now).value());
        }
        this->tables.resize(3);
    }

    void setMember(const char *id, std::uint32_t version, membership::MemberHealth health)
    {
        membership::MemberRecord record{state::VmId(id), 1, version,
                                        membership::MemberPhase::Serving, health};
        record.description = std::make_shared<const membership::MemberDescription>();
        this->members.apply(record, this->now);
        this->ring = ownership::OwnerRing::of(this->members);
    }

    EndpointWorld view(std::size_t entry) const
    {
        return {this->tables[entry], this->members, this->ring};
    }

    void spread(const EndpointRecord &record)
    {
        ++this->published;
        for (EndpointTable &table : this->tables)
            table.apply(record, this->now);
    }

    // True if it was taken.
    bool announce(std::size_t entry, std::uint64_t incarnation, const char *model = "m1")
    {
        state::EndpointDescription description{engine, {"10.0.0.9", 1}};
        description.incarnation = incarnation;
        description.models = {state::ModelName(model)};
        const auto result = this->lives[entry].announce(description, this->view(entry), this->now);
        if (result.has_error())
            return false;
        if (result.value())
            this->spread(*result.value());
        return true;
    }

    void step(int count = 1)
    {
        for (int index = 0; index < count; ++index) {
            this->now += seconds(1);
            for (std::size_t entry = 0; entry < this->lives.size(); ++entry) {
                if (this->dead == entry)
                    continue;
                for (const EndpointRecord &record :
                     this->lives[entry].tick(this->view(entry), this->now))
                    this->spread(record);
            }
        }
    }

    const EndpointRecord &record(std::size_t entry = 2) const
    {
        return this->tables[entry].find(engine)->record;
    }

    state::Instant now = state::Instant(seconds(100));
    membership::MemberTable members;
    ownership::OwnerRing ring;
    std::vector<EndpointLife> lives;
    std::vector<EndpointTable> tables;
    std::size_t dead = 99;
    int published = 0;
};

} // namespace

class EndpointLifeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointLifeTest);
    CPPUNIT_TEST(announceRenewExpireReturn);
    CPPUNIT_TEST(renewalsMakeNoNews);
    CPPUNIT_TEST(leavingIsFinalForTheIncarnation);
    CPPUNIT_TEST(leavingBeatsRenewalsMadeMeanwhile);
    CPPUNIT_TEST(restartUnderTheSameIdReplaces);
    CPPUNIT_TEST(drainOutlivesARestart);
    CPPUNIT_TEST(flappingIsHeldAndReleased);
    CPPUNIT_TEST(twoEntriesAtOnceSettleOnOne);
    CPPUNIT_TEST(homeDiesAndTheEndpointMovesOrEnds);
    CPPUNIT_TEST(homeRestartsWithoutMemory);
    CPPUNIT_TEST(mergeIsTheSameInEveryOrder);
    CPPUNIT_TEST(shortFormNeedsItsDescription);
    CPPUNIT_TEST(badAnnouncementsAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void announceRenewExpireReturn()
    {
        // An engine crashes silently: its renewals stop, and work must stop going there within the
        // expiry. If it was only cut off, its next renewal brings it back without a new
        // incarnation.
        World world;
        CPPUNIT_ASSERT(world.announce(0, 1));
        CPPUNIT_ASSERT(world.record().isUsable());
        world.step(14);
        CPPUNIT_ASSERT(world.record().isUsable());
        world.step(2);
        CPPUNIT_ASSERT(world.record().phase == EndpointPhase::Expired);
        CPPUNIT_ASSERT(world.announce(1, 1));
        CPPUNIT_ASSERT(world.record().isUsable());
        CPPUNIT_ASSERT(world.record().home == state::VmId("b"));
    }

    void renewalsMakeNoNews()
    {
        // 1,800 replicas renew every 5 s; each as news to 370 nodes would fill every datagram.
        World world;
        for (int renewal = 0; renewal < 20; ++renewal) {
            world.announce(0, 1);
            world.step(5);
        }
        CPPUNIT_ASSERT_EQUAL(1, world.published);
        world.announce(0, 1, "m2"); // a model was loaded
        CPPUNIT_ASSERT_EQUAL(2, world.published);
        CPPUNIT_ASSERT(world.record().description->models.front() == state::ModelName("m2"));
    }

    void leavingIsFinalForTheIncarnation()
    {
        // The endpoint says that it leaves at one entry while its last renewal is still on the way
        // to another. The late renewal must not bring it back.
        World world;
        world.announce(0, 3);
        CPPUNIT_ASSERT(world.lives[1].leave(engine, 2, world.view(1)).has_error());
        CPPUNIT_ASSERT(world.lives[1].leave(state::EndpointId("x"), 2, world.view(1)).has_error());
        world.spread(*world.lives[1].leave(engine, 3, world.view(1)).value());
        CPPUNIT_ASSERT(!world.announce(2, 3));
        world.step(5);
        CPPUNIT_ASSERT(world.record().phase == EndpointPhase::Left);
        CPPUNIT_ASSERT(world.announce(2, 4));
        CPPUNIT_ASSERT(world.record().isUsable());
    }

    void leavingBeatsRenewalsMadeMeanwhile()
    {
        // Callers are sent to an endpoint seconds after it said that it leaves. Its answers were
        // lost, so its announcements went to several entries: one heard the farewell and made
        // version 2 of it, another took the endpoint over meanwhile and made versions 2 and 3 that
        // say that it lives. The later version must not undo the farewell, in whatever order they
        // come, nor when the farewell was made on an older description.
        World world;
        world.announce(0, 3);
        const EndpointRecord left = *world.lives[0].leave(engine, 3, world.view(0)).value();
        EndpointRecord farewell = left;
        farewell.description = nullptr;
        world.announce(1, 3, "m2");
        world.announce(1, 3, "m3");
        CPPUNIT_ASSERT(world.record().version > left.version);
        const EndpointRecord renewed = world.record();
        CPPUNIT_ASSERT(merge(renewed, farewell).record.phase == EndpointPhase::Left);
        CPPUNIT_ASSERT(merge(left, renewed).record.phase == EndpointPhase::Left);
        world.spread(farewell);
        CPPUNIT_ASSERT(!world.announce(2, 3));
        world.step(5);
        CPPUNIT_ASSERT(world.record().phase == EndpointPhase::Left);
    }

    void restartUnderTheSameIdReplaces()
    {
        // A crashed engine comes back under its id and address while a renewal of its former life
        // still arrives elsewhere; the old life must not win.
        World world;
        world.announce(0, 1);
        world.announce(1, 1);
        CPPUNIT_ASSERT(world.announce(2, 2));
        CPPUNIT_ASSERT(!world.announce(1, 1));
        world.step(3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), world.record(0).incarnation);
        CPPUNIT_ASSERT(!world.lives[0].isAnnouncedHere(engine, 1));
        CPPUNIT_ASSERT(world.lives[2].isAnnouncedHere(engine, 2));
    }

    void drainOutlivesARestart()
    {
        World world;
        world.announce(0, 1);
        EndpointRecord mark{engine};
        mark.drain = {{2, 7}, true};
        world.spread(mark);
        CPPUNIT_ASSERT(!world.record().isUsable());
        world.announce(1, 2);
        CPPUNIT_ASSERT(!world.record().isUsable());
        mark.drain = {{2, 6}, false}; // an older undrain, delivered late
        world.spread(mark);
        CPPUNIT_ASSERT(!world.record().isUsable());
        mark.drain = {{3, 1}, false};
        world.spread(mark);
        CPPUNIT_ASSERT(world.record().isUsable());
    }

    void flappingIsHeldAndReleased()
    {
        // An engine crashes right after each start. Every start would draw work that then fails.
        World world;
        for (std::uint64_t incarnation = 1; incarnation <= 6; ++incarnation) {
            world.announce(0, incarnation);
            world.step(3);
        }
        CPPUNIT_ASSERT(world.record().phase == EndpointPhase::Held);
        const int before = world.published;
        for (int renewal = 0; renewal < 40; ++renewal) {
            world.announce(0, 6);
            world.step(5);
        }
        CPPUNIT_ASSERT(world.record().phase == EndpointPhase::Live);
        CPPUNIT_ASSERT_EQUAL(before + 1, world.published);
    }

    void twoEntriesAtOnceSettleOnOne()
    {
        // Each entry that takes renewals believes to be the home. They must not take the role from
        // each other for ever, and the endpoint must stay usable throughout.
        World world;
        for (int renewal = 0; renewal < 30; ++renewal) {
            world.announce(2, 1);
            world.announce(0, 1);
            CPPUNIT_ASSERT(world.record().isUsable());
            world.step(5);
        }
        CPPUNIT_ASSERT(world.record().home == state::VmId("a"));
        CPPUNIT_ASSERT_EQUAL(2, world.published);
    }

    void homeDiesAndTheEndpointMovesOrEnds()
    {
        // The entry that took the renewals dies. An endpoint that finds another entry goes on; one
        // that died along with it is ended by its owner, once, after the time to move.
        for (const bool moves : {true, false}) {
            World world;
            world.announce(0, 1);
            world.step(3);
            world.dead = 0;
            if (moves)
                world.announce(1, 1);
            world.setMember("a", 1, membership::MemberHealth::Dead);
            world.step(10);
            CPPUNIT_ASSERT(world.record().isUsable());
            if (moves)
                world.announce(1, 1);
            world.step(8);
            CPPUNIT_ASSERT(world.record().isUsable() == moves);
            CPPUNIT_ASSERT_EQUAL(2, world.published);
        }
    }

    void homeRestartsWithoutMemory()
    {
        // The home entry crashes and is back at once under its id, with no memory of renewals. The
        // endpoint, which died meanwhile, must not stay listed for good.
        World world;
        world.announce(0, 1);
        world.lives[0] = EndpointLife::create({}, state::VmId("a"), world.now).value();
        world.step(10);
        CPPUNIT_ASSERT(world.record().isUsable());
        world.step(7);
        CPPUNIT_ASSERT(world.record().phase == EndpointPhase::Expired);
    }

    void mergeIsTheSameInEveryOrder()
    {
        std::vector<EndpointRecord> news;
        for (int index = 0; index < 6; ++index) {
            EndpointRecord record{engine,
                                  1U + static_cast<std::uint64_t>(index) / 3,
                                  static_cast<std::uint32_t>(index % 3 + 1),
                                  0,
                                  static_cast<EndpointPhase>(index % 4),
                                  state::VmId("a")};
            record.descriptionVersion = record.version;
            record.description = std::make_shared<const state::EndpointDescription>();
            record.drain = {{1, static_cast<std::uint64_t>(index * 7 % 5)}, index % 2 == 0};
            news.push_back(record);
        }
        std::mt19937_64 random(4);
        EndpointRecord expected{engine};
        for (const EndpointRecord &record : news)
            expected = merge(expected, record).record;
        for (int round = 0; round < 50; ++round) {
            std::shuffle(news.begin(), news.end(), random);
            EndpointRecord result{engine};
            for (int twice = 0; twice < 2; ++twice) {
                for (const EndpointRecord &record : news)
                    result = merge(result, record).record;
            }
            CPPUNIT_ASSERT(result == expected);
        }
    }

    void shortFormNeedsItsDescription()
    {
        EndpointRecord known{engine, 2, 3, 3, EndpointPhase::Live, state::VmId("a")};
        known.description = std::make_shared<const state::EndpointDescription>();
        EndpointRecord shortForm = known; // made on a description that this entry never got
        shortForm.description = nullptr;
        ++shortForm.version;
        ++shortForm.descriptionVersion;
        for (const EndpointPhase phase :
             {EndpointPhase::Live, EndpointPhase::Held, EndpointPhase::Expired}) {
            shortForm.phase = phase;
            CPPUNIT_ASSERT(!merge(known, shortForm).changed);
        }
        shortForm.phase = EndpointPhase::Left;
        CPPUNIT_ASSERT(merge(known, shortForm).changed);
        ++shortForm.incarnation; // of a life that is not known here at all
        const EndpointRecord ended = merge(known, shortForm).record;
        CPPUNIT_ASSERT(ended.phase == EndpointPhase::Left && ended.incarnation == 3);
        for (const EndpointPhase phase :
             {EndpointPhase::Live, EndpointPhase::Held, EndpointPhase::Expired}) {
            shortForm.phase = phase;
            CPPUNIT_ASSERT(!merge(known, shortForm).changed);
            CPPUNIT_ASSERT(!merge(ended, shortForm).changed);
        }
    }

    void badAnnouncementsAreRefused()
    {
        World world;
        CPPUNIT_ASSERT(!world.announce(0, 0));
        state::EndpointDescription huge{engine, {"10.0.0.9", 1}};
        huge.incarnation = 1;
        for (int model = 0; model < 90; ++model)
            huge.models.emplace_back("model-" + std::to_string(model));
        const auto refused = world.lives[0].announce(huge, world.view(0), world.now);
        CPPUNIT_ASSERT(refused.error().code == state::ErrorCode::InvalidArgument);
        CPPUNIT_ASSERT(EndpointLife::create({seconds(5), seconds(6)}, state::VmId("a"), world.now)
                               .has_error());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointLifeTest);

} // namespace lavenderthread::coordination::endpoints
