// Orders in the replicated state: which are open, how far each is, and which later one rules.
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

    // Takes an order that passed check(); ids ascend. Earlier open orders give way where it rules.
    void submit(Order order);
    // Ignored for an order that is not open, and for a step back from a settled endpoint.
    void record(const RecordOrderProgress &command);

    const Order *find(std::uint64_t id) const;
    std::vector<Order> openOrders() const; // ascending by id
    std::vector<Order> all() const;        // ascending by id

private:
    void giveWay(Order &earlier, const Order &later);
    void closeIfSettled(Order &order);
    void forgetOldest();

    std::map<std::uint64_t, Order> orders; // open ones, and the last closed ones
};

// Closed orders that are kept for the operators to look at.
constexpr std::size_t closedOrdersKept = 1'000;
constexpr std::size_t maximumEndpointsOfOrder = 2'000;

} // namespace lavenderthread::state::control
