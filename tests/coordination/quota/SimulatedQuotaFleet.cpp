// Event loop, network and limit checks of the simulated fleet.
#include "coordination/quota/SimulatedQuotaFleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavenderthread::coordination::quota {

using state::Duration;
using state::Instant;
using state::TableKey;

state::VmId fleetVm(std::size_t node)
{
    std::string text = std::to_string(node);
    return state::VmId("vm-" + std::string(4 - std::min<std::size_t>(text.size(), 4), '0') + text);
}

SimulatedQuotaFleet::SimulatedQuotaFleet(std::size_t size, QuotaSettings settings,
                                         FleetFaults faults, std::uint64_t seed)
    : settings(settings)
    , faults(faults)
    , random(seed)
    , nodes(size)
{
    for (std::size_t node = 0; node < size; ++node)
        this->roster.entries.push_back(fleetVm(node));
    this->roster.version = 1;
    for (std::size_t node = 0; node < size; ++node) {
        this->nodes[node].clockRate = 1 + this->faults.clockSkew * (2 * this->randomFraction() - 1);
        this->nodes[node].clockOffset = std::chrono::milliseconds(this->random() % 1'000'000);
        this->startNode(node, std::chrono::hours(1));
    }
}

Instant SimulatedQuotaFleet::localNow(std::size_t node) const
{
    const auto elapsed = static_cast<double>(this->now.time_since_epoch().count());
    const auto local = static_cast<std::int64_t>(elapsed * this->nodes[node].clockRate);
    return Instant(Duration(local) + this->nodes[node].clockOffset);
}

void SimulatedQuotaFleet::startNode(std::size_t node, Duration rosterAge)
{
    Node &self = this->nodes[node];
    const Instant local = this->localNow(node);
    self.quota =
            std::make_unique<QuotaNode>(fleetVm(node), self.incarnation, this->settings, local);
    self.quota->configure(this->roster, rosterAge, local);
    for (const auto &[account, totals] : this->accountTotals)
        self.quota->setRow(totals.row, local);
    const Duration jitter(static_cast<std::int64_t>(this->random() % tickInterval.count()));
    this->at(jitter, [this, node, incarnation = self.incarnation] {
        if (this->nodes[node].incarnation == incarnation)
            this->tick(node);
    });
}

void SimulatedQuotaFleet::setRow(const state::TableRow &row)
{
    AccountTotals &totals = this->accountTotals[row.key];
    totals.row = row;
    totals.tokenLevel = static_cast<double>(row.tokensPerSecondLimit);
    totals.filledUntil = this->now;
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
        if (this->isUp(node))
            this->nodes[node].quota->setRow(row, this->localNow(node));
    }
}

void SimulatedQuotaFleet::configure(const std::vector<std::size_t> &members, std::uint64_t version,
                                    std::size_t at)
{
    Roster next;
    next.version = version;
    for (const std::size_t member : members)
        next.entries.push_back(fleetVm(member));
    this->nodes[at].quota->configure(next, Duration(0), this->localNow(at));
}

void SimulatedQuotaFleet::addWorkload(const Workload &workload)
{
    this->workloads.push_back(workload);
    this->arrive(this->workloads.size() - 1);
}

void SimulatedQuotaFleet::run(Duration length)
{
    const Instant end = this->now + length;
    while (!this->events.empty() && this->events.top().when <= end) {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.when;
        event.action();
    }
    this->now = end;
}

void SimulatedQuotaFleet::at(Duration fromNow, std::function<void()> action)
{
    this->events.push({this->now + fromNow, this->nextOrder++, std::move(action)});
}

void SimulatedQuotaFleet::crash(std::size_t node)
{
    this->nodes[node].quota.reset();
    this->nodes[node].waiting.clear();
    this->nodes[node].running.clear();
    ++this->nodes[node].incarnation;
}

void SimulatedQuotaFleet::restart(std::size_t node)
{
    if (!this->isUp(node))
        this->startNode(node, std::chrono::hours(1));
}

void SimulatedQuotaFleet::partition(const std::function<int(std::size_t)> &sideOf)
{
    for (std::size_t node = 0; node < this->nodes.size(); ++node)
        this->nodes[node].side = sideOf(node);
}

std::uint64_t SimulatedQuotaFleet::running(const TableKey &account) const
{
    std::uint64_t sum = 0;
    for (const Node &node : this->nodes) {
        const auto found = node.running.find(account);
        sum += found == node.running.end() ? 0 : found->second;
    }
    return sum;
}

std::uint64_t SimulatedQuotaFleet::started(const TableKey &account) const
{
    return this->accountTotals.at(account).started;
}

