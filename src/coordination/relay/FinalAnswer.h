// Decides whether a relayed call may be retried, and how it is answered if no attempt brought a
// complete answer. The caller is told "not run" only if no endpoint has run the call.
#pragma once

#include <compare>
#include <cstdint>

namespace lavenderthread::coordination::relay {

// How one attempt at an endpoint ended.
enum class AttemptResult : std::uint8_t {
    Complete,  // the caller has the endpoint's complete answer
    NeverSent, // no byte of the request was sent
    NotRun,    // the endpoint reports that it has not run it
    Failed,    // the endpoint ran it and answered with a failure
    Lost,      // it may have run: broken off, no answer, or an answer to another request
};

// State of one call over all its attempts so far.
struct CallState
{
    bool repeatable = false;    // may run more than once
    std::uint32_t maxRuns = 1;  // maximum number of endpoints that may run it
    std::uint32_t runs = 0;     // attempts that ended Failed or Lost
    std::uint32_t refusals = 0; // attempts that ended NotRun
    std::uint32_t unsent = 0;   // attempts that ended NeverSent, without refused connections
    std::uint32_t refusedConnections = 0; // attempts that ended NeverSent within milliseconds
    std::uint32_t replaced = 0; // attempts at incarnations that had ended; not counted as refusals
    bool answerBegun = false;   // part of an answer has been sent to the caller
    bool deadlinePassed = false;
    bool callerGone = false;
    bool entryEnds = false; // nothing can be answered any more but what is known now

    auto operator<=>(const CallState &) const = default;
};

// Whether the call may be sent to another endpoint after an attempt that ended with `last`; never
// after a complete answer.
bool mayRetry(const CallState &facts, AttemptResult last);

// Whether the status that an endpoint answered may reach the caller, where the endpoint doesn't say
// that it has not run the call. To callers, some statuses promise that it has not run, and they
// send it again.
bool mayPassOn(const CallState &facts, unsigned status);

enum class FinalAnswer : std::uint8_t {
    None,           // the caller has gone
    Truncated,      // an answer has begun: end it so that the caller sees it is incomplete
    EndpointAnswer, // pass on the failure that an endpoint answered, unchanged
    NotRun,         // 503: no endpoint has run it or will run it
    Unknown,        // 502: it may have run
    Timeout,        // 504: it may have run, and the deadline has passed
};

// The answer to a call without a complete one. `hasEndpointAnswer`: an attempt ended Failed and its
// answer is kept.
FinalAnswer finalAnswer(const CallState &facts, bool hasEndpointAnswer);

} // namespace lavenderthread::coordination::relay
