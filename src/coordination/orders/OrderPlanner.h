// Carries out the open orders on the leader. An order is a desired state: the planner observes the
// endpoint, sends only what is missing, observes it again, and never resends without observing
// first.
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

// The state of one endpoint, from GET /engine/state.
struct EndpointObservation
{
    state::EndpointId endpoint;
    std::uint64_t incarnation = 0;
    std::set<state::ModelName> models;
    std::string role;
    bool draining = false;
};

// Send an order to the endpoint with the fencing number, unless `sendBefore` has passed.
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
    Answered, // the endpoint reports that it applied the order
    Unknown,  // no answer, or refused by fencing: observe before resending
    Refused,  // the endpoint will never apply it
};

struct PlannerActions
{
    std::vector<state::EndpointId> observe; // endpoints to ask for their state
    std::vector<SendOrder> sends;
    std::vector<state::control::RecordOrderProgress> records; // progress to propose to the log
};

struct PlannerSettings
{
    LoadPacerSettings loads;
    state::Duration observeInterval = std::chrono::seconds(2); // for endpoints with open orders
    state::Duration resendAfter = std::chrono::seconds(5);
    // How long a load counts as in progress. The endpoint's state does not show a running load, and
    // sending it again would use the weight store's rate twice.
    state::Duration loadTimeout = std::chrono::minutes(10);
    // A stop counts as applied once the endpoint is absent and this leadership has lasted this
    // long.
    state::Duration absenceTimeout = std::chrono::seconds(30);
    state::Duration maxSendDelay = std::chrono::seconds(2); // maximum from decision to hand-over
};

// State of the leader that a plan is based on.
struct PlannerInput
{
    const std::vector<state::control::Order> &openOrders; // ascending by id
    const state::control::ControlView &view;
    std::uint64_t appliedIndex = 0;
    state::Instant leaseUntil;                      // end of this leader's lease
    std::map<state::ModelName, double> unmetDemand; // models with more are loaded first
};

class OrderPlanner
{
public:
    explicit OrderPlanner(PlannerSettings plannerSettings)
        : settings(plannerSettings)
        , pacer(plannerSettings.loads)
    {}

    // `unfencedFrom`: from then on no order of the former leader can arrive any more. Orders to
    // endpoints that ignore fencing wait until then; endpoints that honour it refuse a late order
    // themselves.
    void leaderStarted(std::uint64_t term, state::Instant unfencedFrom, std::uint64_t largestModel,
                       state::Instant now);
    void leaderStopped();

    void endpointPresent(const state::EndpointDescription &description);
    void endpointGone(const state::EndpointId &endpoint);
    void observed(EndpointObservation observation, state::Instant askedAt);
    void sendDone(std::uint64_t orderId, const state::EndpointId &endpoint, SendOutcome outcome,
                  state::Instant now);

    // Returns no actions unless leading.
    PlannerActions plan(const PlannerInput &input, state::Instant now);

private:
    struct Endpoint
    {
        state::EndpointDescription description;
        std::set<state::ModelName> models; // from the latest announcement or observation
        std::optional<EndpointObservation> observation;
        state::Instant observedAt; // when the request for it was sent
        state::Instant askedAt;
        bool asked = false;
    };
    struct Task
    {
        bool sending = false; // handed over for sending, no outcome yet
        bool everSent = false;
        bool refused = false;
        state::Instant sentAt;  // when it was last sent
        state::Instant endedAt; // when its outcome came
    };
    using TaskKey = std::pair<std::uint64_t, state::EndpointId>; // order and endpoint
    struct Round;                                                // one call of plan()

    void collectInProgress(Round &round) const;
    void planNamedEndpoints(Round &round, const state::control::Order &order);
    void planStandingLoad(Round &round, const state::control::Order &order);
    void planStandingUnload(Round &round, const state::control::Order &order);
    void planEndpoint(Round &round, const state::control::Order &order,
                      const state::EndpointId &endpoint);
    void record(Round &round, const state::control::Order &order, const state::EndpointId &endpoint,
                state::control::EndpointOrderState newState, const std::string &cause);
    void send(Round &round, const state::control::Order &order, Endpoint &endpoint, Task &task);
    bool observe(Round &round, Endpoint &endpoint, state::Instant after) const;
    bool mayResend(const state::control::Order &order, const Task &task, state::Instant now) const;
    bool isLoading(const TaskKey &key, const state::control::Order &order,
                   state::Instant now) const;
    bool hasModel(const state::EndpointId &endpoint, const state::ModelName &model) const;
    std::vector<state::EndpointId> loadCandidates(const Round &round,
                                                  const state::control::Order &order) const;

    PlannerSettings settings;
    LoadPacer pacer;
    bool leading = false;
    std::uint64_t term = 0;
    state::Instant startedAt;         // start of this leadership
    state::Instant unfencedSendsFrom; // earliest send to endpoints that ignore fencing
    std::map<state::EndpointId, Endpoint> endpoints;
    std::map<TaskKey, Task> tasks; // of this leadership
};

} // namespace lavenderthread::coordination::orders
