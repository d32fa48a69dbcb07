// Tests that answers whose status is none, or that only precede another answer, reach no caller.
#include "RawCall.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

namespace lavenderthread::platform {

namespace {

using fakes::RawAnswer;
using Kind = state::routes::CallKind;

constexpr std::array oddStatuses{"000", "001", "099",  "100",  "199", "abc", "-20", "+20",
                                 "20",  "2 0", "2000", "1000", "20x", "",    "0x2"};

RawAnswer answerWith(const std::string &status, const std::string &body)
{
    return {"HTTP/1.1 " + status + " Some Reason\r\nRequest-Id: r1\r\nResponse-Seal: seal\r\n"
            + "Content-Type: text/event-stream\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body};
}

RawAnswer streamThatBreaksOff()
{
    return {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: seal\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk(eventsUpTo(2))};
}

} // namespace

class OddStatusTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OddStatusTest);
    CPPUNIT_TEST(answerWithoutAStatusReachesNoCaller);
    CPPUNIT_TEST(answerWithoutAStatusIsNoPartOfAStream);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an answer with a status such as 000, which no caller can act on.
    void answerWithoutAStatusReachesNoCaller()
    {
        for (const char *status : oddStatuses) {
            for (const Kind kind : {Kind::NonIdempotent, Kind::Idempotent, Kind::Stream}) {
                for (const bool throughPeer : {false, true}) {
                    const RawAnswer odd = answerWith(status, eventsUpTo(2));
                    const std::string bytes = RawCall(kind, {odd, odd}, throughPeer).bytes();
                    CPPUNIT_ASSERT_MESSAGE(status + bytes, bytes.starts_with("HTTP/1.1 50"));
                    CPPUNIT_ASSERT_MESSAGE(status + bytes, bytes.find("id: 1") == bytes.npos);
                }
            }
        }
    }

    // Guards against the same in place of the rest of a stream.
    void answerWithoutAStatusIsNoPartOfAStream()
    {
        for (const char *status : oddStatuses) {
            for (const bool throughPeer : {false, true}) {
                const std::string bytes =
                        RawCall(Kind::Stream,
                                {streamThatBreaksOff(), answerWith(status, eventsUpTo(4))},
                                throughPeer)
                                .bytes();
                CPPUNIT_ASSERT_MESSAGE(status + bytes, bytes.ends_with(chunk(eventsUpTo(2))));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddStatusTest);

} // namespace lavenderthread::platform
