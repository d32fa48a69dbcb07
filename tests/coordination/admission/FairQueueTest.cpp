// Shares of service in FairQueue: proportional to the weights, without credit for idle time.
#include "coordination/admission/FairQueue.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

namespace lavenderthread::coordination::admission {

class FairQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairQueueTest);
    CPPUNIT_TEST(sharesFollowWeights);
    CPPUNIT_TEST(idleTimeEarnsNoCredit);
    CPPUNIT_TEST(serviceAtPeersCounts);
    CPPUNIT_TEST(olderRowVersionIsIgnored);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double tokens = 1'000;
    FairQueue queue;
    std::uint64_t nextId = 0;
    state::Instant now{};

    static state::TableKey keyOf(const std::string &account)
    {
        return {state::ClientAccountId(account), state::WorkClass("narrative")};
    }

    void setWeight(const std::string &account, std::uint32_t weight, std::uint64_t version = 1)
    {
        state::TableRow row;
        row.key = keyOf(account);
        row.weight = weight;
        row.version = version;
        this->queue.setRow(row);
    }

    void push(const std::string &account)
    {
        const state::RequestId id(std::to_string(this->nextId++));
        this->queue.push({id, keyOf(account), LengthClass::Short, std::uint64_t(tokens)}, false,
                         this->now);
    }

    std::string serveNext()
    {
        const QueueHead head = this->queue.heads(1, 0, this->now).front();
        CPPUNIT_ASSERT(this->queue.remove(head.request));
        this->queue.charge(head.request.key, tokens, this->now);
        this->now += std::chrono::milliseconds(10);
        return head.request.key.account.value();
    }

public:
    void setUp() override
    {
        this->queue = FairQueue();
        this->now = {};
    }

    void sharesFollowWeights()
    {
        const std::map<std::string, std::uint32_t> weights = {{"a", 1}, {"b", 2}, {"c", 7}};
        for (const auto &[account, weight] : weights) {
            this->setWeight(account, weight);
            for (int each = 0; each < 1'500; ++each)
                this->push(account);
        }
        std::map<std::string, int> served;
        for (int each = 0; each < 1'000; ++each)
            ++served[this->serveNext()];
        for (const auto &[account, weight] : weights)
            CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0 * weight, served[account], 3.0);
    }

    void idleTimeEarnsNoCredit()
    {
        this->setWeight("busy", 1);
        this->setWeight("idle", 1);
        for (int each = 0; each < 400; ++each)
            this->push("busy");
        for (int each = 0; each < 200; ++each)
            this->serveNext();
        for (int each = 0; each < 100; ++each)
            this->push("idle");
        int idle = 0;
        for (int each = 0; each < 100; ++each)
            idle += this->serveNext() == "idle" ? 1 : 0;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50, idle, 2);
    }

    void serviceAtPeersCounts()
    {
        // Two accounts of equal weight wait here, and one of them is served at another entry too.
        // The peer's work notes are charged here, so both must get equal service over all entries.
        this->setWeight("here", 1);
        this->setWeight("both", 1);
        for (int each = 0; each < 200; ++each) {
            this->push("here");
            this->push("both");
        }
        int here = 0;
        for (int each = 0; each < 90; ++each) {
            here += this->serveNext() == "here" ? 1 : 0;
            if (each % 3 == 0)
                this->queue.charge(keyOf("both"), tokens, this->now);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(60, here, 2);
    }

    void olderRowVersionIsIgnored()
    {
        this->setWeight("a", 5, 9);
        this->setWeight("a", 1, 8);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(5), this->queue.row(keyOf("a")).weight);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

} // namespace lavenderthread::coordination::admission
