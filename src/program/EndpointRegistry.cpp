// Writers change a private table under a mutex and publish a copy only if something that readers
// see has changed: a renewal alone copies nothing.
#include "program/EndpointRegistry.h"

#include "coordination/endpoints/EndpointRecord.h"

#include <algorithm>

namespace lavenderthread::program {

const RegisteredEndpoint *EndpointTable::find(const state::EndpointId &id,
                                              std::uint64_t incarnation) const
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end() || found->second.description.incarnation != incarnation)
        return nullptr;
    return &found->second;
}

bool isEvacuated(const EndpointTable &table, const state::EndpointDescription &endpoint)
{
    return table.evacuated.contains(endpoint.failureDomain);
}

bool isServiceEvacuated(const EndpointTable &table, const state::ServiceName &service)
{
    bool anyEvacuated = false;
    for (const auto &[id, endpoint] : table.endpoints) {
        if (endpoint.description.service != service)
            continue;
        if (!endpoint.draining)
            return false;
        anyEvacuated = anyEvacuated || endpoint.evacuated;
    }
    return anyEvacuated;
}

bool hasSeveralFailureDomains(const EndpointTable &table, const state::ServiceName &service)
{
    std::set<state::FailureDomain> domains;
    for (const auto &[id, endpoint] : table.endpoints) {
        if (endpoint.description.service == service && !endpoint.draining)
            domains.insert(endpoint.description.failureDomain);
    }
    return domains.size() > 1;
}

EndpointRegistry::EndpointRegistry(state::Duration expiry)
    : expiry(expiry)
{}

state::Result<void> EndpointRegistry::announce(const state::EndpointDescription &endpoint,
                                               state::Instant now,
                                               std::optional<state::Duration> coldLeft)
{
    const std::lock_guard lock(this->writeMutex);
    const auto known = this->current.endpoints.find(endpoint.id);
    if (known != this->current.endpoints.end()) {
        if (known->second.description.incarnation > endpoint.incarnation)
            return state::makeError(state::ErrorCode::Conflict, "endpoint.announce",
                                    "a newer incarnation is known", endpoint.id.value());
        this->lastRenewal[endpoint.id] = now;
        const bool restarted = known->second.description.incarnation != endpoint.incarnation;
        const state::Instant coldBefore = restarted ? state::Instant{} : known->second.coldUntil;
        const state::Instant coldUntil =
                coldLeft ? std::max(coldBefore, now + *coldLeft) : coldBefore;
        if (known->second.description == endpoint && known->second.coldUntil == coldUntil)
            return state::outcome::success();
        // A restart does not end the drain of the previous incarnation; only an operator does.
        known->second.description = endpoint;
        known->second.coldUntil = coldUntil;
    } else {
        this->lastRenewal[endpoint.id] = now;
        RegisteredEndpoint first{endpoint, false};
        if (coldLeft)
            first.coldUntil = now + *coldLeft;
        this->current.endpoints[endpoint.id] = std::move(first);
    }
    this->publish();
    return state::outcome::success();
}

bool EndpointRegistry::leave(const state::EndpointId &id, std::uint64_t incarnation)
{
    const std::lock_guard lock(this->writeMutex);
    if (this->current.find(id, incarnation) == nullptr)
        return false;
    this->current.endpoints.erase(id);
    this->lastRenewal.erase(id);
    this->publish();
    return true;
}

bool EndpointRegistry::setDraining(const state::EndpointId &id, bool draining)
{
    const std::lock_guard lock(this->writeMutex);
    const auto known = this->current.endpoints.find(id);
    if (known == this->current.endpoints.end())
        return false;
    if (known->second.draining != draining) {
        known->second.draining = draining;
        this->publish();
    }
    return true;
}

bool EndpointRegistry::isGrowing(state::Instant now) const
{
    const std::lock_guard lock(this->writeMutex);
    return this->arrivals.isGrowing(now);
}

bool EndpointRegistry::assign(EndpointTable table, state::Instant now)
{
    const std::lock_guard lock(this->writeMutex);
    this->current = std::move(table);
    this->arrivals.update(this->current.endpoints.size(), now);
    return this->publishIfChanged();
}

bool EndpointRegistry::setEvacuated(std::set<state::FailureDomain> failureDomains,
                                    state::Instant now)
{
    const std::lock_guard lock(this->writeMutex);
    this->recordRejoined(failureDomains, now);
    this->evacuated = std::move(failureDomains);
    return this->publishIfChanged();
}

bool EndpointRegistry::setCold(const state::EndpointId &id, std::uint64_t incarnation,
                               state::Duration left, state::Instant now)
{
    const std::lock_guard lock(this->writeMutex);
    const auto table = this->published.read();
    const RegisteredEndpoint *known = table->find(id, incarnation);
    if (known == nullptr
        || now + left <= known->coldUntil + coordination::endpoints::ColdMark::tolerance)
        return false;
    this->removeWarm(now);
    this->locallyCold[id] = {incarnation, now + left};
    return this->publishIfChanged();
}

void EndpointRegistry::setColdTimes(std::map<state::ServiceName, state::Duration> times)
{
    const std::lock_guard lock(this->writeMutex);
    this->coldTimes = std::move(times);
}

void EndpointRegistry::recordRejoined(const std::set<state::FailureDomain> &next,
                                      state::Instant now)
{
    this->removeWarm(now);
    for (const auto &[id, endpoint] : this->current.endpoints) {
        const state::EndpointDescription &description = endpoint.description;
        const auto time = this->coldTimes.find(description.service);
        if (time != this->coldTimes.end() && this->evacuated.contains(description.failureDomain)
            && !next.contains(description.failureDomain))
            this->locallyCold[id] = {description.incarnation, now + time->second};
    }
}

void EndpointRegistry::removeWarm(state::Instant now)
{
    std::erase_if(this->locallyCold, [now](const auto &each) { return each.second.until <= now; });
}

EndpointTable EndpointRegistry::withEvacuations(EndpointTable table) const
{
    table.evacuated = this->evacuated;
    for (const auto &[id, cold] : this->locallyCold) {
        const auto found = table.endpoints.find(id);
        if (found != table.endpoints.end()
            && found->second.description.incarnation == cold.incarnation)
            found->second.coldUntil = std::max(found->second.coldUntil, cold.until);
    }
    for (auto &[id, endpoint] : table.endpoints) {
        endpoint.evacuated = table.evacuated.contains(endpoint.description.failureDomain);
        endpoint.draining = endpoint.draining || endpoint.evacuated;
    }
    return table;
}

std::vector<state::EndpointId> EndpointRegistry::expire(state::Instant now)
{
    const std::lock_guard lock(this->writeMutex);
    std::vector<state::EndpointId> dropped;
    for (const auto &[id, renewedAt] : this->lastRenewal) {
        if (now - renewedAt > this->expiry)
            dropped.push_back(id);
    }
    for (const state::EndpointId &id : dropped) {
        this->current.endpoints.erase(id);
        this->lastRenewal.erase(id);
    }
    if (!dropped.empty())
        this->publish();
    return dropped;
}

void EndpointRegistry::publish()
{
    this->published.publish(this->withEvacuations(this->current));
}

bool EndpointRegistry::publishIfChanged()
{
    EndpointTable next = this->withEvacuations(this->current);
    if (*this->published.read() == next)
        return false;
    this->published.publish(std::move(next));
    return true;
}

} // namespace lavenderthread::program
