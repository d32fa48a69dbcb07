// fake-endpoint: one fake engine or plain service as a process. Announces itself to the entries
// given; SIGTERM and SIGINT make it leave and end, SIGKILL is the crash.
#include "fakes/FakeEndpoint.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace lavenderthread::fakes {
namespace {

// Texts as the command line gives them, before they are checked.
struct Arguments
{
    std::string kind = "engine";
    std::string id = "fake-1";
    std::string listen = "127.0.0.1:0";
    std::vector<std::string> entries;
    std::string failureDomain = "fd-1";
    std::string service = "assistant";
    std::vector<std::string> models{"model-v1"};
    std::uint64_t kvCapacityTokens = EngineSettings{}.kvCapacityTokens;
    double prefillRate = EngineSettings{}.prefillTokensPerSecond;
    double decodeRate = EngineSettings{}.decodeTokensPerSecond;
    std::uint32_t batch = EngineSettings{}.batch;
    std::uint32_t reportLagMs = 0;
    std::uint32_t delayMs = 0;
    std::uint64_t cacheEventGap = 0;
    std::uint64_t refuseEvery = 0;
    std::uint64_t incarnation = 0; // 0: from the clock
    bool ignoreFencing = false;
    bool crossed = false;
};

void declare(CLI::App &app, Arguments &arguments)
{
    app.add_option("--kind", arguments.kind)->check(CLI::IsMember({"engine", "plain-service"}));
    app.add_option("--id", arguments.id);
    app.add_option("--listen", arguments.listen, "IP:PORT; port 0 takes a free one");
    app.add_option("--entries", arguments.entries, "IP:PORT,IP:PORT")->delimiter(',');
    app.add_option("--failure-domain", arguments.failureDomain);
    app.add_option("--service", arguments.service);
    app.add_option("--models", arguments.models)->delimiter(',');
    app.add_option("--kv-capacity-tokens", arguments.kvCapacityTokens);
    app.add_option("--prefill-rate", arguments.prefillRate, "tokens a second");
    app.add_option("--decode-rate", arguments.decodeRate, "tokens a second of each sequence");
    app.add_option("--batch", arguments.batch, "sequences at once");
    app.add_option("--report-lag-ms", arguments.reportLagMs);
    app.add_option("--delay-ms", arguments.delayMs, "of a plain service's answers");
    app.add_option("--cache-event-gap", arguments.cacheEventGap, "drop every Nth cache event");
    app.add_option("--refuse-every", arguments.refuseEvery, "refuse every Nth call with 503");
    app.add_option("--incarnation", arguments.incarnation, "from the clock if absent");
    app.add_flag("--ignore-fencing", arguments.ignoreFencing, "apply orders with old numbers too");
    app.add_flag("--crossed", arguments.crossed, "give stream lines late and doubled");
}

state::Result<FakeEndpointSettings> check(const Arguments &arguments)
{
    FakeEndpointSettings settings;
    state::EndpointDescription &self = settings.description;
    self.id = state::EndpointId(arguments.id);
    BOOST_OUTCOME_TRY(self.address, state::Address::parse(arguments.listen));
    const bool isEngine = arguments.kind == "engine";
    self.kind = isEngine ? state::EndpointKind::Engine : state::EndpointKind::PlainService;
    self.failureDomain = state::FailureDomain(arguments.failureDomain);
    self.service = state::ServiceName(arguments.service);
    for (const std::string &model : arguments.models) {
        if (isEngine)
            self.models.emplace_back(model);
    }
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto clockMs = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    self.incarnation = arguments.incarnation != 0 ? arguments.incarnation
                                                  : static_cast<std::uint64_t>(clockMs);
    self.kvCapacityTokens = isEngine ? arguments.kvCapacityTokens : 0;
    self.prefillTokensPerSecond = isEngine ? arguments.prefillRate : 0;
    self.decodeTokensPerSecond = isEngine ? arguments.decodeRate : 0;
    self.honoursFencing = isEngine && !arguments.ignoreFencing;
    for (const std::string &text : arguments.entries) {
        BOOST_OUTCOME_TRY(auto entry, state::Address::parse(text));
        settings.entries.push_back(std::move(entry));
    }
    settings.batch = arguments.batch;
    settings.reportLag = std::chrono::milliseconds(arguments.reportLagMs);
    settings.dropCacheEventEvery = arguments.cacheEventGap;
    settings.refuseEvery = arguments.refuseEvery;
    settings.crossed = arguments.crossed;
    settings.delay = std::chrono::milliseconds(arguments.delayMs);
    return settings;
}

state::Result<void> runUntilSignal(const Arguments &arguments)
{
    // Before the endpoint starts its threads, so that the signals reach only this handler.
    boost::asio::io_context context;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([](const boost::system::error_code &, int) {});
    BOOST_OUTCOME_TRY(auto settings, check(arguments));
    BOOST_OUTCOME_TRY(auto endpoint, FakeEndpoint::create(std::move(settings)));
    std::cout << "event=listening id=" << arguments.id
              << " address=" << endpoint->address().toString() << std::endl;
    context.run();
    endpoint->leave();
    return state::outcome::success();
}

} // namespace
} // namespace lavenderthread::fakes

int main(int argc, char **argv)
{
    using namespace lavenderthread::fakes; // NOLINT(google-build-using-namespace): main only
    CLI::App app("A fake engine or plain service for tests and the demo.");
    Arguments arguments;
    declare(app, arguments);
    CLI11_PARSE(app, argc, argv);
    const auto outcome = runUntilSignal(arguments);
    if (outcome.has_value())
        return EXIT_SUCCESS;
    std::cerr << "event=failed " << outcome.error().describe() << '\n';
    return EXIT_FAILURE;
}
