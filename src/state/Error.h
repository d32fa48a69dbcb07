// Typed errors and the Result that carries them. Every fallible function of the project returns
// Result<T>; an error contains what went wrong (code), at which step, with which peer, and why.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/try.hpp>

#include <compare>
#include <string>
#include <string_view>

namespace lavenderthread::state {

// Kind of failure. Callers branch on this and on nothing else.
enum class ErrorCode {
    InvalidArgument, // the input violates its documented format or range
    NotFound,
    AlreadyExists,
    Conflict,    // compare-and-set failed, or the same id was used with other content
    NotLeader,   // ask another control member
    Unavailable, // the peer can't be reached or refuses temporarily
    Timeout,
    Overloaded,    // refused by admission control; the request did not run
    Corrupt,       // stored or received bytes fail their check
    StorageFailed, // write or sync failed; nothing was acknowledged
    Unauthorized,
    Unsupported, // unknown version or kind
    Cancelled,
    Internal,
};

std::string_view toString(ErrorCode code);

// Immutable; build it with makeError.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string step;  // the operation that failed, for example "settings.read"
    std::string peer;  // address, file or node that the step failed with; empty if none
    std::string cause; // one readable sentence

    auto operator<=>(const Error &) const = default;

    // For log lines: "code=NotFound step=settings.read peer=a.json cause=…".
    std::string describe() const;
    Error withStep(std::string newStep) const;
    Error withPeer(std::string newPeer) const;
};

template <typename T>
using Result =
        BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error,
                                                 BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

Error makeError(ErrorCode code, std::string step, std::string cause, std::string peer = {});

} // namespace lavenderthread::state
