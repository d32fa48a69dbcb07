// Plans a mix of calls and sums up how it went.
#include "system/CallMix.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <map>

namespace lavenderthread::system_test {

namespace {

constexpr std::size_t bytesPerToken = 4;
constexpr double microsecondsPerMillisecond = 1'000;

struct LengthClass
{
    std::uint32_t promptTokens = 0;
    std::uint32_t count = 0;
};

bool parseNumber(std::string_view text, std::uint32_t &value)
{
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    return problem == std::errc() && end == text.data() + text.size();
}

// Value at `share` of the sorted times, in milliseconds.
double quantile(std::vector<double> times, double share)
{
    if (times.empty())
        return 0;
    std::sort(times.begin(), times.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(times.size() - 1));
    return times[index];
}

struct ClassSummary
{
    std::size_t sent = 0;
    std::size_t whole = 0;
    std::size_t wrong = 0; // whole, but not the right content
    std::size_t notRun = 0;
    std::size_t failed = 0;  // neither whole nor certainly not run
    std::size_t resumed = 0; // went on at another entry
    std::vector<double> firstTokenMs;
};

std::string nameOf(const PlannedCall &call)
{
    return call.kind == PlannedCall::Kind::Posting ? "posting"
                                                   : std::to_string(call.promptTokens) + " tokens";
}

std::map<std::pair<std::uint32_t, std::string>, ClassSummary>
summarize(const std::vector<CheckedCall> &calls)
{
    std::map<std::pair<std::uint32_t, std::string>, ClassSummary> classes;
    for (const CheckedCall &call : calls) {
        ClassSummary &sum = classes[{call.plan.promptTokens, nameOf(call.plan)}];
        ++sum.sent;
        sum.resumed += call.result.connections > 1 ? 1 : 0;
        if (call.result.whole) {
            ++sum.whole;
            sum.wrong += call.contentRight ? 0 : 1;
            const state::Duration time = call.plan.kind == PlannedCall::Kind::Posting
                                                 ? call.result.total
                                                 : call.result.firstToken;
            sum.firstTokenMs.push_back(static_cast<double>(time.count())
                                       / microsecondsPerMillisecond);
        } else if (call.result.ran == "no") {
            ++sum.notRun;
        } else {
            ++sum.failed;
        }
    }
    return classes;
}

} // namespace

state::Result<std::vector<PlannedCall>> planCalls(const std::string &mix, std::uint32_t postings)
{
    std::vector<LengthClass> classes;
    std::string_view rest = mix;
    while (!rest.empty()) {
        const std::string_view part = rest.substr(0, rest.find(','));
        rest.remove_prefix(std::min(rest.size(), part.size() + 1));
        const auto colon = part.find(':');
        LengthClass one;
        if (colon == std::string_view::npos || !parseNumber(part.substr(0, colon), one.promptTokens)
            || !parseNumber(part.substr(colon + 1), one.count))
            return state::makeError(state::ErrorCode::InvalidArgument, "mix.parse",
                                    "expected TOKENS:COUNT,…", mix);
        classes.push_back(one);
    }
    // Each call stands at its share of the run, so that long ones are spread among the short.
    std::vector<std::pair<double, PlannedCall>> placed;
    std::uint32_t number = 0;
    for (const LengthClass &one : classes) {
        for (std::uint32_t call = 0; call < one.count; ++call)
            placed.push_back({(call + 0.5) / one.count,
                              {PlannedCall::Kind::Completion, one.promptTokens, {}, ++number}});
    }
    for (std::uint32_t posting = 0; posting < postings; ++posting)
        placed.push_back(
                {(posting + 0.5) / postings,
                 {PlannedCall::Kind::Posting, 0, "posting-" + std::to_string(posting), ++number}});
    std::stable_sort(placed.begin(), placed.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<PlannedCall> calls;
    calls.reserve(placed.size());
    for (auto &[share, call] : placed)
        calls.push_back(std::move(call));
    return calls;
}

std::string promptFor(const PlannedCall &call)
{
    std::string prompt = "entry " + std::to_string(call.number) + ": ";
    const std::size_t bytes = static_cast<std::size_t>(call.promptTokens) * bytesPerToken;
    std::uint64_t state = call.number;
    while (prompt.size() < bytes) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        prompt += std::to_string(state >> 40U) + ' ';
    }
    prompt.resize(bytes);
    return prompt;
}

std::string tableOf(const std::vector<CheckedCall> &calls)
{
    std::string table = "what               sent  whole  wrong  not run  failed  resumed"
                        "  first token p50 ms   p95 ms\n";
    for (const auto &[name, sum] : summarize(calls)) {
        char line[160];
        std::snprintf(
                line, sizeof line, "%-17s %5zu  %5zu  %5zu  %7zu  %6zu  %7zu  %18.1f  %7.1f\n",
                name.second.c_str(), sum.sent, sum.whole, sum.wrong, sum.notRun, sum.failed,
                sum.resumed, quantile(sum.firstTokenMs, 0.5), quantile(sum.firstTokenMs, 0.95));
        table += line;
    }
    return table;
}

std::string jsonOf(const std::vector<CheckedCall> &calls)
{
    boost::json::array list;
    for (const auto &[name, sum] : summarize(calls))
        list.emplace_back(
                boost::json::object{{"what", name.second},
                                    {"sent", sum.sent},
                                    {"whole", sum.whole},
                                    {"wrong", sum.wrong},
                                    {"not_run", sum.notRun},
                                    {"failed", sum.failed},
                                    {"resumed", sum.resumed},
                                    {"first_token_p50_ms", quantile(sum.firstTokenMs, 0.5)},
                                    {"first_token_p95_ms", quantile(sum.firstTokenMs, 0.95)}});
    return boost::json::serialize(list);
}

} // namespace lavenderthread::system_test
