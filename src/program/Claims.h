// The gate of non-idempotent calls: a claim on (account, key) is taken before dispatch, and what
// became of it is recorded. Who keeps the claims is behind the hooks.
#pragma once

#include "protocol/HttpMessage.h"
#include "state/Error.h"
#include "state/Ids.h"
#include "state/Time.h"

#include <boost/asio/awaitable.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace lavenderthread::program {

struct ClaimKey
{
    state::ClientAccountId account;
    std::string key; // the caller's Idempotency-Key

    auto operator<=>(const ClaimKey &) const = default;
};

enum class ClaimVerdict {
    Granted,    // this attempt, and no other ever, may dispatch the call
    Finished,   // it ran before; `result` is its answer
    Unknown,    // an attempt was dispatched or may have been, and its result is not known
    InProgress, // another attempt holds the claim right now
    Conflict,   // the same key came with another body
};

struct ClaimAnswer
{
    ClaimVerdict verdict = ClaimVerdict::Unknown;
    protocol::HttpResponse result;
};

struct ClaimGate
{
    // `body` is what the key stands for: method, target and body of the call. Errors (Unavailable,
    // Overloaded, Timeout): the claim was not granted to this attempt; nothing may be dispatched.
    std::function<boost::asio::awaitable<state::Result<ClaimAnswer>>(
            ClaimKey, std::string body, std::string attempt, state::Instant deadline)>
            take;
    // Asked right before the first byte goes out. False: the claim is no longer this attempt's, for
    // example because this process stood still for long.
    std::function<boost::asio::awaitable<bool>(ClaimKey, std::string attempt,
                                               state::Instant deadline)>
            beginDispatch;
    // Nothing was sent: the key is free again. True once that is recorded; only then was it "no".
    std::function<boost::asio::awaitable<bool>(ClaimKey, std::string attempt)> release;
    std::function<boost::asio::awaitable<void>(ClaimKey, std::string attempt,
                                               protocol::HttpResponse result)>
            finish;
};

// Claims kept in this process only: for a node alone, without control members.
ClaimGate makeLocalClaims();

} // namespace lavenderthread::program
