// Converts between the types of the relays and of the dispatcher, and logs the dispatcher's
// decisions.
#pragma once

#include "coordination/admission/Events.h"
#include "program/Scheduler.h"
#include "protocol/Problem.h"

namespace lavenderthread::program {

coordination::admission::CompletionRequest toAdmission(const ScheduledRequest &request);

// The error that a refused caller is answered with.
protocol::Problem problemOf(const coordination::admission::Refuse &refusal);

// Log one line per decision, with the state of the fleet that it was based on: the events
// request.placed, request.refused and request.deferred.
void logPlacement(const coordination::admission::Dispatch &action);
void logRefusal(const coordination::admission::Refuse &action, const protocol::Problem &problem);
void logDeferral(const coordination::admission::Deferred &action, state::Instant now);

} // namespace lavenderthread::program
