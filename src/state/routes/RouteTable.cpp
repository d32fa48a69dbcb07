// Validates a complete configuration, and indexes it for the request path.
#include "state/routes/RouteTable.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lavenderthread::state::routes {

namespace {

Error invalid(const std::string &cause)
{
    return makeError(ErrorCode::InvalidArgument, "routes.check", cause);
}

std::uint64_t weightOf(const std::vector<ServiceShare> &shares)
{
    std::uint64_t sum = 0;
    for (const ServiceShare &share : shares)
        sum += share.weight;
    return sum;
}

} // namespace

Result<RouteTable> RouteTable::create(RouteTableDraft draft)
{
    RouteTable table;
    table.draft = std::move(draft);
    BOOST_OUTCOME_TRYV(table.checkServices());
    BOOST_OUTCOME_TRYV(table.checkRoutes());
    BOOST_OUTCOME_TRYV(table.checkAccounts());
    return table;
}

Result<void> RouteTable::checkServices()
{
    for (std::size_t index = 0; index < this->draft.services.size(); ++index) {
        const ServiceName &name = this->draft.services[index].name;
        if (!this->serviceIndex.emplace(name, index).second)
            return invalid("service " + name.value() + " stands twice");
    }
    return outcome::success();
}

Result<void> RouteTable::checkRoutes()
{
    std::set<std::pair<std::string, std::string>> places;
    for (std::size_t index = 0; index < this->draft.routes.size(); ++index) {
        const Route &route = this->draft.routes[index];
        if (!places.emplace(route.host, route.pathPrefix).second)
            return invalid("route " + route.name + " has the host and prefix of another one");
        if (route.timeout <= std::chrono::milliseconds(0))
            return invalid("route " + route.name + " has no timeout");
        if (weightOf(route.services) == 0)
            return invalid("the weights of route " + route.name + " add up to 0");
        for (const ServiceShare &share : route.services) {
            if (!this->serviceIndex.contains(share.service))
                return invalid("route " + route.name + " names the unknown service "
                               + share.service.value());
        }
        this->routesByHost[route.host].push_back(index);
    }
    for (auto &[host, indices] : this->routesByHost) {
        std::ranges::stable_sort(indices, std::greater<>(), [this](std::size_t index) {
            return this->draft.routes[index].pathPrefix.size();
        });
    }
    return outcome::success();
}

Result<void> RouteTable::checkAccounts()
{
    if (!this->draft.accounts)
        return outcome::success();
    for (std::size_t index = 0; index < this->draft.accounts->size(); ++index) {
        for (const std::string &key : (*this->draft.accounts)[index].keys) {
            const auto [known, added] = this->accountIndexByKey.emplace(key, index);
            if (!added && known->second != index)
                return invalid("two accounts share a key");
        }
    }
    return outcome::success();
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto found = this->routesByHost.find(host);
    if (found == this->routesByHost.end())
        return nullptr;
    for (const std::size_t index : found->second) {
        if (path.starts_with(this->draft.routes[index].pathPrefix))
            return &this->draft.routes[index];
    }
    return nullptr;
}

std::uint8_t RouteTable::priorityOf(const Route &route, const ClientAccountId &account) const
{
    if (!this->draft.accounts)
        return route.priority;
    const auto found = std::ranges::find(*this->draft.accounts, account, &RouteAccount::id);
    return found == this->draft.accounts->end() ? route.priority
                                                : found->priority.value_or(route.priority);
}

const RouteAccount *RouteTable::accountOfKey(std::string_view key) const
{
    const auto found = this->accountIndexByKey.find(std::string(key));
    return found == this->accountIndexByKey.end() ? nullptr
                                                  : &(*this->draft.accounts)[found->second];
}

const ServiceProfile *RouteTable::service(const ServiceName &name) const
{
    const auto found = this->serviceIndex.find(name);
    return found == this->serviceIndex.end() ? nullptr : &this->draft.services[found->second];
}

const ServiceName &pickService(const std::vector<ServiceShare> &shares, double draw)
{
    double left = draw * static_cast<double>(weightOf(shares));
    for (const ServiceShare &share : shares) {
        left -= share.weight;
        if (left < 0)
            return share.service;
    }
    // Rounding may leave a remainder: it goes to the last share with a positive weight.
    const auto last =
            std::ranges::find_if(shares.rbegin(), shares.rend(),
                                 [](const ServiceShare &each) { return each.weight > 0; });
    return last->service;
}

} // namespace lavenderthread::state::routes
