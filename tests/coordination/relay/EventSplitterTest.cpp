// Tests that the event splitter passes on only complete events, each once, however the bytes are
// split.
#include "coordination/relay/EventSplitter.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace lavenderthread::coordination::relay {

namespace {

std::string event(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: token-" + std::to_string(id) + "\n\n";
}

std::string events(std::uint64_t from, std::uint64_t to)
{
    std::string text;
    for (std::uint64_t id = from; id <= to; ++id)
        text += event(id);
    return text;
}

} // namespace

class EventSplitterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventSplitterTest);
    CPPUNIT_TEST(anySplitGivesTheSameStream);
    CPPUNIT_TEST(anotherEndpointContinuesAfterAPartialEvent);
    CPPUNIT_TEST(repeatedEventsAreLeftOut);
    CPPUNIT_TEST(eventsWithoutIdsPass);
    CPPUNIT_TEST(eventsWithoutIdsOfAnotherRunAreLeftOutUntilItGoesOn);
    CPPUNIT_TEST(runThatBringsNothingOfTheStreamDoesNotEndIt);
    CPPUNIT_TEST(streamWithDataWithoutIdsCantBeResumed);
    CPPUNIT_TEST(runForACallerThatResumesIsHeldAgainstItsLastEvent);
    CPPUNIT_TEST(crlfEndsEventsToo);
    CPPUNIT_TEST(blankLineSplitOverManyPiecesEndsItsEvent);
    CPPUNIT_TEST(eventWithoutEndIsTooLong);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an endpoint's error as an event of a stream that it was to resume.
    void eventsWithoutIdsOfAnotherRunAreLeftOutUntilItGoesOn()
    {
        EventSplitter splitter;
        CPPUNIT_ASSERT_EQUAL(events(1, 2), splitter.append(events(1, 2)));
        splitter.beginRun();
        const std::string other = "data: an error\n\n";
        CPPUNIT_ASSERT_EQUAL(std::string(), splitter.append(other + event(2) + other));
        CPPUNIT_ASSERT_EQUAL(event(3) + other, splitter.append(event(3) + other));
    }

    // Guards against the same where a caller or a peer resumes a stream that it has begun
    // elsewhere.
    void runForACallerThatResumesIsHeldAgainstItsLastEvent()
    {
        EventSplitter splitter;
        splitter.resumeAfter(3);
        splitter.beginRun();
        CPPUNIT_ASSERT_EQUAL(std::string(), splitter.append("an error\n\n" + events(1, 2)));
        CPPUNIT_ASSERT(!splitter.runMayEndStream(true));
        CPPUNIT_ASSERT_EQUAL(event(4), splitter.append(events(3, 4)));
        CPPUNIT_ASSERT(splitter.runMayEndStream(false));
    }

    // Guards against events that come twice, since the next run begins anew.
    void streamWithDataWithoutIdsCantBeResumed()
    {
        EventSplitter splitter;
        splitter.append(": ping\n\nretry: 10\n\n" + events(1, 2));
        CPPUNIT_ASSERT(splitter.canBeResumed());
        splitter.append("event: note\ndata: x\n\n");
        CPPUNIT_ASSERT(!splitter.canBeResumed());
    }

    // Guards against taking the end of a run that brought nothing for the end of the stream.
    void runThatBringsNothingOfTheStreamDoesNotEndIt()
    {
        EventSplitter splitter;
        splitter.append(events(1, 3));
        CPPUNIT_ASSERT(splitter.runMayEndStream(false));
        splitter.beginRun();
        splitter.append(": ping\n\n");
        CPPUNIT_ASSERT(!splitter.runMayEndStream(false));
        CPPUNIT_ASSERT(splitter.runMayEndStream(true));
        for (const std::string &other :
             {std::string("data: an error\n\n"), std::string("an error\n\n"),
              std::string("event: error\n\n"), std::string("error: busy\r\n\r\n"), events(1, 2)}) {
            splitter.beginRun();
            splitter.append(other);
            CPPUNIT_ASSERT(!splitter.runMayEndStream(true));
        }
        splitter.append(event(3));
        CPPUNIT_ASSERT(splitter.runMayEndStream(false));
    }

    void blankLineSplitOverManyPiecesEndsItsEvent()
    {
        for (const std::string text : {"id: 1\r\ndata: x\r\n\r\n", "id: 1\ndata: x\n\n"}) {
            EventSplitter splitter;
            std::string passed;
            for (const char byte : text)
                passed += splitter.append(std::string(1, byte));
            CPPUNIT_ASSERT_EQUAL(text, passed);
        }
    }

    // Guards against keeping bytes without end as one event, and against searching all of them
    // again with each piece.
    void eventWithoutEndIsTooLong()
    {
        EventSplitter splitter;
        const std::string piece(1'000, 'x');
        std::size_t pieces = 0;
        for (; !splitter.isTooLong(); ++pieces)
            CPPUNIT_ASSERT(splitter.append(piece).empty());
        CPPUNIT_ASSERT_EQUAL(EventSplitter::maximumEventBytes / piece.size() + 1, pieces);
        splitter.beginRun();
        CPPUNIT_ASSERT(!splitter.isTooLong());
        CPPUNIT_ASSERT_EQUAL(event(1), splitter.append(event(1)));
    }

    void anySplitGivesTheSameStream()
    {
        const std::string whole = events(1, 40);
        std::mt19937 random(7);
        for (int trial = 0; trial < 200; ++trial) {
            EventSplitter splitter;
            std::string passed;
            for (std::size_t at = 0; at < whole.size();) {
                const std::size_t chunkSize = 1 + random() % 60;
                passed += splitter.append(std::string_view(whole).substr(at, chunkSize));
                at += chunkSize;
            }
            CPPUNIT_ASSERT_EQUAL(whole, passed);
            CPPUNIT_ASSERT(!splitter.hasPartialEvent());
        }
    }

    // An engine dies within event 3. The caller has events 1 and 2 complete and nothing of event 3;
    // the next engine is asked to continue after 2.
    void anotherEndpointContinuesAfterAPartialEvent()
    {
        EventSplitter splitter;
        std::string passed = splitter.append(events(1, 2) + "id: 3\ndata: tok");
        CPPUNIT_ASSERT(splitter.hasPartialEvent());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), *splitter.lastId());
        splitter.beginRun();
        passed += splitter.append(events(3, 5));
        CPPUNIT_ASSERT_EQUAL(events(1, 5), passed);
    }

    void repeatedEventsAreLeftOut()
    {
        EventSplitter splitter;
        splitter.resumeAfter(4);
        CPPUNIT_ASSERT_EQUAL(events(5, 6), splitter.append(events(3, 6)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), splitter.passedEvents());
    }

    void eventsWithoutIdsPass()
    {
        EventSplitter splitter;
        CPPUNIT_ASSERT_EQUAL(std::string("data: x\n\n"), splitter.append("data: x\n\n"));
        CPPUNIT_ASSERT(!splitter.lastId());
        CPPUNIT_ASSERT_EQUAL(std::string("id: none\n\n"), splitter.append("id: none\n\n"));
    }

    void crlfEndsEventsToo()
    {
        EventSplitter splitter;
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\r\n\r\n"), splitter.append("id: 1\r\n\r\nid: 2"));
        CPPUNIT_ASSERT(splitter.hasPartialEvent());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

} // namespace lavenderthread::coordination::relay
