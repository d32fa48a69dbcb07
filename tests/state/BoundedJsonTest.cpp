// Tests that a text can't make a process build a tree that takes its memory.
#include "state/BoundedJson.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace lavenderthread::state {

class BoundedJsonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BoundedJsonTest);
    CPPUNIT_TEST(treeThatTakesTooMuchIsRefused);
    CPPUNIT_TEST(largeDocumentIsParsed);
    CPPUNIT_TEST(otherTextIsRefused);
    CPPUNIT_TEST_SUITE_END();

    static std::string manyNumbers(std::size_t count)
    {
        std::string text = "{\"a\":[0";
        for (std::size_t number = 1; number < count; ++number)
            text += ",0";
        return text + "]}";
    }

public:
    // Guards against a body of legal size that makes a process hold hundreds of megabytes.
    void treeThatTakesTooMuchIsRefused()
    {
        boost::system::error_code problem;
        parseJson(manyNumbers(8U << 20U), problem);
        CPPUNIT_ASSERT(problem);
        parseJson(manyNumbers(100), problem, 1'000);
        CPPUNIT_ASSERT(problem);
    }

    void largeDocumentIsParsed()
    {
        boost::json::array routes;
        for (int route = 0; route < 10'000; ++route)
            routes.push_back(boost::json::object{{"Name", "route-" + std::to_string(route)},
                                                 {"PathPrefix", "/a/path/that/is/not/short/"},
                                                 {"TimeoutMs", 10'000},
                                                 {"Anonymous", false},
                                                 {"Service", "a-service-with-a-longer-name"}});
        const boost::json::value document = boost::json::object{{"Routes", std::move(routes)}};
        boost::system::error_code problem;
        const boost::json::value parsed = parseJson(boost::json::serialize(document), problem);
        CPPUNIT_ASSERT(!problem);
        CPPUNIT_ASSERT(document == parsed);
    }

    void otherTextIsRefused()
    {
        for (const char *text : {"", "{", "{}x", "[1,]"}) {
            boost::system::error_code problem;
            parseJson(text, problem);
            CPPUNIT_ASSERT_MESSAGE(text, problem);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedJsonTest);

} // namespace lavenderthread::state
