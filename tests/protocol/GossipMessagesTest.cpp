// Tests gossip datagrams: round trips, size bounds, and rejection of malformed datagrams.
#include "protocol/GossipMessages.h"

#include "protocol/Envelope.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace lavenderthread::protocol {

namespace {

using namespace coordination; // NOLINT(google-build-using-namespace): test file

const SealKeys keys{{"key"}};

std::string name(std::mt19937_64 &random)
{
    return std::string(random() % 20, static_cast<char>('a' + random() % 26));
}

state::Address address(std::mt19937_64 &random)
{
    return {"10.0.0." + std::to_string(random() % 256), static_cast<std::uint16_t>(random())};
}

membership::MemberRecord member(std::mt19937_64 &random, bool full)
{
    membership::MemberRecord record{state::VmId(name(random)),
                                    random(),
                                    static_cast<std::uint32_t>(random()),
                                    static_cast<membership::MemberPhase>(random() % 4),
                                    static_cast<membership::MemberHealth>(random() % 3),
                                    random() % 2 == 0};
    if (full)
        record.description =
                std::make_shared<const membership::MemberDescription>(membership::MemberDescription{
                        address(random), address(random), address(random), address(random),
                        state::VmId(name(random)), state::FailureDomain(name(random)),
                        state::Region(name(random))});
    return record;
}

endpoints::EndpointRecord endpoint(std::mt19937_64 &random, bool full)
{
    endpoints::EndpointRecord record{state::EndpointId(name(random)),
                                     random(),
                                     static_cast<std::uint32_t>(random()),
                                     static_cast<std::uint32_t>(random()),
                                     static_cast<endpoints::EndpointPhase>(random() % 4),
                                     state::VmId(name(random)),
                                     {{random(), random()}, random() % 2 == 0}};
    if (random() % 2 == 0)
        record.cold = {random(), static_cast<std::uint32_t>(random()),
                       static_cast<std::uint32_t>(random() % endpoints::ColdMark::longestMs)};
    if (full)
        record.description = std::make_shared<const state::EndpointDescription>(
                state::EndpointDescription{record.id,
                                           address(random),
                                           state::EndpointKind::PlainService,
                                           state::FailureDomain(name(random)),
                                           state::ServiceName(name(random)),
                                           {state::ModelName("m1"), state::ModelName("m2")},
                                           record.incarnation,
                                           random(),
                                           1.5,
                                           2.5,
                                           true});
    return record;
}

membership::GossipMessage anyMessage(std::mt19937_64 &random)
{
    membership::GossipMessage message{static_cast<membership::GossipKind>(random() % 9),
                                      name(random),
                                      state::VmId(name(random)),
                                      random(),
                                      static_cast<std::uint32_t>(random()),
                                      state::VmId(name(random))};
    for (std::size_t index = random() % 4; index > 0; --index) {
        message.members.push_back(member(random, index % 2 == 0));
        message.endpointRecords.push_back(endpoint(random, index % 2 == 0));
        message.statuses.push_back({random(), random(), random(), 7});
        message.digest.push_back(random());
        message.buckets.push_back(static_cast<std::uint8_t>(random()));
        message.summary.push_back({random(), random()});
        message.keys.push_back(random());
        message.loads.push_back({state::EndpointId(name(random)), random(), random(), 3, 4, 5, 6});
    }
    message.differingBuckets = static_cast<std::uint8_t>(random());
    return message;
}

// Encodes the message, so that descriptions are compared by value and not by pointer.
std::string encoded(const membership::GossipMessage &message)
{
    return sealGossip(keys, message).value();
}

} // namespace

class GossipMessagesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GossipMessagesTest);
    CPPUNIT_TEST(roundTripsWithinTheSizeBound);
    CPPUNIT_TEST(rejectsForgedAndCorruptDatagrams);
    CPPUNIT_TEST(rejectsOversizedMessages);
    CPPUNIT_TEST_SUITE_END();

public:
    void roundTripsWithinTheSizeBound()
    {
        // The state machine fills datagrams up to its own size estimate. If the estimate were too
        // low, full datagrams would be dropped silently.
        std::mt19937_64 random(1);
        for (int round = 0; round < 500; ++round) {
            const membership::GossipMessage message = anyMessage(random);
            const std::string datagram = encoded(message);
            CPPUNIT_ASSERT(datagram.size() <= membership::wireBytes(message) + sealBytes);
            const auto decoded = unsealGossip(keys, datagram);
            CPPUNIT_ASSERT(decoded.has_value());
            CPPUNIT_ASSERT(encoded(decoded.value()) == datagram);
            CPPUNIT_ASSERT(decoded.value().loads == message.loads);
            for (std::size_t index = 0; index < message.endpointRecords.size(); ++index)
                CPPUNIT_ASSERT(decoded.value().endpointRecords[index]
                               == message.endpointRecords[index]);
        }
    }

    void rejectsForgedAndCorruptDatagrams()
    {
        std::mt19937_64 random(2);
        for (int round = 0; round < 300; ++round) {
            const membership::GossipMessage message = anyMessage(random);
            std::string datagram = encoded(message);
            CPPUNIT_ASSERT(unsealGossip(SealKeys{{"other"}}, datagram).error().code
                           == state::ErrorCode::Unauthorized);
            // A faulty member may seal a corrupted message with the right key. It may decode to any
            // value, but decoding must terminate and stay within its bounds.
            std::string inside = datagram.substr(0, datagram.size() - sealBytes);
            for (int flips = 0; flips < 3; ++flips)
                inside[random() % inside.size()] = static_cast<char>(random());
            (void)unsealGossip(keys, seal(keys, "gossip", inside));
            const std::string cut = inside.substr(0, random() % inside.size());
            CPPUNIT_ASSERT(unsealGossip(keys, seal(keys, "gossip", cut)).has_error());
            datagram[random() % datagram.size()] ^= 1;
            CPPUNIT_ASSERT(unsealGossip(keys, datagram).has_error());
        }
    }

    void rejectsOversizedMessages()
    {
        std::mt19937_64 random(3);
        membership::GossipMessage message = anyMessage(random);
        message.keys.assign(200, 1);
        CPPUNIT_ASSERT(sealGossip(keys, message).has_error());
        message.keys.assign(300, 1);
        CPPUNIT_ASSERT(sealGossip(keys, message).has_error());
        CPPUNIT_ASSERT(unsealGossip(keys, std::string(1'201, 'x')).error().code
                       == state::ErrorCode::Corrupt);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipMessagesTest);

} // namespace lavenderthread::protocol
