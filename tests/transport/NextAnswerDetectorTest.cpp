// Tests which bytes of a body are taken for the head of another answer.
#include "transport/NextAnswerDetector.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <ctime>
#include <optional>
#include <string>

namespace lavenderthread::transport {

namespace {

const std::string head =
        "HTTP/1.1 200 Some Reason\r\nContent-Type: text/plain\r\nRequest-Id: r1\r\n\r\n";

std::optional<NextAnswer> classify(const protocol::HttpHeaders &headers)
{
    const auto id = headers.find("Request-Id");
    if (!id)
        return std::nullopt;
    return *id == "r1" ? NextAnswer::SameRequest : NextAnswer::OtherRequest;
}

struct Seen
{
    std::string body;
    std::optional<NextAnswer> found;
};

std::string manyLines(const std::string &line)
{
    std::string lines;
    while (lines.size() + line.size() < NextAnswerDetector::maximumHeadBytes - 100)
        lines += line;
    return lines;
}

// In pieces of that many bytes.
Seen readIn(std::size_t pieceBytes, const std::string &bytes)
{
    NextAnswerDetector detector(classify);
    Seen seen;
    for (std::size_t at = 0; at < bytes.size(); at += pieceBytes)
        seen.body += detector.append(std::string_view(bytes).substr(at, pieceBytes));
    seen.body += detector.finish();
    seen.found = detector.found();
    return seen;
}

} // namespace

class NextAnswerDetectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NextAnswerDetectorTest);
    CPPUNIT_TEST(headOfAnotherAnswerEndsTheBody);
    CPPUNIT_TEST(headThatIsCutOffEndsTheBody);
    CPPUNIT_TEST(headBehindAFramedBodyIsNoPartOfIt);
    CPPUNIT_TEST(headThatBeginsInAFramedBodyIsFound);
    CPPUNIT_TEST(textThatIsNoHeadBelongsToTheBody);
    CPPUNIT_TEST(bytesThatCantBeginAHeadAreNotKept);
    CPPUNIT_TEST(bodiesOfBeginningsTakeLittleTime);
    CPPUNIT_TEST_SUITE_END();

    static void check(const std::string &bytes, const std::string &body,
                      std::optional<NextAnswer> found)
    {
        for (const std::size_t piece : {std::size_t(1), std::size_t(7), bytes.size()}) {
            const Seen seen = readIn(piece, bytes);
            CPPUNIT_ASSERT_EQUAL(body, seen.body);
            CPPUNIT_ASSERT_MESSAGE(bytes, found == seen.found);
        }
    }

    // `behind`: what was received behind the body.
    static void checkFramed(const std::string &bytes, const std::string &behind,
                            const std::string &body, bool found)
    {
        NextAnswerDetector detector(classify);
        std::string seen = detector.append(bytes);
        seen += detector.finishFramed(behind);
        CPPUNIT_ASSERT_EQUAL(body, seen);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, found, detector.found().has_value());
    }

