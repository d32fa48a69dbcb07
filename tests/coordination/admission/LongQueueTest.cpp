// Contract of the queue of long prompts: all entries agree on the order without asking, shorter
// prompts go first but longer ones catch up, and a dead entry holds nobody up for long.
#include "coordination/admission/LongQueue.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::admission {

class LongQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LongQueueTest);
    CPPUNIT_TEST(entriesAgreeOnTheFirst);
    CPPUNIT_TEST(shorterGoFirstAndLongerCatchUp);
    CPPUNIT_TEST(silentPeersAreForgotten);
    CPPUNIT_TEST(workBeforeAPromptIsCounted);
    CPPUNIT_TEST_SUITE_END();

    const state::Instant start{std::chrono::seconds(100)};

    static WaitingPrompt prompt(std::uint64_t work, double seconds, state::Instant arrival)
    {
        return {work, seconds, arrival};
    }

public:
    // Two entries each hold one prompt and have told the other: just one of them may start its own.
    void entriesAgreeOnTheFirst()
    {
        const WaitingPrompt one = prompt(1, 3, this->start);
        const WaitingPrompt two = prompt(2, 1, this->start + std::chrono::milliseconds(100));
        LongQueue first;
        first.add(state::RequestId("one"), one);
        first.notePeer(two, this->start);
        LongQueue second;
        second.add(state::RequestId("two"), two);
        second.notePeer(one, this->start);
        CPPUNIT_ASSERT(!first.head(this->start));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), second.head(this->start)->value());
        first.remove(two.work); // told to have started
        CPPUNIT_ASSERT_EQUAL(std::string("one"), first.head(this->start)->value());
    }

    void shorterGoFirstAndLongerCatchUp()
    {
        LongQueue queue;
        queue.add(state::RequestId("huge"), prompt(1, 8, this->start));
        queue.add(state::RequestId("small"), prompt(2, 0.3, this->start + std::chrono::seconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::string("small"), queue.head(this->start)->value());
        queue.remove(2);
        queue.add(state::RequestId("later"), prompt(3, 0.3, this->start + std::chrono::seconds(6)));
        CPPUNIT_ASSERT_EQUAL(std::string("huge"), queue.head(this->start)->value());
    }

    // An entry tells of its prompt and is killed. The prompts of the others wait for it no longer
    // than it would take to tell again.
    void silentPeersAreForgotten()
    {
        LongQueue queue;
        queue.add(state::RequestId("own"), prompt(1, 3, this->start));
        queue.notePeer(prompt(2, 1, this->start), this->start);
        CPPUNIT_ASSERT(!queue.head(this->start + std::chrono::milliseconds(240)));
        CPPUNIT_ASSERT(queue.head(this->start + std::chrono::milliseconds(251)).has_value());
    }

    void workBeforeAPromptIsCounted()
    {
        LongQueue queue;
        queue.add(state::RequestId("a"), prompt(1, 1, this->start));
        queue.notePeer(prompt(2, 2, this->start), this->start);
        queue.notePeer(prompt(3, 9, this->start), this->start);
        const WaitingPrompt next = prompt(4, 3, this->start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, queue.secondsBefore(next, this->start), 1e-9);
        CPPUNIT_ASSERT(queue.hasOwn());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.own().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongQueueTest);

} // namespace lavenderthread::coordination::admission
