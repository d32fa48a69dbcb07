// Encodes and decodes feed pages and configuration patches.
#include "protocol/FeedEncoder.h"

#include "protocol/ControlCommands.h"
#include "protocol/Envelope.h"
#include "protocol/TextPatch.h"

#include <algorithm>

namespace lavenderthread::protocol {

namespace control = state::control;

namespace {

// During a series of changes, entries are at most a few versions behind. An entry that is further
// behind is sent the full text.
constexpr std::size_t maxDocuments = 16;
constexpr std::size_t maxDocumentBytes = 8U << 20U;
constexpr std::size_t maxCachedContents = 64;

std::size_t totalTextBytes(const std::deque<control::ConfigurationDocument> &documents)
{
    std::size_t bytes = 0;
    for (const control::ConfigurationDocument &document : documents)
        bytes += document.text.size();
    return bytes;
}

// Returns null if the pages contain no configuration.
control::ConfigurationDocument *findConfiguration(std::vector<control::FeedPage> &pages)
{
    for (control::FeedPage &page : pages) {
        for (control::FeedChange &change : page.changes) {
            if (auto *document = std::get_if<control::ConfigurationDocument>(&change))
                return document;
        }
    }
    return nullptr;
}

state::Result<std::string> applyConfigurationPatch(const ConfigurationPatch &patch,
                                                   const control::ConfigurationDocument &held)
{
    if (patch.base != 0 && patch.base != held.version)
        return state::makeError(state::ErrorCode::Conflict, "feed.decode",
                                "the patch is for another configuration");
    const std::string_view base = patch.base == 0 ? std::string_view() : held.text;
    return applyTextPatch(base, patch.bytes, maximumMessageBytes);
}

} // namespace

void FeedEncoder::recordView(const control::ControlView &view)
{
    if (view.version == this->recordedVersion)
        return;
    this->recordedVersion = view.version;
    this->encodedContents.clear();
    const control::ConfigurationDocument &newest = view.configuration;
    if (newest.version == 0
        || (!this->documents.empty() && this->documents.back().version == newest.version))
        return;
    this->documents.push_back(newest);
    while (this->documents.size() > maxDocuments
           || (this->documents.size() > 1 && totalTextBytes(this->documents) > maxDocumentBytes))
        this->documents.pop_front();
}

const FeedContent &FeedEncoder::contentFor(const control::ControlState &state,
                                           const InForceVersions &held)
{
    this->recordView(state.view());
    const auto known = this->encodedContents.find(held);
    if (known != this->encodedContents.end())
        return known->second;
    if (this->encodedContents.size() >= maxCachedContents)
        this->encodedContents.clear();
    return this->encodedContents.emplace(held, this->encode(state, held)).first->second;
}

FeedContent FeedEncoder::encode(const control::ControlState &state,
                                const InForceVersions &held) const
{
    FeedContent content;
    std::vector<control::FeedPage> pages = state.changesSince(held.version);
    if (control::ConfigurationDocument *document = findConfiguration(pages)) {
        content.configuration = this->patchFrom(held.configuration);
        document->text.clear();
    }
    for (const control::FeedPage &page : pages)
        content.pages.push_back(encodeFeedPage(page));
    return content;
}

ConfigurationPatch FeedEncoder::patchFrom(std::uint64_t base) const
{
    const control::ConfigurationDocument &newest = this->documents.back();
    const auto found =
            std::ranges::find(this->documents, base, &control::ConfigurationDocument::version);
    if (base == 0 || found == this->documents.end())
        return {0, newest.version, makeTextPatch({}, newest.text)};
    return {base, newest.version, makeTextPatch(found->text, newest.text)};
}

state::Result<std::vector<control::FeedPage>>
decodeFeedContent(const FeedContent &content, const control::ConfigurationDocument &held)
{
    std::vector<control::FeedPage> pages;
    for (const std::string &bytes : content.pages) {
        BOOST_OUTCOME_TRY(control::FeedPage page, decodeFeedPage(bytes));
        pages.push_back(std::move(page));
    }
    control::ConfigurationDocument *document = findConfiguration(pages);
    if (document == nullptr)
        return pages;
    if (!content.configuration || content.configuration->version != document->version)
        return state::makeError(state::ErrorCode::Corrupt, "feed.decode",
                                "no patch for the configuration of the pages");
    BOOST_OUTCOME_TRY(document->text, applyConfigurationPatch(*content.configuration, held));
    return pages;
}

} // namespace lavenderthread::protocol
