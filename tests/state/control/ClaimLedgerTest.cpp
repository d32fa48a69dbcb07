// Contract of the claim ledger: at most one dispatch a key, whatever is lost, doubled or late.
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
    CPPUNIT_TEST(namesTheProcessesWithOpenClaims);
    CPPUNIT_TEST(stalledHolderWakesAfterItsTime);
    CPPUNIT_TEST(clockLeapForgetsNothing);
    CPPUNIT_TEST(fullLedgerRefusesAndForgetsNoLiveClaim);
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
        // The caller's entry dies after it took the claim and before it sent anything; the caller
        // resends elsewhere. The claim is released by the loss, so the resend may run; the dead
        // entry's own mark, late on its way, is refused.
        ClaimLedger ledger;
        ledger.take(takeOf(holder(1)));
        ledger.entryLost({VmId("vm-1"), 1});
        CPPUNIT_ASSERT(ledger.dispatch({key, holder(1)}).verdict == ClaimVerdict::TooLate);
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(2, "vm-2"))).verdict == ClaimVerdict::Granted);
        CPPUNIT_ASSERT(ledger.dispatch({key, holder(1)}).verdict == ClaimVerdict::NotHolder);
    }

    void entryLostAfterDispatch()
    {
        // The entry dies after it may have sent the request; a resend is told that nobody knows.
        // Had the entry only been cut off, its late result still turns "unknown" into the answer.
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
        // News of an entry's first life reach the log after its second has begun; only claims of
        // the first life are settled.
        ClaimLedger ledger;
        const ClaimId second = ClaimId::of(acme, "k-2");
        ledger.take(takeOf(holder(1, "vm-1", 1)));
        ledger.take(takeOf(holder(2, "vm-1", 2), second));
        ledger.entryLost({VmId("vm-1"), 1});
        CPPUNIT_ASSERT(ledger.find(key)->state == ClaimState::Released);
        CPPUNIT_ASSERT(ledger.find(second)->state == ClaimState::Held);
    }

    // A caller's entry is killed with its claim open. The leader asks who holds open claims, and
    // settles those of the processes that are gone; then the caller's copy gets the claim.
    void namesTheProcessesWithOpenClaims()
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

    void stalledHolderWakesAfterItsTime()
    {
        // An entry stalls for longer than its request's deadline, wakes and wants to dispatch. Its
        // mark is refused; one that was dispatched in time is unknown by then.
        ClaimLedger ledger;
        const ClaimId sent = ClaimId::of(acme, "k-2");
        ledger.take(takeOf(holder(1)));
        ledger.take(takeOf(holder(2), sent));
        ledger.dispatch({sent, holder(2)});
        advance(ledger, std::chrono::seconds(41));
        CPPUNIT_ASSERT(ledger.dispatch({key, holder(1)}).verdict == ClaimVerdict::TooLate);
        CPPUNIT_ASSERT(ledger.find(sent)->state == ClaimState::Unknown);
    }

    void clockLeapForgetsNothing()
    {
        // A leader's step says that a year went by. Taken at its word it would age out every claim,
        // and a resend would run twice; a step counts ten seconds at most.
        ClaimLedger ledger;
        ledger.take(takeOf(holder(1)));
        ledger.dispatch({key, holder(1)});
        ledger.advance({std::chrono::hours(24 * 365)});
        ledger.advance({std::chrono::hours(-24)});
        CPPUNIT_ASSERT(ledger.now() == std::chrono::seconds(10));
        CPPUNIT_ASSERT(ledger.take(takeOf(holder(2))).verdict == ClaimVerdict::InProgress);
    }

    void fullLedgerRefusesAndForgetsNoLiveClaim()
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
        // Attempts of many entries race over few keys; commands come doubled, late and in any
        // order, entries are given up while they still talk. Whoever is granted dispatch may send.
        for (std::uint64_t seed = 0; seed < 300; ++seed)
            this->runSchedule(seed);
    }

private:
    void runSchedule(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        ClaimLedger ledger;
        std::map<ClaimId, std::set<ClaimHolder>> dispatched;
        std::map<ClaimId, std::set<ClaimHolder>> toldNotRun;
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
                    toldNotRun[id].insert(by);
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
            CPPUNIT_ASSERT(!toldNotRun[id].contains(*holders.begin()));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimLedgerTest);

} // namespace lavenderthread::state::control
