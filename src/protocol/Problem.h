// Refusals and failures towards callers: application/problem+json with the member `ran`.
#pragma once

#include "protocol/HttpMessage.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderthread::protocol {

// What the caller may conclude about its request. `No` is said only when it is certain: no byte of
// the request was handed to an endpoint.
enum class Ran { No, Unknown, Yes };

std::string_view toString(Ran ran);

struct Problem
{
    unsigned status = 500;
    std::string title;  // short and stable, callers may compare it
    std::string detail; // one sentence for a person
    Ran ran = Ran::No;
    std::optional<std::chrono::milliseconds> retryAfter; // when to come back

    bool operator==(const Problem &) const = default;
};

// {"title","status","detail","ran","retry_after_ms"}
std::string toJson(const Problem &problem);
// With Retry-After in whole seconds, rounded up, when the problem has one.
HttpResponse toResponse(const Problem &problem);

} // namespace lavenderthread::protocol
