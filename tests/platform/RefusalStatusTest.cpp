// Tests what callers are told where an endpoint answers with a status that says "not run": 408,
// 421, 429 and 503, on every kind of route.
#include "RawCall.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <utility>

namespace lavenderthread::platform {

namespace {

using fakes::RawAnswer;
using Kind = state::routes::CallKind;

constexpr unsigned misdirected = 421;
// With whether its streams may be resumed.
constexpr std::array kinds{std::pair(Kind::NonIdempotent, false),
                           std::pair(Kind::Idempotent, false), std::pair(Kind::Stream, false),
                           std::pair(Kind::Stream, true)};
constexpr std::array refusalStatuses{408U, misdirected, 429U, 503U};

RawAnswer answerWith(unsigned status, bool notExecuted)
{
    const std::string body = eventsUpTo(2);
    return {"HTTP/1.1 " + std::to_string(status) + " Some Reason\r\nRequest-Id: r1\r\n"
            + (notExecuted ? "Not-Executed: 1\r\n" : "") + "Response-Seal: seal\r\n"
            + "Content-Type: text/event-stream\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body};
}

struct Case
{
    unsigned status = 0;
    bool notExecuted = false;
    Kind kind = Kind::NonIdempotent;
    RelayFixture::RouteTerms terms;
    bool throughPeer = false;
    bool otherServes = false; // the second endpoint; else it answers the same

    bool isRepeatable() const
    {
        return this->kind == Kind::Idempotent
               || (this->kind == Kind::Stream && this->terms.resumable);
    }
    // An endpoint that isn't the one meant runs nothing.
    bool isRefusal() const { return this->notExecuted || this->status == misdirected; }

    unsigned expectedStatus() const
    {
        if (this->isRefusal())
            return this->otherServes ? 200 : 503;
        if (!this->isRepeatable())
            return 502;
        // A peer makes one attempt, and there is no other peer.
        const bool retried = this->status >= 500 && this->terms.attempts > 1 && !this->throughPeer;
        return retried && this->otherServes ? 200 : this->status;
    }
    bool expectsSeal() const
    {
        const bool answered = this->isRefusal() ? this->otherServes : this->isRepeatable();
        return answered;
    }
    std::string name() const
    {
        return std::to_string(this->status) + (this->notExecuted ? " not executed" : " bare")
               + ", kind " + std::to_string(int(this->kind))
               + (this->terms.resumable ? ", resumable" : "") + ", attempts "
               + std::to_string(this->terms.attempts) + (this->throughPeer ? ", peer" : "")
               + (this->otherServes ? ", other serves" : "");
    }
};

void check(const Case &each)
{
    const RawAnswer first = answerWith(each.status, each.notExecuted);
    const RawAnswer second = each.otherServes ? answerWith(200, false) : first;
    RawCall call(each.kind, {first, second, second, second}, each.throughPeer, {}, each.terms);
    const auto answer = call.answer();
    CPPUNIT_ASSERT_MESSAGE(each.name(), answer.has_value());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name(), each.expectedStatus(), answer.value().status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name(), each.expectsSeal(),
                                 answer.value().headers.find("Response-Seal").has_value());
}

} // namespace

class RefusalStatusTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RefusalStatusTest);
    CPPUNIT_TEST(statusOfARunIsNoRefusal);
    CPPUNIT_TEST(refusalsGoToAnotherEndpoint);
    CPPUNIT_TEST(refusalsOfAllAreOurOwn);
    CPPUNIT_TEST_SUITE_END();

    // Where all refuse, the relay waits for another endpoint to come: checked for few cases only.
    static void checkAll(bool notExecuted)
    {
        for (const unsigned status : refusalStatuses) {
            for (const auto &[kind, resumable] : kinds) {
                for (const unsigned attempts : {1U, 2U}) {
                    for (const bool throughPeer : {false, true}) {
                        Case each{status, notExecuted, kind, {resumable, attempts}, throughPeer};
                        each.otherServes = true;
                        check(each);
                        each.otherServes = false;
                        if (!each.isRefusal())
                            check(each);
                    }
                }
            }
        }
    }

public:
    // Guards against an endpoint's 503 after a run that the caller of a call which may run once
    // takes for "not run", and against a second run of it.
    void statusOfARunIsNoRefusal() { checkAll(false); }

    // Guards against a refused request that is given up, or answered with the endpoint's seal.
    void refusalsGoToAnotherEndpoint() { checkAll(true); }

    // Guards against an endpoint's head, with its seal, on an answer of ours.
    void refusalsOfAllAreOurOwn()
    {
        for (const unsigned status : refusalStatuses)
            check({.status = status, .notExecuted = true});
        check({.status = misdirected});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusalStatusTest);

} // namespace lavenderthread::platform
