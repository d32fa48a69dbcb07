// LongPromptQueue: all entries compute the same order without coordination, shorter prompts go
// first but longer ones catch up, and a crashed entry does not block the others for long.
#include "coordination/admission/LongPromptQueue.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::admission {

class LongPromptQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LongPromptQueueTest);
    CPPUNIT_TEST(entriesAgreeOnHead);
    CPPUNIT_TEST(shorterGoFirstAndLongerCatchUp);
    CPPUNIT_TEST(promptsOfSilentPeersExpire);
    CPPUNIT_TEST(engineTimeBeforePromptIsSummed);
    CPPUNIT_TEST(engineTimeOfOtherModelsDoesNotCount);
    CPPUNIT_TEST_SUITE_END();

    const state::Instant start{std::chrono::seconds(100)};

    static WaitingPrompt prompt(std::uint64_t work, double seconds, state::Instant arrival)
    {
        WaitingPrompt result;
        result.requestHash = work;
        result.engineSeconds = seconds;
        result.arrival = arrival;
        result.rankDelay = std::chrono::duration_cast<state::Duration>(
                std::chrono::duration<double>(seconds / 2));
        return result;
    }

    // The first prompt of the order if it is an own one.
    static std::optional<state::RequestId> head(LongPromptQueue &queue, state::Instant now)
    {
        const std::vector<QueuedPrompt> prompts = queue.inOrder(now);
        return prompts.empty() ? std::nullopt : prompts.front().ownId;
    }

public:
    // Two entries hold one prompt each and have announced it to the other: only one of them may
    // start its own prompt.
    void entriesAgreeOnHead()
    {
        const WaitingPrompt one = prompt(1, 3, this->start);
        const WaitingPrompt two = prompt(2, 1, this->start + std::chrono::milliseconds(100));
        LongPromptQueue first;
        first.add(state::RequestId("one"), one);
        first.addPeerPrompt(two, this->start);
        LongPromptQueue second;
        second.add(state::RequestId("two"), two);
        second.addPeerPrompt(one, this->start);
        CPPUNIT_ASSERT(!head(first, this->start));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), head(second, this->start)->value());
        first.remove(two.requestHash); // its entry has announced its start
        CPPUNIT_ASSERT_EQUAL(std::string("one"), head(first, this->start)->value());
    }

    void shorterGoFirstAndLongerCatchUp()
    {
        LongPromptQueue queue;
        queue.add(state::RequestId("huge"), prompt(1, 8, this->start));
        queue.add(state::RequestId("small"), prompt(2, 0.3, this->start + std::chrono::seconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::string("small"), head(queue, this->start)->value());
        queue.remove(2);
        queue.add(state::RequestId("later"), prompt(3, 0.3, this->start + std::chrono::seconds(6)));
        CPPUNIT_ASSERT_EQUAL(std::string("huge"), head(queue, this->start)->value());
    }

    // An entry announces its prompt and crashes. The prompts of the others must not wait for it any
    // longer than the lifetime of an announcement, 250 ms.
    void promptsOfSilentPeersExpire()
    {
        LongPromptQueue queue;
        queue.add(state::RequestId("own"), prompt(1, 3, this->start));
        queue.addPeerPrompt(prompt(2, 1, this->start), this->start);
        CPPUNIT_ASSERT(!head(queue, this->start + std::chrono::milliseconds(240)));
        CPPUNIT_ASSERT(head(queue, this->start + std::chrono::milliseconds(251)).has_value());
    }

    void engineTimeBeforePromptIsSummed()
    {
        LongPromptQueue queue;
        queue.add(state::RequestId("a"), prompt(1, 1, this->start));
        queue.addPeerPrompt(prompt(2, 2, this->start), this->start);
        queue.addPeerPrompt(prompt(3, 9, this->start), this->start);
        const WaitingPrompt next = prompt(4, 3, this->start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, queue.secondsBefore(next, this->start), 1e-9);
        CPPUNIT_ASSERT(queue.hasOwn());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.ownPrompts().size());
    }

    // Guards against prompts that are refused because those of another model, on other engines,
    // have to wait.
    void engineTimeOfOtherModelsDoesNotCount()
    {
        LongPromptQueue queue;
        WaitingPrompt other = prompt(2, 2, this->start);
        other.modelHash = 7;
        queue.addPeerPrompt(other, this->start);
        const WaitingPrompt next = prompt(4, 3, this->start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, queue.secondsBefore(next, this->start), 1e-9);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongPromptQueueTest);

} // namespace lavenderthread::coordination::admission
