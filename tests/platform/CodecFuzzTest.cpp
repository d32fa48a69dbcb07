// Feeds the decoders samples with bytes changed, removed and duplicated at random, with fixed
// seeds. Decoders may reject them, but must neither crash nor take longer than the size justifies.
#include "platform/ConfigurationCodec.h"
#include "platform/EndpointNewsCodec.h"
#include "platform/RelayWire.h"
#include "platform/Samples.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

namespace lavenderthread::platform {

class CodecFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CodecFuzzTest);
    CPPUNIT_TEST(configurations);
    CPPUNIT_TEST(heartbeats);
    CPPUNIT_TEST(headers);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int rounds = 3'000;

    std::mt19937 random{20'817};

    std::string mutate(std::string text)
    {
        const std::size_t changes = 1 + this->random() % 6;
        for (std::size_t each = 0; each < changes && !text.empty(); ++each) {
            const std::size_t at = this->random() % text.size();
            switch (this->random() % 4) {
            case 0:
                text[at] = char(this->random() % 256);
                break;
            case 1:
                text.erase(at, 1 + this->random() % 20);
                break;
            case 2:
                text.insert(at, text.substr(this->random() % text.size(), this->random() % 40));
                break;
            default:
                text.resize(at);
                break;
            }
        }
        return text;
    }

public:
    void configurations()
    {
        for (int round = 0; round < rounds; ++round) {
            const auto table = decodeConfiguration(this->mutate(sampleConfiguration));
            if (!table)
                continue;
            // An accepted configuration satisfies what the decoder checks.
            for (const state::routes::Route &route : table.value().routes()) {
                CPPUNIT_ASSERT(route.timeout.count() > 0);
                for (const state::routes::ServiceShare &share : route.services)
                    CPPUNIT_ASSERT(table.value().service(share.service) != nullptr);
            }
        }
    }

    void heartbeats()
    {
        for (int round = 0; round < rounds; ++round) {
            const auto heartbeat = decodeHeartbeat("i-1", this->mutate(sampleHeartbeat));
            CPPUNIT_ASSERT(!heartbeat || heartbeat.value().description.incarnation > 0);
            const auto left = decodeDeregistration(this->mutate(sampleHeartbeat));
            CPPUNIT_ASSERT(!left || left.value().value_or(1) > 0);
        }
    }

    void headers()
    {
        const program::RelayCodec codec = makeRelayCodec();
        const char *names[] = {"Request-Id", "Request-Deadline", "Token-Count",   "Last-Event-Id",
                               "Host",       "Replica-Load",     "Response-Seal", "At-Server"};
        for (int round = 0; round < rounds; ++round) {
            protocol::HttpRequest request;
            for (const char *name : names)
                request.headers.add(name, this->mutate("10.0.0.1:80,1460,80"));
            const auto decoded = codec.decode(request);
            const state::RequestId id(decoded ? decoded.value().id : state::RequestId("x"));
            codec.readHead(200 + this->random() % 400, request.headers, id);
            codec.forward(request, {});
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecFuzzTest);

} // namespace lavenderthread::platform
