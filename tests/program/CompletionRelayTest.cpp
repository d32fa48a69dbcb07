// Tests what a completion relay does with prompts under which engines crash, with an engine on
// loopback.
#include "program/CompletionRelay.h"

#include "fakes/LoopbackServer.h"
#include "program/RequestParts.h"
#include "program/RunToEnd.h"
#include "transport/HttpClient.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

namespace lavenderthread::program {

namespace asio = boost::asio;

namespace {

const state::ServiceName service("llm");

Settings entrySettings()
{
    const char *text = R"({"cluster":{"name":"t","keys":["cluster-key"]},
        "vm":{"id":"vm1","failure_domain":"a"},"entry":{"listen":"127.0.0.1:0"}})";
    return Settings::parse(text, "test").value();
}

// A completion relay, and one engine that ends when it gets a request.
class CompletionRelayFixture
{
public:
    CompletionRelayFixture()
        : settings(entrySettings())
    {
        this->engine = fakes::serveOnLoopback(
                this->context, [this](transport::HttpExchange &) -> asio::awaitable<void> {
                    ++this->arrivals;
                    this->engine->stopAccepting();
                    co_return; // the connection is closed
                });
        this->relay = std::make_unique<CompletionRelay>(this->settings, this->hooks());
        this->entry =
                fakes::serveOnLoopback(this->context, [this](transport::HttpExchange &exchange) {
                    return this->relay->run(exchange, protocol::CompletionKind::Text,
                                            this->account);
                });
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~CompletionRelayFixture()
    {
        this->context.stop();
        this->thread.join();
    }
    CompletionRelayFixture(const CompletionRelayFixture &) = delete;
    CompletionRelayFixture &operator=(const CompletionRelayFixture &) = delete;

    static protocol::HttpRequest request()
    {
        protocol::HttpRequest made;
        made.method = "POST";
        made.target = "/v1/completions";
        made.headers.add("Content-Type", "application/json");
        made.body = prompt();
        return made;
    }

    unsigned call()
    {
        const state::Address address = this->entry->address();
        auto run = [](state::Address peer, protocol::HttpRequest sent)
                -> asio::awaitable<state::Result<protocol::HttpResponse>> {
            const asio::any_io_executor executor = co_await asio::this_coro::executor;
            co_return co_await transport::httpCall(executor, peer, std::move(sent), {});
        };
        return runToEnd(run(address, request())).value().status;
    }

    // Crashes under the same prompt, as peers report them.
    void reportCrashes(int count)
    {
        for (int index = 0; index < count; ++index) {
            coordination::quarantine::CrashReport report;
            report.service = service;
            report.crash = {state::EndpointId("gone-" + std::to_string(index)), 1};
            report.parts = partsOfPrompt();
            report.ageUs = (10 - index) * 1'000'000LL;
            report.sentAgeUs = report.ageUs + 100'000;
            this->guard->peerReported(report);
        }
    }
    void startTrial() { this->guard->peerStartedTrial({service, partsOfPrompt(), 1, 0}); }

    std::atomic<int> arrivals = 0; // at the engine
    std::atomic<int> placedAgain = 0;

private:
    static std::vector<state::RequestPart> partsOfPrompt()
    {
        const auto body = protocol::parseCompletion(protocol::CompletionKind::Text, prompt());
        return partsOf(request(), {}, body.value().prefixBlocks);
    }

    static std::string prompt()
    {
        constexpr std::size_t bytes = 8'000;
        const boost::json::object body{
                {"model", "m"}, {"prompt", std::string(bytes, 'x')}, {"max_tokens", 8}};
        return boost::json::serialize(body);
    }

    CompletionRelay::Hooks hooks()
    {
        CompletionRelay::Hooks made;
        made.scheduler = this->oneEngine();
        made.guard = this->guard;
        made.nextRequestId = [] { return state::RequestId("r1"); };
        made.finished = [](const CompletionOutcome &) {};
        return made;
    }

    Scheduler oneEngine()
    {
        Scheduler scheduler;
        scheduler.place = [this](const ScheduledRequest &) -> asio::awaitable<PlacementResult> {
            Placement placement;
            placement.endpoint.id = state::EndpointId("i-0");
            placement.endpoint.incarnation = 1;
            placement.endpoint.service = service;
            placement.endpoint.address = this->engine->address();
            co_return placement;
        };
        scheduler.placeAgain = [this](const state::RequestId &, const Placement &,
                                      AttemptFailure) -> asio::awaitable<PlacementResult> {
            ++this->placedAgain;
            co_return protocol::Problem{503, "no-engine", "no other engine", protocol::Ran::Unknown,
                                        std::nullopt};
        };
        scheduler.progressed = [](const state::RequestId &, std::uint32_t, std::uint64_t) {};
        scheduler.finished = [](const state::RequestId &, std::uint32_t, bool) {};
        scheduler.isAlive = [](const state::EndpointDescription &) { return true; };
        return scheduler;
    }

    Settings settings;
    AccountSetting account;
    asio::io_context context{1};
    std::shared_ptr<RequestGuard> guard = RequestGuard::create(this->context, {});
    std::shared_ptr<transport::HttpServer> engine;
    std::unique_ptr<CompletionRelay> relay;
    std::shared_ptr<transport::HttpServer> entry;
    std::thread thread;
};

} // namespace

class CompletionRelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CompletionRelayTest);
    CPPUNIT_TEST(firstCrashIsTriedElsewhere);
    CPPUNIT_TEST(promptUnderWhichEnginesCrashIsNotRepeated);
    CPPUNIT_TEST(promptThatCrashesEnginesIsNotSent);
    CPPUNIT_TEST_SUITE_END();

public:
    void firstCrashIsTriedElsewhere()
    {
        CompletionRelayFixture fixture;
        CPPUNIT_ASSERT_EQUAL(503U, fixture.call());
        CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals.load());
        CPPUNIT_ASSERT_EQUAL(1, fixture.placedAgain.load());
    }

    // Guards against one request that ends an engine with each of its attempts.
    void promptUnderWhichEnginesCrashIsNotRepeated()
    {
        CompletionRelayFixture fixture;
        fixture.reportCrashes(1);
        CPPUNIT_ASSERT_EQUAL(503U, fixture.call());
        CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals.load());
        CPPUNIT_ASSERT_EQUAL(0, fixture.placedAgain.load());
    }

    // Guards against ending engine after engine with one prompt.
    void promptThatCrashesEnginesIsNotSent()
    {
        CompletionRelayFixture fixture;
        fixture.reportCrashes(3);
        fixture.startTrial();
        CPPUNIT_ASSERT_EQUAL(503U, fixture.call());
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompletionRelayTest);

} // namespace lavenderthread::program
