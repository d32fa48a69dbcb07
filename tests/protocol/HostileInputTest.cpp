// Decodes request bodies and messages that are corrupted at random with fixed seeds. Each is either
// rejected with the documented error or decoded to some value, without a crash, a hang or a large
// allocation (the sanitizer build checks this).
#include "coordination/quota/QuotaNode.h"
#include "coordination/quota/ShareNode.h"
#include "protocol/Completion.h"
#include "protocol/EndpointJson.h"
#include "protocol/Envelope.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace lavenderthread::protocol {

using namespace coordination::quota; // NOLINT(google-build-using-namespace): most of the test's
                                     // types
using state::ErrorCode;

namespace {

constexpr int corruptionsPerInput = 1'500;

// Applies one to three random corruptions of the kinds caused by links, proxies and faulty
// programs.
std::string corrupt(std::string text, std::mt19937_64 &random)
{
    static const std::vector<std::string> pieces{"[[[[[[[[", "{\"a\":{\"a\":{",       "-1",
                                                 "1e999",    "18446744073709551616",  "null",
                                                 "\"",       std::string(3, '\0'),    "\xff\xfe",
                                                 "\\ud800",  std::string(40'000, '[')};
    for (std::uint64_t times = 1 + random() % 3; times > 0; --times) {
        const std::size_t at = text.empty() ? 0 : random() % text.size();
        switch (random() % 5) {
        case 0:
            if (!text.empty())
                text[at] = static_cast<char>(random());
            break;
        case 1:
            text.resize(at);
            break;
        case 2:
            text.insert(at, pieces[random() % pieces.size()]);
            break;
        case 3:
            text.erase(at, 1 + random() % 16);
            break;
        default:
            text += text.substr(at);
        }
    }
    return text;
}

void forEachCorruption(const std::string &good, std::uint64_t seed,
                       const std::function<void(const std::string &)> &check)
{
    std::mt19937_64 random(seed);
    check("");
    for (int round = 0; round < corruptionsPerInput; ++round)
        check(corrupt(good, random));
}

template <typename Value>
void assertErrorIs(const state::Result<Value> &result, ErrorCode code)
{
    if (result.has_error())
        CPPUNIT_ASSERT_MESSAGE(result.error().describe(), result.error().code == code);
}

QuotaMessage quotaMessage()
{
    QuotaMessage message;
    message.from = state::VmId("entry-1");
    message.incarnation = 3;
    message.forIncarnation = 9;
    message.requestsStatement = true;
    message.isStatement = true;
    message.holdings.push_back({1, Dimension::InFlight, 5, 7'000});
    message.loanRequests.push_back({2, Dimension::TokenRate, 8, 900, 10'000});
    message.loanRequests.push_back({1, Dimension::InFlight, 9, 4, 10'000});
    message.grants.push_back({1, Dimension::InFlight, 1, 4, 2, 10'000, true});
    return message;
}

} // namespace

class HostileInputTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HostileInputTest);
    CPPUNIT_TEST(quotaMessagesRoundTrip);
    CPPUNIT_TEST(corruptQuotaMessagesAreAcceptedOrRejected);
    CPPUNIT_TEST(corruptEndpointBodiesAreRejected);
    CPPUNIT_TEST(corruptCompletionsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void quotaMessagesRoundTrip()
    {
        const QuotaMessage quota = quotaMessage();
        CPPUNIT_ASSERT(decode<QuotaMessage>(encode(quota)).value() == quota);
        ShareMessage share;
        share.from = state::VmId("entry-2");
        share.reports.push_back({4, 1});
        share.sums.push_back({5, 17, 3, true});
        CPPUNIT_ASSERT(decode<ShareMessage>(encode(share)).value() == share);
    }

    // Only holders of the key can seal messages, but one of them may be faulty. Messages that can
    // be decoded are passed to a node, which must tolerate them.
    void corruptQuotaMessagesAreAcceptedOrRejected()
    {
        const state::Instant now{std::chrono::seconds(100)};
        QuotaNode node(state::VmId("entry-0"), 9, {}, now);
        node.configure({{state::VmId("entry-0"), state::VmId("entry-1")}, 1}, std::chrono::hours(1),
                       now);
        state::TableRow row;
        row.inFlightLimit = 10;
        row.tokensPerSecondLimit = 1'000;
        node.setRow(row, now);
        const QuotaKey key = quotaKeyOf(row.key);
        QuotaMessage good = quotaMessage();
        good.loanRequests[0].key = good.loanRequests[1].key = good.grants[0].key =
                good.holdings[0].key = key;
        int read = 0;
        forEachCorruption(encode(good), 1, [&](const std::string &bytes) {
            const auto message = decode<QuotaMessage>(bytes);
            if (message.has_error()) {
                CPPUNIT_ASSERT(message.error().code == ErrorCode::Corrupt
                               || message.error().code == ErrorCode::Unsupported);
                return;
            }
            ++read;
            node.receive(message.value(), now);
            node.tryStart(key, 5, now + std::chrono::seconds(9), now);
            node.setDemand(key, {50, 5'000, now + std::chrono::seconds(9)});
            node.tick(now);
        });
        CPPUNIT_ASSERT(read > 10);
        CPPUNIT_ASSERT(node.view(key, now).running <= 10);
    }

    void corruptEndpointBodiesAreRejected()
    {
        const std::string announcement =
                R"({"id":"e1","address":"10.0.0.1:80","kind":"engine","failure_domain":"a",)"
                R"("service":"s","models":["m1","m2"],"incarnation":7,"kv_capacity_tokens":1000,)"
                R"("prefill_tokens_per_second":5.5,"decode_tokens_per_second":50,)"
                R"("honours_fencing":true})";
        CPPUNIT_ASSERT(parseAnnouncement(announcement).has_value());
        forEachCorruption(announcement, 2, [](const std::string &body) {
            assertErrorIs(parseAnnouncement(body), ErrorCode::InvalidArgument);
        });
        const std::string load =
                R"({"incarnation":7,"sequence":3,"running_requests":1,"waiting_requests":2,)"
                R"("waiting_prefill_tokens":30,"kv_used_tokens":40})";
        CPPUNIT_ASSERT(parseLoadReport(state::EndpointId("e1"), load).has_value());
        forEachCorruption(load, 3, [](const std::string &body) {
            assertErrorIs(parseLoadReport(state::EndpointId("e1"), body),
                          ErrorCode::InvalidArgument);
        });
        const std::string events =
                R"({"incarnation":7,"first_sequence":12,"events":[{"op":"stored","block":)"
                R"("00000000000000ff","tokens":256},{"op":"cleared"}]})";
        CPPUNIT_ASSERT(parseCacheEvents(events).has_value());
        forEachCorruption(events, 4, [](const std::string &body) {
            assertErrorIs(parseCacheEvents(body), ErrorCode::InvalidArgument);
            assertErrorIs(parseLeave(body), ErrorCode::InvalidArgument);
        });
    }

    void corruptCompletionsAreRejected()
    {
        const std::string text = R"({"model":"m1","prompt":"hello there","max_tokens":5,)"
                                 R"("stream":true})";
        CPPUNIT_ASSERT(parseCompletion(CompletionKind::Text, text).has_value());
        const std::string chat = R"({"model":"m1","messages":[{"role":"user","content":"hello"}]})";
        CPPUNIT_ASSERT(parseCompletion(CompletionKind::Chat, chat).has_value());
        const std::string line = R"({"offset":3,"token":"w0001 "})";
        CPPUNIT_ASSERT(parseEngineLine(line).has_value());
        forEachCorruption(text, 5, [](const std::string &body) {
            assertErrorIs(parseCompletion(CompletionKind::Text, body), ErrorCode::InvalidArgument);
        });
        forEachCorruption(chat, 6, [](const std::string &body) {
            assertErrorIs(parseCompletion(CompletionKind::Chat, body), ErrorCode::InvalidArgument);
        });
        forEachCorruption(line, 7, [](const std::string &body) {
            assertErrorIs(parseEngineLine(body), ErrorCode::Corrupt);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostileInputTest);

} // namespace lavenderthread::protocol
