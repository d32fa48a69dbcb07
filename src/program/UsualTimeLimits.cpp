#include "program/UsualTimeLimits.h"

#include <algorithm>

namespace lavenderthread::program {

bool UsualTimeLimits::isReturning(const std::string &route, std::chrono::milliseconds timeLeft)
{
    const std::lock_guard lock(this->mutex);
    const auto known = this->most.find(route);
    if (known == this->most.end()) {
        if (this->most.size() < mostRoutes)
            this->most.emplace(route, timeLeft);
        return false;
    }
    known->second = std::max(known->second, timeLeft);
    return double(timeLeft.count()) < double(known->second.count()) * returningShare;
}

} // namespace lavenderthread::program
