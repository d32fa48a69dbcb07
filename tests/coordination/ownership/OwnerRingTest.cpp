// Owners are the same on every entry, move only where needed, and stay on the endpoint's side
// of a network partition.
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

void setHealth(membership::MemberTable &members, int index, membership::MemberHealth health)
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
    CPPUNIT_TEST(onlyTheShareOfADeadOwnerMoves);
    CPPUNIT_TEST(ownersStayInTheEndpointsRegion);
    CPPUNIT_TEST(newOwnerSettlesFirst);
    CPPUNIT_TEST(everyHomeHasEquallyManyWatchers);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyTheShareOfADeadOwnerMoves()
    {
        // Each change of an owner costs a memory audit from scratch; a suspicion alone must not
        // cause one.
        membership::MemberTable members = tableOf(18);
        const OwnerRing before = OwnerRing::fromMembers(members);
        setHealth(members, 4, membership::MemberHealth::Suspect);
        CPPUNIT_ASSERT(OwnerRing::fromMembers(members) == before);
        setHealth(members, 4, membership::MemberHealth::Dead);
        const OwnerRing after = OwnerRing::fromMembers(members);
        std::map<state::VmId, int> brokers;
        for (int index = 0; index < 900; ++index) {
            const state::ClientAccountId account("account-" + std::to_string(index));
            const state::VmId ownerBefore = before.quotaBroker(account);
            const state::VmId ownerAfter = after.quotaBroker(account);
            CPPUNIT_ASSERT(ownerBefore == ownerAfter || ownerBefore == member(4).id);
            CPPUNIT_ASSERT(ownerAfter != member(4).id);
            ++brokers[ownerBefore];
        }
        for (const auto &[id, count] : brokers)
            CPPUNIT_ASSERT(count > 20 && count < 90); // 50 on average
        CPPUNIT_ASSERT(OwnerRing().quotaBroker(state::ClientAccountId("any")).empty());
    }

    void ownersStayInTheEndpointsRegion()
    {
        // Regions lose contact: an owner on the other side of the partition could neither poll the
        // engine nor free its memory.
        membership::MemberTable members = tableOf(18);
        const OwnerRing ring = OwnerRing::fromMembers(members);
        for (int index = 0; index < 100; ++index) {
            const state::VmId owner = ring.endpointOwner(engine(index), oddDomain);
            CPPUNIT_ASSERT(members.find(owner)->record.description->region
                           == state::Region("region-1"));
        }
        for (int index = 1; index < 18; index += 2)
            setHealth(members, index, membership::MemberHealth::Dead);
        CPPUNIT_ASSERT(
                !OwnerRing::fromMembers(members).endpointOwner(engine(1), oddDomain).empty());
    }

    void newOwnerSettlesFirst()
    {
        membership::MemberTable members = tableOf(4);
        endpoints::EndpointTable table;
        state::EndpointDescription description{engine(1)};
        description.failureDomain = oddDomain;
        endpoints::EndpointRecord record{engine(1), 1, 1, 1, endpoints::EndpointPhase::Live};
        record.description = std::make_shared<const state::EndpointDescription>(description);
        table.apply(record, now);
        const state::VmId first =
                OwnerRing::fromMembers(members).endpointOwner(engine(1), oddDomain);
        const int other = first == member(1).id ? 3 : 1;
        OwnedEndpoints owned(seconds(12));
        CPPUNIT_ASSERT(owned.update(member(other).id, OwnerRing::fromMembers(members), table, now)
                               .gained.empty());
        setHealth(members, 4 - other, membership::MemberHealth::Dead);
        CPPUNIT_ASSERT_EQUAL(
                std::size_t(1),
                owned.update(member(other).id, OwnerRing::fromMembers(members), table, now)
                        .gained.size());
        CPPUNIT_ASSERT(owned.owns(engine(1)) && !owned.isSettled(engine(1), now + seconds(11)));
        CPPUNIT_ASSERT(owned.isSettled(engine(1), now + seconds(12)));
        record.phase = endpoints::EndpointPhase::Left;
        table.apply(record, now);
        CPPUNIT_ASSERT_EQUAL(
                std::size_t(1),
                owned.update(member(other).id, OwnerRing::fromMembers(members), table, now)
                        .lost.size());
        CPPUNIT_ASSERT(!owned.owns(engine(1)));
    }

    void everyHomeHasEquallyManyWatchers()
    {
        // A replica that no entry watches would get less work than its capacity, and an entry
        // node that watches few replicas would concentrate its work on them.
        struct Case
        {
            int entries;
            std::size_t replicas;
            std::size_t watchers;
        };
        for (const Case &size : {Case{1, 5, 0}, Case{3, 4, 2}, Case{18, 23, 17}, Case{54, 270, 7},
                                 Case{370, 1'800, 7}}) {
            const OwnerRing ring = OwnerRing::fromMembers(tableOf(size.entries));
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
