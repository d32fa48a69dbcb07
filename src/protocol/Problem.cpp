// Converts problems to JSON and to HTTP responses.
#include "protocol/Problem.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace lavenderthread::protocol {

std::string_view toString(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Unknown:
        return "unknown";
    case Ran::Yes:
        return "yes";
    }
    return "unknown";
}

std::string toJson(const Problem &problem)
{
    boost::json::object object{
            {"title", problem.title},
            {"status", problem.status},
            {"detail", problem.detail},
            {"ran", std::string(toString(problem.ran))},
    };
    if (problem.retryAfter)
        object["retry_after_ms"] = problem.retryAfter->count();
    return boost::json::serialize(object);
}

HttpResponse toResponse(const Problem &problem)
{
    HttpResponse response;
    response.status = problem.status;
    response.headers.add("Content-Type", "application/problem+json");
    if (problem.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*problem.retryAfter);
        response.headers.add("Retry-After", std::to_string(seconds.count()));
    }
    response.body = toJson(problem);
    return response;
}

} // namespace lavenderthread::protocol
