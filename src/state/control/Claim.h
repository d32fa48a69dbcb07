// A claim on a non-idempotent request: the right of one attempt to run it, and what came of it.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::state::control {

// SHA-256 cut to 128 bits. Not a fast hash: callers choose the text, and one who could make two
// keys meet would be told of another's request.
struct Digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    static Digest of(std::string_view bytes);
    auto operator<=>(const Digest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->high, this->low);
    }
};

// Which request: account and idempotency key, as one digest so that a claim stays small.
struct ClaimId
{
    Digest digest;

    static ClaimId of(const ClientAccountId &account, std::string_view idempotencyKey);
    auto operator<=>(const ClaimId &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->digest);
    }
};

// Which attempt holds it. Two attempts never share all three.
struct ClaimHolder
{
    VmId entry;
    std::uint64_t entryIncarnation = 0; // grows with each start of the entry
    RequestId attempt;

    auto operator<=>(const ClaimHolder &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->entry, this->entryIncarnation, this->attempt);
    }
};

enum class ClaimState : std::uint8_t {
    Held,       // taken; not one byte may be sent before Dispatched is committed
    Dispatched, // the holder may have sent it; runs at most this once
    Finished,   // ran; the result is kept for resends
    Unknown,    // the holder was lost, or its time passed, after dispatch
    Released,   // did not run and never will under that attempt; another attempt may take it
};

struct ClaimResult
{
    std::uint16_t status = 0; // HTTP status that the endpoint gave
    std::string contentType;
    std::string body;
    bool bodyKept =
            true; // false: too large to keep; a resend is told that it ran, without the body

    auto operator<=>(const ClaimResult &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->status, this->contentType, this->body, this->bodyKept);
    }
};

// Control time: the sum of the steps that leaders committed. It never runs ahead of real time, so a
// claim lives at least as long as promised, whatever any VM's wall clock says.
using ControlTime = Duration;

struct Claim
{
    ClaimId id;
    ClientAccountId account;
    Digest body; // of the request's method, path and body
    ClaimHolder holder;
    ClaimState state = ClaimState::Held;
    ControlTime openUntil{}; // Held is released, Dispatched becomes Unknown
    ControlTime keepUntil{}; // forgotten after this; only set once it is decided
    std::optional<ClaimResult> result;
    // Released attempts of this key, the latest last: a late copy of their commands is refused.
    std::vector<ClaimHolder> formerHolders;

    auto operator<=>(const Claim &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->account, this->body, this->holder, this->state, this->openUntil,
                this->keepUntil, this->result, this->formerHolders);
    }
};

} // namespace lavenderthread::state::control

template <>
struct std::hash<lavenderthread::state::control::ClaimId>
{
    std::size_t operator()(const lavenderthread::state::control::ClaimId &id) const noexcept
    {
        return id.digest.low; // already uniform
    }
};
