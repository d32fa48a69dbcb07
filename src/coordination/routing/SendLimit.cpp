#include "coordination/routing/SendLimit.h"

#include <algorithm>
#include <cmath>

namespace lavenderthread::coordination::routing {

namespace {

// An endpoint that accepts nothing is still asked now and then, or nobody would learn that its
// limit has ended.
constexpr double lowestRate = 0.05;
// The entries' next sends are spread over at least this time, which is long beside the delay of a
// report, and over the time of one token.
constexpr double shortestSpreadSeconds = 0.5;
// Beside the reserve, the bucket holds what arrives in this time.
constexpr double burstSeconds = 0.25;
// Sends that were not coordinated, such as those of a peer that did not know the limit, are made up
// for over at most this time.
constexpr double longestDebtSeconds = 4;

double secondsBetween(state::Instant from, state::Instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

SendLimit::SendLimit(double perSecond, state::Instant now, std::uint64_t seed)
    : rate(std::max(perSecond, lowestRate))
    , updatedAt(now)
    , random(static_cast<std::minstd_rand::result_type>(seed))
{
    this->drawReserve();
}

double SendLimit::spreadTokens() const
{
    return std::max(1.0, this->rate * shortestSpreadSeconds);
}

double SendLimit::capacity() const
{
    return 1 + this->spreadTokens() + this->rate * burstSeconds;
}

double SendLimit::tokensAt(state::Instant now) const
{
    const double elapsed = std::max(0.0, secondsBetween(this->updatedAt, now));
    return std::min(this->capacity(), this->tokens + elapsed * this->rate);
}

void SendLimit::setRate(double perSecond, state::Instant now)
{
    const double next = std::max(perSecond, lowestRate);
    if (next == this->rate)
        return;
    this->tokens = this->tokensAt(now);
    this->updatedAt = std::max(this->updatedAt, now);
    this->rate = next;
    this->tokens = std::min(this->tokens, this->capacity());
    this->drawReserve();
}

void SendLimit::drawReserve()
{
    this->reserve = std::uniform_real_distribution<double>(0, this->spreadTokens())(this->random);
}

std::size_t SendLimit::available(state::Instant now) const
{
    const double left = this->tokensAt(now) - this->reserve;
    return left < 1 ? 0 : static_cast<std::size_t>(left);
}

state::Instant SendLimit::nextSend(state::Instant now) const
{
    const double missing = 1 + this->reserve - this->tokensAt(now);
    if (missing <= 0)
        return now;
    return now
           + std::chrono::ceil<state::Duration>(
                   std::chrono::duration<double>(missing / this->rate));
}

void SendLimit::recordSend(state::Instant now)
{
    this->tokens = std::max(this->tokensAt(now) - 1, -longestDebtSeconds * this->rate - 1);
    this->updatedAt = std::max(this->updatedAt, now);
    this->drawReserve();
}

} // namespace lavenderthread::coordination::routing
