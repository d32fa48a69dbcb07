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
    CPPUNIT_TEST(otherRequestsShareWhatIsEqual);
    CPPUNIT_TEST(equalBytesElsewhereAreNotShared);
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

    void otherRequestsShareWhatIsEqual()
    {
        const auto parts = partsOf(call("/p/x", "{}"), "h", {7, 8});
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), parts.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                             shared(parts, partsOf(call("/p/x", "{}"), "h", {7, 9})));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shared(parts, partsOf(call("/p/y", "{}"), "h", {})));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shared(parts, partsOf(call("/p/x", "[]"), "h", {})));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shared(parts, partsOf(call("/p/x", ""), "h", {})));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shared(parts, partsOf(call("/p/x", "{}"), "g", {})));
    }

    void equalBytesElsewhereAreNotShared()
    {
        const auto parts = partsOf(call("/p/x", "POST h /p/x"), "h", {});
        CPPUNIT_ASSERT(parts[1] != parts[2]);
    }

    void onlyTheFirstPartMeansTheWholeRequest()
    {
        const RequestPart highest = ~RequestPart(0);
        const auto parts = partsOf(call("/p/x", "{}"), "h", {highest});
        CPPUNIT_ASSERT(state::isWholeRequest(parts.front()));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1),
                             std::ranges::count_if(parts, &state::isWholeRequest));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestPartsTest);

} // namespace lavenderthread::program
