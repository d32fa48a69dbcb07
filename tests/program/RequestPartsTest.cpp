// What two requests have in common, as the quarantine compares them.
#include "program/RequestParts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace lavenderthread::program {

using protocol::HttpRequest;
using state::RequestPart;

class RequestPartsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestPartsTest);
    CPPUNIT_TEST(callersRepeatIsTheSameRequest);
    CPPUNIT_TEST(otherRequestsShareBodiesOrPromptParts);
    CPPUNIT_TEST(onlyTheFirstPartMeansTheWholeRequest);
    CPPUNIT_TEST_SUITE_END();

    static HttpRequest call(std::string target, std::string body)
    {
        HttpRequest made;
        made.method = "POST";
        made.target = std::move(target);
        made.body = std::move(body);
        return made;
    }

    static std::size_t shared(const std::vector<RequestPart> &a, const std::vector<RequestPart> &b)
    {
        return std::size_t(std::ranges::count_if(
                a, [&](RequestPart part) { return std::ranges::find(b, part) != b.end(); }));
    }

public:
    // Guards against taking a caller's repeat for another request: ids and time limits differ.
    void callersRepeatIsTheSameRequest()
    {
        HttpRequest first = call("/p/x", "{}");
        HttpRequest second = first;
        first.headers = {{"Request-Id", "r1"}, {"Request-Deadline", "3000"}};
        second.headers = {{"Request-Id", "r2"}, {"Request-Deadline", "900"}};
        CPPUNIT_ASSERT(partsOf(first, "h", {7, 8}) == partsOf(second, "h", {7, 8}));
    }

    // Guards against holding crashes against all requests at one target, or with a usual body.
    void otherRequestsShareBodiesOrPromptParts()
    {
        const auto call1 = partsOf(call("/p/x", "{}"), "h", {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), call1.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shared(call1, partsOf(call("/p/y", "{}"), "h", {})));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shared(call1, partsOf(call("/p/x", "{}"), "g", {})));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), shared(call1, partsOf(call("/p/x", "[]"), "h", {})));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), partsOf(call("/p/x", ""), "h", {}).size());
        const auto prompt = partsOf(call("/p/x", "{}"), "h", {7, 8});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), prompt.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), shared(prompt, call1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             shared(prompt, partsOf(call("/p/x", "{}"), "h", {7, 9})));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             shared(prompt, partsOf(call("/p/x", "[]"), "h", {7, 8})));
    }

    void onlyTheFirstPartMeansTheWholeRequest()
    {
        const RequestPart highest = ~RequestPart(0);
        const auto parts = partsOf(call("/p/x", "{}"), "h", {highest});
        CPPUNIT_ASSERT(state::isWholeRequest(parts.front()));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), std::ranges::count_if(parts, &state::isDigest));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestPartsTest);

} // namespace lavenderthread::program
