// The bounds of the wait after a start.
#include "coordination/routing/EndpointArrivals.h"

namespace lavenderthread::coordination::routing {

namespace {

// A dozen endpoints that each announce themselves once a second come closer together.
constexpr state::Duration longestGap = std::chrono::milliseconds(100);
// About the first-answer target of brief requests: they may wait this long once, after a start.
constexpr state::Duration longestGrowth = std::chrono::milliseconds(300);

} // namespace

void EndpointArrivals::update(std::size_t count, state::Instant now)
{
    if (count > this->known) {
        this->lastAt = now;
        if (this->firstAt == state::Instant{})
            this->firstAt = now;
    }
    this->known = count;
}

bool EndpointArrivals::isGrowing(state::Instant now) const
{
    return this->firstAt != state::Instant{} && now < this->firstAt + longestGrowth
           && now < this->lastAt + longestGap;
}

} // namespace lavenderthread::coordination::routing
