// Operators' orders and the known progress of their execution.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lavenderthread::state::control {

enum class OrderKind : std::uint8_t { Drain, Undrain, Load, Unload, Stop, Role };

// What an operator requests. A Load with a count instead of endpoints is declarative: it keeps the
// model on that many engines. An Unload without endpoints applies everywhere, and ends such a Load.
struct OrderSpec
{
    OrderKind kind = OrderKind::Drain;
    std::vector<EndpointId> endpoints;
    ModelName model;                 // Load and Unload
    std::string role;                // Role
    std::uint32_t endpointCount = 0; // Load without endpoints

    auto operator<=>(const OrderSpec &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->kind, this->endpoints, this->model, this->role, this->endpointCount);
    }
};

enum class EndpointOrderState : std::uint8_t {
    Sent,       // sent to the endpoint, or about to be; the outcome is not known yet
    Applied,    // observed in the endpoint's own state
    Failed,     // the endpoint refused it permanently
    Superseded, // a later order applies to this endpoint
};

struct EndpointOrderProgress
{
    EndpointOrderState state = EndpointOrderState::Sent;
    std::uint64_t incarnation = 0; // of the endpoint when the order was first sent
    std::string cause;             // of a failure

    auto operator<=>(const EndpointOrderProgress &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->state, this->incarnation, this->cause);
    }
};

enum class OrderState : std::uint8_t {
    Open,       // in progress, or standing
    Done,       // applied on every named endpoint
    Failed,     // settled on every named endpoint, failed on at least one
    Superseded, // replaced by a later order, at least on some endpoint
};

struct Order
{
    std::uint64_t id = 0; // log index of its submission
    OperatorId operatorId;
    WallTime submittedAt;
    OrderSpec spec;
    OrderState state = OrderState::Open;
    std::map<EndpointId, EndpointOrderProgress> progress;
    std::set<EndpointId> excluded; // of a standing order: endpoints that later orders name

    // A standing order names no endpoints; it stays in effect until another one replaces it.
    bool isStanding() const { return this->spec.endpoints.empty(); }
    auto operator<=>(const Order &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->operatorId, this->submittedAt, this->spec, this->state,
                this->progress, this->excluded);
    }
};

} // namespace lavenderthread::state::control
