// Tests the relay's header codec: decoding of requests, headers forwarded to an endpoint, and
// decoding of answer headers.
#include "platform/RelayWire.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace lavenderthread::platform {

namespace {

using protocol::HttpHeaders;
using protocol::HttpRequest;

const state::RequestId id("9c41d07be2a35f68");

HttpRequest sampleRequest()
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/n/2f?x=1";
    request.body = "body";
    request.headers = {{"Host", "h.example:8227"},
                       {"Request-Id", id.value()},
                       {"Last-Event-Id", "12"},
                       {"Model", "m"},
                       {"Token-Count", "1460,80"},
                       {"Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250"},
                       {"Request-Deadline", "10000"},
                       {"Credential", "secret-key"},
                       {"Connection", "keep-alive, X-Hop"},
                       {"X-Hop", "1"},
                       {"Tenant", "forged"},
                       {"Helpers", "10.0.0.1:1"},
                       {"X-Other", "stays"}};
    return request;
}

} // namespace

class RelayWireTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayWireTest);
    CPPUNIT_TEST(decodesRequests);
    CPPUNIT_TEST(malformedHeadersAreIgnored);
    CPPUNIT_TEST(forwardedHeadersOmitKeyAndSetTerms);
    CPPUNIT_TEST(decodesAnswerHeads);
    CPPUNIT_TEST(decodesAcceptedRate);
    CPPUNIT_TEST(decodesRest);
    CPPUNIT_TEST(decodesColdTime);
    CPPUNIT_TEST(decodesLeaving);
    CPPUNIT_TEST(refusalsContainRetryAfter);
    CPPUNIT_TEST(encodesMemoryOrders);
    CPPUNIT_TEST_SUITE_END();

    const program::RelayCodec codec = makeRelayCodec();

