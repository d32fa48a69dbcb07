#include "program/RelayAttempt.h"

#include "program/Log.h"
#include "transport/HttpClient.h"

namespace lavenderthread::program {

using coordination::relay::AttemptResult;
using coordination::routing::AttemptOutcome;

namespace {

// A connection that is not made in this time tells something about the path.
constexpr std::chrono::milliseconds conclusiveConnectTime{300};
constexpr std::chrono::milliseconds refusedConnectionTime{50};

} // namespace

AttemptOutcome healthOf(AttemptResult end, bool replaced)
{
    if (end == AttemptResult::Complete)
        return AttemptOutcome::Succeeded;
    if (end == AttemptResult::NotRun && replaced)
        return AttemptOutcome::Replaced;
    return end == AttemptResult::NeverSent ? AttemptOutcome::Unreachable : AttemptOutcome::Failed;
}

// Silence, a withdrawal and a head that can't be written say nothing about the path: a healthy
// endpoint may be slow, and the caller's deadline may end a connection early.
bool isPathFailure(const state::Error &error, std::chrono::milliseconds timeLeft)
{
    if (error.code == state::ErrorCode::Timeout)
        return error.step == transport::connectStep && timeLeft >= conclusiveConnectTime;
    return error.code != state::ErrorCode::Cancelled && error.step != transport::encodeStep;
}

bool isRefusedConnection(const state::Error &error, state::Duration after)
{
    return error.step == transport::connectStep && error.code == state::ErrorCode::Unavailable
           && after <= refusedConnectionTime;
}

bool isUnwritableHead(const state::Error &error)
{
    const bool unwritable = error.step == transport::encodeStep;
    if (unwritable)
        logError("relay.head-unwritable", error);
    return unwritable;
}

coordination::relay::StreamHead streamHeadOf(unsigned status, const protocol::HttpHeaders &headers)
{
    return coordination::relay::StreamHead::of(status, headers.find("Content-Type"));
}

} // namespace lavenderthread::program
