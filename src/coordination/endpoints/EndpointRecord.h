// The replicated record of one endpoint. Each part of a record is merged monotonically, so that all
// entries converge to the same record even if updates arrive late, duplicated or out of order.
#pragma once

#include "state/Endpoint.h"
#include "state/Time.h"
#include "state/log/LogEntry.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>

namespace lavenderthread::coordination::endpoints {

// Ordered: of two records with the same incarnation and version, the later phase wins. Left wins
// over any version of the same incarnation.
enum class EndpointPhase : std::uint8_t {
    Live,
    Held,    // announced, but gets no work for a while because it restarts too often
    Expired, // renewals stopped; a renewal of the same incarnation reactivates it
    Left,    // deregistered; only a new incarnation reactivates it, whatever the versions
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

// An operator's drain or undrain order, as committed in the replicated log. It applies across
// incarnations: a drained engine that restarts stays drained until an undrain is committed.
struct DrainMark
{
    state::log::LogPosition position; // log position of the order; the highest wins
    bool draining = false;

    auto operator<=>(const DrainMark &) const = default;
};

// That an endpoint became cold. Each entry counts the time that is left from its own receipt and
// sends on what is left then, so that a member that joins later doesn't count all of it again.
struct ColdMark
{
    // A longer time is a mistake of the endpoint.
    static constexpr std::uint32_t longestMs = 3'600'000;
    // A countdown that ends later by less than this goes on: the time on the way differs.
    static constexpr state::Duration tolerance = std::chrono::milliseconds(200);

    std::uint64_t incarnation = 0; // of the endpoint; 0: never cold
    std::uint32_t sequence = 0;    // incremented each time that this incarnation becomes cold
    std::uint32_t leftMs = 0;      // at the sender

    bool isNewerThan(const ColdMark &other) const
    {
        return std::pair(this->incarnation, this->sequence)
               > std::pair(other.incarnation, other.sequence);
    }
    auto operator<=>(const ColdMark &) const = default;
};

// Immutable. The lifecycle part (all but `id`, `drain` and `cold`) is written by the endpoint's
// home entry node, or by its owner when the home is gone; the drain part follows the replicated
// log. The cold part is written by any entry that receives a renewal which says so.
struct EndpointRecord
{
    state::EndpointId id;
    std::uint64_t incarnation = 0;        // 0: never announced, only a drain mark is known
    std::uint32_t version = 0;            // incremented with each change of the lifecycle part
    std::uint32_t descriptionVersion = 0; // `version` when the description last changed
    EndpointPhase phase = EndpointPhase::Expired;
    state::VmId home; // the entry that receives its renewals
    DrainMark drain;
    // Null in the short form, which carries only a change of phase, home or drain mark. Shared, so
    // that all published views hold the same copy.
    std::shared_ptr<const state::EndpointDescription> description;
    ColdMark cold; // without effect unless it is of this incarnation

    bool isUsable() const;                         // may get new work
    bool operator==(const EndpointRecord &) const; // descriptions by value
};

// Whether the endpoint gets no new work because it deregistered or an operator drained it.
bool stopsNewWork(const EndpointRecord &record);

// Whether the lifecycle part of `next` is newer than that of `known`.
bool hasNewerLifecycle(const EndpointRecord &next, const EndpointRecord &known);

struct MergeResult
{
    EndpointRecord record;
    bool changed = false;
    bool updateIsOlder = false; // the sender should be sent `known`
    bool descriptionChanged = false;
    bool coldChanged = false; // the endpoint became cold
    bool left = false;        // the incarnation has left, which was not known before
};

// A short-form `update` is applied only to the description version that it was made from; otherwise
// an entry could keep the newest version with an outdated list of models forever. Left is
// applied to any description, also to that of an earlier incarnation: the description of an
// endpoint that left is never read, and the announcement of that incarnation may still be in
// transit.
MergeResult merge(const EndpointRecord &known, const EndpointRecord &update);

// Hash of the record. The description is covered by its version instead of its content.
std::uint64_t fingerprint(const EndpointRecord &record);

// Upper bound of the encoded size, in bytes.
std::size_t wireBytes(const EndpointRecord &record);

} // namespace lavenderthread::coordination::endpoints
