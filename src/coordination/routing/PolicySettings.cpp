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

// What a plain balancer does: nothing is held back, ordered, sliced or refused.
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

std::vector<PolicySettings> all()
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
            changed("no-cache-events", [](PolicySettings &s) { s.useCacheEvents = false; }),
    };
}

state::Error outOfRange(const char *member)
{
    return state::makeError(state::ErrorCode::InvalidArgument, "policy.settings",
                            std::string(member) + " is out of its range");
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

state::Result<PolicySettings> PolicySettings::named(std::string_view name)
{
    for (PolicySettings &settings : all()) {
        if (settings.name == name)
            return std::move(settings);
    }
    return state::makeError(state::ErrorCode::NotFound, "policy.settings",
                            "no such policy: " + std::string(name));
}

std::vector<std::string> PolicySettings::names()
{
    std::vector<std::string> result;
    for (const PolicySettings &settings : all())
        result.push_back(settings.name);
    return result;
}

} // namespace lavenderthread::coordination::routing
