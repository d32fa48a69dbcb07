// Operators' configuration for calls that are relayed unchanged: routes by host and path, the
// services behind them, and the keys of client accounts.
#pragma once

#include "state/Ids.h"
#include "state/routes/EngineProfile.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavenderthread::state::routes {

enum class CallKind : std::uint8_t {
    Idempotent,    // may run several times
    NonIdempotent, // at most once for each request id
    Stream,        // answered by server-sent events; at most once unless the route is resumable
};

struct ServiceShare
{
    ServiceName service;
    std::uint32_t weight = 1;

    auto operator<=>(const ServiceShare &) const = default;
};

struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; // begins and ends with a slash
    CallKind kind = CallKind::NonIdempotent;
    bool resumable = false; // of a stream: a second endpoint may resume after any event
    bool anonymous = false; // needs no account key
    std::chrono::milliseconds timeout{};           // the caller is answered within this
    std::chrono::milliseconds firstAnswerTarget{}; // answer, or first event of a stream
    std::chrono::milliseconds pauseTarget{};       // between events of a stream; 0 if none is set
    std::uint8_t priority = 0;                     // 0 is the highest
    std::uint32_t attempts = 1; // maximum number of endpoints that one request is sent to
    std::vector<ServiceShare> services;

    // Whether a second endpoint may get the request although the first one may have run it.
    bool isRepeatable() const
    {
        return this->kind == CallKind::Idempotent
               || (this->kind == CallKind::Stream && this->resumable);
    }
    auto operator<=>(const Route &) const = default;
};

struct ServiceProfile
{
    ServiceName name;
    std::string healthPath;
    std::uint32_t connections = 0;       // that one endpoint accepts from all callers in total
    std::optional<EngineProfile> engine; // absent: a plain service
    // How long an endpoint is cold after it starts or gets traffic again.
    std::chrono::milliseconds coldTime{};
    // That a cold endpoint accepts from all entries together; 0: any rate.
    double coldRequestsPerSecond = 0;

    auto operator<=>(const ServiceProfile &) const = default;
};

struct RouteAccount
{
    ClientAccountId id;
    std::vector<std::string> keys;
    std::optional<std::uint8_t> priority; // overrides the route's priority

    auto operator<=>(const RouteAccount &) const = default;
};

// Limits on the size and the duration of a caller's request.
struct CallerLimits
{
    std::uint32_t headerBytes = 16U << 10U;
    std::uint64_t bodyBytes = 4U << 20U;
    std::chrono::milliseconds requestTimeout{3'000};
    std::chrono::milliseconds idleTimeout{15'000};

    auto operator<=>(const CallerLimits &) const = default;
};

} // namespace lavenderthread::state::routes
