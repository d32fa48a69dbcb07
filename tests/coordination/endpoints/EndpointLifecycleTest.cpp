// Fault scenarios of the endpoint lifecycle on three entries that receive each other's records
// at once.
#include "coordination/endpoints/EndpointLifecycle.h"

#include "fakes/EveryByte.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::endpoints {

namespace {

using std::chrono::seconds;

const state::EndpointId engine("engine-1");

// Three entries; published records reach all of them within one step of a second.
struct TestCluster
{
    TestCluster()
    {
        for (const char *id : {"a", "b", "c"}) {
            this->setMember(id, 1, membership::MemberHealth::Alive);
            this->lifecycles.push_back(
                    EndpointLifecycle::create({}, state::VmId(id), this->now).value());
        }
        this->tables.resize(3);
    }

    void setMember(const char *id, std::uint32_t version, membership::MemberHealth health)
    {
        membership::MemberRecord record{state::VmId(id), 1, version,
                                        membership::MemberPhase::Serving, health};
        record.description = std::make_shared<const membership::MemberDescription>();
        this->members.apply(record, this->now);
        this->ring = ownership::OwnerRing::fromMembers(this->members);
    }

    EndpointContext view(std::size_t entry) const
    {
        return {this->tables[entry], this->members, this->ring};
    }

    void publish(const EndpointRecord &record)
    {
        ++this->published;
        for (EndpointTable &table : this->tables)
            table.apply(record, this->now);
    }

    // Returns whether the announcement was accepted.
    bool announce(std::size_t entry, std::uint64_t incarnation, const char *model = "m1",
                  std::optional<state::Duration> coldLeft = {})
    {
        state::EndpointDescription description{engine, {"10.0.0.9", 1}};
        description.incarnation = incarnation;
        description.models = {state::ModelName(model)};
        const auto result = this->lifecycles[entry].announce(description, this->view(entry),
                                                             this->now, coldLeft);
        if (result.has_error())
            return false;
        if (result.value())
            this->publish(*result.value());
        return true;
    }

    void step(int count = 1)
    {
        for (int index = 0; index < count; ++index) {
            this->now += seconds(1);
            for (std::size_t entry = 0; entry < this->lifecycles.size(); ++entry) {
                if (this->deadEntry == entry)
                    continue;
                for (const EndpointRecord &record :
                     this->lifecycles[entry].tick(this->view(entry), this->now))
                    this->publish(record);
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
    std::vector<EndpointLifecycle> lifecycles;
    std::vector<EndpointTable> tables;
    std::size_t deadEntry = 99;
    int published = 0;
};

} // namespace

class EndpointLifecycleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointLifecycleTest);
    CPPUNIT_TEST(announcedEndpointExpiresAndIsReactivated);
    CPPUNIT_TEST(renewalsPublishNothing);
    CPPUNIT_TEST(deregistrationIsFinalForTheIncarnation);
    CPPUNIT_TEST(deregistrationWinsOverConcurrentRenewals);
    CPPUNIT_TEST(deregistrationMayPrecedeTheAnnouncement);
    CPPUNIT_TEST(restartUnderTheSameIdReplacesTheIncarnation);
    CPPUNIT_TEST(drainPersistsAcrossARestart);
    CPPUNIT_TEST(flappingEndpointIsHeldAndReleased);
    CPPUNIT_TEST(concurrentHomesConvergeToOne);
    CPPUNIT_TEST(homeDiesAndTheEndpointMovesOrExpires);
    CPPUNIT_TEST(homeRestartsWithoutItsRenewals);
    CPPUNIT_TEST(mergeIsIndependentOfOrder);
    CPPUNIT_TEST(shortFormNeedsItsDescription);
    CPPUNIT_TEST(badAnnouncementsAreRefused);
    CPPUNIT_TEST(idsThatNoHeaderCarriesAreRefused);
    CPPUNIT_TEST(coldTimeIsPublishedOnlyWhenItBegins);
    CPPUNIT_TEST_SUITE_END();

public:
    void announcedEndpointExpiresAndIsReactivated()
    {
        // An engine crashes without deregistering: its renewals stop, and it must get no more work
        // once they expire. If it was only disconnected, its next renewal reactivates it without a
        // new incarnation.
        TestCluster cluster;
        CPPUNIT_ASSERT(cluster.announce(0, 1));
        CPPUNIT_ASSERT(cluster.record().isUsable());
        cluster.step(14);
        CPPUNIT_ASSERT(cluster.record().isUsable());
        cluster.step(2);
        CPPUNIT_ASSERT(cluster.record().phase == EndpointPhase::Expired);
        CPPUNIT_ASSERT(cluster.announce(1, 1));
        CPPUNIT_ASSERT(cluster.record().isUsable());
        CPPUNIT_ASSERT(cluster.record().home == state::VmId("b"));
    }

