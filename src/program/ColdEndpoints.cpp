#include "program/ColdEndpoints.h"

#include "program/Log.h"

namespace lavenderthread::program {

ColdEndpoints::ColdEndpoints(state::VmId self, state::Instant startedAt,
                             coordination::routing::ColdRate bound)
    : self(std::move(self))
    , startedAt(startedAt)
    , bound(bound)
{}

void ColdEndpoints::setServices(const std::vector<state::routes::ServiceProfile> &services)
{
    const std::lock_guard lock(this->mutex);
    this->rates.clear();
    for (const state::routes::ServiceProfile &service : services) {
        if (service.coldRequestsPerSecond > 0)
            this->rates[service.name] = service.coldRequestsPerSecond;
    }
}

void ColdEndpoints::setEntries(coordination::routing::RelayEntries next)
{
    const std::lock_guard lock(this->mutex);
    this->entries = std::move(next);
}

double ColdEndpoints::rateOf(const state::ServiceName &service) const
{
    const auto found = this->rates.find(service);
    return found == this->rates.end() ? 0 : found->second;
}

std::optional<coordination::routing::ColdShare>
ColdEndpoints::shareOf(const RegisteredEndpoint &endpoint, state::Instant now) const
{
    if (endpoint.coldUntil <= now)
        return std::nullopt;
    const std::lock_guard lock(this->mutex);
    coordination::routing::ColdRate rate = this->bound;
    rate.perSecond = this->rateOf(endpoint.description.service);
    if (rate.perSecond <= 0)
        return std::nullopt;
    return coordination::routing::coldShare(
            endpoint.description.id, endpoint.description.incarnation, this->self, this->startedAt,
            this->entries, rate, endpoint.coldUntil);
}

void ColdEndpoints::logChanges(const EndpointTable &table, state::Instant now)
{
    constexpr double perThousand = 1'000;
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->loggedUntil, [now](const auto &each) { return each.second <= now; });
    for (const auto &[id, endpoint] : table.endpoints) {
        const double rate = this->rateOf(endpoint.description.service);
        if (endpoint.coldUntil <= now || rate <= 0)
            continue;
        state::Instant &logged = this->loggedUntil[id];
        if (logged == endpoint.coldUntil)
            continue;
        logged = endpoint.coldUntil;
        logEvent(LogLevel::Info, "endpoint.cold",
                 {{"endpoint", id.value()},
                  {"incarnation", endpoint.description.incarnation},
                  {"left_us", std::int64_t((endpoint.coldUntil - now).count())},
                  {"per_second_milli", std::int64_t(rate * perThousand)}});
    }
}

void ColdEndpoints::countSend(const EndpointTable &table,
                              const state::EndpointDescription &endpoint, state::Instant now)
{
    const RegisteredEndpoint *known = table.find(endpoint.id, endpoint.incarnation);
    if (known != nullptr && this->shareOf(*known, now))
        ++this->sendCount;
}

std::size_t ColdEndpoints::coldCount(const EndpointTable &table, state::Instant now) const
{
    const std::lock_guard lock(this->mutex);
    std::size_t count = 0;
    for (const auto &[id, endpoint] : table.endpoints) {
        const bool isLimited = this->rateOf(endpoint.description.service) > 0;
        count += endpoint.coldUntil > now && isLimited ? 1 : 0;
    }
    return count;
}

} // namespace lavenderthread::program
