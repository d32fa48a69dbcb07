// What a relayed call is answered when no attempt brought a whole answer, and whether another
// attempt may follow. The table in which "not run" stays true.
#pragma once

#include <compare>
#include <cstdint>

namespace lavenderthread::coordination::relay {

// How one attempt at an endpoint ended.
enum class AttemptEnd : std::uint8_t {
    Whole,     // the caller has the endpoint's whole answer
    NeverSent, // no byte of the request has left
    NotRun,    // the endpoint says that it has not run it
    Failed,    // the endpoint ran it and answered a failure of its own
    Lost,      // it may have run: cut, silent, or an answer that is none to this request
};

// Of one call over all its attempts so far.
struct CallFacts
{
    bool repeatable = false;       // may run more than once
    std::uint32_t allowedRuns = 1; // endpoints that it may be run on
    std::uint32_t runs = 0;        // attempts that ended Failed or Lost
    std::uint32_t refusals = 0;    // that ended NeverSent or NotRun
    bool answerBegun = false;      // some of an answer has gone to the caller
    bool timeIsOver = false;
    bool callerGone = false;

    auto operator<=>(const CallFacts &) const = default;
};

// Whether the call may be handed to another endpoint after an attempt that did not end Whole.
bool mayTryAgain(const CallFacts &facts, AttemptEnd last);

enum class FinalAnswer : std::uint8_t {
    None,           // nobody is there to read one
    Cut,            // the answer has begun: it ends visibly unfinished
    EndpointAnswer, // the failure that an endpoint gave, as it gave it
    NotRun,         // 503: no endpoint has run it, and none will
    Unknown,        // 502: it may have run
    Timeout,        // 504: nothing is promised
};

// `hasEndpointAnswer`: some attempt ended Failed and its answer is kept.
FinalAnswer finalAnswer(const CallFacts &facts, bool hasEndpointAnswer);

} // namespace lavenderthread::coordination::relay
