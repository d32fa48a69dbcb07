// What this entry may send to the cold endpoints of the services that limit requests then.
#pragma once

#include "coordination/routing/ColdAccess.h"
#include "program/EndpointRegistry.h"
#include "state/routes/Route.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace lavenderthread::program {

// Holds the services' rates and the known relay entries. Any thread.
class ColdEndpoints
{
public:
    // `bound`: its overshoot and slack; the rates are those of the services.
    ColdEndpoints(state::VmId self, state::Instant startedAt,
                  coordination::routing::ColdRate bound);

    void setServices(const std::vector<state::routes::ServiceProfile> &services);
    void setEntries(coordination::routing::RelayEntries next);
    // Nothing if the endpoint is warm or its service accepts any rate.
    std::optional<coordination::routing::ColdShare> shareOf(const RegisteredEndpoint &endpoint,
                                                            state::Instant now) const;
    // Logs the endpoints that have become cold since the last call.
    void logChanges(const EndpointTable &table, state::Instant now);
    // An attempt of this entry begins.
    void countSend(const EndpointTable &table, const state::EndpointDescription &endpoint,
                   state::Instant now);

    // Endpoints in the table that are cold and limited.
    std::size_t coldCount(const EndpointTable &table, state::Instant now) const;
    // Attempts at cold endpoints since the start.
    std::uint64_t sends() const { return this->sendCount; }

private:
    double rateOf(const state::ServiceName &service) const; // 0: any

    const state::VmId self;
    const state::Instant startedAt;
    const coordination::routing::ColdRate bound;
    mutable std::mutex mutex;
    std::map<state::ServiceName, double> rates; // above 0
    coordination::routing::RelayEntries entries;
    std::map<state::EndpointId, state::Instant> loggedUntil; // of endpoints that were cold
    std::atomic<std::uint64_t> sendCount = 0;
};

} // namespace lavenderthread::program