void SimulatedQuotaFleet::tick(std::size_t node)
{
    Node &self = this->nodes[node];
    if (!self.quota)
        return;
    const Instant local = this->localNow(node);
    for (auto &[account, queue] : self.waiting) {
        std::erase_if(queue,
                      [&](const WaitingRequest &request) { return request.deadline <= local; });
        this->startWaiting(node, account);
        QuotaDemand demand;
        demand.waitingRequests = queue.size();
        for (const WaitingRequest &request : queue) {
            demand.latestDeadline = std::max(demand.latestDeadline, request.deadline);
            demand.tokensPerSecond += request.tokens / 2;
        }
        for (const Workload &load : this->workloads) {
            if (load.node == node && load.account == account)
                demand.tokensPerSecond += static_cast<std::uint64_t>(
                        load.arrivalsPerSecond * static_cast<double>(load.tokens));
        }
        self.quota->setDemand(quotaKeyOf(account), demand);
    }
    this->send(node, self.quota->tick(local));
    this->at(tickInterval, [this, node, incarnation = self.incarnation] {
        if (this->nodes[node].incarnation == incarnation)
            this->tick(node);
    });
}

void SimulatedQuotaFleet::arrive(std::size_t index)
{
    if (index >= this->workloads.size())
        return;
    const Workload &load = this->workloads[index];
    if (this->isUp(load.node)) {
        const auto spread = Duration(static_cast<std::int64_t>(
                static_cast<double>(load.serviceTime.count()) * 2 * this->randomFraction()));
        const Instant deadline = this->localNow(load.node) + load.deadline;
        this->nodes[load.node].waiting[load.account].push_back({deadline, spread, load.tokens});
        this->startWaiting(load.node, load.account);
    }
    const double gap = -std::log(1 - this->randomFraction()) / load.arrivalsPerSecond;
    this->at(Duration(static_cast<std::int64_t>(gap * 1e6)),
             [this, index] { this->arrive(index); });
}

void SimulatedQuotaFleet::startWaiting(std::size_t node, const TableKey &account)
{
    Node &self = this->nodes[node];
    auto &queue = self.waiting[account];
    while (!queue.empty()) {
        const WaitingRequest request = queue.front();
        const Instant local = this->localNow(node);
        if (self.quota->tryStart(quotaKeyOf(account), request.tokens, request.deadline, local)
            != QuotaResult::Started)
            return;
        queue.pop_front();
        ++self.running[account];
        this->checkLimits(account, request.tokens);
        const Duration length = std::min(request.serviceTime, request.deadline - local);
        // With a slow clock, a request runs a little longer than its deadline allows.
        const auto real = Duration(
                static_cast<std::int64_t>(static_cast<double>(length.count()) / self.clockRate));
        this->at(real, [this, node, account, request, incarnation = self.incarnation] {
            Node &later = this->nodes[node];
            if (later.incarnation != incarnation)
                return;
            --later.running[account];
            later.quota->finish(quotaKeyOf(account), request.deadline);
            this->startWaiting(node, account);
        });
    }
}

void SimulatedQuotaFleet::checkLimits(const TableKey &account, std::uint64_t tokens)
{
    AccountTotals &totals = this->accountTotals.at(account);
    ++totals.started;
    const std::uint64_t limit = totals.row.inFlightLimit;
    const std::uint64_t all = this->running(account);
    if (limit != 0 && all > limit)
        this->excessSlots = std::max(this->excessSlots, all - limit);
    const auto rate = static_cast<double>(totals.row.tokensPerSecondLimit);
    if (rate == 0)
        return;
    const double elapsed = std::chrono::duration<double>(this->now - totals.filledUntil).count();
    const double full = rate * std::chrono::duration<double>(this->settings.burst).count();
    // A node with a fast clock fills its bucket faster.
    const double fastest = rate * (1 + this->faults.clockSkew);
    totals.tokenLevel = std::min(totals.tokenLevel + fastest * elapsed, full);
    totals.tokenLevel -= static_cast<double>(tokens);
    totals.filledUntil = this->now;
    this->excessTokens = std::max(this->excessTokens, -totals.tokenLevel);
}

void SimulatedQuotaFleet::send(std::size_t from, const std::vector<OutgoingQuotaMessage> &messages)
{
    for (const OutgoingQuotaMessage &message : messages) {
        if (this->onSend)
            this->onSend(from, message);
        const auto place = std::lower_bound(this->roster.entries.begin(),
                                            this->roster.entries.end(), message.to);
        const auto to = static_cast<std::size_t>(place - this->roster.entries.begin());
        int copies = this->randomFraction() < this->faults.loss ? 0 : 1;
        copies += this->randomFraction() < this->faults.duplication ? 1 : 0;
        for (int copy = 0; copy < copies; ++copy) {
            const Duration spread = this->faults.maximumDelay - this->faults.minimumDelay;
            const auto delay =
                    this->faults.minimumDelay
                    + Duration(static_cast<std::int64_t>(static_cast<double>(spread.count())
                                                         * this->randomFraction()));
            this->at(delay, [this, from, to, copied = message.message] {
                this->deliver(from, to, copied);
            });
        }
    }
}

void SimulatedQuotaFleet::deliver(std::size_t from, std::size_t to, const QuotaMessage &message)
{
    if (!this->isUp(to) || this->nodes[from].side != this->nodes[to].side)
        return;
    this->send(to, this->nodes[to].quota->receive(message, this->localNow(to)));
    for (const auto &grant : message.grants) {
        for (const auto &[account, totals] : this->accountTotals) {
            if (quotaKeyOf(account) == grant.key)
                this->startWaiting(to, account);
        }
    }
}

} // namespace lavenderthread::coordination::quota
