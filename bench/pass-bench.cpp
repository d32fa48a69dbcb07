// The load tool on the stand-in of engines that work in passes: one table a policy, by class, as
// text or CSV; or, with --score, one number for the settings given as NAME=VALUE: the value that
// came in time, a quarter of what came late, less 0.3 of what was refused again and what was held
// for nothing, over all, classes weighted as --weights says. usage: pass-bench [--seeds N]
// [--grown] [--seconds] [--csv] [--score]
// [--weights A,B,C] [NAME=VALUE…]
#include "PassFleetRun.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <string>

namespace {

using namespace lavenderthread; // NOLINT(google-build-using-namespace): main only
using bench::PassPlan;
using bench::PassResult;
using coordination::routing::Placement;

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
        const char *format = csv ? "%s,%s,%zu,%zu,%zu,%zu,%zu,%zu,%.3f,%.3f,%.3f,%.3f\n"
                                 : "%-18s %-10s asked %5zu in time %5zu late %4zu refused "
                                   "%4zu again %4zu unfinished %3zu share %.3f largest tenth %.3f "
                                   "first p95 %.3f pause p95 "
                                   "%.3f\n";
        std::printf(format, policy.c_str(), plan.classes[kind].name.c_str(), tally.asked,
                    tally.inTime, tally.late, tally.refused, tally.refusedAgain, tally.unfinished,
                    tally.share(), result.largestTenth[kind].share(),
                    quantile(tally.firstSeconds, 0.95), quantile(tally.longestPauses, 0.95));
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
            {"briefSeconds", &Settings::briefSeconds},
            {"briefPlaceShare", &Settings::briefPlaceShare},
            {"briefPlaceShareCrowded", &Settings::briefPlaceShareCrowded},
            {"fewBriefs", &Settings::fewBriefs},
            {"besideTightPart", &Settings::besideTightPart},
            {"evenSeconds", &Settings::evenSeconds},
            {"longSecondsPerEngine", &Settings::longSecondsPerEngine},
            {"longEnginesBeside", &Settings::longEnginesBeside},
            {"demandMemorySeconds", &Settings::demandMemorySeconds},
            {"helperSeconds", &Settings::helperSeconds},
            {"besideTightSeconds", &Settings::besideTightSeconds},
            {"besideDecodingSeconds", &Settings::besideDecodingSeconds},
            {"helpingAnswersSeconds", &Settings::helpingAnswersSeconds},
            {"outsideAnsweringSeconds", &Settings::outsideAnsweringSeconds},
            {"answeringMemoryShare", &Settings::answeringMemoryShare},
            {"startShare", &Settings::startShare},
            {"startWaitingSeconds", &Settings::startWaitingSeconds},
            {"startOwnWaitingSeconds", &Settings::startOwnWaitingSeconds},
            {"waitingShare", &Settings::waitingShare},
            {"costPower", &Settings::costPower},
            {"longPerEngine", &Settings::longPerEngine},
    };
    return all;
}

// False if there is no such member.
bool change(PassPlan &plan, const std::string &assignment)
{
    const std::size_t equals = assignment.find('=');
    const auto member = members().find(assignment.substr(0, equals));
    if (equals == std::string::npos || member == members().end())
        return false;
    plan.policy.passes.*(member->second) = std::stod(assignment.substr(equals + 1));
    return true;
}

double score(const PassResult &result, const std::vector<double> &weights)
{
    constexpr double lateShare = 0.25;
    constexpr double refusedAgainLoss = 0.3; // who came back as told and was turned away again
    double earned = 0;
    double all = 0;
    for (std::size_t kind = 0; kind < result.classes.size(); ++kind) {
        const auto &tally = result.classes[kind];
        earned += weights.at(kind)
                  * (tally.valueInTime + lateShare * tally.valueLate
                     - refusedAgainLoss * tally.valueRefusedAgain - tally.valueHeld);
        all += weights.at(kind) * tally.value;
    }
    return all > 0 ? earned / all : 0;
}

const std::map<std::string, std::function<void(PassPlan &)>> &policies()
{
    static const std::map<std::string, std::function<void(PassPlan &)>> all = {
            {"passes", [](PassPlan &) {}},
            {"no-helpers", [](PassPlan &plan) { plan.policy.passes.mostHelpers = 0; }},
            {"at-once",
             [](PassPlan &plan) {
                 plan.policy.passes.startShare = 0;
                 plan.policy.passes.startWaitingSeconds = 10;
                 plan.policy.passes.partsPerHelper = 100;
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

struct Options
{
    std::uint64_t seeds = 3;
    bool csv = false;
    bool onlyScore = false;
    bool grown = false;
    bool seconds = false; // by second of arrival, of our policy only
    std::vector<double> weights{1.3, 3.1, 22};
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
        } else if (word == "--seconds") {
            options.seconds = true;
        } else if (word == "--grown") {
            options.grown = true;
        } else if (word == "--seeds" && index + 1 < argc) {
            options.seeds = std::stoull(argv[++index]);
        } else if (word == "--weights" && index + 1 < argc) {
            std::sscanf(argv[++index], "%lf,%lf,%lf", &options.weights[0], &options.weights[1],
                        &options.weights[2]);
        } else {
            options.changes.push_back(word);
        }
    }
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const Options options = read(argc, argv);
    for (const auto &[name, adjust] : policies()) {
        if ((options.onlyScore || options.seconds) && name != "passes")
            continue;
        PassResult sum;
        PassPlan plan;
        for (std::uint64_t seed = 1; seed <= options.seeds; ++seed) {
            plan = options.grown ? bench::grownHeavyDay(seed) : bench::heavyDay(seed);
            adjust(plan);
            for (const std::string &assignment : options.changes) {
                if (!change(plan, assignment)) {
                    std::fprintf(stderr, "unknown setting: %s\n", assignment.c_str());
                    return 2;
                }
            }
            sum.add(bench::PassFleetRun(plan).run());
        }
        if (options.onlyScore)
            std::printf("%.4f\n", score(sum, options.weights));
        else if (options.seconds)
            printSeconds(plan, sum);
        else
            print(name, plan, sum, options.csv);
    }
    return 0;
}
