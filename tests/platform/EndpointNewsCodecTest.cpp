// Contract of the endpoints' news: what names an endpoint to use, and what other writers leave
// there.
#include "platform/EndpointNewsCodec.h"

#include "platform/Samples.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace lavenderthread::platform {

namespace json = boost::json;

class EndpointNewsCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointNewsCodecTest);
    CPPUNIT_TEST(everyFieldIsInItsPlace);
    CPPUNIT_TEST(plainServicesLoadNoModels);
    CPPUNIT_TEST(foreignNewsNamesNoEndpoint);
    CPPUNIT_TEST(farewellsSayTheirLife);
    CPPUNIT_TEST_SUITE_END();

    static json::object sample() { return json::parse(sampleHeartbeat).as_object(); }

public:
    void everyFieldIsInItsPlace()
    {
        const EndpointNews news = decodeHeartbeat("i-1", sampleHeartbeat).value();
        CPPUNIT_ASSERT(!news.draining);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), news.description.id.value());
        CPPUNIT_ASSERT_EQUAL(std::string("10.128.0.9:8080"), news.description.address.toString());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1790000000123), news.description.incarnation);
        CPPUNIT_ASSERT(news.description.kind == state::EndpointKind::Engine);
        CPPUNIT_ASSERT_EQUAL(std::string("llm/m"), news.description.models.at(0).value());
        CPPUNIT_ASSERT_EQUAL(std::string("puget-a"), news.description.failureDomain.value());
        json::object leaving = sample();
        leaving["State"] = "draining";
        CPPUNIT_ASSERT(decodeHeartbeat("i-1", json::serialize(leaving)).value().draining);
    }

    void plainServicesLoadNoModels()
    {
        json::object plain = sample();
        plain.erase("Models");
        plain.erase("Stage");
        const EndpointNews news = decodeHeartbeat("i-1", json::serialize(plain)).value();
        CPPUNIT_ASSERT(news.description.kind == state::EndpointKind::PlainService);
        CPPUNIT_ASSERT(news.description.models.empty());
    }

    void foreignNewsNamesNoEndpoint()
    {
        struct Case
        {
            const char *field;
            json::value value; // null: the field is missing
        };
        const std::vector<Case> cases = {
                {"Service", nullptr}, {"Service", 7},     {"Address", nullptr}, {"Address", "no"},
                {"Zone", nullptr},    {"Slots", "many"},  {"State", nullptr},   {"State", "odd"},
                {"Seq", nullptr},     {"Seq", 1.5},       {"born", nullptr},    {"born", 0},
                {"born", 12.5},       {"born", "always"}, {"Models", "m"},      {"Models", {1}},
        };
        for (const Case &each : cases) {
            json::object spoiled = sample();
            if (each.value.is_null())
                spoiled.erase(each.field);
            else
                spoiled[each.field] = each.value;
            CPPUNIT_ASSERT_MESSAGE(each.field, !decodeHeartbeat("i-1", json::serialize(spoiled)));
        }
        CPPUNIT_ASSERT(!decodeHeartbeat("", sampleHeartbeat));
        CPPUNIT_ASSERT(!decodeHeartbeat("i-1", "[]"));
        CPPUNIT_ASSERT(!decodeHeartbeat("i-1", "\xff\xfe"));
    }

    void farewellsSayTheirLife()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), *decodeFarewell(R"({"born":12})"));
        CPPUNIT_ASSERT(!decodeFarewell(""));
        CPPUNIT_ASSERT(!decodeFarewell(R"({"born":"x"})"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointNewsCodecTest);

} // namespace lavenderthread::platform
