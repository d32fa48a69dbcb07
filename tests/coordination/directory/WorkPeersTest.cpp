// Tests which members are told about work on engines.
#include "coordination/directory/WorkPeers.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace lavenderthread::coordination::directory {

namespace {

using membership::MemberDescription;
using membership::MemberHealth;
using membership::MemberRecord;
using membership::MemberTable;

constexpr std::uint16_t relayPort = 8'080;

void add(MemberTable &members, const std::string &id, bool relays,
         MemberHealth health = MemberHealth::Alive, std::uint64_t incarnation = 1)
{
    MemberDescription description;
    description.caller = {"10.0.0.1", 80};
    if (relays)
        description.relay = {"10.0.0.1", relayPort};
    MemberRecord record;
    record.id = state::VmId(id);
    record.incarnation = incarnation;
    record.description = std::make_shared<const MemberDescription>(description);
    members.apply(record, {});
    record.health = health;
    members.apply(record, {});
}

std::set<std::string> peersOf(const MemberTable &members, const std::string &self)
{
    std::set<std::string> ids;
    for (const MemberRecord *peer : workPeers(members, state::VmId(self)))
        ids.insert(peer->id.value());
    return ids;
}

} // namespace

class WorkPeersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkPeersTest);
    CPPUNIT_TEST(relaysTellRelaysOnly);
    CPPUNIT_TEST(entriesWithoutRelayTellAll);
    CPPUNIT_TEST(peerThatStartedAgainArrivesAgain);
    CPPUNIT_TEST(peerThatWasDeadArrivesAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Every relayed request makes three notes. Guards against control members that spend their
    // share of a core on reading those of all entries, and lose leadership for it.
    void relaysTellRelaysOnly()
    {
        MemberTable members;
        add(members, "relay-1", true);
        add(members, "relay-2", true);
        add(members, "dead-relay", true, MemberHealth::Dead);
        add(members, "control", false);
        CPPUNIT_ASSERT((peersOf(members, "relay-1") == std::set<std::string>{"relay-2"}));
    }

    // Guards against entries of the completions API that don't hear of each other's work.
    void entriesWithoutRelayTellAll()
    {
        MemberTable members;
        add(members, "entry-1", false);
        add(members, "entry-2", false);
        add(members, "relay", true);
        CPPUNIT_ASSERT((peersOf(members, "entry-1") == std::set<std::string>{"entry-2", "relay"}));
    }

    // Guards against an entry that restarts within the time in which its peers would find it dead,
    // and is told nothing of the work in progress.
    void peerThatStartedAgainArrivesAgain()
    {
        MemberTable members;
        add(members, "self", true);
        add(members, "peer", true);
        PeerArrivals arrivals;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), arrivedAt(arrivals, members));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), arrivedAt(arrivals, members));
        add(members, "peer", true, MemberHealth::Alive, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), arrivedAt(arrivals, members));
    }

    // Guards against a peer that was cut off, and is told nothing of the work that began meanwhile.
    void peerThatWasDeadArrivesAgain()
    {
        MemberTable with;
        add(with, "self", true);
        MemberTable without = with;
        add(with, "peer", true);
        PeerArrivals arrivals;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), arrivedAt(arrivals, with));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), arrivedAt(arrivals, without));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), arrivedAt(arrivals, with));
    }

private:
    static std::size_t arrivedAt(PeerArrivals &arrivals, const MemberTable &members)
    {
        return arrivals.update(workPeers(members, state::VmId("self"))).size();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkPeersTest);

} // namespace lavenderthread::coordination::directory
