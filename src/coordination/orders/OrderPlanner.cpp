// Each planning round observes an endpoint, decides, and sends it at most one order.
#include "coordination/orders/OrderPlanner.h"

#include <algorithm>

namespace lavenderthread::coordination::orders {

using state::EndpointId;
using state::FailureDomain;
using state::Instant;
using state::control::EndpointOrderProgress;
using state::control::EndpointOrderState;
using state::control::Order;
using state::control::OrderKind;

namespace {

// Whether the endpoint is in the state that the order asks for. A stop shows only by the next
// incarnation.
bool isSatisfied(const Order &order, const EndpointObservation &seen,
                 const EndpointOrderProgress *progress)
{
    switch (order.spec.kind) {
    case OrderKind::Drain:
        return seen.draining;
    case OrderKind::Undrain:
        return !seen.draining;
    case OrderKind::Load:
        return seen.models.contains(order.spec.model);
    case OrderKind::Unload:
        return !seen.models.contains(order.spec.model);
    case OrderKind::Stop:
        return progress != nullptr && seen.incarnation > progress->incarnation;
    case OrderKind::Role:
        return seen.role == order.spec.role;
    }
    return false;
}

const EndpointOrderProgress *progressOf(const Order &order, const EndpointId &endpoint)
{
    const auto found = order.progress.find(endpoint);
    return found == order.progress.end() ? nullptr : &found->second;
}

bool isUnderWay(const Order &order, const EndpointId &endpoint)
{
    const EndpointOrderProgress *progress = progressOf(order, endpoint);
    return progress != nullptr && progress->state == EndpointOrderState::Sent;
}

std::uint64_t weightOf(const state::control::ControlView &view, const state::ModelName &model)
{
    const state::table::ModelVersion *known = view.catalog.models().find(model);
    return known == nullptr ? 0 : known->weightBytes;
}

} // namespace

struct OrderPlanner::Round
{
    const PlannerInput &input;
    Instant now;
    PlannerActions actions;
    std::uint32_t loads = 0;        // in progress
    std::set<EndpointId> busy;      // sent an order this round, or a send is in progress
    std::set<EndpointId> observing; // asked for their state this round
};

void OrderPlanner::leaderStarted(std::uint64_t newTerm, Instant unfencedFrom,
                                 std::uint64_t largestModel, Instant now)
{
    this->leading = true;
    this->term = newTerm;
    this->startedAt = now;
    this->unfencedSendsFrom = unfencedFrom;
    this->tasks.clear();
    this->pacer.reset(largestModel, now);
}

void OrderPlanner::leaderStopped()
{
    this->leading = false;
    this->tasks.clear();
}

void OrderPlanner::endpointPresent(const state::EndpointDescription &description)
{
    Endpoint &endpoint = this->endpoints[description.id];
    const bool restarted = endpoint.description.incarnation < description.incarnation;
    if (restarted) {
        // Orders sent to its former incarnation are lost.
        endpoint.observation.reset();
        std::erase_if(this->tasks,
                      [&](const auto &each) { return each.first.second == description.id; });
    }
    if (restarted || endpoint.description.models != description.models)
        endpoint.models = {description.models.begin(), description.models.end()};
    endpoint.description = description;
}

void OrderPlanner::endpointGone(const EndpointId &endpoint)
{
    this->endpoints.erase(endpoint);
}

void OrderPlanner::observed(EndpointObservation observation, Instant askedAt)
{
    const auto found = this->endpoints.find(observation.endpoint);
    if (found == this->endpoints.end())
        return;
    Endpoint &endpoint = found->second;
    if (endpoint.observation && askedAt < endpoint.observedAt)
        return; // an answer to an older request came late
    endpoint.observedAt = askedAt;
    endpoint.models = observation.models;
    endpoint.observation = std::move(observation);
}

void OrderPlanner::sendDone(std::uint64_t orderId, const EndpointId &endpoint, SendOutcome outcome,
                            Instant now)
{
    const auto found = this->tasks.find({orderId, endpoint});
    if (found == this->tasks.end())
        return;
    found->second.sending = false;
    found->second.endedAt = now;
    found->second.refused = outcome == SendOutcome::Refused;
}

PlannerActions OrderPlanner::plan(const PlannerInput &input, Instant now)
{
    if (!this->leading)
        return {};
    Round round{input, now, {}, 0, {}, {}};
    std::vector<const Order *> orders;
    for (const Order &order : input.openOrders)
        orders.push_back(&order);
    const auto demandOf = [&](const Order *order) {
        const auto found = input.unmetDemand.find(order->spec.model);
        return found == input.unmetDemand.end() ? 0.0 : found->second;
    };
    // Loads compete for the weight store: models with the most unmet demand come first, the other
    // orders keep their order.
    std::stable_sort(orders.begin(), orders.end(), [&](const Order *left, const Order *right) {
        return demandOf(left) > demandOf(right);
    });
    this->collectInProgress(round);
    for (const Order *order : orders) {
        if (!order->isStanding())
            this->planNamedEndpoints(round, *order);
        else if (order->spec.kind == OrderKind::Load)
            this->planStandingLoad(round, *order);
        else
            this->planStandingUnload(round, *order);
    }
    return std::move(round.actions);
}

void OrderPlanner::collectInProgress(Round &round) const
{
    // Superseded orders count too: two sends to one endpoint could arrive in either order.
    for (const auto &[key, task] : this->tasks) {
        if (task.sending)
            round.busy.insert(key.second);
    }
    for (const Order &order : round.input.openOrders) {
        const auto first = this->tasks.lower_bound({order.id, EndpointId()});
        for (auto task = first; task != this->tasks.end() && task->first.first == order.id; ++task)
            round.loads += this->isLoading(task->first, order, round.now) ? 1 : 0;
    }
}

void OrderPlanner::planNamedEndpoints(Round &round, const Order &order)
{
    for (const EndpointId &endpoint : order.spec.endpoints) {
        const EndpointOrderProgress *progress = progressOf(order, endpoint);
        if (progress == nullptr || isUnderWay(order, endpoint))
            this->planEndpoint(round, order, endpoint);
    }
}

void OrderPlanner::planStandingUnload(Round &round, const Order &order)
{
    for (const auto &[id, endpoint] : this->endpoints) {
        const bool wanted = this->hasModel(id, order.spec.model) || isUnderWay(order, id);
        if (wanted && !order.excluded.contains(id))
            this->planEndpoint(round, order, id);
    }
}

void OrderPlanner::planStandingLoad(Round &round, const Order &order)
{
    std::size_t have = 0;
    std::vector<EndpointId> loading;
    std::map<FailureDomain, std::size_t> ofDomain;
    for (auto &[id, endpoint] : this->endpoints) {
        if (endpoint.description.kind != state::EndpointKind::Engine)
            continue;
        if (order.excluded.contains(id) || round.input.view.isDrained(id))
            continue;
        const bool loaded = this->hasModel(id, order.spec.model);
        const bool underWay = !loaded && this->isLoading({order.id, id}, order, round.now);
        if (underWay || (loaded && isUnderWay(order, id)))
            loading.push_back(id);
        if (loaded || underWay) {
            ++have;
            ++ofDomain[endpoint.description.failureDomain];
        }
    }
    for (const EndpointId &id : loading)
        this->planEndpoint(round, order, id);
    std::vector<EndpointId> candidates = this->loadCandidates(round, order);
    // Spread the replicas, so that losing one failure domain loses as few of them as possible.
    while (have < order.spec.endpointCount && !candidates.empty()) {
        const auto next = std::min_element(
                candidates.begin(), candidates.end(),
                [&](const EndpointId &left, const EndpointId &right) {
                    const auto rank = [&](const EndpointId &id) {
                        const Endpoint &endpoint = this->endpoints.at(id);
                        return std::make_pair(ofDomain[endpoint.description.failureDomain],
                                              endpoint.description.models.size());
                    };
                    return rank(left) < rank(right);
                });
        ++have;
        ++ofDomain[this->endpoints.at(*next).description.failureDomain];
        this->planEndpoint(round, order, *next);
        candidates.erase(next);
    }
}

std::vector<EndpointId> OrderPlanner::loadCandidates(const Round &round, const Order &order) const
{
    const state::table::ModelVersion *model =
            round.input.view.catalog.models().find(order.spec.model);
    std::set<EndpointId> stopping;
    for (const Order &each : round.input.openOrders) {
        if (each.spec.kind == OrderKind::Stop)
            stopping.insert(each.spec.endpoints.begin(), each.spec.endpoints.end());
    }
    std::vector<EndpointId> candidates;
    for (const auto &[id, endpoint] : this->endpoints) {
        const state::EndpointDescription &description = endpoint.description;
        const bool serves = model != nullptr && description.service == model->service
                            && description.kind == state::EndpointKind::Engine;
        const bool allowed = !order.excluded.contains(id) && !stopping.contains(id)
                             && !round.input.view.isDrained(id);
        const auto task = this->tasks.find({order.id, id});
        const bool tried =
                task != this->tasks.end()
                && (task->second.refused || this->isLoading(task->first, order, round.now));
        if (serves && allowed && !tried && !this->hasModel(id, order.spec.model))
            candidates.push_back(id);
    }
    return candidates;
}

void OrderPlanner::planEndpoint(Round &round, const Order &order, const EndpointId &id)
{
    const EndpointOrderProgress *progress = progressOf(order, id);
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end()) {
        // A stopped endpoint either stays away or returns as a new incarnation.
        const bool absent = round.now >= this->startedAt + this->settings.absenceTimeout;
        if (order.spec.kind == OrderKind::Stop && progress != nullptr && absent)
            this->record(round, order, id, EndpointOrderState::Applied, "");
        return;
    }
    Endpoint &endpoint = found->second;
    Task &task = this->tasks[{order.id, id}];
    if (task.sending)
        return;
    if (task.refused) {
        this->record(round, order, id, EndpointOrderState::Failed, "the endpoint refused it");
        return;
    }
    // A former leader or a send without an answer may have changed the endpoint, so earlier
    // observations don't count.
    const Instant seenAfter =
            task.everSent ? std::max(task.endedAt, this->startedAt) : this->startedAt;
    if (!this->observe(round, endpoint, seenAfter))
        return;
    if (isSatisfied(order, *endpoint.observation, progress)) {
        this->record(round, order, id, EndpointOrderState::Applied, "");
        return;
    }
    if (task.everSent && !this->mayResend(order, task, round.now)) {
        // Keep observing: the effect may come later than the answer.
        this->observe(round, endpoint, round.now - this->settings.observeInterval);
        return;
    }
    if (!isUnderWay(order, id)) {
        // Recorded in the log before the order is sent, so that the next leader knows the
        // incarnation.
        this->record(round, order, id, EndpointOrderState::Sent, "");
        return;
    }
    this->send(round, order, endpoint, task);
}

