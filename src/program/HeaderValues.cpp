// Parsers for the callers' headers.
#include "program/HeaderValues.h"

#include <charconv>

namespace lavenderthread::program {

namespace {

constexpr std::int64_t longestDeadlineMs = 86'400'000;

} // namespace

state::Result<std::chrono::milliseconds> deadlineOf(const protocol::HttpRequest &request,
                                                    std::chrono::milliseconds standard)
{
    const auto header = request.headers.find("Deadline-Ms");
    if (!header)
        return standard;
    std::int64_t value = 0;
    const auto [end, problem] =
            std::from_chars(header->data(), header->data() + header->size(), value);
    if (problem != std::errc() || end != header->data() + header->size() || value < 1
        || value > longestDeadlineMs)
        return state::makeError(state::ErrorCode::InvalidArgument, "header.deadline",
                                "Deadline-Ms: expected an integer from 1 to 86400000");
    return std::chrono::milliseconds(value);
}

state::WorkClass workClassOf(const protocol::HttpRequest &request)
{
    constexpr std::size_t longest = 64;
    const auto header = request.headers.find("Work-Class");
    if (!header || header->empty() || header->size() > longest)
        return state::WorkClass("default");
    return state::WorkClass(std::string(*header));
}

protocol::Problem invalidRequest(const state::Error &error)
{
    const bool unauthorized = error.code == state::ErrorCode::Unauthorized;
    return {unauthorized ? 401U : 400U, unauthorized ? "unauthorized" : "invalid-request",
            error.cause, protocol::Ran::No, std::nullopt};
}

} // namespace lavenderthread::program
