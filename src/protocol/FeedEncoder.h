// What entries lack of the control view, encoded once for all that lack the same. Texts of
// configurations go as patches: with whole texts, one changed weight cost a control member the
// document for each entry, and changes were late where documents are long.
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

// Turns one configuration into another, or into the other whole (base = 0).
struct ConfigurationPatch
{
    std::uint64_t base = 0;    // version of the configuration that it applies to
    std::uint64_t version = 0; // of the result
    std::string bytes;         // protocol::makeTextPatch

    auto operator<=>(const ConfigurationPatch &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->base, this->version, this->bytes);
    }
};

// What an entry has in force.
struct HeldView
{
    std::uint64_t version = 0;
    std::uint64_t configuration = 0; // 0: none that a patch may apply to

    auto operator<=>(const HeldView &) const = default;
};

struct FeedContent
{
    std::vector<std::string> pages; // protocol::encodeFeedPage, without the configuration's text
    std::optional<ConfigurationPatch> configuration; // if the pages tell of another one

    auto operator<=>(const FeedContent &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->pages, this->configuration);
    }
};

class FeedEncoder
{
public:
    // Call after each change of the state: a configuration that was never noted can't be the base
    // of a patch.
    void note(const state::control::ControlView &view);
    // Of the state that was noted last.
    const FeedContent &contentFor(const state::control::ControlState &state, const HeldView &held);

private:
    FeedContent encode(const state::control::ControlState &state, const HeldView &held) const;
    ConfigurationPatch patchFrom(std::uint64_t base) const;

    std::uint64_t noted = 0;                                     // version of the view
    std::deque<state::control::ConfigurationDocument> documents; // oldest first
    std::map<HeldView, FeedContent> encoded;                     // of the noted view
};

// The pages as the control member had them. `held`: the configuration in force here. Errors:
// Corrupt; Conflict if the patch needs another base.
state::Result<std::vector<state::control::FeedPage>>
decodeFeedContent(const FeedContent &content, const state::control::ConfigurationDocument &held);

} // namespace lavenderthread::protocol
