// A claim on a non-idempotent request: the right of one attempt to run it, and the outcome.
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

// SHA-256 truncated to 128 bits. A fast, non-cryptographic hash is not safe here: callers choose
// the text, and a caller who found a collision would receive the outcome of another caller's
// request.
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

// Identifies a request: one digest of account and idempotency key, which keeps claims small.
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

// Identifies the attempt that holds a claim. No two attempts have the same three values.
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
    Held,       // taken; no byte may be sent before Dispatched is committed
    Dispatched, // the holder may have sent the request; it runs at most this once
    Finished,   // ran; the result is kept for resends
    Unknown,    // the holder was lost, or its deadline passed, after dispatch
    Released,   // this attempt did not run and never will; another attempt may take the claim
};

struct ClaimResult
{
    std::uint16_t status = 0; // HTTP status of the endpoint's answer
    std::string contentType;
    std::string body;
    bool bodyKept = true; // false: the body was too large to keep; a resend learns that it ran,
                          // without the body

    auto operator<=>(const ClaimResult &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->status, this->contentType, this->body, this->bodyKept);
    }
};

// Control time: the sum of the time steps that leaders committed. It never runs ahead of real time,
// so a claim lives at least as long as promised, independent of the wall clock of any VM.
using ControlTime = Duration;

struct Claim
{
    ClaimId id;
    ClientAccountId account;
    Digest body; // of the request's method, path and body
    ClaimHolder holder;
    ClaimState state = ClaimState::Held;
    ControlTime openUntil{}; // then Held becomes Released, and Dispatched becomes Unknown
    ControlTime keepUntil{}; // removed after this; only set once the claim is decided
    std::optional<ClaimResult> result;
    // Released attempts of this key, oldest first: a late copy of their commands is refused.
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
        return id.digest.low; // a digest is already uniformly distributed
    }
};
