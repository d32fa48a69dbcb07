// Which callers have come back after a refusal, by the time that they have left.
#pragma once

#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_map>

namespace lavenderthread::program {

// A caller who tries again has used up a part of the time that it gave its request, and says so
// with the new one. Callers of a route give much the same, so the most that was seen there is what
// they start with. Thread safe.
class UsualTimeLimits
{
public:
    // Takes note of what this caller has left, too.
    bool isReturning(const std::string &route, std::chrono::milliseconds timeLeft);

private:
    // Callers come back after two seconds or more of ten to fifteen; networks take less than 1%.
    static constexpr double returningShare = 0.9;
    // Beyond these nobody is taken to return.
    static constexpr std::size_t mostRoutes = 10'000;

    std::mutex mutex;
    std::unordered_map<std::string, std::chrono::milliseconds> most; // seen, by route
};

} // namespace lavenderthread::program
