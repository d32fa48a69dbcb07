#include "NamedLimit.h"

#include <algorithm>

namespace lavenderthread::soak {

namespace {

constexpr state::Duration window = std::chrono::seconds(4);
constexpr state::Duration contactTime = std::chrono::seconds(3); // all entries know the limit then
constexpr double toleratedFactor = 1.5;
constexpr double toleratedRequests = 5;

} // namespace

void NamedLimit::set(std::optional<double> perSecond, state::Instant at)
{
    this->namings.push_back({at, perSecond});
}

std::optional<double> NamedLimit::current() const
{
    return this->namings.empty() ? std::nullopt : this->namings.back().perSecond;
}

void NamedLimit::recordArrival(state::Instant at)
{
    if (!this->namings.empty())
        this->arrivals.push_back(at);
}

std::optional<double> NamedLimit::allowedBetween(state::Instant from, state::Instant to) const
{
    double allowed = 0;
    for (std::size_t index = 0; index < this->namings.size(); ++index) {
        const Naming &naming = this->namings[index];
        const state::Instant until =
                index + 1 < this->namings.size() ? this->namings[index + 1].since : to;
        const state::Instant begin = std::max(naming.since, from);
        const state::Instant end = std::min(until, to);
        if (begin >= end)
            continue;
        if (!naming.perSecond)
            return std::nullopt;
        allowed += *naming.perSecond * std::chrono::duration<double>(end - begin).count();
    }
    return allowed * toleratedFactor + toleratedRequests;
}

std::optional<std::string> NamedLimit::violation() const
{
    if (this->namings.empty())
        return std::nullopt;
    const state::Instant counted = this->namings.front().since + contactTime;
    auto first = std::ranges::lower_bound(this->arrivals, counted);
    for (auto last = first; last != this->arrivals.end(); ++last) {
        while (*first + window <= *last)
            ++first;
        const auto count = std::size_t(last - first) + 1;
        const std::optional<double> allowed = this->allowedBetween(*last - window, *last);
        if (allowed && double(count) > *allowed)
            return std::to_string(count) + " requests in 4 s, allowed "
                   + std::to_string(std::size_t(*allowed));
    }
    return std::nullopt;
}

} // namespace lavenderthread::soak
