// Encodes the changes of the control view that entries lack, once for all entries with the same
// versions. Configuration texts are sent as patches: with full texts, changing one weight made a
// control member send the whole document to each entry, and long documents delayed changes.
#pragma once

#include "state/Error.h"
#include "state/control/ControlState.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lavenderthread::protocol {

// Produces a configuration from the base version, or from nothing if `base` is 0.
struct ConfigurationPatch
{
    std::uint64_t base = 0;    // version of the configuration that the patch applies to
    std::uint64_t version = 0; // of the result
    std::string bytes;         // made by protocol::makeTextPatch

    auto operator<=>(const ConfigurationPatch &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->base, this->version, this->bytes);
    }
};

// Versions that an entry has in force.
struct InForceVersions
{
    std::uint64_t version = 0;
    std::uint64_t configuration = 0; // 0: none that a patch may apply to

    auto operator<=>(const InForceVersions &) const = default;
};

struct FeedContent
{
    // Encoded by protocol::encodeFeedPage, without the configuration's text.
    std::vector<std::string> pages;
    std::optional<ConfigurationPatch> configuration; // if the pages contain a new configuration

    auto operator<=>(const FeedContent &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->pages, this->configuration);
    }
};

// Encodes feed content and caches it per pair of versions that an entry has in force.
class FeedEncoder
{
public:
    // Must be called after each change of the state: a configuration that was never recorded can't
    // be the base of a patch.
    void recordView(const state::control::ControlView &view);
    // Records the state's view, then returns the changes that an entry with `held` lacks. The
    // reference is valid until the next call.
    const FeedContent &contentFor(const state::control::ControlState &state,
                                  const InForceVersions &held);

private:
    FeedContent encode(const state::control::ControlState &state,
                       const InForceVersions &held) const;
    ConfigurationPatch patchFrom(std::uint64_t base) const;

    std::uint64_t recordedVersion = 0; // version of the last recorded view
    std::deque<state::control::ConfigurationDocument> documents; // oldest first
    std::map<InForceVersions, FeedContent> encodedContents;      // cache for the recorded view
};

// Restores the control member's pages. `held` is the configuration in force on this entry. Errors:
// Corrupt; Conflict if the patch needs another base.
state::Result<std::vector<state::control::FeedPage>>
decodeFeedContent(const FeedContent &content, const state::control::ConfigurationDocument &held);

} // namespace lavenderthread::protocol
