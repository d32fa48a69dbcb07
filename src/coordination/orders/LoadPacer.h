// Limits the concurrent model loads and the bytes per second that they take from the rate-limited
// weight store.
#pragma once

#include "state/Time.h"

#include <algorithm>
#include <cstdint>

namespace lavenderthread::coordination::orders {

struct LoadPacerSettings
{
    std::uint64_t bytesPerSecond = 2'000'000'000;
    std::uint32_t concurrentLoads = 4;
};

class LoadPacer
{
public:
    explicit LoadPacer(LoadPacerSettings pacerSettings)
        : settings(pacerSettings)
    {}

    // A new leader does not know which loads its predecessor started, so it assumes one of `bytes`.
    void reset(std::uint64_t bytes, state::Instant now)
    {
        this->nextStart = now + this->loadDuration(bytes);
    }
    bool mayStart(std::uint32_t running, state::Instant now) const
    {
        return running < this->settings.concurrentLoads && now >= this->nextStart;
    }
    void started(std::uint64_t bytes, state::Instant now)
    {
        this->nextStart = std::max(this->nextStart, now) + this->loadDuration(bytes);
    }

private:
    state::Duration loadDuration(std::uint64_t bytes) const
    {
        constexpr double microseconds = 1e6;
        const double seconds =
                static_cast<double>(bytes) / static_cast<double>(this->settings.bytesPerSecond);
        return state::Duration(static_cast<std::int64_t>(seconds * microseconds));
    }

    LoadPacerSettings settings;
    state::Instant nextStart; // no load starts before this
};

} // namespace lavenderthread::coordination::orders
