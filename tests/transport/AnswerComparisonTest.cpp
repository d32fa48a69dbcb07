// Tests what the next answer to the same request tells of one without a length.
#include "transport/AnswerComparison.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace lavenderthread::transport {

namespace {

const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";

std::string unframed(const std::string &body)
{
    return head + "\r\n" + body;
}

std::string withLength(const std::string &body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string inOneChunk(const std::string &body)
{
    constexpr std::size_t oneHexDigit = 15;
    CPPUNIT_ASSERT(body.size() <= oneHexDigit);
    return head + "Transfer-Encoding: chunked\r\n\r\n" + "0123456789abcdef"[body.size()] + "\r\n"
           + body + "\r\n0\r\n\r\n";
}

struct Seen
{
    bool decided = false;
    bool brokeOff = false;
};

// In pieces of that many bytes.
Seen compare(const std::string &first, const std::string &next, std::size_t pieceBytes)
{
    AnswerComparison comparison(200);
    for (std::size_t at = 0; at < first.size(); at += pieceBytes)
        comparison.addFirst(std::string_view(first).substr(at, pieceBytes));
    for (std::size_t at = 0; at < next.size(); at += pieceBytes)
        comparison.addNext(std::string_view(next).substr(at, pieceBytes));
    return {comparison.isDecided(), comparison.firstBrokeOff()};
}

} // namespace

class AnswerComparisonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerComparisonTest);
    CPPUNIT_TEST(firstThatGoesOnInTheNextBrokeOff);
    CPPUNIT_TEST(equalAnswersAreWhole);
    CPPUNIT_TEST(answerOfAnotherRunTellsNothing);
    CPPUNIT_TEST(nextThatBrokeOffTellsNothing);
    CPPUNIT_TEST(successBeforeAFailureBrokeOff);
    CPPUNIT_TEST_SUITE_END();

    static void check(const std::string &first, const std::string &next, bool brokeOff)
    {
        for (const std::size_t piece : {std::size_t(1), std::size_t(7), std::size_t(1'000)}) {
            for (const std::string &sent : {unframed(next), withLength(next), inOneChunk(next)}) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(sent, brokeOff, compare(first, sent, piece).brokeOff);
            }
        }
    }

public:
    // Guards against a part of an answer that counts as whole where the next one begins.
    void firstThatGoesOnInTheNextBrokeOff()
    {
        check("the answ", "the answer", true);
        check("the answe", "the answer", true);
        check("", "the answer", true);
        CPPUNIT_ASSERT(compare("the", unframed("the answer"), 1'000).decided);
    }

    void equalAnswersAreWhole()
    {
        check("the answer", "the answer", false);
        check("", "", false);
        CPPUNIT_ASSERT(compare("the answer", withLength("the answer"), 7).decided);
        CPPUNIT_ASSERT(!compare("the answer", unframed("the answer"), 7).decided);
    }

    void answerOfAnotherRunTellsNothing() { check("the answ", "an answer", false); }

    void nextThatBrokeOffTellsNothing()
    {
        check("the answer", "the ans", false);
        const std::string cut = withLength("the answer").substr(0, head.size() - 3);
        CPPUNIT_ASSERT(!compare("the answer", cut, 1'000).brokeOff);
        CPPUNIT_ASSERT(!compare("the answer", "HTTP/1.1 200 ", 1'000).decided);
    }

    // Guards against a part of an answer that counts as whole where the endpoint reports a failure.
    void successBeforeAFailureBrokeOff()
    {
        const std::string failure = "HTTP/1.1 500 Failed\r\nContent-Length: 5\r\n\r\n";
        const Seen seen = compare("the answ", failure, 7);
        CPPUNIT_ASSERT(seen.decided && seen.brokeOff);
        AnswerComparison ofFailures(404);
        ofFailures.addNext(failure);
        CPPUNIT_ASSERT(!ofFailures.firstBrokeOff());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerComparisonTest);

} // namespace lavenderthread::transport
