// The parts of a request: what it may have in common with other requests under which an endpoint
// has ended.
#pragma once

#include "protocol/HttpMessage.h"
#include "state/RequestPart.h"

#include <string_view>
#include <vector>

namespace lavenderthread::program {

// Digests of the whole request, of method, host and target, and of the body if there is one; then
// the parts of the prompt. They are the same when a caller sends the request again: headers don't
// count, as ids and time limits differ.
std::vector<state::RequestPart> partsOf(const protocol::HttpRequest &request, std::string_view host,
                                        const std::vector<state::RequestPart> &promptParts);

} // namespace lavenderthread::program
