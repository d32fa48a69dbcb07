// How much of this process' memory and descriptors callers, endpoints and peers may hold. Worked
// out from what the VM gives it, so that no number of them can end it.
#pragma once

#include "program/AnswerBuffers.h"
#include "program/Settings.h"
#include "transport/ConnectionPool.h"

#include <cstdint>

namespace lavenderthread::program {

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
