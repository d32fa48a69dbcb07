// Processor time of one entry's decisions and memory of its state, by replicas and accounts, beside
// a plain scan over every replica in the same run.
// usage: decision-bench
#include "coordination/admission/Dispatcher.h"

#include <malloc.h>
#include <time.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <string>

namespace lavenderthread::bench {

namespace admission = coordination::admission;
namespace routing = coordination::routing;

namespace {

constexpr std::uint32_t requests = 3'000;
constexpr std::size_t models = 4;
constexpr std::size_t failureDomains = 18;

// Time of this thread on a processor: what other programs of the machine take is not counted.
struct Clock
{
    using duration = std::chrono::nanoseconds;

    static duration now()
    {
        timespec time{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }
};

double microseconds(Clock::duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

struct Sizes
{
    std::size_t replicas;
    std::size_t accounts;
};

struct Figures
{
    double arrival = 0;  // admission and dispatch
    double lifetime = 0; // the request's other events
    double peerNote = 0;
    double refusal = 0;
    double bytesPerReplica = 0;
    double bytesPerAccount = 0;
};

std::string modelOf(std::size_t index)
{
    return "model-" + std::to_string(index % models);
}

admission::CompletionRequest requestOf(std::uint32_t number, const Sizes &sizes, state::Instant now)
{
    admission::CompletionRequest request;
    request.id = state::RequestId("entry-17.request-" + std::to_string(number));
    request.account = state::ClientAccountId("account-" + std::to_string(number % sizes.accounts));
    request.workClass = state::WorkClass("narrative");
    request.model = state::ModelName(modelOf(number));
    request.promptTokens = 1'000 + number * 37 % 3'000;
    request.maximumOutputTokens = 256;
    request.prefixBlocks = {number % 100, number % 50, number};
    request.arrival = now;
    request.deadline = now + std::chrono::seconds(60);
    return request;
}

Figures measure(const Sizes &sizes, std::uint32_t watched)
{
    routing::PolicySettings policy;
    policy.watchedEngines = watched;
    admission::DispatcherHooks hooks;
    hooks.fleet.transferTime = [](const state::FailureDomain &) { return state::Duration(500); };
    state::Instant now{std::chrono::seconds(1)};
    Figures figures;
    const std::size_t empty = heapBytes();
    admission::Dispatcher entry(state::VmId("entry-17"), policy, hooks, 1);
    for (std::size_t index = 0; index < sizes.replicas; ++index) {
        state::EndpointDescription engine;
        engine.id = state::EndpointId("replica-" + std::to_string(index));
        engine.address = {"10.0.0.1", 8'000};
        engine.failureDomain =
                state::FailureDomain("domain-" + std::to_string(index % failureDomains));
        engine.models = {state::ModelName(modelOf(index))};
        engine.incarnation = 1;
        engine.kvCapacityTokens = 400'000;
        engine.prefillTokensPerSecond = 20'000;
        engine.decodeTokensPerSecond = 60;
        entry.handle(admission::EngineAnnounced{engine}, now);
    }
    const std::size_t withReplicas = heapBytes();
    figures.bytesPerReplica = double(withReplicas - empty) / double(sizes.replicas);
    admission::TableChanged table;
    for (std::size_t index = 0; index < sizes.accounts; ++index) {
        state::TableRow row;
        row.key.account = state::ClientAccountId("account-" + std::to_string(index));
        row.key.workClass = state::WorkClass("narrative");
        row.version = 1;
        table.rows.push_back(row);
    }
    const std::size_t beforeRows = heapBytes();
    entry.handle(table, now);
    figures.bytesPerAccount = double(heapBytes() - beforeRows) / double(sizes.accounts);

    Clock::duration arrival{};
    Clock::duration lifetime{};
    Clock::duration peerNote{};
    Clock::duration refusal{};
    for (std::uint32_t number = 0; number < requests; ++number) {
        now += std::chrono::milliseconds(20);
        const admission::Event arrived = admission::RequestArrived{requestOf(number, sizes, now)};
        const auto start = Clock::now();
        const auto actions = entry.handle(arrived, now);
        arrival += Clock::now() - start;
        routing::WorkNote note;
        for (const admission::Action &action : actions) {
            if (const auto *shared = std::get_if<admission::ShareWork>(&action))
                note = shared->note;
            const auto *dispatch = std::get_if<admission::Dispatch>(&action);
            if (dispatch == nullptr)
                continue;
            const auto second = Clock::now();
            entry.handle(admission::TokensReceived{dispatch->id, dispatch->attempt, 1}, now);
            entry.handle(admission::TokensReceived{dispatch->id, dispatch->attempt, 99}, now);
            entry.handle(admission::RequestFinished{dispatch->id, dispatch->attempt}, now);
            lifetime += Clock::now() - second;
        }
        note.requestHash = number;
        note.lifetime = std::chrono::seconds(3);
        const admission::Event peer = admission::PeerWorkReceived{note};
        const auto third = Clock::now();
        entry.handle(peer, now);
        peerNote += Clock::now() - third;
    }
    // A peer tells of an hour of waiting work: what arrives can't make its deadline.
    admission::BacklogNote backlog;
    backlog.entry = state::VmId("entry-1");
    backlog.waitingTokens.fill(std::uint64_t(1) << 50U);
    backlog.waitingWeight = 1;
    for (std::uint32_t number = 0; number < requests; ++number) {
        entry.handle(admission::PeerBacklogReceived{backlog}, now);
        auto request = requestOf(requests + number, sizes, now);
        request.deadline = now + state::Duration(1);
        const admission::Event arrived = admission::RequestArrived{std::move(request)};
        const auto start = Clock::now();
        entry.handle(arrived, now);
        refusal += Clock::now() - start;
    }
    figures.arrival = microseconds(arrival) / requests;
    figures.lifetime = microseconds(lifetime) / requests;
    figures.peerNote = microseconds(peerNote) / requests;
    figures.refusal = microseconds(refusal) / requests;
    return figures;
}

void print(const char *name, const Sizes &sizes, const Figures &figures)
{
    std::printf(
            "%-12s replicas %5zu accounts %6zu  arrival %7.2f us  rest of life %6.2f us  peer note "
            "%5.2f us  refusal %5.2f us  bytes/replica %6.0f  bytes/account %5.0f\n",
            name, sizes.replicas, sizes.accounts, figures.arrival, figures.lifetime,
            figures.peerNote, figures.refusal, figures.bytesPerReplica, figures.bytesPerAccount);
}

} // namespace

} // namespace lavenderthread::bench

int main()
{
    namespace bench = lavenderthread::bench;
    const std::uint32_t ordinary =
            lavenderthread::coordination::routing::PolicySettings().watchedEngines;
    for (const bench::Sizes &sizes :
         {bench::Sizes{20, 10}, bench::Sizes{200, 1'000}, bench::Sizes{1'800, 11'000}}) {
        bench::print("subset", sizes, bench::measure(sizes, ordinary));
        bench::print("plain scan", sizes, bench::measure(sizes, std::uint32_t(sizes.replicas)));
    }
    return 0;
}
