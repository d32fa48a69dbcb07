// Decides which order applies to which endpoint. Two orders have the same subject if both drain or
// undrain, both load or unload the same model, or both set the role; the later one supersedes the
// earlier one.
#include "state/control/OrderBook.h"

#include "state/table/Columns.h"

#include <algorithm>

namespace lavenderthread::state::control {

namespace {

bool isDrainOrder(OrderKind kind)
{
    return kind == OrderKind::Drain || kind == OrderKind::Undrain;
}

bool isModelOrder(OrderKind kind)
{
    return kind == OrderKind::Load || kind == OrderKind::Unload;
}

bool haveSameSubject(const OrderSpec &left, const OrderSpec &right)
{
    if (isDrainOrder(left.kind))
        return isDrainOrder(right.kind);
    if (isModelOrder(left.kind))
        return isModelOrder(right.kind) && left.model == right.model;
    return left.kind == right.kind && left.kind == OrderKind::Role;
}

bool namesEndpoint(const OrderSpec &spec, const EndpointId &endpoint)
{
    return std::find(spec.endpoints.begin(), spec.endpoints.end(), endpoint)
           != spec.endpoints.end();
}

Error refuse(const std::string &cause)
{
    return makeError(ErrorCode::InvalidArgument, "order.submit", cause);
}

Result<void> checkModelOrder(const OrderSpec &spec, const table::Catalog &catalog)
{
    if (catalog.models().find(spec.model) == nullptr)
        return refuse("unknown model \"" + spec.model.value() + "\"");
    const bool counted = spec.endpointCount > 0;
    if (spec.kind == OrderKind::Load && counted != spec.endpoints.empty())
        return refuse("a load names either endpoints or a count of at least 1");
    if (spec.kind == OrderKind::Unload && counted)
        return refuse("an unload takes no count");
    if (spec.endpointCount > maximumEndpointsOfOrder)
        return refuse("the count must be 1 to " + std::to_string(maximumEndpointsOfOrder));
    return outcome::success();
}

} // namespace

OrderBook::OrderBook(std::vector<Order> orders)
{
    for (Order &order : orders)
        this->orders.emplace(order.id, std::move(order));
}

Result<void> OrderBook::check(const OrderSpec &spec, const table::Catalog &catalog)
{
    if (spec.kind > OrderKind::Role)
        return refuse("unknown kind of order");
    if (spec.endpoints.size() > maximumEndpointsOfOrder)
        return refuse("at most " + std::to_string(maximumEndpointsOfOrder) + " endpoints");
    const std::set<EndpointId> distinct(spec.endpoints.begin(), spec.endpoints.end());
    if (distinct.size() != spec.endpoints.size())
        return refuse("an endpoint is named twice");
    for (const EndpointId &endpoint : spec.endpoints) {
        if (!table::isPlainId(endpoint.value()))
            return refuse("bad endpoint id \"" + endpoint.value() + "\"");
    }
    if (isModelOrder(spec.kind))
        return checkModelOrder(spec, catalog);
    if (spec.endpoints.empty())
        return refuse("at least one endpoint is needed");
    if (spec.kind == OrderKind::Role && !table::isPlainId(spec.role))
        return refuse("bad role \"" + spec.role + "\"");
    return outcome::success();
}

void OrderBook::submit(Order order)
{
    for (auto &[id, earlier] : this->orders) {
        if (earlier.state == OrderState::Open && haveSameSubject(earlier.spec, order.spec))
            this->supersede(earlier, order);
    }
    this->orders.emplace(order.id, std::move(order));
    this->removeOldestClosed();
}

void OrderBook::supersede(Order &earlier, const Order &later)
{
    if (later.isStanding()) {
        earlier.state = OrderState::Superseded;
        return;
    }
    if (earlier.isStanding()) {
        earlier.excluded.insert(later.spec.endpoints.begin(), later.spec.endpoints.end());
        return;
    }
    for (const EndpointId &endpoint : earlier.spec.endpoints) {
        if (!namesEndpoint(later.spec, endpoint))
            continue;
        EndpointOrderProgress &progress = earlier.progress[endpoint];
        if (progress.state == EndpointOrderState::Sent)
            progress.state = EndpointOrderState::Superseded;
    }
    this->closeIfSettled(earlier);
}

void OrderBook::record(const RecordOrderProgress &command)
{
    const auto found = this->orders.find(command.orderId);
    if (found == this->orders.end() || found->second.state != OrderState::Open)
        return;
    Order &order = found->second;
    const auto known = order.progress.find(command.endpoint);
    const bool settled = !order.isStanding() && known != order.progress.end()
                         && known->second.state != EndpointOrderState::Sent;
    if (settled)
        return;
    order.progress[command.endpoint] = command.progress;
    this->closeIfSettled(order);
}

void OrderBook::closeIfSettled(Order &order)
{
    if (order.isStanding())
        return;
    std::size_t failed = 0;
    std::size_t superseded = 0;
    for (const EndpointId &endpoint : order.spec.endpoints) {
        const auto found = order.progress.find(endpoint);
        if (found == order.progress.end() || found->second.state == EndpointOrderState::Sent)
            return;
        failed += found->second.state == EndpointOrderState::Failed ? 1 : 0;
        superseded += found->second.state == EndpointOrderState::Superseded ? 1 : 0;
    }
    order.state = failed > 0       ? OrderState::Failed
                  : superseded > 0 ? OrderState::Superseded
                                   : OrderState::Done;
}

void OrderBook::removeOldestClosed()
{
    std::size_t closed = 0;
    for (const auto &[id, order] : this->orders)
        closed += order.state == OrderState::Open ? 0 : 1;
    for (auto each = this->orders.begin();
         each != this->orders.end() && closed > maximumClosedOrders;) {
        if (each->second.state == OrderState::Open) {
            ++each;
            continue;
        }
        each = this->orders.erase(each);
        --closed;
    }
}

const Order *OrderBook::find(std::uint64_t id) const
{
    const auto found = this->orders.find(id);
    return found == this->orders.end() ? nullptr : &found->second;
}

std::vector<Order> OrderBook::openOrders() const
{
    std::vector<Order> open;
    for (const auto &[id, order] : this->orders) {
        if (order.state == OrderState::Open)
            open.push_back(order);
    }
    return open;
}

std::vector<Order> OrderBook::all() const
{
    std::vector<Order> every;
    for (const auto &[id, order] : this->orders)
        every.push_back(order);
    return every;
}

} // namespace lavenderthread::state::control
