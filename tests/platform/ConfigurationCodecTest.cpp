// Tests the configuration codec: every field is decoded, and malformed documents are rejected.
#include "platform/ConfigurationCodec.h"

#include "platform/Samples.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <vector>

namespace lavenderthread::platform {

namespace json = boost::json;

class ConfigurationCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationCodecTest);
    CPPUNIT_TEST(decodesEveryField);
    CPPUNIT_TEST(coldRateIsDecoded);
    CPPUNIT_TEST(optionalFieldsMayBeAbsent);
    CPPUNIT_TEST(malformedDocumentsAreRejected);
    CPPUNIT_TEST(numbersOutOfRangeAreRejected);
    CPPUNIT_TEST(truncatedDocumentsAreRejected);
    CPPUNIT_TEST_SUITE_END();

    static std::string changed(const std::function<void(json::object &)> &change)
    {
        json::object document = json::parse(sampleConfiguration).as_object();
        change(document);
        return json::serialize(document);
    }

    static json::object &routeOf(json::object &document, std::size_t index)
    {
        return document["Routes"].as_array().at(index).as_object();
    }

    static json::object &serviceOf(json::object &document, std::size_t index)
    {
        return document["Services"].as_array().at(index).as_object();
    }

public:
    // Guards against a limit on services that name none, and against none on those that do.
    void coldRateIsDecoded()
    {
        const auto table = decodeConfiguration(changed([](json::object &document) {
                               serviceOf(document, 0)["ColdStartS"] = 3.0;
                               serviceOf(document, 0)["ColdPerS"] = 17.5;
                           })).value();
        const auto &cold = *table.service(state::ServiceName("llm"));
        CPPUNIT_ASSERT(cold.coldTime == std::chrono::seconds(3));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(17.5, cold.coldRequestsPerSecond, 1e-9);
        const auto &other = *table.service(state::ServiceName("app"));
        CPPUNIT_ASSERT(other.coldTime == std::chrono::seconds(0));
        CPPUNIT_ASSERT_EQUAL(0.0, other.coldRequestsPerSecond);
    }

    void decodesEveryField()
    {
        const auto table = decodeConfiguration(sampleConfiguration).value();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), table.version());
        const state::routes::Route &route = *table.match("h.example", "/n/x");
        CPPUNIT_ASSERT(route.kind == state::routes::CallKind::Stream);
        CPPUNIT_ASSERT(route.resumable && !route.anonymous);
        CPPUNIT_ASSERT(route.timeout == std::chrono::milliseconds(10'000));
        CPPUNIT_ASSERT(route.firstAnswerTarget == std::chrono::milliseconds(300));
        CPPUNIT_ASSERT(route.pauseTarget == std::chrono::milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(2U, route.attempts);
        CPPUNIT_ASSERT_EQUAL(90U, route.services.at(0).weight);
        const auto engine = *table.service(state::ServiceName("llm"))->engine;
        CPPUNIT_ASSERT_EQUAL(46U, engine.stepsPerPass);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(450'000), engine.kvCapacityTokens);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0917, engine.msPerMillionPairs, 1e-9);
        CPPUNIT_ASSERT(!table.service(state::ServiceName("app"))->engine);
        CPPUNIT_ASSERT_EQUAL(std::string("acme"), table.accountOfKey("key-two")->id.value());
        CPPUNIT_ASSERT(table.limits().idleTimeout == std::chrono::milliseconds(15'000));
    }

    void optionalFieldsMayBeAbsent()
    {
        const auto without = decodeConfiguration(changed([](json::object &document) {
            document.erase("Tenants");
            document.erase("Limits");
            routeOf(document, 1).erase("Priority");
            document["Unknown"] = 1;
        }));
        CPPUNIT_ASSERT(without.has_value());
        CPPUNIT_ASSERT(!without.value().needsKeys());
    }

    // Guards against infinite speeds, by which every wait is predicted as none.
    void numbersOutOfRangeAreRejected()
    {
        for (const std::string member : {"per_seq_ms", "read_per_s", "pairs_per_m"}) {
            std::string text(sampleConfiguration);
            const std::size_t at = text.find(member) + member.size() + 2;
            text.replace(at, text.find(',', at) - at, "1e400");
            CPPUNIT_ASSERT_MESSAGE(member, !decodeConfiguration(text));
        }
    }

    void malformedDocumentsAreRejected()
    {
        struct Case
        {
            const char *name;
            std::function<void(json::object &)> spoil;
        };
        const std::vector<Case> cases = {
                {"no version", [](auto &document) { document.erase("Version"); }},
                {"fractional version", [](auto &document) { document["Version"] = 7.5; }},
                {"negative version", [](auto &document) { document["Version"] = -7; }},
                {"text version", [](auto &document) { document["Version"] = "7"; }},
                {"no routes", [](auto &document) { document.erase("Routes"); }},
                {"routes no list", [](auto &document) { document["Routes"] = 1; }},
                {"route no object", [](auto &document) { document["Routes"].as_array()[0] = 1; }},
                {"no services", [](auto &document) { document.erase("Services"); }},
                {"unknown kind", [](auto &document) { routeOf(document, 0)["Kind"] = "magic"; }},
                {"no timeout", [](auto &document) { routeOf(document, 0)["TimeoutMs"] = 0; }},
                {"no service", [](auto &document) { routeOf(document, 1).erase("Service"); }},
                {"unknown service",
                 [](auto &document) { routeOf(document, 1)["Service"] = "nobody"; }},
                {"negative cold time",
                 [](auto &document) { serviceOf(document, 0)["ColdStartS"] = -1; }},
                {"cold for a day",
                 [](auto &document) { serviceOf(document, 0)["ColdStartS"] = 86'400; }},
                {"negative cold rate",
                 [](auto &document) { serviceOf(document, 0)["ColdPerS"] = -17; }},
                {"cold rate no number",
                 [](auto &document) { serviceOf(document, 0)["ColdPerS"] = "17"; }},
                {"same place", [](auto &document) { routeOf(document, 1)["PathPrefix"] = "/n/"; }},
                {"no weight",
                 [](auto &document) {
                     for (auto &share : routeOf(document, 0)["Split"].as_array())
                         share.as_object()["Weight"] = 0;
                 }},
                {"keys no list",
                 [](auto &document) {
                     document["Tenants"].as_array()[0].as_object()["ApiKeys"] = "key";
                 }},
                {"shared key",
                 [](auto &document) {
                     document["Tenants"].as_array().push_back(
                             json::object{{"Name", "bell"}, {"ApiKeys", {"key-one"}}});
                 }},
        };
        for (const Case &each : cases) {
            const auto table = decodeConfiguration(changed(each.spoil));
            CPPUNIT_ASSERT_MESSAGE(each.name, !table);
            CPPUNIT_ASSERT_MESSAGE(each.name,
                                   table.error().code == state::ErrorCode::InvalidArgument);
        }
    }

    void truncatedDocumentsAreRejected()
    {
        for (std::size_t size = 0; size < sampleConfiguration.size(); size += 7)
            CPPUNIT_ASSERT(!decodeConfiguration(sampleConfiguration.substr(0, size)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationCodecTest);

} // namespace lavenderthread::platform
