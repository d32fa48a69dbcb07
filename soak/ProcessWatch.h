// What a process holds, as the system tells: resident memory, open descriptors, and the bytes that
// wait in its sockets.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace lavenderthread::soak {

struct ProcessUse
{
    std::uint64_t residentBytes = 0;
    std::uint64_t peakResidentBytes = 0; // since its start
    std::uint64_t descriptors = 0;
    std::uint64_t socketBytes = 0; // received and not read, or written and not acknowledged

    auto operator<=>(const ProcessUse &) const = default;
};

// `ip`: the local address of its sockets, which no other process uses. All zero if it does not run.
ProcessUse useOf(pid_t process, const std::string &ip);

} // namespace lavenderthread::soak