public:
    void decodesRequests()
    {
        const auto decoded = this->codec.decode(sampleRequest()).value();
        CPPUNIT_ASSERT(decoded.id == id);
        CPPUNIT_ASSERT_EQUAL(std::string("h.example"), decoded.host);
        CPPUNIT_ASSERT_EQUAL(std::string("secret-key"), decoded.accountKey);
        CPPUNIT_ASSERT(*decoded.timeLimit == std::chrono::milliseconds(10'000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), *decoded.resumeAfter);
        CPPUNIT_ASSERT_EQUAL(1460U, decoded.promptTokens);
        CPPUNIT_ASSERT_EQUAL(80U, decoded.outputTokens);
        CPPUNIT_ASSERT(decoded.promptParts
                       == (std::vector<state::RequestPart>{0x5c1e07a2, 0x91bd3f06, 0xe4402b7d}));
    }

    void malformedHeadersAreIgnored()
    {
        HttpRequest request;
        request.headers = {{"Request-Id", "x"},
                           {"Request-Deadline", "soon"},
                           {"Token-Count", "1,2,3"},
                           {"Prompt-Prefix", ",no number:1,ffffffffffffffffffff:2,"},
                           {"Last-Event-Id", ""}};
        const auto decoded = this->codec.decode(request).value();
        CPPUNIT_ASSERT(!decoded.timeLimit && !decoded.resumeAfter);
        CPPUNIT_ASSERT_EQUAL(0U, decoded.promptTokens);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), decoded.promptParts.size());
        request.headers = {};
        CPPUNIT_ASSERT(!this->codec.decode(request));
    }

    void forwardedHeadersOmitKeyAndSetTerms()
    {
        program::ForwardParameters terms;
        terms.timeLeft = std::chrono::milliseconds(9'500);
        terms.endpoint = state::EndpointId("i-7");
        terms.account = state::ClientAccountId("acme");
        terms.priority = 5;
        terms.helpers = {{{"10.2.64.3", 8080}, "t81"}, {{"10.2.64.5", 8080}, ""}};
        const HttpRequest sent = this->codec.forward(sampleRequest(), terms);
        const auto value = [&](const char *name) {
            return std::string(sent.headers.find(name).value_or("(none)"));
        };
        CPPUNIT_ASSERT_EQUAL(std::string("/n/2f?x=1"), sent.target);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), sent.body);
        CPPUNIT_ASSERT_EQUAL(id.value(), value("Request-Id"));
        CPPUNIT_ASSERT_EQUAL(std::string("h.example:8227"), value("Host"));
        CPPUNIT_ASSERT_EQUAL(std::string("5c1e07a2:800, 91bd3f06:410,e4402b7d:250"),
                             value("Prompt-Prefix"));
        CPPUNIT_ASSERT_EQUAL(std::string("stays"), value("X-Other"));
        CPPUNIT_ASSERT_EQUAL(std::string("9500"), value("Request-Deadline"));
        CPPUNIT_ASSERT_EQUAL(std::string("i-7"), value("Expect-Instance"));
        CPPUNIT_ASSERT_EQUAL(std::string("acme"), value("Tenant"));
        CPPUNIT_ASSERT_EQUAL(std::string("5"), value("Request-Priority"));
        CPPUNIT_ASSERT_EQUAL(std::string("10.2.64.3:8080/t81,10.2.64.5:8080"), value("Helpers"));
        for (const char *name : {"Credential", "Connection", "X-Hop", "Last-Event-Id"})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("(none)"), value(name));
    }

    void decodesAnswerHeads()
    {
        struct Case
        {
            const char *name;
            unsigned status;
            HttpHeaders headers;
            bool genuine;
            bool notRun;
        };
        const std::string other = "0000000000000000";
        const std::vector<Case> cases = {
                {"success", 200, {{"Request-Id", id.value()}, {"Response-Seal", "s"}}, true, false},
                {"success without seal", 200, {{"Request-Id", id.value()}}, false, false},
                {"success without id", 200, {{"Response-Seal", "s"}}, false, false},
                {"of another request",
                 200,
                 {{"Request-Id", other}, {"Response-Seal", "s"}},
                 false,
                 false},
                {"encoded",
                 200,
                 {{"Request-Id", id.value()}, {"Response-Seal", "s"}, {"Content-Encoding", "gzip"}},
                 false,
                 false},
                {"own failure", 500, {{"Request-Id", id.value()}}, true, false},
                {"failure of another", 500, {{"Request-Id", other}}, false, false},
                {"failure without id", 500, {}, false, false},
                {"rejection without id", 404, {{"Response-Seal", "s"}}, false, false},
                {"full, without id", 503, {{"Not-Executed", "1"}}, false, true},
                {"full", 503, {{"Request-Id", id.value()}, {"Not-Executed", "1"}}, true, true},
                {"overloaded, may have run", 503, {{"Request-Id", id.value()}}, true, false},
                {"another endpoint at the address", 421, {{"Request-Id", id.value()}}, true, true},
                {"421 without id", 421, {}, false, true},
        };
        for (const Case &each : cases) {
            const auto head = this->codec.readHead(each.status, each.headers, id);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.genuine, head.genuine);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.notRun, head.notRun);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.status == 421, head.otherEndpoint);
        }
        const auto loaded = this->codec.readHead(
                503, {{"Replica-Load", "3,1,8"}, {"At-Server", "10.0.0.9:8080"}}, id);
        CPPUNIT_ASSERT_EQUAL(3U, loaded.load->running);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9:8080"), loaded.faulty->toString());
    }

    void decodesAcceptedRate()
    {
        const auto rateOf = [this](const char *text) {
            return this->codec.readHead(503, {{"Server-Limit", text}}, id).acceptedPerSecond;
        };
        CPPUNIT_ASSERT(rateOf("2.1") == std::optional(2.1));
        CPPUNIT_ASSERT(rateOf(" 40 ") == std::optional(40.0));
        CPPUNIT_ASSERT(rateOf("0") == std::optional(0.0));
        for (const char *text : {"", "-1", "many", "1e400", "nan", "inf", "2,1", "2 a second"})
            CPPUNIT_ASSERT_MESSAGE(text, !rateOf(text));
        CPPUNIT_ASSERT(!this->codec.readHead(200, {}, id).acceptedPerSecond);
    }

    // Guards against an endpoint that counts as cold for years, or a node that fails on such a
    // value.
    void decodesColdTime()
    {
        const auto read = makeRelayCodec().readProbe;
        CPPUNIT_ASSERT(read({}) == program::ProbeAnswer{});
        CPPUNIT_ASSERT(read({{"Cold-Ms", "0"}}) == program::ProbeAnswer{});
        CPPUNIT_ASSERT(read({{"Cold-Ms", "1800"}})
                       == (program::ProbeAnswer{std::chrono::milliseconds(1'800), false}));
        for (const char *text : {"-5", "3600001", "99999999999999999999", "soon", "1.5x", ""})
            CPPUNIT_ASSERT_MESSAGE(text, read({{"Cold-Ms", text}})
                                                 == (program::ProbeAnswer{std::nullopt, true}));
    }

    void decodesRest()
    {
        using std::chrono::milliseconds;
        const auto restOf = [this](const char *text, unsigned status = 503) {
            return this->codec.readHead(status, {{"Retry-After", text}}, id).rest;
        };
        CPPUNIT_ASSERT(restOf("3") == std::optional(milliseconds(3'000)));
        CPPUNIT_ASSERT(restOf(" 0.25 ") == std::optional(milliseconds(250)));
        CPPUNIT_ASSERT(restOf("999999999") == std::optional(milliseconds(3'600'000)));
        for (const char *text : {"", "0", "-3", "soon", "1e400", "Wed, 21 Oct 2026 07:28:00 GMT"})
            CPPUNIT_ASSERT_MESSAGE(text, !restOf(text));
        CPPUNIT_ASSERT(!restOf("3", 200) && !restOf("3", 429));
    }

    void decodesLeaving()
    {
        const auto isLeaving = [this](const char *text, unsigned status) {
            return this->codec.readHead(status, {{"Server-Leaving", text}}, id).leaving;
        };
        CPPUNIT_ASSERT(isLeaving("1", 200) && isLeaving(" 1 ", 503) && isLeaving("1", 500));
        CPPUNIT_ASSERT(!isLeaving("0", 200) && !isLeaving("", 200));
        CPPUNIT_ASSERT(!this->codec.readHead(200, {}, id).leaving);
    }

    void refusalsContainRetryAfter()
    {
        const auto answer = this->codec.refuse({503, "busy", std::chrono::milliseconds(1'250)});
        CPPUNIT_ASSERT_EQUAL(503U, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("1.250"),
                             std::string(*answer.headers.find("Retry-After")));
        CPPUNIT_ASSERT(
                !this->codec.refuse({502, "lost", std::nullopt}).headers.find("Retry-After"));
    }

    void encodesMemoryOrders()
    {
        const auto reserve =
                this->codec.memory.reserve("lease", 60'000, std::chrono::milliseconds(3'500));
        CPPUNIT_ASSERT_EQUAL(std::string("/order"), reserve.target);
        CPPUNIT_ASSERT_EQUAL(
                std::string(R"({"Op":"reserve","Id":"lease","Tokens":60000,"HoldMs":3500})"),
                reserve.body);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"Op":"release","Id":"lease"})"),
                             this->codec.memory.release("lease").body);
        CPPUNIT_ASSERT(this->codec.memory.granted(200));
        CPPUNIT_ASSERT(!this->codec.memory.granted(202)); // promised, not granted yet
        CPPUNIT_ASSERT(!this->codec.memory.granted(409));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayWireTest);

} // namespace lavenderthread::platform
