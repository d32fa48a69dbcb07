// Cost of coordinating global limits and shares: a fleet of quota and share nodes in made-up time,
// demand that moves about, and every message encoded as it would be sent.
// usage: quota-bench [--entries N] [--accounts N] [--seed N] [--seconds N] [--headroom X]
#include "coordination/quota/QuotaNode.h"
#include "coordination/quota/ShareNode.h"
#include "protocol/Envelope.h"
#include "protocol/Seal.h"

#include <CLI/CLI.hpp>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ctime>
#include <iostream>
#include <random>
#include <string>
#include <vector>

namespace lavenderthread::bench {
namespace {

using coordination::quota::QuotaKey;
using coordination::quota::QuotaNode;
using coordination::quota::ShareNode;
using state::Duration;
using state::Instant;

constexpr double inFlightPerEntry = 62; // 2 300 requests a second of 10 s over 370 entries

constexpr double besideHomesShare = 0.1; // of the callers, at entries that are no homes
constexpr std::uint64_t tokensPerSecondOfRequest = 100;
constexpr auto demandMoves = std::chrono::seconds(2);
constexpr auto warmUp = std::chrono::seconds(10);
constexpr auto requestDeadline = std::chrono::seconds(30);

struct Options
{
    std::size_t entries = 18;
    std::size_t accounts = 10;
    std::uint64_t seed = 1;
    int seconds = 20;
    double headroom = 2; // limit of an account over its mean demand
};

// Requests of one account at one entry.
struct Spot
{
    std::size_t entry;
    QuotaKey key;
    double mean;
    std::uint32_t weight;
    std::uint64_t wanted = 0;
    std::vector<Instant> running; // their deadlines
};

struct Traffic
{
    std::vector<double> bytes; // sent and received, by entry
    std::vector<double> messages;

    explicit Traffic(std::size_t entries)
        : bytes(entries)
        , messages(entries)
    {}

