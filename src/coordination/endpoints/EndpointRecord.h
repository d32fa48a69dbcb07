// What all entries know of one endpoint. A record is merged part by part, only upward, so that news
// may come late, doubled and crossed and every entry still ends with the same record.
#pragma once

#include "state/Endpoint.h"
#include "state/log/LogEntry.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace lavenderthread::coordination::endpoints {

// Ordered: of two records with equal incarnation and version the later phase wins; Left wins over
// any version.
enum class EndpointPhase : std::uint8_t {
    Live,
    Held,    // announced, but restarted so often that it gets no work for a while
    Expired, // its renewals stopped; a renewal of the same incarnation brings it back
    Left,    // it said so; only a new incarnation brings it back, whatever the versions
};

constexpr std::string_view toString(EndpointPhase phase)
{
    switch (phase) {
    case EndpointPhase::Live:
        return "live";
    case EndpointPhase::Held:
        return "held";
    case EndpointPhase::Expired:
        return "expired";
    case EndpointPhase::Left:
        return "left";
    }
    return "unknown";
}

// An operator's drain or undrain, as committed in the replicated log. Outlives the endpoint's
// incarnation: a drained engine that is restarted stays drained until an undrain is committed.
struct DrainMark
{
    state::log::LogPosition position; // the order's; a higher one wins
    bool draining = false;

    auto operator<=>(const DrainMark &) const = default;
};

// Immutable. The life part (incarnation to description) is written by the endpoint's home entry,
// or by its owner when the home is gone; the drain part follows the replicated log.
struct EndpointRecord
{
    state::EndpointId id;
    std::uint64_t incarnation = 0;        // 0: never announced, only a drain mark is known
    std::uint32_t version = 0;            // grows with each change of the life part
    std::uint32_t descriptionVersion = 0; // the version at which the description last changed
    EndpointPhase phase = EndpointPhase::Expired;
    state::VmId home; // the entry that takes its renewals
    DrainMark drain;
    // Null in the short form that spreads a change of phase, home or drain mark. Shared, so that
    // every published view holds the same copy.
    std::shared_ptr<const state::EndpointDescription> description;

    bool isUsable() const;                         // may get new work
    bool operator==(const EndpointRecord &) const; // descriptions by value
};

// Whether the record tells that the endpoint gets no more work from now on, as it or an operator
// has said.
bool endsWork(const EndpointRecord &record);

// Whether the life part of `next` is newer than that of `known`.
bool livesLater(const EndpointRecord &next, const EndpointRecord &known);

struct MergeResult
{
    EndpointRecord record;
    bool changed = false;
    bool newsIsOlder = false; // the sender should learn of `known`
    bool descriptionChanged = false;
};

// `news` in its short form is applied only on top of the description that it was made from; else
// an entry could keep the newest version with an outdated list of models for good. Left is applied
// on any, also on that of an earlier life: nobody reads the description of what has left, and the
// announcement of that life may still be on its way.
MergeResult merge(const EndpointRecord &known, const EndpointRecord &news);

// Covers everything but the description's text, which its version stands for.
std::uint64_t fingerprint(const EndpointRecord &record);

// Upper bound of the encoded size.
std::size_t wireBytes(const EndpointRecord &record);

} // namespace lavenderthread::coordination::endpoints
