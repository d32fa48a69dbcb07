// Cost and speed of gossip by fleet size, in one process and virtual time: bytes a second,
// processor time and memory of a node, and how long a change takes to be known to all. usage:
// gossip-bench [--json] [--nodes N --replicas N]
#include "coordination/endpoints/EndpointLifecycle.h"
#include "coordination/membership/GossipFleet.h"
#include "coordination/ownership/OwnerRing.h"
#include "program/MembershipView.h"
#include "protocol/GossipMessages.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <iostream>

namespace lavenderthread::bench {

namespace {

using namespace coordination; // NOLINT(google-build-using-namespace): one program
using membership::GossipFleet;
using membership::Membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t headerBytes = 28; // IPv4 and UDP
constexpr state::Duration loadInterval = seconds(3);
const protocol::SealKeys keys{{"a key of the usual length, 32 B."}};

struct Size
{
    std::size_t nodes = 0;
    std::size_t replicas = 0;
};

// Ways that the design note weighs; the defaults are those of MembershipSettings.
struct Pace
{
    std::int64_t gossipMilliseconds = 200;
    unsigned fanout = 3;
    std::int64_t probeMilliseconds = 1'000;
    std::size_t statuses = 8;
    bool quick = false; // without the floods
};

Pace pace; // set once, by main

void adjust(membership::MembershipSettings &settings)
{
    settings.gossipInterval = milliseconds(pace.gossipMilliseconds);
    settings.gossipFanout = pace.fanout;
    settings.failureDetector.probeInterval = milliseconds(pace.probeMilliseconds);
    settings.statusesPerDatagram = pace.statuses;
}

struct Traffic
{
    double sentMean = 0; // bytes a second of one node
    double sentHighest = 0;
    double receivedMean = 0;
    double receivedHighest = 0;
};

state::EndpointId endpointId(std::size_t replica)
{
    return state::EndpointId("engine-" + std::to_string(1'000 + replica));
}

endpoints::EndpointRecord endpointRecord(std::size_t replica, std::size_t home)
{
    state::EndpointDescription description{endpointId(replica), {"10.2.100.200", 8'000}};
    description.failureDomain = state::FailureDomain("domain-" + std::to_string(replica % 18));
    description.service = state::ServiceName("completions");
    description.models = {state::ModelName("billing-v" + std::to_string(replica % 4))};
    description.incarnation = 1'700'000'000'000;
    description.kvCapacityTokens = 500'000;
    description.prefillTokensPerSecond = 10'000;
    description.decodeTokensPerSecond = 40;
    endpoints::EndpointRecord record{
            description.id,         description.incarnation, 1, 1, endpoints::EndpointPhase::Live,
            GossipFleet::idOf(home)};
    record.description = std::make_shared<const state::EndpointDescription>(description);
    return record;
}

// A fleet whose nodes know all members and all endpoints, with loads sent as the service does.
class LoadedFleet
{
public:
    LoadedFleet(Size chosen, double loss, std::uint64_t seed, bool knowEndpoints = true)
        : size(chosen)
        , fleet({.nodes = chosen.nodes, .loss = loss, .seed = seed, .adjust = adjust})
    {
        for (std::size_t node = 0; node < this->size.nodes && knowEndpoints; ++node) {
            membership::GossipMessage all;
            all.kind = membership::GossipKind::Records;
            all.cluster = "test";
            all.sender = GossipFleet::idOf(node == 0 ? 1 : 0);
            all.senderIncarnation = 1'000;
            for (std::size_t replica = 0; replica < this->size.replicas; ++replica)
                all.endpointRecords.push_back(endpointRecord(replica, replica % this->size.nodes));
            this->fleet.at(node).receive(all, {}, this->fleet.now());
        }
        this->ring = ownership::OwnerRing::fromMembers(this->fleet.at(0).members());
        this->received.resize(this->size.nodes);
        this->fleet.observer = [this](const GossipFleet::Delivery &delivery) {
            const std::size_t bytes =
                    membership::wireBytes(delivery.message) + protocol::sealBytes + headerBytes;
            this->received[delivery.to] += bytes;
            if (delivery.to == 0 && this->recording)
                this->recorded.push_back(delivery);
        };
    }

    void run(state::Duration time)
    {
        const state::Instant end = this->fleet.now() + time;
        while (this->fleet.now() < end) {
            for (std::size_t node = 0; node < this->size.nodes; ++node) {
                if (this->fleet.isUp(node))
                    this->sendLoads(node);
            }
            this->fleet.run(std::min<state::Duration>(loadInterval, end - this->fleet.now()));
        }
    }

    Traffic measure(seconds time)
    {
        std::vector<std::uint64_t> sentBefore;
        for (std::size_t node = 0; node < this->size.nodes; ++node)
            sentBefore.push_back(this->fleet.at(node).counters().sentBytes);
        std::fill(this->received.begin(), this->received.end(), 0);
        this->run(time);
        Traffic traffic;
        const auto perSecond = static_cast<double>(time.count());
        for (std::size_t node = 0; node < this->size.nodes; ++node) {
            const double sent = static_cast<double>(this->fleet.at(node).counters().sentBytes
                                                    - sentBefore[node])
                                / perSecond;
            const double got = static_cast<double>(this->received[node]) / perSecond;
            traffic.sentMean += sent / static_cast<double>(this->size.nodes);
            traffic.receivedMean += got / static_cast<double>(this->size.nodes);
            traffic.sentHighest = std::max(traffic.sentHighest, sent);
            traffic.receivedHighest = std::max(traffic.receivedHighest, got);
        }
        return traffic;
    }

    std::vector<state::LoadReport> loadsOf(std::size_t node) const
    {
        std::vector<state::LoadReport> loads;
        for (std::size_t replica = node; replica < this->size.replicas; replica += this->size.nodes)
            loads.push_back({endpointId(replica), 1'700'000'000'000, 5, 6, 7, 8'000, 90'000});
        return loads;
    }

    Size size;
    GossipFleet fleet;
    ownership::OwnerRing ring;
    std::vector<std::uint64_t> received;
    bool recording = false;
    std::vector<GossipFleet::Delivery> recorded; // that arrived at node 0

private:
    void sendLoads(std::size_t node)
    {
        this->fleet.perform(
                node, this->fleet.at(node).sendLoads(
                              this->loadsOf(node),
                              this->ring.watchersOf(GossipFleet::idOf(node), this->size.replicas),
                              this->fleet.now()));
    }
};

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Replays what arrived at node 0 into a copy of it, with all that the service does: seals, views,
// endpoint ticks. Share of one core.
double processorShare(LoadedFleet &loaded, seconds time)
{
    const Membership before = loaded.fleet.at(0);
    const state::Instant start = loaded.fleet.now();
    loaded.recorded.clear();
    loaded.recording = true;
    loaded.run(time);
    loaded.recording = false;
    std::vector<std::string> datagrams;
    for (const GossipFleet::Delivery &delivery : loaded.recorded)
        datagrams.push_back(protocol::sealGossip(keys, delivery.message).value());

    constexpr int repeats = 5;
    std::size_t sink = 0;
    const double began = processorSeconds();
    for (int repeat = 0; repeat < repeats; ++repeat) {
        Membership machine = before;
        auto life = endpoints::EndpointLifecycle::create({}, machine.self(), start).value();
        auto ring = ownership::OwnerRing::fromMembers(machine.members());
        const auto perform = [&](const membership::GossipActions &actions) {
            for (const membership::GossipSend &send : actions.sends)
                sink += protocol::sealGossip(keys, send.message).value().size();
        };
        std::size_t next = 0;
        const state::Instant end = start + time;
        int ticks = 0;
        for (state::Instant now = start; now < end; now += Membership::tickInterval, ++ticks) {
            while (next < datagrams.size() && loaded.recorded[next].at <= now) {
                const auto message = protocol::unsealGossip(keys, datagrams[next]);
                perform(machine.receive(message.value(), loaded.recorded[next].from, now));
                ++next;
            }
            perform(machine.tick(now));
            if (ticks % 10 != 0)
                continue;
            ring = ownership::OwnerRing::fromMembers(machine.members());
            sink += life.tick({machine.endpointTable(), machine.members(), ring}, now).size();
            const auto members = std::make_shared<const membership::MemberTable>(machine.members());
            sink += members->entries().size();
            if (ticks % 30 == 0)
                perform(machine.sendLoads(loaded.loadsOf(0),
                                          ring.watchersOf(machine.self(), loaded.size.replicas),
                                          now));
        }
        // As if the endpoints had changed once in the time; at the planned size it is less often.
        const auto shared = std::make_shared<const ownership::OwnerRing>(ring);
        sink += program::EndpointsView::fromTable(machine.endpointTable(), shared, nullptr)
                        .endpoints.size();
    }
    const double used = processorSeconds() - began;
    return sink == 0 ? -1 : used / (repeats * static_cast<double>(time.count()));
}

// Heap of one node's state and two generations of its views, nothing shared with other nodes.
double memoryMegabytes(const Size &size)
{
    const Size own = size;
    const std::size_t before = mallinfo2().uordblks;
    GossipFleet fleet({.nodes = 1, .preload = false});
    Membership &machine = fleet.at(0);
    for (std::size_t node = 1; node < own.nodes; ++node) {
        membership::GossipMessage message{membership::GossipKind::Records, "test",
                                          GossipFleet::idOf(1), 1'000};
        membership::MemberRecord record{GossipFleet::idOf(node), 1'000, 1,
                                        membership::MemberPhase::Serving};
        record.description = std::make_shared<const membership::MemberDescription>(
                fleet.settingsOf(node).description);
        message.members.push_back(record);
        machine.receive(message, {}, fleet.now());
    }
    for (std::size_t replica = 0; replica < own.replicas; ++replica)
        machine.publish(endpointRecord(replica, replica % own.nodes), fleet.now());
    auto life = endpoints::EndpointLifecycle::create({}, machine.self(), fleet.now()).value();
    const auto ring = std::make_shared<const ownership::OwnerRing>(
            ownership::OwnerRing::fromMembers(machine.members()));
    life.tick({machine.endpointTable(), machine.members(), *ring}, fleet.now());
    const auto view = program::EndpointsView::fromTable(machine.endpointTable(), ring, nullptr);
    const auto olderView =
            program::EndpointsView::fromTable(machine.endpointTable(), ring, nullptr);
    const membership::MemberTable members = machine.members();
    const membership::MemberTable olderMembers = machine.members();
    const std::size_t after = mallinfo2().uordblks;
    return static_cast<double>(after - before) / 1e6;
}

double inSeconds(state::Duration time)
{
    return std::chrono::duration<double>(time).count();
}

double secondsUntilDrainKnown(const Size &size, double loss, std::uint64_t seed)
{
    LoadedFleet loaded(size, loss, seed);
    loaded.run(seconds(4));
    endpoints::EndpointRecord mark{endpointId(1)};
    mark.drain = {{3, 9}, true};
    loaded.fleet.perform(0, loaded.fleet.at(0).publish(mark, loaded.fleet.now()));
    return inSeconds(loaded.fleet.runUntil(
            [&] {
                for (std::size_t node = 0; node < size.nodes; ++node) {
                    const auto *entry = loaded.fleet.at(node).endpointTable().find(endpointId(1));
                    if (!entry->record.drain.draining)
                        return false;
                }
                return true;
            },
            seconds(60)));
}

// Highest and mean over some seeds.
boost::json::object drainFigures(const Size &size, double loss)
{
    constexpr std::uint64_t seeds = 5;
    double highest = 0;
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const double took = secondsUntilDrainKnown(size, loss, seed);
        highest = took < 0 ? 60 : std::max(highest, took);
        sum += took < 0 ? 60 : took;
    }
    const double gossipSeconds = static_cast<double>(pace.gossipMilliseconds) / 1'000;
    return {{"loss", loss},
            {"mean_s", sum / seeds},
            {"highest_s", highest},
            {"highest_rounds", highest / gossipSeconds}};
}

double secondsUntilDeathKnown(const Size &size)
{
    LoadedFleet loaded(size, 0.01, 4);
    loaded.run(seconds(4));
    loaded.fleet.kill(1);
    return inSeconds(loaded.fleet.runUntil(
            [&] {
                return loaded.fleet.countViews(1, membership::MemberHealth::Dead) == size.nodes - 1;
            },
            seconds(120)));
}

double secondsUntilJoined(const Size &size)
{
    LoadedFleet loaded(size, 0.01, 5);
    loaded.run(seconds(4));
    loaded.fleet.restart(size.nodes - 1, 5'000);
    return inSeconds(loaded.fleet.runUntil(
            [&] { return loaded.fleet.at(size.nodes - 1).isSynced(); }, seconds(120)));
}

// A whole failure domain of eighteen dies at once, with the endpoints announced there.
boost::json::object domainLoss(const Size &size)
{
    constexpr std::size_t domains = 18;
    LoadedFleet loaded(size, 0.01, 6);
    loaded.run(seconds(4));
    std::vector<std::size_t> dead;
    for (std::size_t node = 0; node < size.nodes; node += domains) {
        if (size.nodes > domains || node == 0)
            dead.push_back(node);
    }
    for (const std::size_t node : dead)
        loaded.fleet.kill(node);
    const state::Instant start = loaded.fleet.now();
    Traffic worst;
    double known = -1;
    for (int second = 0; second < 120 && known < 0; second += 4) {
        const Traffic traffic = loaded.measure(seconds(4));
        worst.sentHighest = std::max(worst.sentHighest, traffic.sentHighest);
        worst.receivedHighest = std::max(worst.receivedHighest, traffic.receivedHighest);
        const bool all = std::all_of(dead.begin(), dead.end(), [&](std::size_t node) {
            return loaded.fleet.countViews(node, membership::MemberHealth::Dead)
                   == size.nodes - dead.size();
        });
        known = all ? inSeconds(loaded.fleet.now() - start) : -1;
    }
    return {{"nodes", dead.size()},
            {"known_s", known},
            {"sent_highest", worst.sentHighest},
            {"received_highest", worst.receivedHighest}};
}

// All endpoints announce themselves within five seconds, after a start of the whole fleet.
boost::json::object coldStart(const Size &size)
{
    LoadedFleet loaded(size, 0.01, 7, false);
    loaded.run(seconds(2));
    const state::Instant start = loaded.fleet.now();
    for (int slice = 0; slice < 5; ++slice) {
        for (std::size_t replica = static_cast<std::size_t>(slice); replica < size.replicas;
             replica += 5) {
            const std::size_t home = replica % size.nodes;
            loaded.fleet.perform(home, loaded.fleet.at(home).publish(endpointRecord(replica, home),
                                                                     loaded.fleet.now()));
        }
        loaded.fleet.run(seconds(1));
    }
    const state::Duration took = loaded.fleet.runUntil(
            [&] {
                for (std::size_t node = 0; node < size.nodes; ++node) {
                    if (loaded.fleet.at(node).endpointTable().entries().size() < size.replicas)
                        return false;
                }
                return true;
            },
            seconds(300));
    const double known =
            took < state::Duration::zero() ? -1 : inSeconds(loaded.fleet.now() - start);
    return {{"known_s", known}};
}

boost::json::object measure(const Size &size)
{
    LoadedFleet steady(size, 0.01, 1);
    steady.run(seconds(20));
    const Traffic traffic = steady.measure(seconds(60));
    const double processor = processorShare(steady, seconds(30));
    boost::json::array drains;
    for (const double loss : {0.0, 0.05, 0.2})
        drains.push_back(drainFigures(size, loss));
    boost::json::object row{
            {"nodes", size.nodes},
            {"replicas", size.replicas},
            {"sent_mean", traffic.sentMean},
            {"sent_highest", traffic.sentHighest},
            {"received_mean", traffic.receivedMean},
            {"received_highest", traffic.receivedHighest},
            {"processor_share", processor},
            {"memory_mb", memoryMegabytes(size)},
            {"watchers", steady.ring.watchersOf(GossipFleet::idOf(0), size.replicas).size()},
            {"drain_known", drains},
            {"death_known_s", secondsUntilDeathKnown(size)},
            {"joined_s", secondsUntilJoined(size)}};
    if (!pace.quick) {
        row["domain_loss"] = domainLoss(size);
        row["cold_start"] = coldStart(size);
    }
    return row;
}

void print(const boost::json::object &row)
{
    std::cout << "nodes " << row.at("nodes") << ", replicas " << row.at("replicas") << '\n';
    for (const auto &[name, value] : row) {
        if (name != "nodes" && name != "replicas")
            std::cout << "  " << std::string(name) << ' ' << value << '\n';
    }
}

} // namespace

} // namespace lavenderthread::bench

int main(int argc, char **argv)
{
    using lavenderthread::bench::Size;
    CLI::App app{"Cost and speed of gossip by fleet size"};
    bool json = false;
    Size only;
    app.add_flag("--json", json, "one JSON document");
    app.add_option("--nodes", only.nodes, "only this many nodes");
    app.add_option("--replicas", only.replicas, "with --nodes; 5 a node if not given");
    auto &pace = lavenderthread::bench::pace;
    app.add_flag("--quick", pace.quick, "leave out the floods");
    app.add_option("--gossip-ms", pace.gossipMilliseconds, "between datagrams of news");
    app.add_option("--fanout", pace.fanout, "datagrams of news at once");
    app.add_option("--probe-ms", pace.probeMilliseconds, "between probes");
    app.add_option("--statuses", pace.statuses, "in a probe or its answer");
    CLI11_PARSE(app, argc, argv);
    std::vector<Size> sizes{{6, 30}, {18, 90}, {54, 270}, {370, 1'800}};
    if (only.nodes > 0)
        sizes = {{only.nodes, only.replicas > 0 ? only.replicas : only.nodes * 5}};
    boost::json::array rows;
    for (const Size &size : sizes) {
        rows.push_back(lavenderthread::bench::measure(size));
        if (!json)
            lavenderthread::bench::print(rows.back().as_object());
    }
    if (json)
        std::cout << rows << '\n';
    return 0;
}
