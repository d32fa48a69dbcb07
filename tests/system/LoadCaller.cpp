// Many callers at once over loopback, each checking its answers by content. Exit code 0 only if
// every call got its whole and right answer. usage: load-caller --help
#include "fakes/ExpectedAnswer.h"
#include "system/CallMix.h"

#include <CLI/CLI.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <thread>

namespace lavenderthread::system_test {

namespace {

namespace asio = boost::asio;
using program::CallResult;

struct Options
{
    std::vector<std::string> entries;
    std::string account = "firm";
    std::string key;
    std::string model = "m1";
    std::string mix = "1000:20";
    std::uint32_t postings = 0;
    std::string service = "ledger";
    std::string postingPath = "/time-entries";
    std::uint32_t concurrency = 8;
    std::uint32_t maxTokens = 16;
    std::uint32_t deadlineMs = 60'000;
    std::uint32_t seconds = 0; // repeat the mix until this time has passed
    std::size_t unknownAllowed = 0;
    bool json = false;
    bool printFailures = false;
};

// What all callers share.
struct Run
{
    Options options;
    std::vector<state::Address> entries;
    std::vector<PlannedCall> plan;
    std::atomic<std::size_t> next = 0;
    std::chrono::steady_clock::time_point end;
    std::mutex mutex;
    std::vector<CheckedCall> finished;
};

asio::awaitable<CheckedCall> sendCompletion(Run &run, program::Caller &caller, PlannedCall call)
{
    const std::string prompt = promptFor(call);
    protocol::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers.add("Content-Type", "application/json");
    request.body = boost::json::serialize(boost::json::object{{"model", run.options.model},
                                                              {"prompt", prompt},
                                                              {"max_tokens", run.options.maxTokens},
                                                              {"stream", true}});
    CheckedCall checked;
    checked.plan = call;
    checked.result = co_await caller.complete(std::move(request));
    checked.contentRight =
            checked.result.text == fakes::ExpectedAnswer(prompt).text(0, run.options.maxTokens);
    co_return checked;
}

// The same posting twice at once and by two callers, who may be at two entries: both must end with
// the same answer, of the one run.
asio::awaitable<CheckedCall> sendPosting(Run &run, program::Caller &caller, PlannedCall call)
{
    constexpr int most = 40;
    protocol::HttpRequest request;
    request.method = "POST";
    request.target = "/services/" + run.options.service + run.options.postingPath;
    request.headers.add("Idempotency-Key", call.key);
    request.body = "{\"hours\":" + std::to_string(call.number) + "}";
    CheckedCall checked{call, {}};
    checked.result = co_await caller.call(request, true);
    CallResult again;
    for (int attempt = 0; attempt < most; ++attempt) {
        again = co_await caller.call(request, true);
        if (again.whole || again.ran == "yes")
            break;
    }
    checked.contentRight = checked.result.whole && again.text == checked.result.text;
    co_return checked;
}

asio::awaitable<void> callerLoop(Run &run)
{
    program::CallerSettings settings;
    settings.knownEntries = run.entries;
    settings.account = run.options.account;
    settings.key = run.options.key;
    settings.deadline = std::chrono::milliseconds(run.options.deadlineMs);
    program::Caller caller(settings);
    while (true) {
        const std::size_t index = run.next++;
        const bool again = std::chrono::steady_clock::now() < run.end;
        if (index >= run.plan.size() && !again)
            co_return;
        PlannedCall call = run.plan[index % run.plan.size()];
        const std::size_t round = index / run.plan.size();
        call.number += static_cast<std::uint32_t>(round * run.plan.size());
        if (!call.key.empty())
            call.key += "-" + std::to_string(round);
        CheckedCall checked;
        if (call.kind == PlannedCall::Kind::Posting)
            checked = co_await sendPosting(run, caller, call);
        else
            checked = co_await sendCompletion(run, caller, call);
        const std::lock_guard lock(run.mutex);
        run.finished.push_back(std::move(checked));
    }
}

void printFailures(const Run &run)
{
    for (const CheckedCall &call : run.finished) {
        if (call.contentRight && call.result.whole)
            continue;
        std::cerr << "call " << call.plan.number << " tokens=" << call.plan.promptTokens
                  << " status=" << call.result.status << " ran=" << call.result.ran
                  << " whole=" << call.result.whole << " connections=" << call.result.connections
                  << " got=" << call.result.tokens << " problem=" << call.result.problem << '\n';
    }
}

// Its entry was killed while the posting ran, and its caller heard just that.
bool toldUnknown(const CheckedCall &call)
{
    constexpr unsigned conflict = 409;
    return call.plan.kind == PlannedCall::Kind::Posting && call.result.status == conflict
           && call.result.ran == "unknown" && call.result.problem.starts_with("fate-unknown");
}

int runAll(Run &run)
{
    asio::io_context context;
    for (std::uint32_t caller = 0; caller < run.options.concurrency; ++caller)
        asio::co_spawn(asio::make_strand(context), callerLoop(run), asio::detached);
    std::vector<std::thread> threads;
    for (int thread = 0; thread < 2; ++thread)
        threads.emplace_back([&] { context.run(); });
    for (std::thread &thread : threads)
        thread.join();
    if (run.options.printFailures)
        printFailures(run);
    std::cout << (run.options.json ? jsonOf(run.finished) + "\n" : tableOf(run.finished));
    const auto failed = std::ranges::count_if(run.finished, [](const CheckedCall &call) {
        return !(call.result.whole && call.contentRight);
    });
    const auto unknown = std::ranges::count_if(run.finished, toldUnknown);
    const bool allowed = failed == unknown && std::size_t(unknown) <= run.options.unknownAllowed;
    return allowed && !run.finished.empty() ? 0 : 1;
}

} // namespace

} // namespace lavenderthread::system_test

int main(int argc, char **argv)
{
    using namespace lavenderthread; // NOLINT(google-build-using-namespace): main only
    system_test::Run run;
    system_test::Options &options = run.options;
    CLI::App app("Sends a checked mix of calls to a fleet on loopback.");
    app.add_option("--entry", options.entries, "IP:PORT of any entry; may be repeated")->required();
    app.add_option("--account", options.account);
    app.add_option("--key", options.key)->required();
    app.add_option("--model", options.model);
    app.add_option("--mix", options.mix, "TOKENS:COUNT,…");
    app.add_option("--postings", options.postings, "Postings, each sent twice with the same key");
    app.add_option("--service", options.service);
    app.add_option("--posting-path", options.postingPath);
    app.add_option("--concurrency", options.concurrency);
    app.add_option("--max-tokens", options.maxTokens);
    app.add_option("--deadline-ms", options.deadlineMs);
    app.add_option("--seconds", options.seconds, "Repeat the mix for this long");
    app.add_option("--unknown-allowed", options.unknownAllowed,
                   "Postings that may end with their outcome unknown");
    app.add_flag("--json", options.json);
    app.add_flag("--print-failures", options.printFailures);
    CLI11_PARSE(app, argc, argv);
    for (const std::string &text : options.entries) {
        const auto address = state::Address::parse(text);
        if (!address) {
            std::cerr << address.error().describe() << '\n';
            return 2;
        }
        run.entries.push_back(address.value());
    }
    auto plan = system_test::planCalls(options.mix, options.postings);
    if (!plan || plan.value().empty()) {
        std::cerr << "nothing to send\n";
        return 2;
    }
    run.plan = std::move(plan.value());
    run.end = std::chrono::steady_clock::now() + std::chrono::seconds(options.seconds);
    return system_test::runAll(run);
}
