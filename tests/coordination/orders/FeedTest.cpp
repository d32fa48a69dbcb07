// Tests the entry's view of the table, which never goes back to an older version and admits only
// while fresh, and the leader's record of which entries have a version in force.
#include "coordination/orders/EnforcementTracker.h"
#include "coordination/orders/FeedReceiver.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::orders {

namespace {

using state::Instant;
using state::control::DrainMark;
using state::control::FeedPage;

Instant at(int milliseconds)
{
    return Instant(std::chrono::milliseconds(milliseconds));
}

FeedPage page(std::uint64_t from, std::uint64_t to, const char *endpoint = "e")
{
    return {from, to, 0, 1, {DrainMark{state::EndpointId(endpoint), true, to}}};
}

FeedAnswer answer(const FeedRequest &request, std::uint64_t version, std::vector<FeedPage> pages,
                  bool confirmed = true)
{
    return {request.id, confirmed, version, std::move(pages)};
}

} // namespace

class FeedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FeedTest);
    CPPUNIT_TEST(admitsOnlyWhileFresh);
    CPPUNIT_TEST(leaseCountsFromTheRequest);
    CPPUNIT_TEST(versionsNeverGoBack);
    CPPUNIT_TEST(pagesAreAppliedAllOrNone);
    CPPUNIT_TEST(followerPagesChangeTheViewWithoutConfirmingIt);
    CPPUNIT_TEST(entrySwitchesAwayFromIsolatedMember);
    CPPUNIT_TEST(staleAdmissionIsASetting);
    CPPUNIT_TEST(viewKnownToBeOutdatedAdmitsNothing);
    CPPUNIT_TEST(viewIsConfirmedForAsLongAsAChangeMayTake);
    CPPUNIT_TEST(frequentChangesDoNotOutdateAViewThatKeepsUp);
    CPPUNIT_TEST(sourceWithoutKnownChangeIsBehind);
    CPPUNIT_TEST(trackerListsMissingEntries);
    CPPUNIT_TEST(silentEntryIsNoLongerCounted);
    CPPUNIT_TEST(restartedEntryIsMissingAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // A source that holds no log answers without pages, as one that has nothing new.
    void sourceWithoutKnownChangeIsBehind()
    {
        FeedReceiver feed({}, 3, 0);
        feed.onPages({page(0, 5)});
        CPPUNIT_ASSERT(!feed.isBehind(0));
        feed.onVersionReported(7, at(10));
        CPPUNIT_ASSERT(feed.isBehind(0));
        CPPUNIT_ASSERT(feed.isBehind(5));
        CPPUNIT_ASSERT(!feed.isBehind(7));
        feed.onPages({page(5, 7)});
        CPPUNIT_ASSERT(!feed.isBehind(5));
    }

    void admitsOnlyWhileFresh()
    {
        FeedReceiver feed({}, 3, 0);
        CPPUNIT_ASSERT(!feed.admits(at(0)));
        const FeedRequest request = *feed.poll(at(0));
        CPPUNIT_ASSERT(feed.onAnswer(answer(request, 5, {page(0, 5)}), at(10)));
        CPPUNIT_ASSERT(feed.admits(at(7'999)));
        CPPUNIT_ASSERT(!feed.admits(at(8'000)));
        CPPUNIT_ASSERT(!feed.poll(at(500)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), feed.poll(at(1'000))->version);
    }

    void leaseCountsFromTheRequest()
    {
        // An answer waits seven seconds in a full buffer. It confirms what was newest when the
        // request came; a lease counted from its arrival would let the entry admit under a table
        // that was replaced fifteen seconds ago.
        FeedReceiver feed({}, 3, 0);
        const FeedRequest request = *feed.poll(at(0));
        feed.onAnswer(answer(request, 5, {page(0, 5)}), at(7'000));
        CPPUNIT_ASSERT(feed.admits(at(7'999)));
        CPPUNIT_ASSERT(!feed.admits(at(8'000)));
    }

    void followerPagesChangeTheViewWithoutConfirmingIt()
    {
        // A partitioned follower sends the pages that it had applied. The entry may admit under
        // them only once the leader has confirmed the version, and must not go back to an older
        // one.
        FeedReceiver feed({}, 3, 0);
        CPPUNIT_ASSERT(feed.onPages({page(0, 5)}));
        CPPUNIT_ASSERT(!feed.admits(at(0)));
        const FeedRequest request = *feed.poll(at(10));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), request.version);
        CPPUNIT_ASSERT(!feed.onAnswer(answer(request, 6, {}), at(20)));
        CPPUNIT_ASSERT(!feed.admits(at(20)));
        CPPUNIT_ASSERT(feed.onPages({page(5, 6)}));
        CPPUNIT_ASSERT(!feed.onPages({page(0, 4)}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), feed.view().version);
        const FeedRequest again = *feed.poll(at(2'000));
        CPPUNIT_ASSERT(!feed.onAnswer(answer(again, 6, {}), at(2'010)));
        CPPUNIT_ASSERT(feed.admits(at(2'010)));
    }

    void versionsNeverGoBack()
    {
        // A member that was partitioned answers late with an older table, wrongly confirmed.
        FeedReceiver feed({}, 3, 0);
        const FeedRequest first = *feed.poll(at(0));
        const FeedRequest second = *feed.poll(at(1'000));
        feed.onAnswer(answer(second, 9, {page(0, 9, "new")}), at(1'010));
        CPPUNIT_ASSERT(!feed.onAnswer(answer(first, 5, {page(0, 5, "old")}), at(1'020)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), feed.view().version);
        CPPUNIT_ASSERT(feed.view().isDrained(state::EndpointId("new")));
        CPPUNIT_ASSERT(!feed.admits(at(9'000))); // the older answer did not extend the lease
        // A change that starts from another version than the entry's is not applied either.
        const FeedRequest third = *feed.poll(at(2'000));
        CPPUNIT_ASSERT(!feed.onAnswer(answer(third, 12, {page(10, 12)}), at(2'010)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), feed.view().version);
        CPPUNIT_ASSERT(!feed.admits(at(9'000)));
    }

    void pagesAreAppliedAllOrNone()
    {
        FeedReceiver feed({}, 1, 0);
        std::vector<FeedPage> pages(2, page(0, 5));
        pages[0].pages = pages[1].pages = 2;
        CPPUNIT_ASSERT(!feed.onAnswer(answer(*feed.poll(at(0)), 5, {pages[0]}), at(1)));
        CPPUNIT_ASSERT(!feed.onAnswer(answer(*feed.poll(at(1'000)), 5, pages), at(1'001)));
        pages[1].page = 1;
        CPPUNIT_ASSERT(feed.onAnswer(answer(*feed.poll(at(2'000)), 5, pages), at(2'001)));
    }

    void entrySwitchesAwayFromIsolatedMember()
    {
        // The entry's control member is partitioned from the quorum but still answers. It can't
        // confirm, so the entry asks the next member after three seconds, well within its lease.
        FeedReceiver feed({}, 3, 1);
        for (int now = 0; now < 3'000; now += 1'000) {
            const FeedRequest request = *feed.poll(at(now));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), request.member);
            feed.onAnswer(answer(request, 0, {}, false), at(now + 10));
        }
        const FeedRequest next = *feed.poll(at(3'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), next.member);
        feed.onRequestFailed(next.id);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), feed.poll(at(4'000))->member);
    }

    void staleAdmissionIsASetting()
    {
        FeedSettings settings;
        settings.admitWhenStale = true;
        FeedReceiver feed(settings, 1, 0);
        CPPUNIT_ASSERT(!feed.admits(at(0))); // it has never had a table
        feed.onAnswer(answer(*feed.poll(at(0)), 5, {page(0, 5)}), at(1));
        CPPUNIT_ASSERT(feed.admits(at(60'000)) && !feed.isFresh(at(60'000)));
    }

    // Guards against an entry that admits under an older version although the leader has reported a
    // newer one and the time in which a change must be in force has passed.
    void viewKnownToBeOutdatedAdmitsNothing()
    {
        FeedSettings settings;
        settings.admitWhenStale = true;
        FeedReceiver feed(settings, 3, 0);
        feed.onAnswer(answer(*feed.poll(at(0)), 5, {page(0, 5)}), at(10));
        feed.onAnswer(answer(*feed.poll(at(1'000)), 6, {}), at(1'010));
        CPPUNIT_ASSERT(feed.admits(at(1'020)));
        CPPUNIT_ASSERT(!feed.admits(at(13'010)));
        feed.onAnswer(answer(*feed.poll(at(13'020)), 6, {page(5, 6)}), at(13'030));
        CPPUNIT_ASSERT(feed.admits(at(13'040)));
    }

    // Guards against a permanent refusal by an entry whose view was not confirmed for longer than a
    // change may take. The time counts from the request, since an answer may be delayed.
    void viewIsConfirmedForAsLongAsAChangeMayTake()
    {
        FeedSettings settings;
        settings.inForceWithin = std::chrono::milliseconds(2'500);
        FeedReceiver feed(settings, 3, 0);
        CPPUNIT_ASSERT(feed.lease().statusAt(at(0)) == ViewStatus::Unconfirmed);
        feed.onAnswer(answer(*feed.poll(at(0)), 5, {page(0, 5)}), at(900));
        CPPUNIT_ASSERT(feed.lease().statusAt(at(2'499)) == ViewStatus::Confirmed);
        CPPUNIT_ASSERT(feed.lease().statusAt(at(2'500)) == ViewStatus::Unconfirmed);
    }

    // Guards against refusals by an entry that applies each change soon but, while changes keep
    // coming, never has the newest version.
    void frequentChangesDoNotOutdateAViewThatKeepsUp()
    {
        FeedSettings settings;
        settings.inForceWithin = std::chrono::milliseconds(2'500);
        FeedReceiver feed(settings, 3, 0);
        feed.onAnswer(answer(*feed.poll(at(0)), 5, {page(0, 5)}), at(10));
        for (std::uint64_t version = 6; version < 60; ++version) {
            const int heardAt = static_cast<int>(version) * 100;
            feed.onVersionReported(version + 1, at(heardAt));
            feed.onPages({page(version - 1, version)});
            CPPUNIT_ASSERT(feed.lease().statusAt(at(heardAt + 99)) != ViewStatus::Outdated);
        }
        CPPUNIT_ASSERT(feed.lease().statusAt(at(59 * 100 + 1'250)) == ViewStatus::Outdated);
    }

    void trackerListsMissingEntries()
    {
        EnforcementTracker tracker(std::chrono::seconds(8));
        tracker.leaderStarted({state::VmId("vm-3")}, at(0));
        tracker.onFeedRequest(state::VmId("vm-1"), 7, at(100));
        tracker.onFeedRequest(state::VmId("vm-2"), 6, at(100));
        const Enforcement result = tracker.enforcementOf(7, at(200));
        const std::vector<state::VmId> missing{state::VmId("vm-2"), state::VmId("vm-3")};
        CPPUNIT_ASSERT(result == (Enforcement{7, 1, 3, missing}));
    }

    void silentEntryIsNoLongerCounted()
    {
        // An entry that has the old table dies. It might still admit until its lease has expired,
        // so the change is in force everywhere only after that.
        EnforcementTracker tracker(std::chrono::seconds(8));
        tracker.onFeedRequest(state::VmId("vm-1"), 6, at(0));
        CPPUNIT_ASSERT(!tracker.enforcementOf(7, at(7'999)).inForceEverywhere());
        CPPUNIT_ASSERT(tracker.enforcementOf(7, at(8'000)).inForceEverywhere());
    }

    void restartedEntryIsMissingAgain()
    {
        EnforcementTracker tracker(std::chrono::seconds(8));
        tracker.onFeedRequest(state::VmId("vm-1"), 7, at(0));
        tracker.onFeedRequest(state::VmId("vm-1"), 0, at(1'000));
        CPPUNIT_ASSERT(!tracker.enforcementOf(7, at(1'001)).inForceEverywhere());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FeedTest);

} // namespace lavenderthread::coordination::orders
