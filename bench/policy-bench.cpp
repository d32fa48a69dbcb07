// Compares policies on the same traffic: time to first token by prompt length, slowdown of short
// requests, goodput, fairness against the table, refusals. Deterministic for a seed.
// usage: policy-bench --profile timekeep --policy timekeep --load 0.7 --seed 1 --seeds 10
#include "FleetRun.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <iostream>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

namespace lavenderthread::bench {

namespace {

constexpr const char *classNames[outcomeClasses] = {"under_4k", "4k_to_32k", "32k_to_250k",
                                                    "over_250k"};

struct Options
{
    std::string profile = "timekeep";
    std::string scenario = "mix";
    std::vector<std::string> policies;
    std::vector<double> loads = {0.7};
    std::vector<std::string> changes; // member=value
    std::uint64_t seed = 1;
    std::uint64_t seeds = 1;
    std::uint32_t seconds = 240;
    std::uint32_t jobs = 4;
    bool json = false;
    bool csv = false;
};

double mean(const std::vector<double> &values)
{
    if (values.empty())
        return 0;
    return std::accumulate(values.begin(), values.end(), 0.0) / double(values.size());
}

std::vector<std::pair<std::string, double>> figures(const RunResult &result)
{
    std::vector<std::pair<std::string, double>> all;
    for (std::size_t each = 0; each < outcomeClasses; ++each) {
        const std::string name = std::string("first_token_") + classNames[each];
        all.emplace_back(name + "_p50", quantile(result.firstToken[each], 0.5));
        all.emplace_back(name + "_p95", quantile(result.firstToken[each], 0.95));
        all.emplace_back(name + "_p99", quantile(result.firstToken[each], 0.99));
    }
    all.emplace_back("short_slowdown_p50", quantile(result.shortSlowdown, 0.5));
    all.emplace_back("short_slowdown_p95", quantile(result.shortSlowdown, 0.95));
    all.emplace_back("short_slowdown_p99", quantile(result.shortSlowdown, 0.99));
    all.emplace_back("goodput", mean(result.goodput));
    all.emplace_back("fairness_error_p50", quantile(result.fairnessError, 0.5));
    all.emplace_back("fairness_error_max", quantile(result.fairnessError, 1));
    for (std::size_t each = 0; each < outcomeClasses; ++each) {
        all.emplace_back(std::string("arrived_") + classNames[each], result.arrived[each]);
        all.emplace_back(std::string("refused_") + classNames[each], result.refused[each]);
        all.emplace_back(std::string("expired_") + classNames[each], result.expired[each]);
    }
    all.emplace_back("past_deadline", result.pastDeadline);
    all.emplace_back("pending", result.pending);
    all.emplace_back("retried", result.retried);
    all.emplace_back("recomputed_tokens", result.recomputedTokens);
    all.emplace_back("reserved_at_end", result.reservedAtEnd);
    all.emplace_back("work_notes", result.workNotes);
    all.emplace_back("dispatches", result.dispatches);
    return all;
}

void printTable(const std::string &policy, double load, const RunResult &result)
{
    std::printf("%-24s load %.2f  goodput %.3f  slowdown<4k p50 %.2f p95 %.2f p99 %.2f",
                policy.c_str(), load, mean(result.goodput), quantile(result.shortSlowdown, 0.5),
                quantile(result.shortSlowdown, 0.95), quantile(result.shortSlowdown, 0.99));
    if (!result.fairnessError.empty())
        std::printf("  fairness error p50 %.3f max %.3f", quantile(result.fairnessError, 0.5),
                    quantile(result.fairnessError, 1));
    std::printf("\n");
    for (std::size_t each = 0; each < outcomeClasses; ++each) {
        std::printf("  first token %-12s p50 %6.2f p95 %6.2f p99 %6.2f  arrived %6llu refused "
                    "%5llu expired %4llu\n",
                    classNames[each], quantile(result.firstToken[each], 0.5),
                    quantile(result.firstToken[each], 0.95),
                    quantile(result.firstToken[each], 0.99),
                    static_cast<unsigned long long>(result.arrived[each]),
                    static_cast<unsigned long long>(result.refused[each]),
                    static_cast<unsigned long long>(result.expired[each]));
    }
    std::printf(
            "  past deadline %llu pending %llu retried %llu recomputed %llu reserved at end %llu "
            "notes/dispatch %.1f\n",
            static_cast<unsigned long long>(result.pastDeadline),
            static_cast<unsigned long long>(result.pending),
            static_cast<unsigned long long>(result.retried),
            static_cast<unsigned long long>(result.recomputedTokens),
            static_cast<unsigned long long>(result.reservedAtEnd),
            double(result.workNotes) / double(std::max<std::uint64_t>(result.dispatches, 1)));
}

void print(const Options &options, const std::string &policy, double load, const RunResult &result)
{
    if (!options.json && !options.csv) {
        printTable(policy, load, result);
        return;
    }
    if (options.json) {
        boost::json::object object;
        object["profile"] = options.profile;
        object["scenario"] = options.scenario;
        object["policy"] = policy;
        object["load"] = load;
        for (const auto &[name, value] : figures(result))
            object[name] = value;
        std::cout << boost::json::serialize(object) << "\n";
        return;
    }
    for (const auto &[name, value] : figures(result))
        std::cout << options.profile << "," << options.scenario << "," << policy << "," << load
                  << "," << name << "," << value << "\n";
}

RunResult runSeeds(const RunPlan &plan, const Options &options)
{
    RunResult total;
    for (std::uint64_t first = 0; first < options.seeds; first += options.jobs) {
        std::vector<std::future<RunResult>> running;
        for (std::uint64_t each = first;
             each < std::min<std::uint64_t>(options.seeds, first + options.jobs); ++each) {
            RunPlan seeded = plan;
            seeded.seed = options.seed + each;
            running.push_back(std::async(std::launch::async, [seeded = std::move(seeded)] {
                return FleetRun(seeded).run();
            }));
        }
        for (std::future<RunResult> &each : running)
            total.merge(each.get());
    }
    return total;
}

int run(const Options &options)
{
    const auto profile = profileNamed(options.profile);
    const auto scenario = scenarioNamed(options.scenario);
    if (!profile || !scenario) {
        std::cerr << (profile ? scenario.error() : profile.error()).describe() << "\n";
        return 2;
    }
    if (options.csv)
        std::cout << "profile,scenario,policy,load,figure,value\n";
    for (const std::string &name : options.policies) {
        const auto policy = coordination::routing::PolicySettings::named(name);
        if (!policy) {
            std::cerr << policy.error().describe() << "\n";
            return 2;
        }
        coordination::routing::PolicySettings settings = policy.value();
        for (const std::string &change : options.changes) {
            const std::size_t equals = change.find('=');
            const double value = equals == std::string::npos
                                         ? 0
                                         : std::strtod(change.c_str() + equals + 1, nullptr);
            const auto changed = settings.with(change.substr(0, equals), value);
            if (!changed) {
                std::cerr << changed.error().describe() << "\n";
                return 2;
            }
            settings = changed.value();
        }
        for (const double load : options.loads) {
            RunPlan plan;
            plan.profile = profile.value();
            plan.scenario = scenario.value();
            plan.policy = settings;
            plan.load = load;
            plan.length = std::chrono::seconds(options.seconds);
            print(options, name, load, runSeeds(plan, options));
        }
    }
    return 0;
}

} // namespace

} // namespace lavenderthread::bench

