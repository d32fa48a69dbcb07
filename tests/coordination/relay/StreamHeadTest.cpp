// Tests which heads of answers are alike enough to be those of one stream.
#include "coordination/relay/StreamHead.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::relay {

class StreamHeadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamHeadTest);
    CPPUNIT_TEST(parametersAndCaseOfATypeDontMatter);
    CPPUNIT_TEST(statusesAndTypesDiffer);
    CPPUNIT_TEST_SUITE_END();

public:
    void parametersAndCaseOfATypeDontMatter()
    {
        const StreamHead plain = StreamHead::of(200, "text/event-stream");
        CPPUNIT_ASSERT_EQUAL(std::string("text/event-stream"), plain.mediaType);
        for (const char *type : {"Text/Event-Stream", " text/event-stream ; charset=utf-8",
                                 "text/event-stream;charset=utf-8"})
            CPPUNIT_ASSERT(plain == StreamHead::of(200, type));
    }

    // Guards against another answer in the middle of a stream.
    void statusesAndTypesDiffer()
    {
        const StreamHead plain = StreamHead::of(200, "text/event-stream");
        CPPUNIT_ASSERT(plain != StreamHead::of(201, "text/event-stream"));
        CPPUNIT_ASSERT(plain != StreamHead::of(200, "text/event-streams"));
        CPPUNIT_ASSERT(plain != StreamHead::of(200, std::nullopt));
        CPPUNIT_ASSERT(StreamHead::of(200, std::nullopt) == StreamHead::of(200, " "));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamHeadTest);

} // namespace lavenderthread::coordination::relay
