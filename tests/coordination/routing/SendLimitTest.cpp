// Tests SendLimit: the rate of one entry alone, and the sum of many entries that report their sends
// to each other late.
#include "coordination/routing/SendLimit.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace lavenderthread::coordination::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SendLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SendLimitTest);
    CPPUNIT_TEST(keepsRateAlone);
    CPPUNIT_TEST(servesRateUnderSteadyDemand);
    CPPUNIT_TEST(nextSendIsAllowed);
    CPPUNIT_TEST(changedRateHoldsAtOnce);
    CPPUNIT_TEST(entriesWithWaitingRequestsKeepTheSum);
    CPPUNIT_TEST(lostReportsDoNotMultiplyTheRate);
    CPPUNIT_TEST_SUITE_END();

    const state::Instant start{seconds(100)};

    struct Load
    {
        std::size_t entries = 18;
        double perSecond = 1;
        milliseconds reportDelay{3};
        double lostReports = 0; // share of them
        // Every entry always has a request waiting, and looks at the limit at random moments.
        double looksPerSecond = 50;
    };

    struct Result
    {
        std::size_t mostInWindow = 0; // in any 4 s, from 3 s on
        double perSecond = 0;
    };

    static Result play(const Load &load, std::uint64_t seed)
    {
        constexpr seconds length{40};
        constexpr milliseconds window{4'000};
        const state::Instant begin{seconds(100)};
        std::mt19937_64 random(seed);
        std::vector<SendLimit> limits;
        for (std::size_t entry = 0; entry < load.entries; ++entry)
            limits.emplace_back(load.perSecond, begin, random());
        struct Report
        {
            state::Instant at;
            std::size_t sender;
        };
        std::deque<Report> reports; // in the order of arrival
        std::deque<state::Instant> recent;
        Result result;
        std::size_t sent = 0;
        std::bernoulli_distribution looks(load.looksPerSecond / 1'000);
        std::bernoulli_distribution loses(load.lostReports);
        for (state::Instant now = begin; now < begin + length; now += milliseconds(1)) {
            for (; !reports.empty() && reports.front().at <= now; reports.pop_front()) {
                for (std::size_t entry = 0; entry < load.entries; ++entry) {
                    if (entry != reports.front().sender && !loses(random))
                        limits[entry].recordSend(now);
                }
            }
            for (std::size_t entry = 0; entry < load.entries; ++entry) {
                if (!looks(random) || limits[entry].available(now) == 0)
                    continue;
                limits[entry].recordSend(now);
                reports.push_back({now + load.reportDelay, entry});
                ++sent;
                if (now >= begin + seconds(3))
                    recent.push_back(now);
            }
            while (!recent.empty() && recent.front() + window <= now)
                recent.pop_front();
            result.mostInWindow = std::max(result.mostInWindow, recent.size());
        }
        result.perSecond = double(sent) / double(length.count());
        return result;
    }

    // One and a half times the rate in 4 s, and five requests.
    static std::size_t allowed(double perSecond) { return std::size_t(perSecond * 6 + 5); }

    static std::string describe(const Load &load, const Result &result)
    {
        return std::to_string(load.entries) + " entries, " + std::to_string(load.perSecond)
               + "/s, delay " + std::to_string(load.reportDelay.count())
               + " ms: " + std::to_string(result.mostInWindow) + " in 4 s, "
               + std::to_string(result.perSecond) + "/s";
    }

public:
    void keepsRateAlone()
    {
        for (const double rate : {0.1, 0.5, 2.0, 20.0}) {
            Load load;
            load.entries = 1;
            load.perSecond = rate;
            const Result result = play(load, 1);
            CPPUNIT_ASSERT_MESSAGE(describe(load, result), result.mostInWindow <= allowed(rate));
        }
    }

    void servesRateUnderSteadyDemand()
    {
        Load load;
        load.perSecond = 2;
        const Result result = play(load, 2);
        CPPUNIT_ASSERT_MESSAGE(describe(load, result), result.perSecond >= 0.85 * load.perSecond);
        CPPUNIT_ASSERT_MESSAGE(describe(load, result), result.perSecond <= 1.1 * load.perSecond);
    }

    void nextSendIsAllowed()
    {
        SendLimit limit(0.5, this->start, 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), limit.available(this->start));
        const state::Instant next = limit.nextSend(this->start);
        CPPUNIT_ASSERT(next > this->start);
        CPPUNIT_ASSERT(limit.available(next) >= 1);
        limit.recordSend(next);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), limit.available(next));
    }

    void changedRateHoldsAtOnce()
    {
        SendLimit limit(20, this->start, 7);
        const state::Instant later = this->start + seconds(10);
        CPPUNIT_ASSERT(limit.available(later) > 2);
        limit.setRate(0.5, later);
        CPPUNIT_ASSERT(limit.available(later) <= 1);
    }

    // Each entry has requests waiting, so that all want the next token; 18 or 126 at once would be
    // far beyond the limit. Reports take up to 30 ms, in small fleets up to 100 ms.
    void entriesWithWaitingRequestsKeepTheSum()
    {
        for (const std::size_t entries : {2U, 18U, 126U}) {
            for (const double rate : {0.1, 0.5, 2.0, 10.0}) {
                for (const int delay : {2, 10, 30, 100}) {
                    constexpr std::size_t entriesWithSlowReports = 18;
                    if (delay == 100 && entries > entriesWithSlowReports)
                        continue;
                    Load load;
                    load.entries = entries;
                    load.perSecond = rate;
                    load.reportDelay = milliseconds(delay);
                    const Result result = play(load, entries + std::uint64_t(delay));
                    CPPUNIT_ASSERT_MESSAGE(describe(load, result),
                                           result.mostInWindow <= allowed(rate));
                }
            }
        }
    }

    // Reports are datagrams; some get lost, more while a link loses packets.
    void lostReportsDoNotMultiplyTheRate()
    {
        for (const double rate : {0.5, 2.0, 10.0}) {
            Load load;
            load.perSecond = rate;
            load.lostReports = 0.05;
            const Result result = play(load, 5);
            CPPUNIT_ASSERT_MESSAGE(describe(load, result), result.mostInWindow <= allowed(rate));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SendLimitTest);

} // namespace lavenderthread::coordination::routing