int main(int argc, char **argv)
{
    lavenderthread::bench::Options options;
    CLI::App app("Compares routing and admission policies in virtual time.");
    app.add_option("--profile", options.profile, "timekeep, cascadia or planned");
    app.add_option("--scenario", options.scenario,
                   "mix, backlog, engine-lost, third-lost, poor-reports, messages-lost");
    app.add_option("--policy", options.policies, "one or more names; 'all' for every one");
    app.add_option("--load", options.loads, "offered work over the fleet's capacity");
    app.add_option("--set", options.changes, "member=value of the policy, for trials");
    app.add_option("--seed", options.seed, "first seed");
    app.add_option("--seeds", options.seeds, "number of seeds, merged");
    app.add_option("--seconds", options.seconds, "of arrivals");
    app.add_option("--jobs", options.jobs, "seeds run at once")->check(CLI::PositiveNumber);
    app.add_flag("--json", options.json, "one object a line");
    app.add_flag("--csv", options.csv, "one figure a line");
    CLI11_PARSE(app, argc, argv);
    using lavenderthread::coordination::routing::PolicySettings;
    if (options.policies.empty())
        options.policies = {options.profile == "cascadia" ? "cascadia" : "timekeep"};
    if (options.policies.front() == "all")
        options.policies = PolicySettings::names();
    return lavenderthread::bench::run(options);
}