    void renewalsPublishNothing()
    {
        // 1,800 replicas renew every 5 s. Publishing each renewal to 370 nodes would fill every
        // datagram.
        TestCluster cluster;
        for (int renewal = 0; renewal < 20; ++renewal) {
            cluster.announce(0, 1);
            cluster.step(5);
        }
        CPPUNIT_ASSERT_EQUAL(1, cluster.published);
        cluster.announce(0, 1, "m2"); // a model was loaded
        CPPUNIT_ASSERT_EQUAL(2, cluster.published);
        CPPUNIT_ASSERT(cluster.record().description->models.front() == state::ModelName("m2"));
    }

    void deregistrationIsFinalForTheIncarnation()
    {
        // The endpoint deregisters at one entry while its last renewal is still in transit to
        // another. The late renewal must not reactivate it.
        TestCluster cluster;
        cluster.announce(0, 3);
        CPPUNIT_ASSERT(cluster.lifecycles[1].leave(engine, 2, cluster.view(1)).has_error());
        CPPUNIT_ASSERT(cluster.lifecycles[1]
                               .leave(state::EndpointId("x"), 0, cluster.view(1))
                               .has_error());
        cluster.publish(*cluster.lifecycles[1].leave(engine, 3, cluster.view(1)).value());
        CPPUNIT_ASSERT(!cluster.announce(2, 3));
        cluster.step(5);
        CPPUNIT_ASSERT(cluster.record().phase == EndpointPhase::Left);
        CPPUNIT_ASSERT(cluster.announce(2, 4));
        CPPUNIT_ASSERT(cluster.record().isUsable());
    }

    // Guards against a late announcement that puts an endpoint into use after its deregistration,
    // which came to an entry that had just started or knew an earlier incarnation only.
    void deregistrationMayPrecedeTheAnnouncement()
    {
        for (const bool knowsEarlier : {false, true}) {
            TestCluster cluster;
            if (knowsEarlier)
                cluster.announce(0, 2);
            const EndpointRecord left =
                    *cluster.lifecycles[1].leave(engine, 3, cluster.view(1)).value();
            CPPUNIT_ASSERT(!left.description); // with one it would count as ordinary news
            cluster.publish(left);
            CPPUNIT_ASSERT(cluster.record().phase == EndpointPhase::Left);
            CPPUNIT_ASSERT(!cluster.announce(0, 3));
            CPPUNIT_ASSERT(!cluster.announce(2, 2));
            CPPUNIT_ASSERT(!cluster.record().isUsable());
            CPPUNIT_ASSERT(cluster.announce(2, 4));
            CPPUNIT_ASSERT(cluster.record().isUsable());
        }
    }

    void deregistrationWinsOverConcurrentRenewals()
    {
        // Guards against callers being sent to an endpoint seconds after it deregistered. The
        // responses to the endpoint are lost, so it announces itself to several entries: one
        // receives the deregistration and publishes it as version 2, another takes the endpoint
        // over meanwhile and publishes versions 2 and 3 with phase Live. The later version must not
        // undo the deregistration, in any order of arrival, nor when the deregistration was made on
        // an older description.
        TestCluster cluster;
        cluster.announce(0, 3);
        const EndpointRecord left =
                *cluster.lifecycles[0].leave(engine, 3, cluster.view(0)).value();
        EndpointRecord deregistration = left;
        deregistration.description = nullptr;
        cluster.announce(1, 3, "m2");
        cluster.announce(1, 3, "m3");
        CPPUNIT_ASSERT(cluster.record().version > left.version);
        const EndpointRecord renewed = cluster.record();
        CPPUNIT_ASSERT(merge(renewed, deregistration).record.phase == EndpointPhase::Left);
        CPPUNIT_ASSERT(merge(left, renewed).record.phase == EndpointPhase::Left);
        cluster.publish(deregistration);
        CPPUNIT_ASSERT(!cluster.announce(2, 3));
        cluster.step(5);
        CPPUNIT_ASSERT(cluster.record().phase == EndpointPhase::Left);
    }

