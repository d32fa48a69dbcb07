// Parses and checks the callers' headers (deadline, work class) and builds the answer to an invalid
// request.
#pragma once

#include "protocol/HttpMessage.h"
#include "protocol/Problem.h"
#include "state/Error.h"
#include "state/Ids.h"

#include <chrono>

namespace lavenderthread::program {

// The `Deadline-Ms` header, 1 to 86 400 000, or `standard` if absent. Error: InvalidArgument.
state::Result<std::chrono::milliseconds> deadlineOf(const protocol::HttpRequest &request,
                                                    std::chrono::milliseconds standard);

// The `Work-Class` header; "default" if it is absent, empty or too long.
state::WorkClass workClassOf(const protocol::HttpRequest &request);

// Status 400, or 401 for an invalid seal; says that the request has not run.
protocol::Problem invalidRequest(const state::Error &error);

} // namespace lavenderthread::program
