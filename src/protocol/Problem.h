// Error responses to callers: application/problem+json with the additional member `ran`.
#pragma once

#include "protocol/HttpMessage.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderthread::protocol {

// Whether the request was executed. `No` is reported only when it is certain: no byte of the
// request was sent to an endpoint.
enum class Ran { No, Unknown, Yes };

std::string_view toString(Ran ran);

struct Problem
{
    unsigned status = 500;
    std::string title;  // short and stable; callers may match on it
    std::string detail; // one human-readable sentence
    Ran ran = Ran::No;
    std::optional<std::chrono::milliseconds> retryAfter; // delay before a retry

    bool operator==(const Problem &) const = default;
};

// {"title","status","detail","ran","retry_after_ms"}
std::string toJson(const Problem &problem);
// Sets Retry-After, in whole seconds rounded up, if the problem has a retry delay.
HttpResponse toResponse(const Problem &problem);

} // namespace lavenderthread::protocol
