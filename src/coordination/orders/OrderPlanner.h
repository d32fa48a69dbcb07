// Carries out the open orders, on the leader. An order is a wanted state: the planner looks at the
// endpoint first, sends only what is missing, looks again, and never repeats without having looked.
#pragma once

#include "coordination/orders/LoadPacer.h"
#include "state/Endpoint.h"
#include "state/Time.h"
#include "state/control/Commands.h"
#include "state/control/ControlView.h"
#include "state/control/Order.h"
#include "state/log/LogEntry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lavenderthread::coordination::orders {

// GET /engine/state of one endpoint.
struct EndpointObservation
{
    state::EndpointId endpoint;
    std::uint64_t incarnation = 0;
    std::set<state::ModelName> models;
    std::string role;
    bool draining = false;
};

// To be sent with the fencing number, unless `sendBefore` has passed by then.
struct SendOrder
{
    std::uint64_t orderId = 0;
    state::EndpointId endpoint;
    state::Address address;
    state::control::OrderKind kind = state::control::OrderKind::Drain;
    state::ModelName model;
    std::string role;
    state::log::LogPosition fencing;
    state::Instant sendBefore;
};

enum class SendOutcome : std::uint8_t {
    Answered, // the endpoint says that it applied it
    Unknown,  // no answer, or a fencing refusal: look before anything else
    Refused,  // it never will
};

struct PlannerActions
{
    std::vector<state::EndpointId> observe; // ask for the endpoint's state
    std::vector<SendOrder> sends;
    std::vector<state::control::RecordOrderProgress> records; // propose to the log
};

struct PlannerSettings
{
    LoadPacerSettings loads;
    state::Duration observeEvery = std::chrono::seconds(2); // of an endpoint with work to do
    state::Duration repeatAfter = std::chrono::seconds(5);
    // A load in progress is not visible in the endpoint's state; a second one would take the weight
    // store's rate twice.
    state::Duration loadTime = std::chrono::minutes(10);
    // A stopped endpoint that nobody has heard of for this long, also since the leader began.
    state::Duration absence = std::chrono::seconds(30);
    state::Duration sendTime = std::chrono::seconds(2); // at most from decision to handing over
};

// What the leader knows when it plans.
struct PlannerInput
{
    const std::vector<state::control::Order> &open; // ascending by id
    const state::control::ControlView &view;
    std::uint64_t appliedIndex = 0;
    state::Instant leaseUntil;                      // of this leader
    std::map<state::ModelName, double> unmetDemand; // decides which model comes back first
};

class OrderPlanner
{
public:
    explicit OrderPlanner(PlannerSettings plannerSettings)
        : settings(plannerSettings)
        , pacer(plannerSettings.loads)
    {}

    // `ordersFrom`: by then the former leader's last order has landed or never will. It holds back
    // orders to endpoints that ignore fencing; those that honour it refuse the late order
    // themselves.
    void leaderStarted(std::uint64_t term, state::Instant ordersFrom, std::uint64_t largestModel,
                       state::Instant now);
    void leaderStopped();

    void endpointPresent(const state::EndpointDescription &description);
    void endpointGone(const state::EndpointId &endpoint);
    void observed(EndpointObservation observation, state::Instant askedAt);
    void sendDone(std::uint64_t orderId, const state::EndpointId &endpoint, SendOutcome outcome,
                  state::Instant now);

    // Nothing unless leading.
    PlannerActions plan(const PlannerInput &input, state::Instant now);

private:
    struct Endpoint
    {
        state::EndpointDescription description;
        std::set<state::ModelName> models; // by the latest of announcement and observation
        std::optional<EndpointObservation> observation;
        state::Instant observedAt; // when the answered question was asked
        state::Instant askedAt;
        bool asked = false;
    };
    struct Task
    {
        bool sending = false; // handed to the driver, no outcome yet
        bool everSent = false;
        bool refused = false;
        state::Instant sentAt;  // of the last send
        state::Instant endedAt; // when its outcome came
    };
    using TaskKey = std::pair<std::uint64_t, state::EndpointId>; // order and endpoint
    struct Round;                                                // one call of plan()

    void noteRunning(Round &round) const;
    void planNamed(Round &round, const state::control::Order &order);
    void planStandingLoad(Round &round, const state::control::Order &order);
    void planStandingUnload(Round &round, const state::control::Order &order);
    void planOne(Round &round, const state::control::Order &order,
                 const state::EndpointId &endpoint);
    void record(Round &round, const state::control::Order &order, const state::EndpointId &endpoint,
                state::control::EndpointOrderState newState, const std::string &cause);
    void send(Round &round, const state::control::Order &order, Endpoint &endpoint, Task &task);
    bool observe(Round &round, Endpoint &endpoint, state::Instant after) const;
    bool mayRepeat(const state::control::Order &order, const Task &task, state::Instant now) const;
    bool isLoading(const TaskKey &key, const state::control::Order &order,
                   state::Instant now) const;
    bool hasModel(const state::EndpointId &endpoint, const state::ModelName &model) const;
    std::vector<state::EndpointId> loadCandidates(const Round &round,
                                                  const state::control::Order &order) const;

    PlannerSettings settings;
    LoadPacer pacer;
    bool leading = false;
    std::uint64_t term = 0;
    state::Instant startedAt;  // of this leadership
    state::Instant ordersFrom; // for endpoints that ignore fencing
    std::map<state::EndpointId, Endpoint> endpoints;
    std::map<TaskKey, Task> tasks; // of this leadership
};

} // namespace lavenderthread::coordination::orders
