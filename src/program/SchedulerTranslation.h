// Between the relays' words and the dispatcher's, and what the log says of the dispatcher's
// decisions.
#pragma once

#include "coordination/admission/Events.h"
#include "program/Scheduler.h"
#include "protocol/Problem.h"

namespace lavenderthread::program {

coordination::admission::CompletionRequest toAdmission(const ScheduledRequest &request);

// The answer to a caller that was refused.
protocol::Problem problemOf(const coordination::admission::Refuse &refusal);

// One line a decision, with what it saw of the fleet: request.placed and request.refused.
void logPlacement(const coordination::admission::Dispatch &action);
void logRefusal(const coordination::admission::Refuse &action, const protocol::Problem &problem);

} // namespace lavenderthread::program
