// Control orders of the fake engine: models, role, draining, and the fencing number that it
// honours or ignores as told.
#pragma once

#include "state/log/LogEntry.h"

#include <string>
#include <vector>

namespace lavenderthread::fakes {

struct Order
{
    std::string id;
    std::string kind; // as in the contract: load, unload, role, stop, drain, undrain
    std::string model;
    std::string role;
    state::log::LogPosition fencing;
};

class Orders
{
public:
    Orders(std::vector<std::string> models, bool honoursFencing)
        : models(std::move(models))
        , honoursFencing(honoursFencing)
    {}

    enum class Outcome { Applied, Stale, Unknown };

    Outcome apply(const Order &order);
    bool acceptsWork() const { return !this->draining && !this->stopped; }
    bool isDraining() const { return this->draining; }
    const std::vector<std::string> &loadedModels() const { return this->models; }
    const std::string &currentRole() const { return this->role; }
    state::log::LogPosition lastFencing() const { return this->fencing; }

private:
    std::vector<std::string> models;
    bool honoursFencing;
    std::string role = "any";
    bool draining = false;
    bool stopped = false;
    state::log::LogPosition fencing; // of the last order applied; never falls if honoured
};

} // namespace lavenderthread::fakes
