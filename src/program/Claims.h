// The interface that makes non-idempotent calls run at most once: a claim on (account, key) is
// taken before dispatch, and its outcome is recorded. The functions hide where the claims are
// stored.
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
    Granted,    // only this attempt, and never another, may dispatch the call
    Finished,   // the call has already run; `result` is its answer
    Unknown,    // an attempt was or may have been dispatched, and its result is not known
    InProgress, // another attempt holds the claim right now
    Conflict,   // the key was used before with another body
};

struct ClaimAnswer
{
    ClaimVerdict verdict = ClaimVerdict::Unknown;
    protocol::HttpResponse result;
};

struct ClaimGate
{
    // `body` identifies the call behind the key: its method, target and body. Errors (Unavailable,
    // Overloaded, Timeout): the claim was not granted to this attempt; nothing may be dispatched.
    std::function<boost::asio::awaitable<state::Result<ClaimAnswer>>(
            ClaimKey, std::string body, std::string attempt, state::Instant deadline)>
            take;
    // Called right before the first byte is sent. False: this attempt no longer holds the claim,
    // for example because the process was paused for long.
    std::function<boost::asio::awaitable<bool>(ClaimKey, std::string attempt,
                                               state::Instant deadline)>
            beginDispatch;
    // Nothing was sent: frees the key. True once that is recorded; only then may the caller be told
    // that the call did not run ("no").
    std::function<boost::asio::awaitable<bool>(ClaimKey, std::string attempt)> release;
    std::function<boost::asio::awaitable<void>(ClaimKey, std::string attempt,
                                               protocol::HttpResponse result)>
            finish;
};

// Claims kept in this process only: for a single node without control members.
ClaimGate makeLocalClaims();

} // namespace lavenderthread::program