    void restartUnderTheSameIdReplacesTheIncarnation()
    {
        // A crashed engine restarts under its id and address while a renewal of its former
        // incarnation still arrives at another entry; the old incarnation must not win.
        TestCluster cluster;
        cluster.announce(0, 1);
        cluster.announce(1, 1);
        CPPUNIT_ASSERT(cluster.announce(2, 2));
        CPPUNIT_ASSERT(!cluster.announce(1, 1));
        cluster.step(3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), cluster.record(0).incarnation);
        CPPUNIT_ASSERT(!cluster.lifecycles[0].isAnnouncedHere(engine, 1));
        CPPUNIT_ASSERT(cluster.lifecycles[2].isAnnouncedHere(engine, 2));
    }

    void drainPersistsAcrossARestart()
    {
        TestCluster cluster;
        cluster.announce(0, 1);
        EndpointRecord drainOrder{engine};
        drainOrder.drain = {{2, 7}, true};
        cluster.publish(drainOrder);
        CPPUNIT_ASSERT(!cluster.record().isUsable());
        cluster.announce(1, 2);
        CPPUNIT_ASSERT(!cluster.record().isUsable());
        drainOrder.drain = {{2, 6}, false}; // an undrain of a lower log position, delivered late
        cluster.publish(drainOrder);
        CPPUNIT_ASSERT(!cluster.record().isUsable());
        drainOrder.drain = {{3, 1}, false};
        cluster.publish(drainOrder);
        CPPUNIT_ASSERT(cluster.record().isUsable());
    }

    void flappingEndpointIsHeldAndReleased()
    {
        // An engine crashes right after each start. Without damping each start would attract
        // requests that then fail.
        TestCluster cluster;
        for (std::uint64_t incarnation = 1; incarnation <= 6; ++incarnation) {
            cluster.announce(0, incarnation);
            cluster.step(3);
        }
        CPPUNIT_ASSERT(cluster.record().phase == EndpointPhase::Held);
        const int before = cluster.published;
        for (int renewal = 0; renewal < 40; ++renewal) {
            cluster.announce(0, 6);
            cluster.step(5);
        }
        CPPUNIT_ASSERT(cluster.record().phase == EndpointPhase::Live);
        CPPUNIT_ASSERT_EQUAL(before + 1, cluster.published);
    }

    void concurrentHomesConvergeToOne()
    {
        // Two entries receive all renewals, and each would become the home. They must not take
        // the role from each other forever, and the endpoint must stay usable throughout.
        TestCluster cluster;
        for (int renewal = 0; renewal < 30; ++renewal) {
            cluster.announce(2, 1);
            cluster.announce(0, 1);
            CPPUNIT_ASSERT(cluster.record().isUsable());
            cluster.step(5);
        }
        CPPUNIT_ASSERT(cluster.record().home == state::VmId("a"));
        CPPUNIT_ASSERT_EQUAL(2, cluster.published);
    }

    void homeDiesAndTheEndpointMovesOrExpires()
    {
        // The entry that received the renewals dies. An endpoint that finds another entry
        // stays usable; one that died at the same time is expired by its owner, once, after it had
        // time to move.
        for (const bool moves : {true, false}) {
            TestCluster cluster;
            cluster.announce(0, 1);
            cluster.step(3);
            cluster.deadEntry = 0;
            if (moves)
                cluster.announce(1, 1);
            cluster.setMember("a", 1, membership::MemberHealth::Dead);
            cluster.step(10);
            CPPUNIT_ASSERT(cluster.record().isUsable());
            if (moves)
                cluster.announce(1, 1);
            cluster.step(8);
            CPPUNIT_ASSERT(cluster.record().isUsable() == moves);
            CPPUNIT_ASSERT_EQUAL(2, cluster.published);
        }
    }

    void homeRestartsWithoutItsRenewals()
    {
        // The home entry crashes and restarts at once under its id, without its record of
        // renewals. The endpoint, which died meanwhile, must not stay listed forever.
        TestCluster cluster;
        cluster.announce(0, 1);
        cluster.lifecycles[0] =
                EndpointLifecycle::create({}, state::VmId("a"), cluster.now).value();
        cluster.step(10);
        CPPUNIT_ASSERT(cluster.record().isUsable());
        cluster.step(7);
        CPPUNIT_ASSERT(cluster.record().phase == EndpointPhase::Expired);
    }