void OrderPlanner::send(Round &round, const Order &order, Endpoint &endpoint, Task &task)
{
    const Instant now = round.now;
    const Instant sendBefore = now + this->settings.maxSendDelay;
    // An order sent after the lease ends could arrive after an order of the next leader.
    const bool withinLease = sendBefore < round.input.leaseUntil;
    const bool safeFromLateOrders =
            endpoint.description.honoursFencing || now >= this->unfencedSendsFrom;
    const EndpointId &id = endpoint.description.id;
    if (!withinLease || !safeFromLateOrders || round.busy.contains(id))
        return;
    if (order.spec.kind == OrderKind::Load) {
        if (!this->pacer.mayStart(round.loads, now))
            return;
        this->pacer.started(weightOf(round.input.view, order.spec.model), now);
        ++round.loads;
    }
    task.sending = true;
    task.everSent = true;
    task.sentAt = now;
    round.busy.insert(id);
    round.actions.sends.push_back({order.id,
                                   id,
                                   endpoint.description.address,
                                   order.spec.kind,
                                   order.spec.model,
                                   order.spec.role,
                                   {this->term, round.input.appliedIndex},
                                   sendBefore});
}

void OrderPlanner::record(Round &round, const Order &order, const EndpointId &endpoint,
                          EndpointOrderState newState, const std::string &cause)
{
    const EndpointOrderProgress *known = progressOf(order, endpoint);
    if (known != nullptr && known->state == newState)
        return;
    std::uint64_t incarnation = known == nullptr ? 0 : known->incarnation;
    const auto found = this->endpoints.find(endpoint);
    if (known == nullptr && found != this->endpoints.end() && found->second.observation)
        incarnation = found->second.observation->incarnation;
    round.actions.records.push_back({order.id, endpoint, {newState, incarnation, cause}});
}

