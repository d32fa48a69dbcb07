// What callers say in headers, checked: deadline, work class; and the answer when it is wrong.
#pragma once

#include "protocol/HttpMessage.h"
#include "protocol/Problem.h"
#include "state/Error.h"
#include "state/Ids.h"

#include <chrono>

namespace lavenderthread::program {

// `Deadline-Ms`, 1 to 86 400 000, or `standard`. Error: InvalidArgument.
state::Result<std::chrono::milliseconds> deadlineOf(const protocol::HttpRequest &request,
                                                    std::chrono::milliseconds standard);

// `Work-Class`, "default" if absent.
state::WorkClass workClassOf(const protocol::HttpRequest &request);

// 400, 401 for a bad seal; the request has not run.
protocol::Problem invalidRequest(const state::Error &error);

} // namespace lavenderthread::program