    void mergeIsIndependentOfOrder()
    {
        std::vector<EndpointRecord> updates;
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
            updates.push_back(record);
        }
        std::mt19937_64 random(4);
        EndpointRecord expected{engine};
        for (const EndpointRecord &record : updates)
            expected = merge(expected, record).record;
        for (int round = 0; round < 50; ++round) {
            std::shuffle(updates.begin(), updates.end(), random);
            EndpointRecord result{engine};
            for (int twice = 0; twice < 2; ++twice) {
                for (const EndpointRecord &record : updates)
                    result = merge(result, record).record;
            }
            CPPUNIT_ASSERT(result == expected);
        }
    }

    void shortFormNeedsItsDescription()
    {
        EndpointRecord known{engine, 2, 3, 3, EndpointPhase::Live, state::VmId("a")};
        known.description = std::make_shared<const state::EndpointDescription>();
        // A short form made on a description that this entry never received.
        EndpointRecord shortForm = known;
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
        ++shortForm.incarnation; // of an incarnation that is unknown here
        const EndpointRecord merged = merge(known, shortForm).record;
        CPPUNIT_ASSERT(merged.phase == EndpointPhase::Left && merged.incarnation == 3);
        for (const EndpointPhase phase :
             {EndpointPhase::Live, EndpointPhase::Held, EndpointPhase::Expired}) {
            shortForm.phase = phase;
            CPPUNIT_ASSERT(!merge(known, shortForm).changed);
            CPPUNIT_ASSERT(!merge(merged, shortForm).changed);
        }
    }

    void badAnnouncementsAreRefused()
    {
        TestCluster cluster;
        CPPUNIT_ASSERT(!cluster.announce(0, 0));
        state::EndpointDescription huge{engine, {"10.0.0.9", 1}};
        huge.incarnation = 1;
        for (int model = 0; model < 90; ++model)
            huge.models.emplace_back("model-" + std::to_string(model));
        const auto refused = cluster.lifecycles[0].announce(huge, cluster.view(0), cluster.now);
        CPPUNIT_ASSERT(refused.error().code == state::ErrorCode::InvalidArgument);
        for (const state::Address &address :
             {state::Address{"10.0.0.9", 0}, state::Address{"999.0.0.9", 1}}) {
            state::EndpointDescription odd{engine, address};
            odd.incarnation = 1;
            CPPUNIT_ASSERT(
                    cluster.lifecycles[0].announce(odd, cluster.view(0), cluster.now).has_error());
        }
        CPPUNIT_ASSERT(
                EndpointLifecycle::create({seconds(5), seconds(6)}, state::VmId("a"), cluster.now)
                        .has_error());
    }

    // Guards against a record of an endpoint that no request can name in its head.
    void idsThatNoHeaderCarriesAreRefused()
    {
        TestCluster cluster;
        for (const std::string &id : fakes::textsWithEveryByte()) {
            state::EndpointDescription named{state::EndpointId(id), {"10.0.0.9", 1}};
            named.incarnation = 1;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, fakes::isReadWhole(id),
                                         cluster.lifecycles[0]
                                                 .announce(named, cluster.view(0), cluster.now)
                                                 .has_value());
        }
    }

    // Guards against a record that spreads to all entries with each heartbeat of a cold endpoint,
    // and against a second cold time that nobody learns of. The countdown is also heard by an entry
    // that is not the endpoint's home.
    void coldTimeIsPublishedOnlyWhenItBegins()
    {
        TestCluster cluster;
        const auto coldUntil = [&cluster] {
            return cluster.tables[2].find(engine)->presentColdUntil();
        };
        cluster.announce(0, 7, "m1", seconds(3));
        const state::Instant first = cluster.now + seconds(3);
        CPPUNIT_ASSERT(coldUntil() == first);
        const int published = cluster.published;
        cluster.step();
        cluster.announce(0, 7, "m1", seconds(2));
        cluster.step();
        cluster.announce(1, 7, "m1", seconds(1));
        cluster.step();
        cluster.announce(0, 7);
        CPPUNIT_ASSERT_EQUAL(published, cluster.published);
        CPPUNIT_ASSERT(coldUntil() == first);
        cluster.step();
        cluster.announce(1, 7, "m1", seconds(2));
        CPPUNIT_ASSERT_EQUAL(published + 1, cluster.published);
        CPPUNIT_ASSERT(coldUntil() == cluster.now + seconds(2));
        CPPUNIT_ASSERT(cluster.record().home == state::VmId("a"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointLifecycleTest);

} // namespace lavenderthread::coordination::endpoints
