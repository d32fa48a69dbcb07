#include "coordination/routing/PolicySettings.h"

#include <array>
#include <utility>

namespace lavenderthread::coordination::routing {

namespace {

constexpr double heavyWeight = 3;

PolicySettings timekeep()
{
    PolicySettings settings;
    settings.name = "timekeep";
    settings.shortSlowdownWeight = heavyWeight;
    return settings;
}

PolicySettings cascadia()
{
    PolicySettings settings;
    settings.name = "cascadia";
    settings.firstTokenWeight = heavyWeight;
    return settings;
}

// A plain load balancer, which neither queues, orders, slices nor refuses requests.
PolicySettings baseline(std::string name, Placement placement)
{
    PolicySettings settings;
    settings.name = std::move(name);
    settings.placement = placement;
    settings.shareWork = false;
    settings.priorities = false;
    settings.sliceTokens = 0;
    settings.splitEngines = false;
    settings.holdInEntry = false;
    settings.admitByDeadline = false;
    return settings;
}

PolicySettings changed(std::string name, void (*change)(PolicySettings &))
{
    PolicySettings settings = timekeep();
    settings.name = std::move(name);
    change(settings);
    return settings;
}

std::vector<PolicySettings> allSettings()
{
    return {
            timekeep(),
            cascadia(),
            baseline("round-robin", Placement::RoundRobin),
            baseline("least-outstanding", Placement::LeastOutstanding),
            baseline("prefix-affinity", Placement::PrefixAffinity),
            changed("reports-only", [](PolicySettings &s) { s.shareWork = false; }),
            changed("two-choices", [](PolicySettings &s) { s.sampledEngines = 2; }),
            changed("two-choices-reports-only",
                    [](PolicySettings &s) {
                        s.sampledEngines = 2;
                        s.shareWork = false;
                    }),
            changed("no-slices", [](PolicySettings &s) { s.sliceTokens = 0; }),
            changed("no-split", [](PolicySettings &s) { s.splitEngines = false; }),
            changed("no-priorities", [](PolicySettings &s) { s.priorities = false; }),
            changed("no-hold", [](PolicySettings &s) { s.holdInEntry = false; }),
            changed("late-spans", [](PolicySettings &s) { s.spanPriority = 9; }),
            changed("early-spans", [](PolicySettings &s) { s.spanPriority = 1; }),
            changed("no-wide-spans", [](PolicySettings &s) { s.spanFromTokens = 4'000'000; }),
            changed("patient-spans", [](PolicySettings &s) { s.spanPatience = 1e9; }),
            changed("loose-fit", [](PolicySettings &s) { s.tightFitWeight = 0; }),
            changed("no-cache-events", [](PolicySettings &s) { s.useCacheEvents = false; }),
    };
}

state::Duration milliseconds(double value)
{
    return std::chrono::duration_cast<state::Duration>(
            std::chrono::duration<double, std::milli>(value));
}

struct MemberSetter
{
    std::string_view name;
    void (*set)(PolicySettings &, double);
};

const std::vector<MemberSetter> &memberSetters()
{
    static const std::vector<MemberSetter> setters = {
            {"short_slowdown_weight",
             [](PolicySettings &s, double v) { s.shortSlowdownWeight = v; }},
            {"first_token_weight", [](PolicySettings &s, double v) { s.firstTokenWeight = v; }},
            {"short_prompt_tokens",
             [](PolicySettings &s, double v) { s.shortPromptTokens = std::uint32_t(v); }},
            {"medium_prompt_tokens",
             [](PolicySettings &s, double v) { s.mediumPromptTokens = std::uint32_t(v); }},
            {"long_prompt_tokens",
             [](PolicySettings &s, double v) { s.longPromptTokens = std::uint32_t(v); }},
            {"watched_engines",
             [](PolicySettings &s, double v) { s.watchedEngines = std::uint32_t(v); }},
            {"sampled_engines",
             [](PolicySettings &s, double v) { s.sampledEngines = std::uint32_t(v); }},
            {"share_work", [](PolicySettings &s, double v) { s.shareWork = v != 0; }},
            {"use_cache_events", [](PolicySettings &s, double v) { s.useCacheEvents = v != 0; }},
            {"doubtful_trust", [](PolicySettings &s, double v) { s.doubtfulTrust = v; }},
            {"prefix_block_tokens",
             [](PolicySettings &s, double v) { s.prefixBlockTokens = std::uint32_t(v); }},
            {"prefix_index_blocks",
             [](PolicySettings &s, double v) { s.prefixIndexBlocks = std::uint32_t(v); }},
            {"prefill_slows_decode", [](PolicySettings &s, double v) { s.prefillSlowsDecode = v; }},
            {"engine_step_tokens",
             [](PolicySettings &s, double v) { s.engineStepTokens = std::uint32_t(v); }},
            {"report_slack_ms",
             [](PolicySettings &s, double v) { s.reportSlack = milliseconds(v); }},
            {"priorities", [](PolicySettings &s, double v) { s.priorities = v != 0; }},
            {"slice_tokens", [](PolicySettings &s, double v) { s.sliceTokens = std::uint32_t(v); }},
            {"split_engines", [](PolicySettings &s, double v) { s.splitEngines = v != 0; }},
            {"hold_in_entry", [](PolicySettings &s, double v) { s.holdInEntry = v != 0; }},
            {"engine_queue_limit_ms",
             [](PolicySettings &s, double v) { s.engineQueueLimit = milliseconds(v); }},
            {"queue_priority",
             [](PolicySettings &s, double v) { s.queuePriority = std::uint8_t(v); }},
            {"fair_burst_tokens", [](PolicySettings &s, double v) { s.fairBurstTokens = v; }},
            {"admit_by_deadline", [](PolicySettings &s, double v) { s.admitByDeadline = v != 0; }},
            {"admission_margin", [](PolicySettings &s, double v) { s.admissionMargin = v; }},
            {"expected_output_share",
             [](PolicySettings &s, double v) { s.expectedOutputShare = v; }},
            {"queued_requests_limit",
             [](PolicySettings &s, double v) { s.queuedRequestsLimit = std::uint32_t(v); }},
            {"late_tolerance", [](PolicySettings &s, double v) { s.lateTolerance = v; }},
            {"start_spread_ms",
             [](PolicySettings &s, double v) { s.startSpreadTime = milliseconds(v); }},
            {"ranked_overload", [](PolicySettings &s, double v) { s.rankedOverload = v != 0; }},
            {"waiting_order",
             [](PolicySettings &s, double v) { s.passes.waitingOrder = WaitingOrder(int(v)); }},
            {"retry_share", [](PolicySettings &s, double v) { s.retryShare = v; }},
            {"retry_burst", [](PolicySettings &s, double v) { s.retryBurst = v; }},
            {"attempts_limit",
             [](PolicySettings &s, double v) { s.attemptsLimit = std::uint32_t(v); }},
            {"span_memory_share", [](PolicySettings &s, double v) { s.spanMemoryShare = v; }},
            {"span_part_share", [](PolicySettings &s, double v) { s.spanPartShare = v; }},
            {"span_spare_share", [](PolicySettings &s, double v) { s.spanSpareShare = v; }},
            {"span_patience", [](PolicySettings &s, double v) { s.spanPatience = v; }},
            {"span_late_spare_share",
             [](PolicySettings &s, double v) { s.spanLateSpareShare = v; }},
            {"span_part_tokens",
             [](PolicySettings &s, double v) { s.spanPartTokens = std::uint32_t(v); }},
            {"span_from_tokens",
             [](PolicySettings &s, double v) { s.spanFromTokens = std::uint32_t(v); }},
            {"tight_fit_weight", [](PolicySettings &s, double v) { s.tightFitWeight = v; }},
            {"span_priority",
             [](PolicySettings &s, double v) { s.spanPriority = std::uint32_t(v); }},
            {"reservation_ttl_ms",
             [](PolicySettings &s, double v) { s.reservationTtl = milliseconds(v); }},
            {"reservation_retry_ms",
             [](PolicySettings &s, double v) { s.reservationRetry = milliseconds(v); }},
            {"backlog_share_life_ms",
             [](PolicySettings &s, double v) { s.backlogShareLife = milliseconds(v); }},
    };
    return setters;
}

state::Error outOfRange(const char *member)
{
    return state::makeError(state::ErrorCode::InvalidArgument, "policy.settings",
                            std::string(member) + " is out of range");
}

} // namespace

state::Result<PolicySettings> PolicySettings::create(PolicySettings draft)
{
    const std::array<std::pair<bool, const char *>, 10> rules = {{
            {draft.shortSlowdownWeight >= 0, "short_slowdown_weight"},
            {draft.firstTokenWeight > 0, "first_token_weight"},
            {draft.shortPromptTokens < draft.mediumPromptTokens, "short_prompt_tokens"},
            {draft.mediumPromptTokens < draft.longPromptTokens, "medium_prompt_tokens"},
            {draft.watchedEngines >= 1, "watched_engines"},
            {draft.prefixBlockTokens >= 1, "prefix_block_tokens"},
            {draft.prefillSlowsDecode >= 1, "prefill_slows_decode"},
            {draft.admissionMargin >= 1, "admission_margin"},
            {draft.spanMemoryShare > 0 && draft.spanMemoryShare <= 1, "span_memory_share"},
            {draft.reservationTtl.count() > 0, "reservation_ttl"},
    }};
    for (const auto &[holds, member] : rules) {
        if (!holds)
            return outOfRange(member);
    }
    return draft;
}

state::Result<PolicySettings> PolicySettings::with(std::string_view member, double value) const
{
    for (const MemberSetter &setter : memberSetters()) {
        if (setter.name != member)
            continue;
        PolicySettings changed = *this;
        setter.set(changed, value);
        return changed;
    }
    return state::makeError(state::ErrorCode::NotFound, "policy.settings",
                            "no such member: " + std::string(member));
}

state::Result<PolicySettings> PolicySettings::named(std::string_view name)
{
    for (PolicySettings &settings : allSettings()) {
        if (settings.name == name)
            return std::move(settings);
    }
    return state::makeError(state::ErrorCode::NotFound, "policy.settings",
                            "no such policy: " + std::string(name));
}

std::vector<std::string> PolicySettings::names()
{
    std::vector<std::string> result;
    for (const PolicySettings &settings : allSettings())
        result.push_back(settings.name);
    return result;
}

} // namespace lavenderthread::coordination::routing
