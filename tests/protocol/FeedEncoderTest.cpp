// Tests how changes of the control view are sent from a control member to an entry.
#include "protocol/FeedEncoder.h"

#include "protocol/TextPatch.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::protocol {

namespace {

namespace control = state::control;

std::string documentOf(std::uint64_t version, std::size_t routes, std::uint32_t weight)
{
    std::string text = "{\"Version\":" + std::to_string(version) + ",\"Routes\":[";
    for (std::size_t route = 0; route < routes; ++route)
        text += "{\"Name\":\"route-" + std::to_string(route * 7'919)
                + "\",\"Weight\":" + std::to_string(route == routes / 2 ? weight : 90) + "},";
    return text + "]}";
}

void accept(control::ControlState &state, std::uint64_t index, std::uint64_t version,
            std::string text)
{
    state.apply({1, index}, control::ReplaceConfiguration{{version, std::move(text)}});
}

std::size_t contentBytes(const FeedContent &content)
{
    std::size_t bytes = content.configuration ? content.configuration->bytes.size() : 0;
    for (const std::string &page : content.pages)
        bytes += page.size();
    return bytes;
}

const control::ConfigurationDocument &onlyConfiguration(const std::vector<control::FeedPage> &pages)
{
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), pages.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), pages.front().changes.size());
    return std::get<control::ConfigurationDocument>(pages.front().changes.front());
}

} // namespace

class FeedEncoderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FeedEncoderTest);
    CPPUNIT_TEST(changedWeightDoesNotResendConfiguration);
    CPPUNIT_TEST(entryWithoutConfigurationIsSentFullText);
    CPPUNIT_TEST(entryFarBehindIsSentFullText);
    CPPUNIT_TEST(patchForAnotherConfigurationIsRejected);
    CPPUNIT_TEST(corruptPatchIsRejected);
    CPPUNIT_TEST(changesOfOtherKindsCarryNoPatch);
    CPPUNIT_TEST(evacuationsReachEntries);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against control members that can't keep up with a series of changes to large
    // configurations and therefore lose leadership.
    void changedWeightDoesNotResendConfiguration()
    {
        control::ControlState state;
        FeedEncoder encoder;
        const std::string before = documentOf(3, 5'000, 90);
        const std::string after = documentOf(4, 5'000, 10);
        accept(state, 10, 3, before);
        encoder.recordView(state.view());
        accept(state, 11, 4, after);
        const FeedContent &content = encoder.contentFor(state, {10, 3});
        CPPUNIT_ASSERT(contentBytes(content) < after.size() / 100);
        const auto pages = decodeFeedContent(content, {3, before});
        CPPUNIT_ASSERT(pages.has_value());
        CPPUNIT_ASSERT(onlyConfiguration(pages.value())
                       == (control::ConfigurationDocument{4, after}));
    }

    void entryWithoutConfigurationIsSentFullText()
    {
        control::ControlState state;
        FeedEncoder encoder;
        const std::string text = documentOf(3, 500, 90);
        accept(state, 10, 3, text);
        const auto pages = decodeFeedContent(encoder.contentFor(state, {0, 0}), {});
        CPPUNIT_ASSERT_EQUAL(text, onlyConfiguration(pages.value()).text);
    }

    void entryFarBehindIsSentFullText()
    {
        control::ControlState state;
        FeedEncoder encoder;
        for (std::uint64_t version = 1; version <= 40; ++version) {
            accept(state, 10 + version, version, documentOf(version, 500, 90));
            encoder.recordView(state.view());
        }
        const FeedContent &content = encoder.contentFor(state, {11, 1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), content.configuration->base);
        const auto pages = decodeFeedContent(content, {1, documentOf(1, 500, 90)});
        CPPUNIT_ASSERT_EQUAL(documentOf(40, 500, 90), onlyConfiguration(pages.value()).text);
    }

    // Guards against an entry that applies a mixture of two configurations.
    void patchForAnotherConfigurationIsRejected()
    {
        control::ControlState state;
        FeedEncoder encoder;
        accept(state, 10, 3, documentOf(3, 500, 90));
        encoder.recordView(state.view());
        accept(state, 11, 4, documentOf(4, 500, 10));
        const FeedContent &content = encoder.contentFor(state, {10, 3});
        const auto other = decodeFeedContent(content, {2, documentOf(2, 500, 90)});
        CPPUNIT_ASSERT(other.error().code == state::ErrorCode::Conflict);
        const auto sameVersion = decodeFeedContent(content, {3, documentOf(3, 499, 90)});
        CPPUNIT_ASSERT(sameVersion.error().code == state::ErrorCode::Corrupt);
    }

    void corruptPatchIsRejected()
    {
        const std::string base = documentOf(3, 500, 90);
        const std::string patch = makeTextPatch(base, documentOf(4, 500, 10));
        for (std::size_t at = 0; at < patch.size(); ++at) {
            std::string corrupt = patch;
            corrupt[at] = static_cast<char>(corrupt[at] ^ 0x20);
            const auto text = applyTextPatch(base, corrupt, 1U << 20U);
            CPPUNIT_ASSERT(!text || text.value() == documentOf(4, 500, 10));
            CPPUNIT_ASSERT(!applyTextPatch(base, patch.substr(0, at), 1U << 20U));
        }
        CPPUNIT_ASSERT(!applyTextPatch(base, patch, 100));
    }

    void changesOfOtherKindsCarryNoPatch()
    {
        control::ControlState state;
        FeedEncoder encoder;
        accept(state, 10, 3, documentOf(3, 500, 90));
        const control::PutAccount put{{state::ClientAccountId("acme"), "Acme", {}, 0}, 0};
        state.apply({1, 11},
                    control::OperatorCommand{{state::OperatorId("ana"), "r1", {}, {}}, put});
        const FeedContent &content = encoder.contentFor(state, {10, 3});
        CPPUNIT_ASSERT(!content.configuration);
        CPPUNIT_ASSERT(!decodeFeedContent(content, {3, documentOf(3, 500, 90)}).value().empty());
    }

    // Guards against entries that learn of the configuration but not of the evacuated domains,
    // whether they are told of the change or of the whole view.
    void evacuationsReachEntries()
    {
        control::ControlState state;
        FeedEncoder encoder;
        accept(state, 10, 3, documentOf(3, 5, 90));
        encoder.recordView(state.view());
        const state::FailureDomain zone("zone-a");
        state.apply({1, 11}, control::SetEvacuation{zone, true, 0, "operator"});
        const control::EvacuationMark expected{zone, true, 11, "operator"};
        for (const std::uint64_t known : {std::uint64_t(10), std::uint64_t(0)}) {
            const auto content = encoder.contentFor(state, {known, known > 0 ? 3U : 0U});
            const auto pages = decodeFeedContent(content, {3, documentOf(3, 5, 90)});
            CPPUNIT_ASSERT(pages.has_value());
            control::ControlView view;
            for (const control::FeedPage &page : pages.value())
                view = view.with(page.changes, page.to);
            CPPUNIT_ASSERT(view.isEvacuated(zone));
            CPPUNIT_ASSERT(*view.evacuations.find(zone) == expected);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FeedEncoderTest);

} // namespace lavenderthread::protocol