// Returns true if the endpoint was observed at or after that instant; otherwise asks for its state
// if due.
bool OrderPlanner::observe(Round &round, Endpoint &endpoint, Instant after) const
{
    if (endpoint.observation && endpoint.observedAt >= after)
        return true;
    const bool due =
            !endpoint.asked || round.now >= endpoint.askedAt + this->settings.observeInterval;
    if (due && round.observing.insert(endpoint.description.id).second) {
        endpoint.asked = true;
        endpoint.askedAt = round.now;
        round.actions.observe.push_back(endpoint.description.id);
    }
    return false;
}

bool OrderPlanner::mayResend(const Order &order, const Task &task, Instant now) const
{
    const bool load = order.spec.kind == OrderKind::Load;
    return now >= task.sentAt + (load ? this->settings.loadTimeout : this->settings.resendAfter);
}

bool OrderPlanner::isLoading(const TaskKey &key, const Order &order, Instant now) const
{
    const auto found = this->tasks.find(key);
    if (found == this->tasks.end() || order.spec.kind != OrderKind::Load)
        return false;
    const Task &task = found->second;
    const bool open = task.everSent && !task.refused && !this->mayResend(order, task, now);
    return open && this->endpoints.contains(key.second)
           && !this->hasModel(key.second, order.spec.model);
}

bool OrderPlanner::hasModel(const EndpointId &endpoint, const state::ModelName &model) const
{
    const auto found = this->endpoints.find(endpoint);
    return found != this->endpoints.end() && found->second.models.contains(model);
}

} // namespace lavenderthread::coordination::orders
