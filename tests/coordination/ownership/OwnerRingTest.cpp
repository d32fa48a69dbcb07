// Owners: the same from every entry, moved only where needed, on the endpoint's side of a split.
#include "coordination/ownership/OwnerRing.h"
#include "coordination/ownership/OwnedEndpoints.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

namespace lavenderthread::coordination::ownership {

namespace {

using std::chrono::seconds;

const state::Instant now = state::Instant(seconds(100));

membership::MemberRecord member(int index)
{
    membership::MemberRecord record{state::VmId("entry-" + std::to_string(index)), 1, 1,
                                    membership::MemberPhase::Serving};
    membership::MemberDescription description;
    description.failureDomain = state::FailureDomain("domain-" + std::to_string(index % 6));
    description.region = state::Region("region-" + std::to_string(index % 2));
    record.description = std::make_shared<const membership::MemberDescription>(description);
    return record;
}

membership::MemberTable tableOf(int count)
{
    membership::MemberTable members;
    for (int index = 0; index < count; ++index)
        members.apply(member(index), now);
    return members;
}

void worsen(membership::MemberTable &members, int index, membership::MemberHealth health)
{
    membership::MemberRecord record = member(index);
    record.health = health;
    members.apply(record, now);
}

state::EndpointId engine(int index)
{
    return state::EndpointId("engine-" + std::to_string(index));
}

const state::FailureDomain oddDomain("domain-1");

} // namespace

class OwnerRingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OwnerRingTest);
    CPPUNIT_TEST(onlyTheDeadOwnersShareMoves);
    CPPUNIT_TEST(ownersStayInTheEndpointsRegion);
    CPPUNIT_TEST(handOverStartsWithoutTrust);
    CPPUNIT_TEST(everyHomeIsWatchedAlike);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyTheDeadOwnersShareMoves()
    {
        // Each move of an owner costs an audit from nothing; a suspicion alone must cost none.
        membership::MemberTable members = tableOf(18);
        const OwnerRing before = OwnerRing::of(members);
        worsen(members, 4, membership::MemberHealth::Suspect);
        CPPUNIT_ASSERT(OwnerRing::of(members) == before);
        worsen(members, 4, membership::MemberHealth::Dead);
        const OwnerRing after = OwnerRing::of(members);
        std::map<state::VmId, int> brokers;
        for (int index = 0; index < 900; ++index) {
            const state::ClientAccountId account("account-" + std::to_string(index));
            const state::VmId was = before.quotaBroker(account);
            const state::VmId is = after.quotaBroker(account);
            CPPUNIT_ASSERT(was == is || was == member(4).id);
            CPPUNIT_ASSERT(is != member(4).id);
            ++brokers[was];
        }
        for (const auto &[id, count] : brokers)
            CPPUNIT_ASSERT(count > 20 && count < 90); // 50 on average
        CPPUNIT_ASSERT(OwnerRing().quotaBroker(state::ClientAccountId("any")).empty());
    }

    void ownersStayInTheEndpointsRegion()
    {
        // Regions lose each other: an owner across the split could neither poll nor free.
        membership::MemberTable members = tableOf(18);
        const OwnerRing ring = OwnerRing::of(members);
        for (int index = 0; index < 100; ++index) {
            const state::VmId owner = ring.endpointOwner(engine(index), oddDomain);
            CPPUNIT_ASSERT(members.find(owner)->record.description->region
                           == state::Region("region-1"));
        }
        for (int index = 1; index < 18; index += 2)
            worsen(members, index, membership::MemberHealth::Dead);
        CPPUNIT_ASSERT(!OwnerRing::of(members).endpointOwner(engine(1), oddDomain).empty());
    }

    void handOverStartsWithoutTrust()
    {
        membership::MemberTable members = tableOf(4);
        endpoints::EndpointTable table;
        state::EndpointDescription description{engine(1)};
        description.failureDomain = oddDomain;
        endpoints::EndpointRecord record{engine(1), 1, 1, 1, endpoints::EndpointPhase::Live};
        record.description = std::make_shared<const state::EndpointDescription>(description);
        table.apply(record, now);
        const state::VmId first = OwnerRing::of(members).endpointOwner(engine(1), oddDomain);
        const int other = first == member(1).id ? 3 : 1;
        OwnedEndpoints owned(seconds(12));
        CPPUNIT_ASSERT(
                owned.update(member(other).id, OwnerRing::of(members), table, now).gained.empty());
        worsen(members, 4 - other, membership::MemberHealth::Dead);
        CPPUNIT_ASSERT_EQUAL(
                std::size_t(1),
                owned.update(member(other).id, OwnerRing::of(members), table, now).gained.size());
        CPPUNIT_ASSERT(owned.owns(engine(1)) && !owned.isSettled(engine(1), now + seconds(11)));
        CPPUNIT_ASSERT(owned.isSettled(engine(1), now + seconds(12)));
        record.phase = endpoints::EndpointPhase::Left;
        table.apply(record, now);
        CPPUNIT_ASSERT_EQUAL(
                std::size_t(1),
                owned.update(member(other).id, OwnerRing::of(members), table, now).lost.size());
        CPPUNIT_ASSERT(!owned.owns(engine(1)));
    }

    void everyHomeIsWatchedAlike()
    {
        // A replica that no entry watches would get less work than it can take, and an entry that
        // watches few replicas would herd its work on them.
        struct Case
        {
            int entries;
            std::size_t replicas;
            std::size_t watchers;
        };
        for (const Case &size : {Case{1, 5, 0}, Case{3, 4, 2}, Case{18, 23, 17}, Case{54, 270, 7},
                                 Case{370, 1'800, 7}}) {
            const OwnerRing ring = OwnerRing::of(tableOf(size.entries));
            std::map<state::VmId, std::size_t> watchedHomes;
            for (int entry = 0; entry < size.entries; ++entry) {
                const auto watchers = ring.watchersOf(member(entry).id, size.replicas);
                CPPUNIT_ASSERT_EQUAL(size.watchers, watchers.size());
                CPPUNIT_ASSERT(std::find(watchers.begin(), watchers.end(), member(entry).id)
                               == watchers.end());
                for (const state::VmId &watcher : watchers)
                    ++watchedHomes[watcher];
            }
            for (const auto &[id, homes] : watchedHomes)
                CPPUNIT_ASSERT_EQUAL(size.watchers, homes);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerRingTest);

} // namespace lavenderthread::coordination::ownership
