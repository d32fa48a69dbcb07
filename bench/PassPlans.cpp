#include "PassPlans.h"

#include <cmath>

namespace lavenderthread::bench {

using std::chrono::milliseconds;

PassPlan heavyDay(std::uint64_t seed)
{
    PassPlan plan;
    plan.seed = seed;
    plan.policy.watchedEngines = 1'000;
    plan.policy.budgetRefused = true;
    plan.policy.reservationTtl = milliseconds(3'500);
    plan.profile = {.slots = 16,
                    .kvCapacityTokens = 450'000,
                    .stepsPerPass = 46,
                    .stepMs = 0.925,
                    .stepMsPerSequence = 0.00483,
                    .stepMsPerThousandContextTokens = 0.00254,
                    .prefillTokensPerSecond = 256'000,
                    .msPerMillionPairs = 0.0917,
                    .stepTokens = 2'048,
                    .reportLagMs = 200};
    plan.classes = {
            {"narrative", 46.1, 4'960, 0.9, 23'800, 34.9, milliseconds(300), milliseconds(200),
             milliseconds(10'000), 1.3, 0.33},
            {"summary", 3.34, 45'000, 0.5, 110'000, 20.9, milliseconds(1'500), milliseconds(500),
             milliseconds(10'000), 3.1, 0.79},
            {"review", 1.38, 210'000, 0.55, 440'000, 17.4, milliseconds(3'000), milliseconds(800),
             milliseconds(15'000), 22, 5.4},
    };
    plan.phases = {{milliseconds(2'000), {1, 1, 1}},
                   {milliseconds(9'500), {0.32, 1.3, 2.7}},
                   {milliseconds(9'500), {2.4, 0.5, 0.05}},
                   {milliseconds(9'500), {0.33, 1.3, 2.7}}};
    return plan;
}

PassPlan grownHeavyDay(std::uint64_t seed)
{
    PassPlan plan = heavyDay(seed);
    plan.engines = 69;
    plan.entries = 117;
    plan.profile.slots = 12;
    plan.profile.stepsPerPass = 52;
    plan.classes = {
            {"narrative", 118, 4'960, 0.9, 23'800, 33, milliseconds(300), milliseconds(200),
             milliseconds(10'000), 1.3, 0.33},
            {"summary", 10.8, 45'000, 0.5, 110'000, 19.8, milliseconds(1'500), milliseconds(500),
             milliseconds(10'000), 3.1, 0.79},
            {"review", 2.45, 300'000, 0.55, 1'000'000, 16.5, milliseconds(4'000), milliseconds(800),
             milliseconds(15'000), 22, 5.4},
    };
    return plan;
}

PassPlan largeHeavyDay(std::uint64_t seed)
{
    PassPlan plan = heavyDay(seed);
    plan.engines = 172;
    plan.entries = 91;
    plan.profile.slots = 10;
    plan.profile.stepsPerPass = 73;
    plan.classes = {
            {"narrative", 249, 4'960, 0.9, 23'800, 24, milliseconds(300), milliseconds(250),
             milliseconds(10'000), 1.4, 0.34},
            {"summary", 26.6, 45'000, 0.5, 110'000, 15, milliseconds(1'500), milliseconds(600),
             milliseconds(10'000), 2.3, 0.58},
            {"review", 6.1, 300'000, 0.55, 1'000'000, 12, milliseconds(4'000), milliseconds(1'000),
             milliseconds(15'000), 26, 6.6},
    };
    return plan;
}

PassPlan smallMemoryDay(std::uint64_t seed)
{
    PassPlan plan = heavyDay(seed);
    plan.entries = 13;
    plan.profile = {.slots = 16,
                    .kvCapacityTokens = 232'000,
                    .stepsPerPass = 43,
                    .stepMs = 1.02,
                    .stepMsPerSequence = 0.00226,
                    .stepMsPerThousandContextTokens = 0.00431,
                    .prefillTokensPerSecond = 206'000,
                    .msPerMillionPairs = 0.138,
                    .stepTokens = 2'048,
                    .reportLagMs = 200};
    plan.classes = {
            {"tagging", 44.7, 4'960, 0.9, 23'800, 31.6, milliseconds(300), milliseconds(250),
             milliseconds(10'000), 1.3, 0.33},
            {"summary", 2.44, 45'000, 0.5, 110'000, 19, milliseconds(1'500), milliseconds(600),
             milliseconds(10'000), 3.9, 0.98},
            {"check", 2.05, 133'000, 0.55, 600'000, 15.8, milliseconds(2'500), milliseconds(1'000),
             milliseconds(15'000), 15, 3.7},
    };
    return plan;
}

PassPlan grownSmallMemoryDay(std::uint64_t seed)
{
    PassPlan plan = smallMemoryDay(seed);
    plan.engines = 69;
    plan.entries = 114;
    plan.profile.slots = 12;
    plan.profile.stepsPerPass = 48;
    plan.classes = {
            {"tagging", 115, 4'960, 0.9, 23'800, 31, milliseconds(300), milliseconds(250),
             milliseconds(10'000), 1.3, 0.33},
            {"summary", 7.82, 45'000, 0.5, 110'000, 18, milliseconds(1'500), milliseconds(600),
             milliseconds(10'000), 3.3, 0.83},
            {"check", 3.7, 190'000, 0.55, 900'000, 15, milliseconds(3'000), milliseconds(1'000),
             milliseconds(15'000), 20, 5.1},
    };
    return plan;
}

PassPlan burstDay(std::uint64_t seed)
{
    PassPlan plan = grownSmallMemoryDay(seed);
    plan.phases = {{milliseconds(3'000), {1, 1, 1}},
                   {milliseconds(10'000), {2, 2, 2}},
                   {milliseconds(4'000), {0.7, 0.7, 0.7}}};
    return plan;
}

PassPlan restartDay(std::uint64_t seed)
{
    PassPlan plan = smallMemoryDay(seed);
    plan.restartAt = milliseconds(25'000);
    return plan;
}

namespace {

class Draw
{
public:
    explicit Draw(std::uint64_t seed)
        : random(seed * 0x9E3779B97F4A7C15ULL + 1)
    {}

    double even(double least, double most)
    {
        return std::uniform_real_distribution<double>(least, most)(this->random);
    }
    // Each factor as likely as any other.
    double scaled(double least, double most)
    {
        return std::exp(this->even(std::log(least), std::log(most)));
    }
    milliseconds time(double least, double most)
    {
        return milliseconds(std::int64_t(this->scaled(least, most)));
    }

private:
    std::mt19937_64 random;
};

// Engine time of one request: its prefill, and its share of the passes in which it decodes.
double engineSeconds(const PassClass &kind, const state::routes::EngineProfile &profile,
                     double decodingTogether)
{
    const double square = std::exp(kind.spread * kind.spread); // mean of squares / square of mean
    const double reading = kind.meanTokens / profile.prefillTokensPerSecond;
    const double pairs = state::routes::prefillSeconds(profile, kind.meanTokens) - reading;
    const double pass = state::routes::decodePassSeconds(profile, decodingTogether,
                                                         decodingTogether * kind.meanTokens);
    return reading + pairs * square + kind.meanEvents * pass / decodingTogether;
}

} // namespace

PassPlan drawnDay(std::uint64_t seed)
{
    Draw draw(seed);
    PassPlan plan = heavyDay(seed);
    plan.engines = std::size_t(draw.scaled(8, 90));
    plan.entries = std::size_t(draw.scaled(4, 60));
    plan.noteDelay = draw.time(2, 12);
    plan.noteLoss = draw.even(0, 0.03);
    plan.profile.slots = std::uint32_t(draw.scaled(6, 32));
    plan.profile.kvCapacityTokens = std::uint64_t(draw.scaled(150'000, 600'000));
    plan.profile.stepsPerPass = std::uint32_t(draw.even(30, 60));
    plan.profile.stepMs = draw.scaled(0.6, 1.5);
    plan.profile.stepMsPerSequence = draw.scaled(0.002, 0.006);
    plan.profile.stepMsPerThousandContextTokens = draw.scaled(0.002, 0.005);
    plan.profile.prefillTokensPerSecond = draw.scaled(120'000, 400'000);
    plan.profile.msPerMillionPairs = draw.scaled(0.05, 0.2);
    const double pass = state::routes::decodePassSeconds(plan.profile, 1, 0) * 1'000;
    const auto kinds = plan.classes.size();
    const std::vector<double> tokens = {draw.scaled(2'000, 8'000), draw.scaled(25'000, 60'000),
                                        draw.scaled(90'000, 350'000)};
    const std::vector<double> most = {4.8, 2.5, 4.5};
    for (std::size_t kind = 0; kind < kinds; ++kind) {
        PassClass &made = plan.classes[kind];
        made.meanTokens = tokens[kind];
        made.mostTokens = tokens[kind] * most[kind];
        made.spread = draw.even(0.4, 0.9);
        made.meanEvents = draw.even(12, 40);
    }
    plan.classes[0].firstTarget = milliseconds(std::int64_t(pass * draw.even(5, 9)));
    plan.classes[0].pause = milliseconds(std::int64_t(pass * draw.even(4, 6)));
    plan.classes[1].firstTarget = draw.time(1'000, 2'500);
    plan.classes[1].pause = milliseconds(std::int64_t(pass * draw.even(10, 16)));
    plan.classes[2].firstTarget = draw.time(2'000, 5'000);
    plan.classes[2].pause = milliseconds(std::int64_t(pass * draw.even(15, 25)));
    plan.classes[1].worth = draw.scaled(2, 6);
    plan.classes[2].worth = draw.scaled(8, 30);
    for (PassClass &made : plan.classes)
        made.lateWorth = made.worth / 4;
    // Half of the engines' time at the usual rates, in drawn parts.
    const std::vector<double> together = {plan.profile.slots * 0.6, 3, 2};
    const std::vector<double> parts = {draw.even(0.35, 0.6), draw.even(0.1, 0.25),
                                       draw.even(0.3, 0.5)};
    const double load = draw.even(0.5, 0.75) / (parts[0] + parts[1] + parts[2]);
    for (std::size_t kind = 0; kind < kinds; ++kind) {
        plan.classes[kind].perSecond =
                double(plan.engines) * load * parts[kind]
                / engineSeconds(plan.classes[kind], plan.profile, together[kind]);
    }
    plan.phases = {{draw.time(1'500, 3'000), {1, 1, 1}}};
    for (int swing = 0; swing < 3; ++swing) {
        const bool brief = std::uint64_t(swing % 2) == (seed / 2) % 2;
        std::vector<double> factors =
                brief ? std::vector<double>{draw.even(1.5, 2.5), 0.5, 0.05}
                      : std::vector<double>{draw.even(0.3, 0.6), 1.3, draw.even(1.5, 2.8)};
        plan.phases.push_back({draw.time(4'000, 10'000), std::move(factors)});
    }
    return plan;
}

} // namespace lavenderthread::bench
