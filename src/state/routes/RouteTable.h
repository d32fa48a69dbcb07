// One validated version of the relay configuration; every request reads it through a snapshot.
#pragma once

#include "state/Error.h"
#include "state/routes/Route.h"

#include <map>
#include <string_view>
#include <unordered_map>

namespace lavenderthread::state::routes {

// The decoded configuration before validation.
struct RouteTableDraft
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceProfile> services;
    std::optional<std::vector<RouteAccount>> accounts; // absent: no call needs a key
    CallerLimits limits;
};

// Immutable and validated; finds routes, services and accounts for the request path.
class RouteTable
{
public:
    // Version 0 without routes: used by an entry that has no configuration yet.
    RouteTable() = default;

    // Error: InvalidArgument, step "routes.check", for a route to an unknown service, two routes
    // of one host and prefix, weights with a sum of 0, a timeout that is not positive, two accounts
    // with one key, or two services of one name.
    static Result<RouteTable> create(RouteTableDraft draft);

    std::uint64_t version() const { return this->draft.version; }
    const std::vector<Route> &routes() const { return this->draft.routes; }
    const std::vector<ServiceProfile> &services() const { return this->draft.services; }
    const CallerLimits &limits() const { return this->draft.limits; }
    bool needsKeys() const { return this->draft.accounts.has_value(); }

    // The route of that host with the longest prefix that matches the path; null if there is none.
    const Route *match(std::string_view host, std::string_view path) const;
    // Null if no account holds the key.
    const RouteAccount *accountOfKey(std::string_view key) const;
    // The account's priority if it has one, else the route's.
    std::uint8_t priorityOf(const Route &route, const ClientAccountId &account) const;
    const ServiceProfile *service(const ServiceName &name) const;

private:
    Result<void> checkRoutes();
    Result<void> checkServices();
    Result<void> checkAccounts();

    RouteTableDraft draft;
    // Positions in draft.routes by host, longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> routesByHost;
    std::map<ServiceName, std::size_t> serviceIndex; // positions in draft.services
    std::unordered_map<std::string, std::size_t> accountIndexByKey;
};

// Weighted choice: the service of the share that `draw`, uniform over [0, 1), falls into. The sum
// of the weights must be positive.
const ServiceName &pickService(const std::vector<ServiceShare> &shares, double draw);

} // namespace lavenderthread::state::routes
