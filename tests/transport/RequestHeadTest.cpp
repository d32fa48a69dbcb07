// Tests that a call's head is read as the one that was meant, whatever texts it is made of.
#include "transport/BeastConversion.h"
#include "transport/HttpCallParts.h"

#include "fakes/EveryByte.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace lavenderthread::transport {

namespace {

const state::Address peer{"127.0.0.1", 8080};

// The lines of the head as its readers split it, and what they would take for a body.
std::vector<std::string> linesOf(const protocol::HttpRequest &request)
{
    std::ostringstream written;
    written << toBeastRequest(request, peer).value();
    std::vector<std::string> lines(1);
    for (const char letter : written.str()) {
        if (letter == '\n' || letter == '\r' || letter == '\0')
            lines.emplace_back();
        else
            lines.back().push_back(letter);
    }
    std::erase(lines, "");
    return lines;
}

protocol::HttpRequest sample()
{
    protocol::HttpRequest request;
    request.method = "POST";
    request.target = "/p/x";
    request.headers = {{"Host", "h"}, {"Name", "value"}};
    request.body = "{}";
    return request;
}

bool isUnwritable(const protocol::HttpRequest &request)
{
    const auto encoded = toBeastRequest(request, peer);
    return !encoded && encoded.error().code == state::ErrorCode::InvalidArgument
           && encoded.error().step == encodeStep;
}

} // namespace

class RequestHeadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestHeadTest);
    CPPUNIT_TEST(everyTextStandsInItsPlaceOrIsRefused);
    CPPUNIT_TEST(headersOfAnswersStandInTheirPlaceOrTheAnswerFails);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a text from outside that ends the head, or a line of it, and begins another
    // request behind it.
    void everyTextStandsInItsPlaceOrIsRefused()
    {
        const std::size_t lineCount = linesOf(sample()).size();
        const auto check = [&](const protocol::HttpRequest &request, const std::string &line) {
            if (isUnwritable(request))
                return false;
            const std::vector<std::string> lines = linesOf(request);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(line, lineCount, lines.size());
            CPPUNIT_ASSERT_MESSAGE(line, std::ranges::find(lines, line) != lines.end());
            return true;
        };
        int written = 0;
        for (const std::string &text : fakes::textsWithEveryByte()) {
            protocol::HttpRequest request = sample();
            request.method = text;
            written += check(request, text + " /p/x HTTP/1.1") ? 1 : 0;
            request = sample();
            request.target = text;
            written += check(request, "POST " + text + " HTTP/1.1") ? 1 : 0;
            request = sample();
            request.headers = {{"Host", "h"}, {text, "value"}};
            written += check(request, text + ": value") ? 1 : 0;
            request = sample();
            request.headers = {{"Host", "h"}, {"Name", text}};
            written += check(request, "Name: " + text) ? 1 : 0;
        }
        // At each of three places, 77 bytes make a token and 222 a target or a value; blanks and
        // tabs only in the middle of a value.
        CPPUNIT_ASSERT_EQUAL((77 + 222 + 77 + 222) * 3 + 2, written);
    }

    // Guards against the same in an answer to a caller.
    void headersOfAnswersStandInTheirPlaceOrTheAnswerFails()
    {
        for (const std::string &text : fakes::textsWithEveryByte()) {
            protocol::HttpResponse answer;
            answer.headers = {{"Location", text}};
            std::ostringstream written;
            written << toBeast(answer);
            const std::string head = written.str();
            const bool isWhole = head == "HTTP/1.1 200 OK\r\nLocation: " + text + "\r\n\r\n";
            CPPUNIT_ASSERT_MESSAGE(head,
                                   isWhole || head == "HTTP/1.1 500 Internal Server Error\r\n\r\n");
            CPPUNIT_ASSERT_MESSAGE(head, !isWhole || text.find_first_of("\r\n") == text.npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestHeadTest);

} // namespace lavenderthread::transport
