// Event loop of the simulated fleet.
#include "coordination/membership/GossipFleet.h"

namespace lavenderthread::coordination::membership {

namespace {

constexpr std::uint64_t firstIncarnation = 1'000;
constexpr std::uint16_t firstPort = 1'000;
constexpr std::size_t failureDomains = 18;
constexpr std::size_t regions = 5;

} // namespace

GossipFleet::GossipFleet(FleetSettings chosen)
    : settings(std::move(chosen))
    , random(this->settings.seed)
{
    for (Index node = 0; node < this->settings.nodes; ++node) {
        this->machines.push_back(Membership::create(this->settingsOf(node), this->current).value());
        this->down.push_back(false);
        this->nextTick.push_back(this->current
                                 + state::Duration(this->random() % 100) * 1'000); // staggered
    }
    if (!this->settings.preload)
        return;
    GossipMessage all;
    all.kind = GossipKind::Records;
    all.cluster = "test";
    for (Index node = 0; node < this->settings.nodes; ++node) {
        const SelfState serving{MemberPhase::Serving, true, 1, 0};
        this->machines[node].setSelf(serving, this->current);
        all.members.push_back(this->machines[node].selfRecord());
    }
    for (Index node = 0; node < this->settings.nodes; ++node) {
        all.sender = idOf(node == 0 ? this->settings.nodes - 1 : 0);
        all.senderIncarnation = firstIncarnation;
        this->machines[node].receive(all, {}, this->current);
    }
}

state::VmId GossipFleet::idOf(Index node)
{
    return state::VmId("entry-" + std::to_string(100 + node));
}

state::Address GossipFleet::addressOf(Index node)
{
    return {"10.1.100.200", static_cast<std::uint16_t>(firstPort + node)};
}

MembershipSettings GossipFleet::settingsOf(Index node) const
{
    MembershipSettings own;
    own.cluster = "test";
    own.self = idOf(node);
    own.incarnation = firstIncarnation;
    own.description.caller = {"10.1.100.200", 80};
    own.description.control = {"10.1.100.200", 90};
    own.description.gossip = addressOf(node);
    own.description.failureDomain =
            state::FailureDomain("domain-" + std::to_string(node % failureDomains));
    own.description.region =
            state::Region("region-" + std::to_string(node % failureDomains % regions));
    own.seeds = {addressOf(0), addressOf(1), addressOf(2)};
    own.randomSeed = this->settings.seed * 1'000 + node;
    if (this->settings.adjust)
        this->settings.adjust(own);
    return own;
}

void GossipFleet::run(state::Duration time)
{
    constexpr state::Duration step = std::chrono::milliseconds(1);
    const state::Instant end = this->current + time;
    while (this->current < end) {
        this->current += step;
        while (!this->deliveries.empty() && this->deliveries.top().at <= this->current) {
            const Delivery delivery = this->deliveries.top();
            this->deliveries.pop();
            this->deliver(delivery);
        }
        this->runDueTicks();
    }
}

state::Duration GossipFleet::runUntil(const std::function<bool()> &done, state::Duration limit)
{
    constexpr state::Duration step = std::chrono::milliseconds(100);
    const state::Instant start = this->current;
    while (!done()) {
        if (this->current - start >= limit)
            return std::chrono::seconds(-1);
        this->run(step);
    }
    return this->current - start;
}

void GossipFleet::restart(Index node, std::uint64_t incarnation)
{
    MembershipSettings again = this->settingsOf(node);
    again.incarnation = incarnation;
    again.randomSeed += incarnation;
    this->machines[node] = Membership::create(again, this->current).value();
    this->down[node] = false;
}

void GossipFleet::serve(Index node)
{
    const SelfState serving{MemberPhase::Serving, true, 1, 0};
    this->perform(node, this->machines[node].setSelf(serving, this->current));
}

void GossipFleet::perform(Index node, const GossipActions &actions)
{
    for (const GossipSend &send : actions.sends) {
        const Index to = send.to.port - firstPort;
        if (to >= this->machines.size() || (this->linkFilter && !this->linkFilter(node, to)))
            continue;
        const int copies = this->randomFraction() < this->settings.duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (this->randomFraction() < this->settings.loss)
                continue;
            const auto spread = static_cast<std::uint64_t>(
                    (this->settings.longestDelay - this->settings.shortestDelay).count() + 1);
            const state::Duration delay =
                    this->settings.shortestDelay
                    + state::Duration(static_cast<std::int64_t>(this->random() % spread));
            this->deliveries.push(
                    {this->current + delay, this->serial++, to, addressOf(node), send.message});
        }
    }
}

std::size_t GossipFleet::countViews(Index subject, MemberHealth health)
{
    std::size_t count = 0;
    for (Index node = 0; node < this->machines.size(); ++node) {
        const MemberEntry *entry = this->machines[node].members().find(idOf(subject));
        if (node != subject && this->isUp(node) && entry != nullptr
            && entry->record.health == health)
            ++count;
    }
    return count;
}

void GossipFleet::runDueTicks()
{
    for (Index node = 0; node < this->machines.size(); ++node) {
        if (this->down[node] || this->current < this->nextTick[node])
            continue;
        this->nextTick[node] = this->current + Membership::tickInterval;
        this->perform(node, this->machines[node].tick(this->current));
    }
}

void GossipFleet::deliver(const Delivery &delivery)
{
    if (this->down[delivery.to])
        return;
    if (this->observer)
        this->observer(delivery);
    this->perform(delivery.to, this->machines[delivery.to].receive(delivery.message, delivery.from,
                                                                   this->current));
}

} // namespace lavenderthread::coordination::membership