public:
    void headOfAnotherAnswerEndsTheBody()
    {
        check("a body" + head + "another", "a body", NextAnswer::SameRequest);
        check("HHTTP/1.1 " + head + "another", "HHTTP/1.1 ", NextAnswer::SameRequest);
        check("id: 1\ndata: x\n\n" + head, "id: 1\ndata: x\n\n", NextAnswer::SameRequest);
        check("HTTP/1.1 200 OK\r\nServer: quoted\r\n\r\n" + head,
              "HTTP/1.1 200 OK\r\nServer: quoted\r\n\r\n", NextAnswer::SameRequest);
        check("a bodyHTTP/1.0 404 \r\nrequest-id: r2\r\n\r\n", "a body", NextAnswer::OtherRequest);
    }

    // Guards against a part of a head at the end of a body, of a peer that has ended inside it.
    void headThatIsCutOffEndsTheBody()
    {
        for (std::size_t cut = head.find('\n') + 1; cut < head.size(); ++cut)
            check("a body" + head.substr(0, cut), "a body",
                  cut > head.find("r1\r\n") + 3 ? NextAnswer::SameRequest
                                                : NextAnswer::OtherRequest);
    }

    // Guards against a whole answer that is lost since another one follows it.
    void headBehindAFramedBodyIsNoPartOfIt()
    {
        for (const std::string &body : {std::string("a body"), std::string("a body, H"),
                                        std::string("a body, HTTP/1.1 200 OK\r\nServer:")}) {
            for (const std::string &behind : {std::string(), head + "another", head.substr(0, 30)})
                checkFramed(body, behind, body, false);
        }
    }

    // Guards against a body of the declared length whose last bytes are those of the next head.
    void headThatBeginsInAFramedBodyIsFound()
    {
        for (const std::size_t inBody : {std::size_t(1), std::size_t(9), std::size_t(40)})
            checkFramed("a body" + head.substr(0, inBody), head.substr(inBody), "a body", true);
    }

    // Guards against documents cut short because they quote an answer.
    void textThatIsNoHeadBelongsToTheBody()
    {
        for (const std::string &text :
             {std::string("plain"), std::string("HTTP/1.1"), std::string("HTTP/1.1 200 OK"),
              std::string("HTTP/1.1 200 OK\nRequest-Id: r1\n\n"),
              std::string("HTTP/1.1 200\r\nRequest-Id: r1\r\n\r\n"),
              std::string("HTTP/1.1 2000 OK\r\nRequest-Id: r1\r\n\r\n"),
              std::string("HTTP/x.1 200 OK\r\nRequest-Id: r1\r\n\r\n"),
              std::string("HTTP/1.1 200 OK\r\nServer: quoted\r\n\r\nmore"),
              std::string("HTTP/1.1 200 OK\r\nno header\r\nRequest-Id: r1\r\n\r\n"),
              std::string("data: HTTP/1.1 200 OK\ndata: Request-Id: r1\n\n"),
              std::string("HTTP/1.1 200 OK\r\nand so on"),
              std::string("HTTP/1.1 200 OK\r\nServer: quoted\r\n\r\n"),
              "HTTP/1.1 200 " + std::string(NextAnswerDetector::maximumHeadBytes, 'x') + "\r\n"
                      + "Request-Id: r1\r\n\r\n"})
            check(text, text, std::nullopt);
    }

    // Guards against events that are held up until the next ones come.
    void bytesThatCantBeginAHeadAreNotKept()
    {
        for (const std::string &event :
             {std::string("id: 1\ndata: HTTP/1.1 200 OK\n\n"), std::string("data: HTTP/\n\n"),
              std::string("data: HTTP/1.1 200 OK\r\ndata: x\r\n\r\n"),
              std::string("{\"a\": \"HTTP/1.1 200 x\"}\r\n{\"b\": 1}\r\n")}) {
            NextAnswerDetector detector(classify);
            CPPUNIT_ASSERT_EQUAL(event, detector.append(event));
        }
    }

    // Guards against a faulty endpoint that takes an entry's processor time with bytes that look
    // like heads.
    void bodiesOfBeginningsTakeLittleTime()
    {
        constexpr std::size_t bodyBytes = 16U << 20U;
        constexpr double longestSeconds = 2;
        for (const std::string &text :
             {std::string("H"), std::string("HTTP/1.1 200 "), std::string("HTTP/1.1 200 x\r\n"),
              std::string("HTTP/1.1 200 x\r\na: b\r\n"),
              std::string("HTTP/1.1 200 x\r\na: b\r\n\r\n"), std::string("a: HTTP/1.1 200 x\r\n"),
              std::string("HTTP/1.1 200 x\r\n") + manyLines("a: HTTP/1.1 200 x\r\n") + "\r\n"}) {
            std::string body;
            while (body.size() < bodyBytes)
                body += text;
            body += " that ends in another way";
            const std::clock_t begin = std::clock();
            const Seen seen = readIn(64U << 10U, body);
            const double seconds = double(std::clock() - begin) / CLOCKS_PER_SEC;
            CPPUNIT_ASSERT_MESSAGE(text, seconds < longestSeconds);
            CPPUNIT_ASSERT_EQUAL(body.size(), seen.body.size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NextAnswerDetectorTest);

} // namespace lavenderthread::transport
