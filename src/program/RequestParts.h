// The parts of a request: what it may have in common with other requests under which an endpoint
// has ended.
#pragma once

#include "protocol/HttpMessage.h"
#include "state/RequestPart.h"

#include <string_view>
#include <vector>

namespace lavenderthread::program {

// A digest of the whole request, then the parts of its prompt or, without these, a digest of its
// body if there is one. They are the same when a caller sends the request again: headers don't
// count, as ids and time limits differ. The target is no part by itself: most requests share it.
std::vector<state::RequestPart> partsOf(const protocol::HttpRequest &request, std::string_view host,
                                        const std::vector<state::RequestPart> &promptParts);

} // namespace lavenderthread::program
