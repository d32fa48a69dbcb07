// Which entries callers are told to use, in what order, and how an entry shuts down
// without aborting requests.
#include "coordination/directory/Directory.h"
#include "coordination/directory/EntryShutdown.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace lavenderthread::coordination::directory {

namespace {

using membership::MemberHealth;
using membership::MemberPhase;
using std::chrono::seconds;

const state::Instant now = state::Instant(seconds(100));

membership::MemberRecord member(int index)
{
    membership::MemberRecord record{state::VmId("entry-" + std::to_string(index)),
                                    1,
                                    1,
                                    MemberPhase::Serving,
                                    MemberHealth::Alive,
                                    true};
    membership::MemberDescription description;
    description.caller = {"10.0.0." + std::to_string(index + 1), 80};
    description.failureDomain = state::FailureDomain("domain-" + std::to_string(index % 3));
    description.region = state::Region("region");
    record.description = std::make_shared<const membership::MemberDescription>(description);
    return record;
}

void setStatus(membership::MemberTable &members, int index, std::uint64_t tableVersion,
               std::uint8_t load, std::uint64_t sequence = 1)
{
    members.applyStatus({membership::memberKey(member(index).id), sequence, tableVersion, load});
}

membership::MemberTable tableOf(int count)
{
    membership::MemberTable members;
    for (int index = 0; index < count; ++index) {
        members.apply(member(index), now);
        setStatus(members, index, 5, 0);
    }
    return members;
}

Directory defaultDirectory()
{
    return Directory::create({}).value();
}

std::set<std::string> listedIps(const DirectoryAnswer &answer)
{
    std::set<std::string> ips;
    for (const state::Address &address : answer.addresses)
        ips.insert(address.ip);
    return ips;
}

DirectoryRequest wholeFleet()
{
    return {state::ClientAccountId("firm"), 1'000, {}, 0, 5};
}

} // namespace

class DirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DirectoryTest);
    CPPUNIT_TEST(ineligibleMembersAreNeverListed);
    CPPUNIT_TEST(accountsAreAssignedToFewEntries);
    CPPUNIT_TEST(addressesAreOrderedByCost);
    CPPUNIT_TEST(shutdownServesHoldersOfOldAnswers);
    CPPUNIT_TEST(settingsOutOfRangeAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void ineligibleMembersAreNeverListed()
    {
        // A caller keeps the answer until its time to live ends and connects directly. An entry
        // node in it that is leaving, not ready or behind with the table would refuse the caller or
        // admit it under old limits.
        const std::vector<std::pair<const char *, std::function<void(membership::MemberRecord &)>>>
                faults{{"joining", [](auto &record) { record.phase = MemberPhase::Joining; }},
                       {"leaving", [](auto &record) { record.phase = MemberPhase::Leaving; }},
                       {"left", [](auto &record) { record.phase = MemberPhase::Left; }},
                       {"unready", [](auto &record) { record.ready = false; }},
                       {"dead", [](auto &record) { record.health = MemberHealth::Dead; }}};
        for (const auto &[name, fault] : faults) {
            membership::MemberTable members = tableOf(6);
            membership::MemberRecord changed = member(2);
            ++changed.version;
            fault(changed);
            members.apply(changed, now);
            const auto ips = listedIps(defaultDirectory().answer(wholeFleet(), members));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t(5), ips.size());
            CPPUNIT_ASSERT_MESSAGE(name, !ips.contains("10.0.0.3"));
        }
        membership::MemberTable members = tableOf(6);
        setStatus(members, 4, 4, 0, 2);
        CPPUNIT_ASSERT(
                !listedIps(defaultDirectory().answer(wholeFleet(), members)).contains("10.0.0.5"));
        DirectoryRequest strict = wholeFleet();
        strict.requiredTableVersion = 6;
        CPPUNIT_ASSERT(defaultDirectory().answer(strict, members).addresses.empty());
    }

    void accountsAreAssignedToFewEntries()
    {
        // An account's limit is divided among the entries that serve it, so these must be few,
        // stay the same over time, and not all be in one failure domain.
        const membership::MemberTable all = tableOf(18);
        std::set<std::string> first;
        for (int account = 0; account < 50; ++account) {
            DirectoryRequest request{
                    state::ClientAccountId("account-" + std::to_string(account)), 20, {}, 0, 5};
            const auto before = listedIps(defaultDirectory().answer(request, all));
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), before.size());
            std::set<int> domains;
            for (const std::string &ip : before)
                domains.insert((std::stoi(ip.substr(7)) - 1) % 3);
            CPPUNIT_ASSERT(domains.size() > 1);
            first.insert(*before.begin());

            membership::MemberTable fewer = all;
            const int leavingIndex = std::stoi(before.begin()->substr(7)) - 1;
            membership::MemberRecord leaving = member(leavingIndex);
            leaving.phase = MemberPhase::Leaving;
            ++leaving.version;
            fewer.apply(leaving, now);
            const auto after = listedIps(defaultDirectory().answer(request, fewer));
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), after.size());
            CPPUNIT_ASSERT(!after.contains(*before.begin()));
            const auto kept = std::count_if(after.begin(), after.end(),
                                            [&](const auto &ip) { return before.contains(ip); });
            CPPUNIT_ASSERT(kept >= 1); // the spread over failure domains may replace a second one
        }
        CPPUNIT_ASSERT(first.size() > 6);
        CPPUNIT_ASSERT_EQUAL(
                std::size_t(14),
                listedIps(defaultDirectory().answer(
                                  {state::ClientAccountId("large"), 500, {}, 0, 5}, all))
                        .size());
    }

    void addressesAreOrderedByCost()
    {
        membership::MemberTable members = tableOf(3);
        DirectoryRequest request = wholeFleet();
        request.callerFailureDomain = state::FailureDomain("domain-1");
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2"),
                             defaultDirectory().answer(request, members).addresses.front().ip);
        setStatus(members, 1, 5, 9, 2);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2"),
                             defaultDirectory().answer(request, members).addresses.back().ip);
        membership::MemberRecord suspect = member(0);
        suspect.health = MemberHealth::Suspect;
        members.apply(suspect, now);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"),
                             defaultDirectory().answer(request, members).addresses.back().ip);
    }

    void shutdownServesHoldersOfOldAnswers()
    {
        // A caller gets its answer just before the entry's shutdown becomes known, connects
        // just before the answer expires, and its long request runs past that. It must be served to
        // the end.
        EntryShutdown shutdown(seconds(3), seconds(10));
        CPPUNIT_ASSERT(shutdown.tick(0, now) == ShutdownStage::Serving);
        shutdown.begin(now);
        CPPUNIT_ASSERT(shutdown.tick(0, now + seconds(12)) == ShutdownStage::Announced);
        shutdown.begin(now + seconds(12)); // a second signal does not restart the wait
        CPPUNIT_ASSERT(shutdown.tick(1, now + seconds(13)) == ShutdownStage::Refusing);
        CPPUNIT_ASSERT(shutdown.tick(1, now + seconds(900)) == ShutdownStage::Refusing);
        CPPUNIT_ASSERT(shutdown.tick(0, now + seconds(901)) == ShutdownStage::Finished);
    }

    void settingsOutOfRangeAreRefused()
    {
        for (const DirectorySettings &bad :
             {DirectorySettings{seconds(0)}, DirectorySettings{seconds(1), 0},
              DirectorySettings{seconds(1), 5, 4}, DirectorySettings{seconds(1), 1, 4, 0.5}})
            CPPUNIT_ASSERT(Directory::create(bad).has_error());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryTest);

} // namespace lavenderthread::coordination::directory
