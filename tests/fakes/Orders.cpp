// How each kind of order changes the fake engine.
#include "fakes/Orders.h"

#include <algorithm>

namespace lavenderthread::fakes {

Orders::Outcome Orders::apply(const Order &order)
{
    if (this->honoursFencing && order.fencing < this->fencing)
        return Outcome::Stale;
    if (order.kind == "load") {
        if (std::find(this->models.begin(), this->models.end(), order.model) == this->models.end())
            this->models.push_back(order.model);
    } else if (order.kind == "unload") {
        std::erase(this->models, order.model);
    } else if (order.kind == "role") {
        this->role = order.role;
    } else if (order.kind == "stop") {
        this->stopped = true;
    } else if (order.kind == "drain" || order.kind == "undrain") {
        this->draining = order.kind == "drain";
    } else {
        return Outcome::Unknown;
    }
    this->fencing = order.fencing;
    return Outcome::Applied;
}

} // namespace lavenderthread::fakes
