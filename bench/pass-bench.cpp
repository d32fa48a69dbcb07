// The load tool on the stand-in of engines that work in passes: one table a policy, by class, as
// text or CSV; or, with --score, the score of each day (see scoreOf) for the settings given as
// NAME=VALUE: its mean, its lowest tenth and the share of engine time that is spent on prefill and
// on decoding; with --each the score of every seed. usage: pass-bench [--day NAME] [--seeds N]
// [--odd | --even] [--seconds] [--csv] [--score] [--each] [NAME=VALUE…]
#include "PassPlans.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <numeric>
#include <optional>
#include <string>

namespace {

using namespace lavenderthread; // NOLINT(google-build-using-namespace): main only
using bench::PassPlan;
using bench::PassResult;
using coordination::routing::Placement;
using coordination::routing::PolicySettings;

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[std::size_t(double(values.size() - 1) * share)];
}

void print(const std::string &policy, const PassPlan &plan, const PassResult &result, bool csv)
{
    for (std::size_t kind = 0; kind < plan.classes.size(); ++kind) {
        const auto &tally = result.classes[kind];
        const char *format = csv ? "%s,%s,%zu,%zu,%zu,%zu,%zu,%zu,%.3f,%.3f,%.3f,%.3f,%.3f,%.3f\n"
                                 : "%-18s %-10s asked %5zu in time %5zu late %4zu refused "
                                   "%4zu again %4zu unfinished %3zu share %.3f served %.3f "
                                   "largest tenth %.3f next fifth %.3f first p95 %.3f pause p95 "
                                   "%.3f\n";
        std::printf(format, policy.c_str(), plan.classes[kind].name.c_str(), tally.asked,
                    tally.inTime, tally.late, tally.refused, tally.refusedAgain, tally.unfinished,
                    tally.share(), tally.servedShare(), result.largestTenth[kind].servedShare(),
                    result.nextFifth[kind].servedShare(), quantile(tally.firstSeconds, 0.95),
                    quantile(tally.longestPauses, 0.95));
    }
}

// When requests of each class were late, and in what.
void printSeconds(const PassPlan &plan, const PassResult &result)
{
    for (std::size_t kind = 0; kind < plan.classes.size(); ++kind) {
        for (std::size_t second = 0; second < result.seconds[kind].size(); ++second) {
            const auto &tally = result.seconds[kind][second];
            if (tally.asked > 0)
                std::printf("%-10s second %2zu asked %4zu in time %4zu first late %4zu pause late "
                            "%4zu refused %4zu\n",
                            plan.classes[kind].name.c_str(), second, tally.asked, tally.inTime,
                            tally.lateFirst, tally.late - tally.lateFirst, tally.refused);
        }
    }
}

using Member = double coordination::routing::PassPlacementSettings::*;

const std::map<std::string, Member> &members()
{
    using Settings = coordination::routing::PassPlacementSettings;
    static const std::map<std::string, Member> all = {
            {"briefPlaceShare", &Settings::briefSlotShare},
            {"briefPlaceShareCrowded", &Settings::briefSlotShareCrowded},
            {"briefBusyShare", &Settings::briefTargetShare},
            {"startPartShare", &Settings::startPartShare},
            {"briefPauseShare", &Settings::briefPauseShare},
            {"tightPauses", &Settings::tightPauseFactor},
            {"longsBesideBriefs", &Settings::longRequestsPerBriefEngine},
            {"besideBriefPauseShare", &Settings::briefEnginePauseShare},
            {"besideDecodingPasses", &Settings::decodingDelayPasses},
            {"fewBriefs", &Settings::ignoredBriefRequests},
            {"besideTightPart", &Settings::tightPauseMaxPartSeconds},
            {"evenSeconds", &Settings::equalLoadSeconds},
            {"longSecondsPerEngine", &Settings::longSecondsPerEngine},
            {"longEnginesBeside", &Settings::extraLongEngines},
            {"demandMemorySeconds", &Settings::demandAveragingSeconds},
            {"helperSeconds", &Settings::helperCostSeconds},
            {"besideTightSeconds", &Settings::tightPauseCostSeconds},
            {"outsideAnsweringSeconds", &Settings::outsideAnsweringCostSeconds},
            {"answeringMemoryShare", &Settings::answeringMemoryShare},
            {"startShare", &Settings::startEngineShare},
            {"startWaitingSeconds", &Settings::startWaitingSeconds},
            {"startOwnWaitingSeconds", &Settings::startOwnWaitingSeconds},
            {"waitingShare", &Settings::maxWaitingShare},
            {"longPerEngine", &Settings::longRequestsPerEngine},
            {"rankDelayFactor", &Settings::rankDelayFactor},
    };
    return all;
}

// False if there is no such member.
bool change(PassPlan &plan, const std::string &assignment)
{
    const std::size_t equals = assignment.find('=');
    if (equals == std::string::npos)
        return false;
    const std::string name = assignment.substr(0, equals);
    const double value = std::stod(assignment.substr(equals + 1));
    const auto member = members().find(name);
    if (member != members().end()) {
        plan.policy.passes.*(member->second) = value;
        return true;
    }
    state::Result<PolicySettings> changed = plan.policy.with(name, value);
    if (changed)
        plan.policy = changed.value();
    return changed.has_value();
}

