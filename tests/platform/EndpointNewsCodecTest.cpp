// Tests the codec for endpoints' heartbeats and deregistrations: calls that describe a usable
// endpoint, and calls of other senders.
#include "platform/EndpointNewsCodec.h"

#include "fakes/EveryByte.h"
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
    CPPUNIT_TEST(decodesEveryField);
    CPPUNIT_TEST(plainServicesHaveNoModels);
    CPPUNIT_TEST(unusableHeartbeatsAreRejected);
    CPPUNIT_TEST(coldTimeIsDecoded);
    CPPUNIT_TEST(impossibleColdTimesCountAsAbsent);
    CPPUNIT_TEST(deregistrationsContainTheIncarnation);
    CPPUNIT_TEST(oddDeregistrationsAreRejected);
    CPPUNIT_TEST(oddEntriesOfOtherWritersAreRejected);
    CPPUNIT_TEST(idsThatNoHeaderCarriesAreRejected);
    CPPUNIT_TEST_SUITE_END();

    static json::object sample() { return json::parse(sampleHeartbeat).as_object(); }

    static std::string deep()
    {
        constexpr std::size_t levels = 10'000;
        return std::string(levels, '[') + std::string(levels, ']');
    }

public:
    void decodesEveryField()
    {
        const EndpointHeartbeat heartbeat = decodeHeartbeat("i-1", sampleHeartbeat).value();
        CPPUNIT_ASSERT(!heartbeat.draining);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), heartbeat.description.id.value());
        CPPUNIT_ASSERT_EQUAL(std::string("10.128.0.9:8080"),
                             heartbeat.description.address.toString());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1790000000123), heartbeat.description.incarnation);
        CPPUNIT_ASSERT(heartbeat.description.kind == state::EndpointKind::Engine);
        CPPUNIT_ASSERT_EQUAL(std::string("llm/m"), heartbeat.description.models.at(0).value());
        CPPUNIT_ASSERT_EQUAL(std::string("puget-a"), heartbeat.description.failureDomain.value());
        json::object leaving = sample();
        leaving["State"] = "draining";
        CPPUNIT_ASSERT(decodeHeartbeat("i-1", json::serialize(leaving)).value().draining);
    }

    void plainServicesHaveNoModels()
    {
        json::object plain = sample();
        plain.erase("Models");
        plain.erase("Stage");
        const EndpointHeartbeat heartbeat = decodeHeartbeat("i-1", json::serialize(plain)).value();
        CPPUNIT_ASSERT(heartbeat.description.kind == state::EndpointKind::PlainService);
        CPPUNIT_ASSERT(heartbeat.description.models.empty());
    }

    // Guards against a heartbeat of another writer that moves an endpoint to another service.
    void unusableHeartbeatsAreRejected()
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
                {"Version", nullptr}, {"Version", 7},     {"Version", {"v1"}},  {"Version", true},
                {"born", 12.5},       {"born", "always"}, {"Models", "m"},      {"Models", {1}},
        };
        for (const Case &each : cases) {
            json::object malformed = sample();
            if (each.value.is_null())
                malformed.erase(each.field);
            else
                malformed[each.field] = each.value;
            CPPUNIT_ASSERT_MESSAGE(each.field, !decodeHeartbeat("i-1", json::serialize(malformed)));
        }
        CPPUNIT_ASSERT(!decodeHeartbeat("", sampleHeartbeat));
        CPPUNIT_ASSERT(!decodeHeartbeat("i-1", "[]"));
        CPPUNIT_ASSERT(!decodeHeartbeat("i-1", "\xff\xfe"));
    }

    // Guards against full load on an endpoint that says that it is cold.
    void coldTimeIsDecoded()
    {
        json::object cold = sample();
        cold["ColdLeftMs"] = 2'900;
        const EndpointHeartbeat heartbeat = decodeHeartbeat("i-1", json::serialize(cold)).value();
        CPPUNIT_ASSERT(heartbeat.coldLeft == std::chrono::milliseconds(2'900));
        CPPUNIT_ASSERT(!heartbeat.coldLeftIgnored);
        cold.erase("ColdLeftMs");
        for (const std::string &warm : {sampleHeartbeat, json::serialize(cold)}) {
            CPPUNIT_ASSERT(!decodeHeartbeat("i-1", warm).value().coldLeft);
            CPPUNIT_ASSERT(!decodeHeartbeat("i-1", warm).value().coldLeftIgnored);
        }
    }

    // Guards against an endpoint that is lost, or limited for hours, because of one odd value.
    void impossibleColdTimesCountAsAbsent()
    {
        const std::vector<json::value> odd = {-1,     -0.5, 3'600'001, 1e300,
                                              "2900", true, {2'900},   9'223'372'036'854'775'807};
        for (const json::value &each : odd) {
            json::object cold = sample();
            cold["ColdLeftMs"] = each;
            const auto heartbeat = decodeHeartbeat("i-1", json::serialize(cold));
            const std::string text = json::serialize(each);
            CPPUNIT_ASSERT_MESSAGE(text, heartbeat.has_value());
            CPPUNIT_ASSERT_MESSAGE(text, !heartbeat.value().coldLeft);
            CPPUNIT_ASSERT_MESSAGE(text, heartbeat.value().coldLeftIgnored);
        }
    }

    void deregistrationsContainTheIncarnation()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12),
                             decodeDeregistration(R"({"born":12})").value().value());
        for (const char *any : {"", "{}", R"({"born":null})"})
            CPPUNIT_ASSERT(!decodeDeregistration(any).value());
    }

    // Guards against an odd call of another writer that takes a sound endpoint out of use.
    void oddDeregistrationsAreRejected()
    {
        for (const std::string &body :
             {std::string(R"({"born":"x"})"), std::string(R"({"born":1e400})"),
              std::string(R"({"born":-1})"), std::string(R"({"born":18446744073709551615})"),
              std::string("born"), deep()})
            CPPUNIT_ASSERT_MESSAGE(body.substr(0, 40), !decodeDeregistration(body));
    }

    // Guards against an odd entry among those of the endpoints that ends the processes which read
    // it, or can never be replaced by a sound one.
    void oddEntriesOfOtherWritersAreRejected()
    {
        const auto with = [](const char *field, const std::string &value) {
            json::object odd = sample();
            odd[field] = "@";
            std::string text = json::serialize(odd);
            return text.replace(text.find("\"@\""), 3, value);
        };
        for (const char *number : {"1e400", "-1", "18446744073709551616", "18446744073709551615",
                                   "1e19", "99999999999999999999999999", "0"})
            CPPUNIT_ASSERT_MESSAGE(number, !decodeHeartbeat("i-1", with("born", number)));
        for (const char *number : {"1e400", "-1", "18446744073709551616", "1.5"}) {
            CPPUNIT_ASSERT_MESSAGE(number, !decodeHeartbeat("i-1", with("Slots", number)));
            CPPUNIT_ASSERT_MESSAGE(number, !decodeHeartbeat("i-1", with("Seq", number)));
        }
        for (const char *address : {R"("10.0.0.1:65536")", R"("10.0.0.1:99999999999")",
                                    R"("10.0.0.1:-1")", R"("10.0.0.1:")", R"("host:80")"})
            CPPUNIT_ASSERT_MESSAGE(address, !decodeHeartbeat("i-1", with("Address", address)));
        CPPUNIT_ASSERT(!decodeHeartbeat("i-1", with("Ignored", deep())));
        CPPUNIT_ASSERT(!decodeHeartbeat("i-1", deep()));
        // Not read, so it may be anything.
        CPPUNIT_ASSERT(decodeHeartbeat("i-1", with("Ignored", "1e19")));
    }

    // Guards against an id in the path of a heartbeat that becomes several lines in the head of a
    // request, or that endpoints read as the id of a sound one.
    void idsThatNoHeaderCarriesAreRejected()
    {
        for (const std::string &id : fakes::textsWithEveryByte())
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, fakes::isReadWhole(id),
                                         decodeHeartbeat(id, sampleHeartbeat).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointNewsCodecTest);

} // namespace lavenderthread::platform
