// Tests each safeguard of a loan separately, with the message order or clock that requires it.
#include "coordination/quota/QuotaNode.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace lavenderthread::coordination::quota {

using namespace std::chrono_literals; // NOLINT(google-build-using-namespace): literals only
using state::Instant;
using state::VmId;

namespace {

const VmId home("home");
const VmId borrower("borrower");
const state::TableKey account{state::ClientAccountId("a"), state::WorkClass("any")};
constexpr Instant start{100s};

QuotaNode nodeOf(const VmId &self, std::uint64_t incarnation, std::uint32_t limit)
{
    QuotaNode node(self, incarnation, {}, start);
    node.configure({{borrower, home}, 1}, 1h, start);
    state::TableRow row;
    row.key = account;
    row.inFlightLimit = limit;
    node.setRow(row, start);
    return node;
}

// Returns a borrower that waits for the answer to its first loan request.
QuotaNode borrowerAwaitingGrant(std::uint64_t incarnation)
{
    QuotaNode node = nodeOf(borrower, incarnation, 8);
    QuotaMessage statement;
    statement.from = home;
    statement.incarnation = 5;
    statement.forIncarnation = incarnation;
    statement.isStatement = true;
    node.receive(statement, start);
    node.tryStart(quotaKeyOf(account), 0, start + 10s, start);
    node.setDemand(quotaKeyOf(account), {20, 0, start + 10s});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node.tick(start).front().message.loanRequests.size());
    return node;
}

QuotaMessage grantFrom(std::uint64_t homeIncarnation, std::uint64_t borrowerIncarnation)
{
    QuotaMessage message;
    message.from = home;
    message.incarnation = homeIncarnation;
    message.forIncarnation = borrowerIncarnation;
    message.grants.push_back({quotaKeyOf(account), Dimension::InFlight, 1, 4, 0, 10'000, false});
    return message;
}

std::uint64_t borrowedAfter(QuotaNode node, const QuotaMessage &message)
{
    node.receive(message, start + 1ms);
    return node.view(quotaKeyOf(account), start + 1ms).borrowedSlots;
}

} // namespace

class PartLedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PartLedgerTest);
    CPPUNIT_TEST(homeCountsLoanLongerThanBorrower);
    CPPUNIT_TEST(grantOfAnotherProcessIsDropped);
    CPPUNIT_TEST(borrowedSlotOutlastsItsRequest);
    CPPUNIT_TEST(loansOfShrunkPartExpire);
    CPPUNIT_TEST(lendingRateReducesSavedTokens);
    CPPUNIT_TEST_SUITE_END();

public:
    // The borrower's clock is slow and the home's is fast, each by less than half the allowed
    // drift. The borrower uses the slot until the loan ends by its own clock. If the home did not
    // lengthen the loan, it would use the slot at the same time.
    void homeCountsLoanLongerThanBorrower()
    {
        PartLedger lender(Dimension::InFlight);
        lender.setOwnPart(8, 0s, start);
        PartLedger user(Dimension::InFlight);
        const LoanRequest request = user.requestLoan(1, home, 4, 1, 60s, start);
        user.acceptGrant(home, *lender.grantLoan(borrower, request, 0, 120s, start), start);
        const auto elapsedLocally = [](state::Duration real, int parts) {
            return real + real * parts / (2 * clockDriftDivisor + 1);
        };
        state::Duration real = 0s;
        while (user.borrowed(start + elapsedLocally(real, -1)) > 0)
            real += 10ms;
        CPPUNIT_ASSERT(real > 58s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, lender.lent(start + elapsedLocally(real, 1)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, lender.lent(start + 62s));
    }

    // The borrower or the home restarts while a grant is in transit. The restarted home does not
    // know the grant and lends the same units again. Sequence numbers start again with each
    // process, so they don't detect this.
    void grantOfAnotherProcessIsDropped()
    {
        const QuotaNode waitingBorrower = borrowerAwaitingGrant(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, borrowedAfter(waitingBorrower, grantFrom(5, 2)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, borrowedAfter(waitingBorrower, grantFrom(5, 1)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, borrowedAfter(waitingBorrower, grantFrom(4, 2)));
    }

    // Guards against a request that runs past the end of its loan: the home would use the slot
    // again at the same time, and one request more than the limit would run.
    void borrowedSlotOutlastsItsRequest()
    {
        PartLedger ledger(Dimension::InFlight);
        ledger.setOwnPart(1, 0s, start);
        ledger.requestLoan(1, home, 1, 1, 10s, start);
        ledger.acceptGrant(home, {1, Dimension::InFlight, 1, 1, 0, 10'000, false}, start);
        SlotPool pool;
        CPPUNIT_ASSERT(pool.start(start + 60s, ledger, start)); // on the own slot
        CPPUNIT_ASSERT(!pool.start(start + 11s, ledger, start));
        CPPUNIT_ASSERT(pool.start(start + 9s, ledger, start));
        pool.finish(start + 9s);
        CPPUNIT_ASSERT(!pool.start(start + 61s, ledger, start)); // 60 s would lose the own slot
    }

    // A roster change removes most of a home's part while it is lent. If borrowers could still
    // renew their loans, the units would be used here and by the new home indefinitely.
    void loansOfShrunkPartExpire()
    {
        PartLedger lender(Dimension::InFlight);
        lender.setOwnPart(8, 0s, start);
        CPPUNIT_ASSERT(
                lender.grantLoan(borrower, {1, Dimension::InFlight, 1, 6, 10'000}, 0, 120s, start));
        lender.setOwnPart(2, 0s, start);
        const LoanRequest renewal{1, Dimension::InFlight, 2, 6, 10'000};
        CPPUNIT_ASSERT(!lender.grantLoan(borrower, renewal, 0, 120s, start + 5s));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, lender.lent(start + 11s));
    }

    // A home with a full bucket lends most of its rate, and the borrower fills a bucket at that
    // rate too. If the home kept all its tokens, both together could spend more than the limit.
    void lendingRateReducesSavedTokens()
    {
        PartLedger lender(Dimension::TokenRate);
        lender.setOwnPart(100, 0s, start);
        TokenBucket bucket(1s);
        bucket.fill(lender, start);
        bucket.fill(lender, start + 5s);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, bucket.level(), 0.01);
        lender.grantLoan(borrower, {1, Dimension::TokenRate, 1, 60, 5'000}, 0, 5s, start + 5s);
        bucket.fill(lender, start + 5s);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(40, bucket.level(), 0.01);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartLedgerTest);

} // namespace lavenderthread::coordination::quota
