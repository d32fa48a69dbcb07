#include "Workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <random>
#include <utility>

namespace lavenderthread::bench {

namespace {

constexpr double repeatShare = 0.2;           // prompts that continue a document seen before
constexpr std::uint32_t templateTokens = 512; // instructions that all prompts of an account share
constexpr double hogShare = 0.2;              // of the load, sent by the last account in bursts
constexpr double hogPeriodSeconds = 60;
constexpr double hogBurstSeconds = 20;
constexpr double surgePeriodSeconds = 90;
constexpr double leastDeadlineSeconds = 15;
constexpr double deadlineRatio = 6; // of the time alone
constexpr double backlogDeadlineSeconds = 3'600;
constexpr std::uint32_t millionTokens = 1'000'000;
constexpr double millionShare = 0.1; // of the prompts of the longest band

class Source
{
public:
    explicit Source(std::uint64_t seed)
        : engine(seed)
    {}

    double uniform() { return double(this->engine() >> 11U) * 0x1.0p-53; }
    double exponential(double mean) { return -mean * std::log(1 - this->uniform()); }
    std::uint64_t below(std::uint64_t bound) { return this->engine() % bound; }
    std::uint64_t bits() { return this->engine(); }

private:
    std::mt19937_64 engine;
};

std::uint32_t drawPrompt(const Profile &profile, Scenario scenario, Source &source)
{
    double left = source.uniform();
    std::size_t bands = profile.lengths.size();
    if (scenario == Scenario::Backlog) {
        bands = 2;
        left *= profile.lengths[0].share + profile.lengths[1].share;
    }
    std::size_t band = 0;
    while (band + 1 < bands && left >= profile.lengths[band].share)
        left -= profile.lengths[band++].share;
    if (band + 1 == profile.lengths.size() && source.uniform() < millionShare)
        return millionTokens;
    const double low = std::log(profile.lengths[band].from);
    const double high = std::log(profile.lengths[band].to);
    return std::uint32_t(std::exp(low + (high - low) * source.uniform()));
}

double workSeconds(const EngineShape &shape, std::uint32_t prompt, std::uint32_t output)
{
    return aloneFirstTokenSeconds(shape, prompt) + output * shape.sequenceStepSeconds;
}

// Weights of the accounts' share of the traffic: a few large ones.
double trafficOf(std::uint32_t account)
{
    return 1.0 / (1 + account % 100);
}

// Past documents of each account, to be asked about again.
using Documents = std::vector<std::vector<std::vector<std::uint64_t>>>;

std::vector<std::uint64_t> drawBlocks(const EngineShape &shape, std::uint32_t account,
                                      std::uint32_t promptTokens, Documents &documents,
                                      Source &source)
{
    constexpr std::size_t keptDocuments = 20;
    auto &kept = documents[account];
    const std::size_t count = promptTokens / shape.blockTokens;
    std::vector<std::uint64_t> blocks;
    if (!kept.empty() && source.uniform() < repeatShare)
        blocks = kept[source.below(kept.size())];
    else
        blocks.assign(templateTokens / shape.blockTokens, account + 1);
    blocks.resize(std::min(blocks.size(), count));
    while (blocks.size() < count)
        blocks.push_back(source.bits());
    if (kept.size() < keptDocuments)
        kept.push_back(blocks);
    else
        kept[source.below(keptDocuments)] = blocks;
    return blocks;
}

} // namespace

state::Result<Profile> profileNamed(std::string_view name)
{
    Profile profile;
    profile.name = name;
    if (name == "timekeep") {
        profile.lengths = {{0.60, 1'000, 4'096},
                           {0.28, 4'096, 32'768},
                           {0.10, 32'768, 100'000},
                           {0.02, 100'000, 1'200'000}};
        return profile;
    }
    if (name == "cascadia") {
        profile.engines = 15;
        profile.betweenDomains = std::chrono::milliseconds(1);
        profile.lengths = {{0.45, 1'000, 4'096},
                           {0.35, 4'096, 32'768},
                           {0.18, 32'768, 100'000},
                           {0.02, 100'000, 1'200'000}};
        return profile;
    }
    if (name == "planned") {
        // One region's eighth of the planned size, with its ratios: engines to entries to accounts.
        profile.engines = 225;
        profile.entries = 46;
        profile.failureDomains = 4;
        profile.accounts = 1'375;
        profile.lengths = {{0.80, 1'000, 4'096},
                           {0.15, 4'096, 32'768},
                           {0.03, 32'768, 100'000},
                           {0.02, 100'000, 1'200'000}};
        return profile;
    }
    return state::makeError(state::ErrorCode::NotFound, "bench.profile",
                            "profiles are timekeep, cascadia and planned");
}

state::Result<Scenario> scenarioNamed(std::string_view name)
{
    constexpr std::array<std::pair<std::string_view, Scenario>, 6> known = {{
            {"mix", Scenario::Mix},
            {"backlog", Scenario::Backlog},
            {"engine-lost", Scenario::EngineLost},
            {"third-lost", Scenario::ThirdLost},
            {"poor-reports", Scenario::PoorReports},
            {"messages-lost", Scenario::MessagesLost},
    }};
    for (const auto &[text, scenario] : known) {
        if (text == name)
            return scenario;
    }
    return state::makeError(state::ErrorCode::NotFound, "bench.scenario",
                            "no such scenario: " + std::string(name));
}

std::string accountName(std::uint32_t account)
{
    return "account-" + std::to_string(account);
}

std::vector<state::TableRow> tableOf(const Profile &profile)
{
    constexpr std::uint32_t weights = 4;
    std::vector<state::TableRow> rows;
    for (std::uint32_t account = 0; account < profile.accounts; ++account) {
        state::TableRow row;
        row.key.account = state::ClientAccountId(accountName(account));
        row.key.workClass = state::WorkClass("completion");
        // The hog comes last and has the least weight.
        row.weight = account + 1 == profile.accounts ? 1 : weights - account % weights;
        row.version = 1;
        rows.push_back(row);
    }
    return rows;
}

std::vector<Arrival> arrivals(const Profile &profile, Scenario scenario, double load,
                              state::Duration length, std::uint64_t seed)
{
    Source source(seed);
    Source probe(1);
    constexpr int probes = 20'000;
    double mean = 0;
    for (int each = 0; each < probes; ++each)
        mean += workSeconds(profile.shape, drawPrompt(profile, scenario, probe), 128) / probes;
    const double rate = load * profile.engines / mean;
    const bool backlog = scenario == Scenario::Backlog;

    std::vector<double> traffic(profile.accounts);
    double sum = 0;
    const std::vector<state::TableRow> rows = tableOf(profile);
    for (std::uint32_t account = 0; account + 1 < profile.accounts; ++account)
        sum += traffic[account] = backlog ? rows[account].weight : trafficOf(account);
    traffic.back() = backlog ? 1 : 0;
    sum += traffic.back();

    Documents documents(profile.accounts);
    std::vector<Arrival> result;
    const double end = std::chrono::duration<double>(length).count();
    const double peak =
            rate * (1 + profile.surge) * (1 + hogShare * hogPeriodSeconds / hogBurstSeconds);
    for (double at = source.exponential(1 / peak); at < end; at += source.exponential(1 / peak)) {
        const double surge =
                1 + profile.surge * std::sin(2 * std::numbers::pi * at / surgePeriodSeconds);
        const bool bursts = std::fmod(at, hogPeriodSeconds) < hogBurstSeconds;
        const double hog =
                backlog || !bursts ? 0 : rate * hogShare * hogPeriodSeconds / hogBurstSeconds;
        const double others = rate * (backlog ? 1 : (1 - hogShare) * surge);
        const double draw = source.uniform() * peak;
        if (draw >= hog + others)
            continue;
        Arrival arrival;
        arrival.at = state::Instant(state::Duration(std::llround(at * 1e6)));
        arrival.account = profile.accounts - 1;
        if (draw >= hog) {
            double left = source.uniform() * sum;
            arrival.account = 0;
            while (arrival.account + 1 < profile.accounts && left >= traffic[arrival.account])
                left -= traffic[arrival.account++];
        }
        const std::uint64_t home = (arrival.account + 1) * 0x9E3779B97F4A7C15ULL >> 32U;
        arrival.entry = std::uint32_t((home + source.below(profile.entriesPerAccount) * 7)
                                      % profile.entries);
        arrival.promptTokens = drawPrompt(profile, scenario, source);
        arrival.outputTokens = std::uint32_t(50 + source.below(157));
        arrival.maximumOutputTokens = 256;
        arrival.blocks =
                drawBlocks(profile.shape, arrival.account, arrival.promptTokens, documents, source);
        const double alone =
                aloneSeconds(profile.shape, arrival.promptTokens, arrival.maximumOutputTokens);
        const double deadline = backlog ? backlogDeadlineSeconds
                                        : std::max(leastDeadlineSeconds, alone * deadlineRatio);
        arrival.deadline = state::Duration(std::llround(deadline * 1e6));
        result.push_back(std::move(arrival));
    }
    return result;
}

} // namespace lavenderthread::bench