const std::map<std::string, std::function<void(PassPlan &)>> &policies()
{
    static const std::map<std::string, std::function<void(PassPlan &)>> all = {
            {"passes", [](PassPlan &) {}},
            {"no-helpers", [](PassPlan &plan) { plan.policy.passes.maxHelpers = 0; }},
            {"at-once",
             [](PassPlan &plan) {
                 plan.policy.passes.startEngineShare = 0;
                 plan.policy.passes.startWaitingSeconds = 10;
                 plan.policy.passes.maxPartsPerHelper = 100;
             }},
            {"alone", [](PassPlan &plan) { plan.policy.shareWork = false; }},
            {"predicted", [](PassPlan &plan) { plan.declareProfile = false; }},
            {"least-outstanding",
             [](PassPlan &plan) {
                 plan.declareProfile = false;
                 plan.policy.placement = Placement::LeastOutstanding;
                 plan.policy.sliceTokens = 0;
             }},
            {"round-robin",
             [](PassPlan &plan) {
                 plan.declareProfile = false;
                 plan.policy.placement = Placement::RoundRobin;
                 plan.policy.sliceTokens = 0;
             }},
    };
    return all;
}

const std::map<std::string, PassPlan (*)(std::uint64_t)> &days()
{
    static const std::map<std::string, PassPlan (*)(std::uint64_t)> all = {
            {"heavy", bench::heavyDay},
            {"grown", bench::grownHeavyDay},
            {"large", bench::largeHeavyDay},
            {"small-memory", bench::smallMemoryDay},
            {"grown-small-memory", bench::grownSmallMemoryDay},
            {"burst", bench::burstDay},
            {"restart", bench::restartDay},
            {"drawn", bench::drawnDay},
    };
    return all;
}

struct Options
{
    std::uint64_t firstSeed = 1;
    std::uint64_t seedStep = 1;
    std::uint64_t seeds = 3;
    bool csv = false;
    bool onlyScore = false;
    bool eachSeed = false;
    bool seconds = false; // by second of arrival, of our policy only
    std::string day = "heavy";
    std::vector<std::string> changes;
};

Options read(int argc, char **argv)
{
    Options options;
    for (int index = 1; index < argc; ++index) {
        const std::string word = argv[index];
        if (word == "--csv") {
            options.csv = true;
        } else if (word == "--score") {
            options.onlyScore = true;
        } else if (word == "--each") {
            options.eachSeed = true;
        } else if (word == "--seconds") {
            options.seconds = true;
        } else if (word == "--odd") {
            options.seedStep = 2;
        } else if (word == "--even") {
            options.firstSeed = 2;
            options.seedStep = 2;
        } else if (word == "--day" && index + 1 < argc) {
            options.day = argv[++index];
        } else if (word == "--seeds" && index + 1 < argc) {
            options.seeds = std::stoull(argv[++index]);
        } else {
            options.changes.push_back(word);
        }
    }
    return options;
}

struct Played
{
    PassPlan plan; // of the last seed
    PassResult sum;
    std::vector<double> scores; // of each seed
};

// Nothing if a change names no setting.
std::optional<Played> play(const Options &options, const std::function<void(PassPlan &)> &adjust)
{
    Played played;
    for (std::uint64_t index = 0; index < options.seeds; ++index) {
        played.plan = days().at(options.day)(options.firstSeed + index * options.seedStep);
        adjust(played.plan);
        for (const std::string &assignment : options.changes) {
            if (!change(played.plan, assignment)) {
                std::fprintf(stderr, "unknown setting: %s\n", assignment.c_str());
                return std::nullopt;
            }
        }
        const PassResult result = bench::PassFleetRun(played.plan).run();
        played.scores.push_back(bench::scoreOf(played.plan, result));
        played.sum.add(result);
    }
    return played;
}

void printScore(const Options &options, Played played)
{
    const PassResult &sum = played.sum;
    for (std::size_t index = 0; options.eachSeed && index < played.scores.size(); ++index) {
        const std::uint64_t seed = options.firstSeed + index * options.seedStep;
        std::printf("%s %.4f\n", std::to_string(seed).c_str(), played.scores[index]);
    }
    const double mean = std::accumulate(played.scores.begin(), played.scores.end(), 0.0)
                        / double(played.scores.size());
    std::printf("%.4f lowest tenth %.4f prefill %.3f decode %.3f\n", mean,
                quantile(played.scores, 0.1), sum.prefillTime / sum.engineTime,
                sum.decodeTime / sum.engineTime);
}

} // namespace

int main(int argc, char **argv)
{
    const Options options = read(argc, argv);
    if (!days().contains(options.day)) {
        std::fprintf(stderr, "unknown day: %s\n", options.day.c_str());
        return 2;
    }
    for (const auto &[name, adjust] : policies()) {
        if ((options.onlyScore || options.seconds) && name != "passes")
            continue;
        std::optional<Played> played = play(options, adjust);
        if (!played)
            return 2;
        if (options.onlyScore)
            printScore(options, std::move(*played));
        else if (options.seconds)
            printSeconds(played->plan, played->sum);
        else
            print(name, played->plan, played->sum, options.csv);
    }
    return 0;
}
