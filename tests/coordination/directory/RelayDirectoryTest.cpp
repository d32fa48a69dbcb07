// Tests where callers are sent, and through which peers a relay without paths serves them.
#include "coordination/directory/RelayDirectory.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace lavenderthread::coordination::directory {

namespace {

using membership::MemberDescription;
using membership::MemberPhase;
using membership::MemberRecord;
using membership::MemberTable;

constexpr std::uint16_t relayPort = 8'080;
constexpr std::uint16_t callerPort = 80;

void add(MemberTable &members, int number, const std::string &domain, bool reachesEndpoints)
{
    const std::string ip = "10.0.0." + std::to_string(number);
    MemberDescription description;
    description.caller = {ip, callerPort};
    description.relay = {ip, relayPort};
    description.failureDomain = state::FailureDomain(domain);
    MemberRecord record;
    record.id = state::VmId("vm-" + std::to_string(number));
    record.incarnation = 1;
    record.phase = MemberPhase::Serving;
    record.ready = true;
    record.reachesEndpoints = reachesEndpoints;
    record.description = std::make_shared<const MemberDescription>(description);
    members.apply(record, {});
}

bool lists(const std::vector<state::Address> &addresses, int number)
{
    const std::string ip = "10.0.0." + std::to_string(number);
    return std::ranges::any_of(addresses,
                               [&](const state::Address &each) { return each.ip == ip; });
}

} // namespace

class RelayDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayDirectoryTest);
    CPPUNIT_TEST(callersAreNotSentToRelaysWithoutPaths);
    CPPUNIT_TEST(domainWithoutPathsIsServedByOthers);
    CPPUNIT_TEST(relaysWithoutPathsAreBetterThanNone);
    CPPUNIT_TEST(peersHavePathsAndAreOthers);
    CPPUNIT_TEST(deadRelaysCountForColdEndpointsUntilTheyLeave);
    CPPUNIT_TEST_SUITE_END();

    const state::FailureDomain domainA{"a"};

public:
    // Guards against a larger share for each entry during a partition, in which the others look
    // dead but go on sending.
    void deadRelaysCountForColdEndpointsUntilTheyLeave()
    {
        MemberTable members;
        for (int number = 1; number <= 4; ++number)
            add(members, number, "a", true);
        MemberRecord record = members.find(state::VmId("vm-1"))->record;
        record.health = membership::MemberHealth::Dead;
        members.apply(record, {});
        record = members.find(state::VmId("vm-2"))->record;
        ++record.version;
        record.phase = MemberPhase::Left;
        members.apply(record, {});
        const std::vector<routing::RelayEntry> expected{{state::VmId("vm-1"), false},
                                                        {state::VmId("vm-3"), true},
                                                        {state::VmId("vm-4"), true}};
        CPPUNIT_ASSERT(relayEntries(members, true).entries == expected);
        CPPUNIT_ASSERT(!relayEntries(members, false).complete);
    }

    // Guards against new callers at entries that have lost their links to all endpoints.
    void callersAreNotSentToRelaysWithoutPaths()
    {
        MemberTable members;
        for (int number = 1; number <= 6; ++number)
            add(members, number, "a", number > 2);
        const auto addresses = relayAddresses(members, this->domainA);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), addresses.size());
        CPPUNIT_ASSERT(!lists(addresses, 1) && !lists(addresses, 2));
    }

    void domainWithoutPathsIsServedByOthers()
    {
        MemberTable members;
        for (int number = 1; number <= 8; ++number)
            add(members, number, number <= 4 ? "a" : "b", number > 3);
        const auto addresses = relayAddresses(members, this->domainA);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), addresses.size());
        CPPUNIT_ASSERT(lists(addresses, 4) && lists(addresses, 8));
    }

    // Guards against an empty answer when endpoints fail everywhere and all entries take it for
    // their own fault.
    void relaysWithoutPathsAreBetterThanNone()
    {
        MemberTable members;
        for (int number = 1; number <= 5; ++number)
            add(members, number, "a", false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), relayAddresses(members, this->domainA).size());
        CPPUNIT_ASSERT(relayPeers(members, state::VmId("vm-1")).empty());
    }

    void peersHavePathsAndAreOthers()
    {
        MemberTable members;
        for (int number = 1; number <= 6; ++number)
            add(members, number, "a", number != 2);
        add(members, 7, "b", true);
        add(members, 8, "b", false);
        const auto all = relayPeers(members, state::VmId("vm-1"));
        const auto &peers = all.nearby;
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), peers.size());
        CPPUNIT_ASSERT(!lists(peers, 1) && !lists(peers, 2));
        CPPUNIT_ASSERT_EQUAL(callerPort, peers.front().port);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), all.distant.size());
        CPPUNIT_ASSERT(lists(all.distant, 7));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayDirectoryTest);

} // namespace lavenderthread::coordination::directory
