// Operators' orders in the replicated state: which are open, the progress of each, and which are
// superseded by later ones.
#pragma once

#include "state/Error.h"
#include "state/control/Commands.h"
#include "state/control/Order.h"
#include "state/table/Catalog.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace lavenderthread::state::control {

class OrderBook
{
public:
    OrderBook() = default;
    explicit OrderBook(std::vector<Order> orders);

    // Error: InvalidArgument, step "order.submit".
    static Result<void> check(const OrderSpec &spec, const table::Catalog &catalog);

    // Adds an order that passed check(); ids must ascend. It supersedes earlier open orders on the
    // same subject, for the endpoints that it names (all endpoints for a standing order).
    void submit(Order order);
    // Ignored if the order is not open, or if the endpoint of a non-standing order is already
    // settled.
    void record(const RecordOrderProgress &command);

    const Order *find(std::uint64_t id) const;
    std::vector<Order> openOrders() const; // ascending by id
    std::vector<Order> all() const;        // ascending by id

private:
    void supersede(Order &earlier, const Order &later);
    void closeIfSettled(Order &order);
    void removeOldestClosed();

    std::map<std::uint64_t, Order> orders; // open ones and the most recent closed ones
};

// Closed orders that are kept for operators to inspect.
constexpr std::size_t maximumClosedOrders = 1'000;
constexpr std::size_t maximumEndpointsOfOrder = 2'000;

} // namespace lavenderthread::state::control