    void count(std::size_t from, std::size_t to, std::size_t size)
    {
        for (const std::size_t entry : {from, to}) {
            this->bytes[entry] += static_cast<double>(size);
            this->messages[entry] += 1;
        }
    }
};

class Fleet
{
public:
    explicit Fleet(const Options &options);
    void run();
    void print() const;

private:
    void placeAccounts();
    void moveDemand();
    void serve(Spot &spot);
    void tick(std::size_t entry, bool counted);
    template <typename Messages>
    void send(std::size_t from, const Messages &messages, Traffic &traffic, bool counted);
    void deliver(std::size_t to, const coordination::quota::QuotaMessage &message, bool counted);
    void deliver(std::size_t to, const coordination::quota::ShareMessage &message, bool counted);
    static state::VmId vm(std::size_t entry)
    {
        return state::VmId("10.0.0." + std::to_string(100'000 + entry));
    }
    std::size_t indexOf(const state::VmId &vm) const;

    Options options;
    std::mt19937_64 random;
    coordination::quota::Roster roster;
    std::vector<QuotaNode> quotas;
    std::vector<ShareNode> shares;
    std::vector<Spot> spots;
    std::vector<std::vector<std::size_t>> spotsOfEntry;
    Traffic quotaTraffic;
    Traffic shareTraffic;
    double processorSeconds = 0; // in the nodes, whole fleet, counted part
    double heapBytes = 0;        // of all nodes
    Instant now{std::chrono::hours(1)};
    std::uint64_t unmet = 0;
    std::uint64_t met = 0;
};

double processorNow()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

Fleet::Fleet(const Options &options)
    : options(options)
    , random(options.seed)
    , spotsOfEntry(options.entries)
    , quotaTraffic(options.entries)
    , shareTraffic(options.entries)
{
    this->roster.version = 1;
    for (std::size_t entry = 0; entry < options.entries; ++entry)
        this->roster.entries.push_back(vm(entry));
    const auto before = mallinfo2().uordblks;
    for (std::size_t entry = 0; entry < options.entries; ++entry) {
        this->quotas.emplace_back(vm(entry), 1, coordination::quota::QuotaSettings{}, this->now);
        this->quotas.back().configure(this->roster, std::chrono::hours(1), this->now);
        this->shares.emplace_back(vm(entry));
        this->shares.back().setLiveEntries(this->roster.entries);
    }
    this->placeAccounts();
    this->heapBytes = static_cast<double>(mallinfo2().uordblks - before);
}

std::size_t Fleet::indexOf(const state::VmId &vm) const
{
    const auto &all = this->roster.entries;
    return static_cast<std::size_t>(std::lower_bound(all.begin(), all.end(), vm) - all.begin());
}

// Demand by Zipf's law over the accounts; an account's callers are at its homes, unevenly, and a
// few of them elsewhere.
void Fleet::placeAccounts()
{
    double harmonic = 0;
    for (std::size_t account = 0; account < this->options.accounts; ++account)
        harmonic += 1 / static_cast<double>(account + 1);
    for (std::size_t account = 0; account < this->options.accounts; ++account) {
        const double mean = inFlightPerEntry * static_cast<double>(this->options.entries)
                            / static_cast<double>(account + 1) / harmonic;
        state::TableRow row;
        row.key.account = state::ClientAccountId("account-" + std::to_string(account));
        row.inFlightLimit =
                static_cast<std::uint32_t>(std::max(4.0, std::ceil(mean * this->options.headroom)));
        row.tokensPerSecondLimit = row.inFlightLimit * tokensPerSecondOfRequest;
        for (QuotaNode &quota : this->quotas)
            quota.setRow(row, this->now);
        const QuotaKey key = coordination::quota::quotaKeyOf(row.key);
        const auto add = [&](std::size_t entry, double part) {
            this->spotsOfEntry[entry].push_back(this->spots.size());
            this->spots.push_back({entry, key, part, 1 + row.inFlightLimit / 4});
        };
        const auto homes = this->quotas.front().homes(key);
        std::vector<double> pull;
        double sum = 0;
        for (std::size_t home = 0; home < homes.size(); ++home) {
            pull.push_back(0.1 + static_cast<double>(this->random() % 1'000) / 1'000);
            sum += pull.back();
        }
        for (std::size_t home = 0; home < homes.size(); ++home)
            add(this->indexOf(homes[home]), mean * (1 - besideHomesShare) * pull[home] / sum);
        add(this->random() % this->options.entries, mean * besideHomesShare);
    }
}

void Fleet::moveDemand()
{
    for (Spot &spot : this->spots) {
        std::poisson_distribution<std::uint64_t> draw(spot.mean);
        spot.wanted = draw(this->random);
    }
}

void Fleet::serve(Spot &spot)
{
    QuotaNode &quota = this->quotas[spot.entry];
    while (!spot.running.empty()
           && (spot.running.size() > spot.wanted || spot.running.front() <= this->now)) {
        quota.finish(spot.key, spot.running.front());
        spot.running.erase(spot.running.begin());
    }
    while (spot.running.size() < spot.wanted) {
        const Instant deadline = this->now + requestDeadline;
        const auto verdict =
                quota.tryStart(spot.key, tokensPerSecondOfRequest / 4, deadline, this->now);
        if (verdict != coordination::quota::QuotaResult::Started)
            break;
        spot.running.push_back(deadline);
    }
    // A quarter of a second's tokens of each request.
    quota.charge(spot.key, spot.running.size() * tokensPerSecondOfRequest / 4, this->now);
    const std::uint64_t waiting = spot.wanted - std::min(spot.wanted, spot.running.size());
    this->unmet += waiting;
    this->met += spot.running.size();
    if (spot.wanted > 0)
        quota.setDemand(spot.key, {waiting, spot.wanted * tokensPerSecondOfRequest,
                                   this->now + requestDeadline});
    else
        quota.setDemand(spot.key, {});
    this->shares[spot.entry].setBacklog(spot.key, waiting > 0 ? spot.weight : 0, this->now);
}

void Fleet::run()
{
    const Instant countedFrom = this->now + warmUp;
    const Instant end = countedFrom + std::chrono::seconds(this->options.seconds);
    Instant nextMove = this->now;
    for (; this->now < end; this->now += coordination::quota::tickInterval) {
        if (this->now >= nextMove) {
            this->moveDemand();
            nextMove = this->now + demandMoves;
        }
        const bool counted = this->now >= countedFrom;
        if (!counted)
            this->met = this->unmet = 0;
        const double before = processorNow();
        for (std::size_t entry = 0; entry < this->options.entries; ++entry)
            this->tick(entry, counted);
        this->processorSeconds += counted ? processorNow() - before : 0;
    }
}

void Fleet::tick(std::size_t entry, bool counted)
{
    for (const std::size_t spot : this->spotsOfEntry[entry])
        this->serve(this->spots[spot]);
    this->send(entry, this->quotas[entry].tick(this->now), this->quotaTraffic, counted);
    this->send(entry, this->shares[entry].tick(this->now), this->shareTraffic, counted);
}

template <typename Messages>
void Fleet::send(std::size_t from, const Messages &messages, Traffic &traffic, bool counted)
{
    for (const auto &message : messages) {
        const std::size_t to = this->indexOf(message.to);
        if (counted)
            traffic.count(from, to, protocol::encode(message.message).size() + protocol::sealBytes);
        this->deliver(to, message.message, counted);
    }
}

void Fleet::deliver(std::size_t to, const coordination::quota::QuotaMessage &message, bool counted)
{
    this->send(to, this->quotas[to].receive(message, this->now), this->quotaTraffic, counted);
}

void Fleet::deliver(std::size_t to, const coordination::quota::ShareMessage &message, bool counted)
{
    this->send(to, this->shares[to].receive(message, this->now), this->shareTraffic, counted);
}

void Fleet::print() const
{
    const auto entries = static_cast<double>(this->options.entries);
    const double seconds = this->options.seconds;
    const auto mean = [&](const std::vector<double> &values) {
        double sum = 0;
        for (const double value : values)
            sum += value;
        return sum / entries / seconds;
    };
    const auto most = [&](const std::vector<double> &values) {
        return *std::max_element(values.begin(), values.end()) / seconds;
    };
    std::cout << this->options.entries << '\t' << this->options.accounts << '\t'
              << mean(this->quotaTraffic.messages) << '\t' << mean(this->quotaTraffic.bytes) << '\t'
              << most(this->quotaTraffic.bytes) << '\t' << mean(this->shareTraffic.messages) << '\t'
              << mean(this->shareTraffic.bytes) << '\t' << most(this->shareTraffic.bytes) << '\t'
              << this->heapBytes / entries / 1024 << '\t'
              << this->processorSeconds / entries / seconds * 100 << '\t'
              << 100 * static_cast<double>(this->unmet)
                         / static_cast<double>(this->unmet + this->met)
              << std::endl;
}

} // namespace
} // namespace lavenderthread::bench

int main(int argc, char **argv)
{
    lavenderthread::bench::Options options;
    CLI::App app("Cost of global limits and shares between entries.");
    app.add_option("--entries", options.entries);
    app.add_option("--accounts", options.accounts);
    app.add_option("--seed", options.seed);
    app.add_option("--seconds", options.seconds);
    app.add_option("--headroom", options.headroom, "limit of an account over its mean demand");
    CLI11_PARSE(app, argc, argv);
    std::cout << "entries\taccounts\tquota msg/s\tquota B/s\tmost B/s\tshare msg/s\tshare B/s\t"
                 "most B/s\theap KiB/node\tcore %\tunmet %\n";
    lavenderthread::bench::Fleet fleet(options);
    fleet.run();
    fleet.print();
}
