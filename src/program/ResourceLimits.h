// How much of this process' memory and descriptors callers, endpoints and peers may hold. Worked
// out from what the VM gives it, so that no number of them can end it.
#pragma once

#include "program/AnswerBuffers.h"
#include "program/Settings.h"
#include "transport/ConnectionPool.h"

#include <chrono>
#include <cstdint>

namespace lavenderthread::program {

// For callers for whose requests there is no room: what holds it ends or is closed by then.
constexpr std::chrono::milliseconds retryWithoutRoom{1'000};
// Of requests that need no body.
constexpr std::uint64_t questionBodyBytes = 16U << 10U;

struct ResourceLimits
{
    transport::ConnectionPool::Settings connections;
    AnswerBuffers::Settings answers;

    // `descriptors`: that the process may open.
    static ResourceLimits of(std::uint64_t memoryMb, std::uint64_t descriptors);
    // The descriptors are the system's limit where the settings name none.
    static ResourceLimits of(const Settings &settings);
};

} // namespace lavenderthread::program
