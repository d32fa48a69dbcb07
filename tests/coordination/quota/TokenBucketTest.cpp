// Tests that buckets fill at the rate that the entry may use at each microsecond.
#include "coordination/quota/TokenBucket.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace lavenderthread::coordination::quota {

using namespace std::chrono_literals; // NOLINT(google-build-using-namespace): literals only
using state::Instant;

class TokenBucketTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TokenBucketTest);
    CPPUNIT_TEST(endedLoanFillsOnlyUntilItsEnd);
    CPPUNIT_TEST(overdraftDelaysNextRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    void endedLoanFillsOnlyUntilItsEnd()
    {
        const Instant start{10s};
        PartLedger ledger(Dimension::TokenRate);
        ledger.setOwnPart(100, 0s, start);
        TokenBucket bucket(100s);
        bucket.fill(ledger, start);
        const state::VmId home("home");
        ledger.requestLoan(1, home, 50, 7, 5s, start);
        ledger.acceptGrant(home, {1, Dimension::TokenRate, 7, 50, 0, 5'000, false}, start);
        bucket.fill(ledger, start + 60s);
        // 100 per second for 60 s, and 50 per second for 5 s minus the drift.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6'000 + 50 * (5 - 5 / 64.0), bucket.level(), 0.01);
    }

    void overdraftDelaysNextRequest()
    {
        const Instant start{10s};
        PartLedger ledger(Dimension::TokenRate);
        TokenBucket bucket(1s);
        CPPUNIT_ASSERT(!bucket.trySpend(1, ledger, start));
        ledger.setOwnPart(100, 0s, start);
        CPPUNIT_ASSERT(!bucket.trySpend(1'000, ledger, start + 500ms));
        CPPUNIT_ASSERT(bucket.trySpend(1'000, ledger, start + 1s));
        CPPUNIT_ASSERT(!bucket.trySpend(1, ledger, start + 9s));
        CPPUNIT_ASSERT(bucket.trySpend(50, ledger, start + 10s + 500ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenBucketTest);

} // namespace lavenderthread::coordination::quota
