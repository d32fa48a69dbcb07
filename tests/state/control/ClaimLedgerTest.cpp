// Tests the claim ledger: at most one dispatch per key when commands are lost, duplicated or late.
#include "state/control/ClaimLedger.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace lavenderthread::state::control {

namespace {

const ClientAccountId acme("acme");
const ClaimId key = ClaimId::of(acme, "k-1");
const Digest body = Digest::of("POST /postings 5h");

ClaimHolder holder(int attempt, const char *entry = "vm-1", std::uint64_t incarnation = 1)
{
    return {VmId(entry), incarnation, RequestId("attempt-" + std::to_string(attempt))};
}

TakeClaim takeOf(const ClaimHolder &by, const ClaimId &id = key, const Digest &content = body)
{
    return {id, acme, content, by, std::chrono::seconds(30)};
}

const ClaimResult posted{201, "application/json", "{\"posting\":7}", true};

void advance(ClaimLedger &ledger, std::chrono::seconds seconds)
{
    for (int second = 0; second < seconds.count(); ++second)
        ledger.advance({std::chrono::seconds(1)});
}

} // namespace

class ClaimLedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimLedgerTest);
    CPPUNIT_TEST(resendGetsTheResult);
    CPPUNIT_TEST(otherBodyIsAConflict);
    CPPUNIT_TEST(releaseOnlyBeforeDispatch);
    CPPUNIT_TEST(entryLostBeforeDispatch);
    CPPUNIT_TEST(entryLostAfterDispatch);
    CPPUNIT_TEST(restartedEntryKeepsItsNewClaims);
    CPPUNIT_TEST(listsProcessesWithOpenClaims);
    CPPUNIT_TEST(stalledHolderIsRefusedAfterDeadline);
    CPPUNIT_TEST(largeTimeStepExpiresNoClaim);
    CPPUNIT_TEST(fullLedgerRefusesAndEvictsNoLiveClaim);
    CPPUNIT_TEST(oneAccountLeavesRoomForOthers);
    CPPUNIT_TEST(largeResultIsNotKept);
    CPPUNIT_TEST(snapshotKeepsEverything);
    CPPUNIT_TEST(randomCommandsDispatchAtMostOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void resendGetsTheResult()
    {
        ClaimLedger ledger;
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(1))).verdict == ClaimVerdict::Granted);
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(1))).verdict == ClaimVerdict::Granted);
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(2))).verdict == ClaimVerdict::InProgress);
        CPPUNIT_ASSERT(ledger.dispatch({key, holder(1)}).verdict == ClaimVerdict::Granted);
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(2))).verdict == ClaimVerdict::InProgress);
        CPPUNIT_ASSERT(ledger.finish({key, holder(1), posted}).verdict == ClaimVerdict::Granted);
        const ClaimAnswer resend = ledger.take(takeOf(holder(3)));
        CPPUNIT_ASSERT(resend.verdict == ClaimVerdict::AlreadyRan);
        CPPUNIT_ASSERT(*resend.result == posted);
        advance(ledger, std::chrono::seconds(3'601));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), ledger.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), ledger.bytes());
    }

    void otherBodyIsAConflict()
    {
        ClaimLedger ledger;
        ledger.take(takeOf(holder(1)));
        const Digest other = Digest::of("POST /postings 6h");
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(2), key, other)).verdict
                       == ClaimVerdict::OtherBody);
        ledger.release({key, holder(1)});
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(2), key, other)).verdict == ClaimVerdict::Granted);
    }

    void releaseOnlyBeforeDispatch()
    {
        ClaimLedger ledger;
        ledger.take(takeOf(holder(1)));
        CPPUNIT_ASSERT(ledger.release({key, holder(2)}).verdict == ClaimVerdict::NotHolder);
        CPPUNIT_ASSERT(ledger.release({key, holder(1)}).verdict == ClaimVerdict::Granted);
        CPPUNIT_ASSERT(ledger.release({key, holder(1)}).verdict == ClaimVerdict::Granted);
        CPPUNIT_ASSERT(ledger.dispatch({key, holder(1)}).verdict == ClaimVerdict::TooLate);
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(1))).verdict == ClaimVerdict::TooLate);
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(2))).verdict == ClaimVerdict::Granted);
        CPPUNIT_ASSERT(ledger.dispatch({key, holder(2)}).verdict == ClaimVerdict::Granted);
        CPPUNIT_ASSERT(ledger.release({key, holder(2)}).verdict == ClaimVerdict::TooLate);
    }

    void entryLostBeforeDispatch()
    {
        // The caller's entry crashes after it took the claim and before it sent the request; the
        // caller resends through another entry. EntryLost releases the claim, so the resend may
        // run; a late DispatchClaim of the crashed entry is refused.
        ClaimLedger ledger;
        ledger.take(takeOf(holder(1)));
        ledger.entryLost({VmId("vm-1"), 1});
        CPPUNIT_ASSERT(ledger.dispatch({key, holder(1)}).verdict == ClaimVerdict::TooLate);
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(2, "vm-2"))).verdict == ClaimVerdict::Granted);
        CPPUNIT_ASSERT(ledger.dispatch({key, holder(1)}).verdict == ClaimVerdict::NotHolder);
    }

    void entryLostAfterDispatch()
    {
        // The entry is lost after it may have sent the request; a resend gets OutcomeUnknown. If
        // the entry was only partitioned, its late result still changes Unknown to Finished.
        ClaimLedger ledger;
        ledger.take(takeOf(holder(1)));
        ledger.dispatch({key, holder(1)});
        ledger.entryLost({VmId("vm-1"), 1});
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(2))).verdict == ClaimVerdict::OutcomeUnknown);
        CPPUNIT_ASSERT(ledger.release({key, holder(1)}).verdict == ClaimVerdict::TooLate);
        CPPUNIT_ASSERT(ledger.finish({key, holder(1), posted}).verdict == ClaimVerdict::Granted);
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(2))).verdict == ClaimVerdict::AlreadyRan);
    }

    void restartedEntryKeepsItsNewClaims()
    {
        // The loss of an entry's first incarnation reaches the log after the second one has
        // started; only claims of the first incarnation are settled.
        ClaimLedger ledger;
        const ClaimId second = ClaimId::of(acme, "k-2");
        ledger.take(takeOf(holder(1, "vm-1", 1)));
        ledger.take(takeOf(holder(2, "vm-1", 2), second));
        ledger.entryLost({VmId("vm-1"), 1});
        CPPUNIT_ASSERT(ledger.find(key)->state == ClaimState::Released);
        CPPUNIT_ASSERT(ledger.find(second)->state == ClaimState::Held);
    }

    // A caller's entry is killed while its claim is open. The leader looks up the owners of open
    // claims and settles those of lost processes; then the caller's resend gets the claim.
    void listsProcessesWithOpenClaims()
    {
        ClaimLedger ledger;
        ledger.take(takeOf(holder(1, "vm-1", 5)));
        ledger.take(takeOf(holder(2, "vm-1", 5), ClaimId::of(acme, "k-2")));
        ledger.take(takeOf(holder(3, "vm-2", 7), ClaimId::of(acme, "k-3")));
        ledger.release({ClaimId::of(acme, "k-3"), holder(3, "vm-2", 7)});
        CPPUNIT_ASSERT(ledger.openOwners() == (std::vector<ClaimOwner>{{VmId("vm-1"), 5}}));
        ledger.entryLost({VmId("vm-1"), 5});
        CPPUNIT_ASSERT(ledger.openOwners().empty());
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(4, "vm-2", 7))).verdict == ClaimVerdict::Granted);
    }

    void stalledHolderIsRefusedAfterDeadline()
    {
        // An entry stalls beyond its request's deadline, resumes and tries to dispatch. Its
        // DispatchClaim is refused; a claim that was dispatched in time is Unknown by then.
        ClaimLedger ledger;
        const ClaimId sent = ClaimId::of(acme, "k-2");
        ledger.take(takeOf(holder(1)));
        ledger.take(takeOf(holder(2), sent));
        ledger.dispatch({sent, holder(2)});
        advance(ledger, std::chrono::seconds(41));
        CPPUNIT_ASSERT(ledger.dispatch({key, holder(1)}).verdict == ClaimVerdict::TooLate);
        CPPUNIT_ASSERT(ledger.find(sent)->state == ClaimState::Unknown);
    }

    void largeTimeStepExpiresNoClaim()
    {
        // A leader's time step claims that a year has passed. If it were trusted, every claim would
        // expire and a resend would run twice; a step counts as ten seconds at most.
        ClaimLedger ledger;
        ledger.take(takeOf(holder(1)));
        ledger.dispatch({key, holder(1)});
        ledger.advance({std::chrono::hours(24 * 365)});
        ledger.advance({std::chrono::hours(-24)});
        CPPUNIT_ASSERT(ledger.now() == std::chrono::seconds(10));
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(2))).verdict == ClaimVerdict::InProgress);
    }

    void fullLedgerRefusesAndEvictsNoLiveClaim()
    {
        ClaimLimits limits;
        limits.claims = 3;
        ClaimLedger ledger(limits);
        for (int number = 0; number < 5; ++number) {
            const ClaimId id = ClaimId::of(acme, "k" + std::to_string(number));
            const ClaimVerdict verdict = ledger.take(takeOf(holder(number), id)).verdict;
            CPPUNIT_ASSERT((verdict == ClaimVerdict::Granted) == (number < 3));
            CPPUNIT_ASSERT((verdict == ClaimVerdict::Full) == (number >= 3));
        }
        const ClaimId first = ClaimId::of(acme, "k0");
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(9), first)).verdict == ClaimVerdict::InProgress);
        ledger.release({first, holder(0)});
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(9), first)).verdict == ClaimVerdict::Granted);
    }

    void oneAccountLeavesRoomForOthers()
    {
        ClaimLimits limits;
        limits.claimsOfOneAccount = 1;
        ClaimLedger ledger(limits);
        ledger.take(takeOf(holder(1)));
        TakeClaim second = takeOf(holder(2), ClaimId::of(acme, "k-2"));
        CPPUNIT_ASSERT(ledger.take(second).verdict == ClaimVerdict::Full);
        second.account = ClientAccountId("bell");
        CPPUNIT_ASSERT(ledger.take(second).verdict == ClaimVerdict::Granted);
    }

    void largeResultIsNotKept()
    {
        ClaimLedger ledger;
        ledger.take(takeOf(holder(1)));
        ledger.dispatch({key, holder(1)});
        const ClaimResult large{201, "text/plain", std::string(17U << 10U, 'x'), true};
        ledger.finish({key, holder(1), large});
        const ClaimAnswer resend = ledger.take(takeOf(holder(2)));
        CPPUNIT_ASSERT(resend.verdict == ClaimVerdict::AlreadyRan);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(201), resend.result->status);
        CPPUNIT_ASSERT(!resend.result->bodyKept && resend.result->body.empty());
    }

    void snapshotKeepsEverything()
    {
        ClaimLedger ledger;
        ledger.take(takeOf(holder(1)));
        ledger.take(takeOf(holder(2), ClaimId::of(acme, "k-2")));
        ledger.dispatch({key, holder(1)});
        ledger.finish({key, holder(1), posted});
        ClaimLedger restored({}, ledger.now(), ledger.sortedClaims());
        CPPUNIT_ASSERT(restored.sortedClaims() == ledger.sortedClaims());
        CPPUNIT_ASSERT_EQUAL(ledger.bytes(), restored.bytes());
        for (ClaimLedger *each : {&ledger, &restored})
            advance(*each, std::chrono::seconds(3'650));
        CPPUNIT_ASSERT(restored.sortedClaims() == ledger.sortedClaims());
    }

    void randomCommandsDispatchAtMostOnce()
    {
        // Attempts of many entries race for few keys; commands are duplicated, late and reordered,
        // and entries are declared lost while they still send commands. Each attempt whose dispatch
        // is granted may send its request.
        for (std::uint64_t seed = 0; seed < 300; ++seed)
            this->runSchedule(seed);
    }

private:
    void runSchedule(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        ClaimLedger ledger;
        std::map<ClaimId, std::set<ClaimHolder>> dispatched;
        std::map<ClaimId, std::set<ClaimHolder>> reportedNotRun;
        for (int step = 0; step < 300; ++step) {
            const ClaimId id = ClaimId::of(acme, std::to_string(random() % 3));
            const ClaimHolder by =
                    holder(static_cast<int>(random() % 4), random() % 2 ? "vm-1" : "vm-2");
            switch (random() % 6) {
            case 0:
            case 1:
                ledger.take(takeOf(by, id));
                break;
            case 2:
                if (ledger.dispatch({id, by}).verdict == ClaimVerdict::Granted)
                    dispatched[id].insert(by);
                break;
            case 3:
                if (ledger.release({id, by}).verdict == ClaimVerdict::Granted)
                    reportedNotRun[id].insert(by);
                break;
            case 4:
                ledger.finish({id, by, posted});
                break;
            default:
                if (random() % 4 == 0)
                    ledger.entryLost({by.entry, by.entryIncarnation});
                else
                    ledger.advance({std::chrono::seconds(1)});
            }
        }
        for (const auto &[id, holders] : dispatched) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(seed), std::size_t(1), holders.size());
            CPPUNIT_ASSERT(!reportedNotRun[id].contains(*holders.begin()));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimLedgerTest);

} // namespace lavenderthread::state::control
