// What one attempt to relay a request tells about its endpoint, the path to it and its stream.
#pragma once

#include "coordination/relay/FinalAnswer.h"
#include "coordination/relay/StreamHead.h"
#include "coordination/routing/EndpointHealth.h"
#include "protocol/HttpMessage.h"
#include "state/Error.h"
#include "state/Time.h"

#include <chrono>

namespace lavenderthread::program {

// `replaced`: another endpoint has the address.
coordination::routing::AttemptOutcome healthOf(coordination::relay::AttemptResult end,
                                               bool replaced);

// Whether a call that could not be opened, with so much time left, tells that the path is lost.
bool isPathFailure(const state::Error &error, std::chrono::milliseconds timeLeft);

// Whether a connection that failed after so long was refused or reset at once, which has cost the
// caller nothing.
bool isRefusedConnection(const state::Error &error, state::Duration after);

// Whether the request's head could not be written, which is logged. The endpoint, which may be
// sound, has no part in it.
bool isUnwritableHead(const state::Error &error);

coordination::relay::StreamHead streamHeadOf(unsigned status, const protocol::HttpHeaders &headers);

} // namespace lavenderthread::program
