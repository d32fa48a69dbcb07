// Log lines and counters of relayed requests.
#pragma once

#include "program/Metrics.h"
#include "program/RelayOutcome.h"
#include "state/Endpoint.h"
#include "state/RequestPart.h"

#include <string_view>
#include <vector>

namespace lavenderthread::program {

void countRelay(Metrics &metrics, const RelayOutcome &outcome);
// By framing and by how the answer ended; also bodies in which another answer's head was found.
void countAnswer(Metrics &metrics, const transport::AnswerReport &answer);
void logRelay(const RelayOutcome &outcome);
// The last attempt has ended without an answer for the caller; `event`: "attempt.lost" or
// "attempt.failed".
void logEndedAttempt(std::string_view event, const RelayOutcome &outcome,
                     const state::EndpointDescription &endpoint,
                     const std::vector<state::RequestPart> &parts, const AttemptProgress &progress);

// A replica that new requests avoid, since the last one failed there.
void logSuspected(const state::EndpointDescription &replica, std::string_view cause);
// A request that was handed to a peer, which did not answer it; `result` as the peer has told.
void logFailedPeer(const RelayOutcome &outcome, std::string_view result,
                   const AttemptProgress &progress);

} // namespace lavenderthread::program
