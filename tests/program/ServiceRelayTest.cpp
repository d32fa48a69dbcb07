// Tests the order of the steps of a non-idempotent call, with a replica on loopback and a claim
// gate that records its calls.
#include "program/ServiceRelay.h"

#include "fakes/LoopbackServer.h"
#include "program/Clock.h"
#include "program/RequestParts.h"
#include "program/RunToEnd.h"
#include "transport/Await.h"
#include "transport/HttpClient.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace lavenderthread::program {

namespace asio = boost::asio;

namespace {

// How the replica treats a call.
enum class Replica { Answers, ClosesUnanswered, Ends, IsDown, AnswersWithoutEnd };

struct Case
{
    const char *name;
    Replica replica;
    bool markGranted;
    const char *steps; // in order; the order decides what the caller is told
    unsigned status;
    const char *ran;
    const char *heldStep = ""; // this step of the claim outlasts the process
};

constexpr std::chrono::milliseconds holdTime{2'000};

constexpr std::size_t mostOfReplica = 64U << 20U; // bytes of an answer without end
constexpr AnswerBuffers::Settings buffers{16U << 20U, 64U << 10U, 1U << 20U};

Settings settingsWithNonIdempotentService()
{
    const char *text = R"({"cluster":{"name":"t","keys":["cluster-key"]},
        "vm":{"id":"vm1","failure_domain":"a"},"entry":{"listen":"127.0.0.1:0"},
        "services":[{"name":"ledger","non_idempotent":["POST /time-entries"]}]})";
    return Settings::parse(text, "test").value();
}

// An entry that only has a service relay, and one replica, each with its own listener.
class ServiceRelayFixture
{
public:
    explicit ServiceRelayFixture(const Case &fault)
        : settings(settingsWithNonIdempotentService())
        , heldStep(fault.heldStep)
    {
        this->replica = fakes::serveOnLoopback(
                this->context, [this, fault](transport::HttpExchange &exchange) {
                    return this->serveReplica(exchange, fault.replica);
                });
        this->endpoint.id = state::EndpointId("ledger1");
        this->endpoint.kind = state::EndpointKind::PlainService;
        this->endpoint.service = state::ServiceName("ledger");
        this->endpoint.address = this->replica->address();
        if (fault.replica == Replica::IsDown)
            this->endpoint.address.port = 1; // no listener on this port
        this->relay = std::make_unique<ServiceRelay>(this->settings, this->hooks(fault));
        this->entry =
                fakes::serveOnLoopback(this->context, [this](transport::HttpExchange &exchange) {
                    return this->relay->run(exchange, this->account);
                });
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~ServiceRelayFixture()
    {
        this->context.stop();
        this->thread.join();
    }
    ServiceRelayFixture(const ServiceRelayFixture &) = delete;
    ServiceRelayFixture &operator=(const ServiceRelayFixture &) = delete;

    static protocol::HttpRequest request()
    {
        protocol::HttpRequest made;
        made.method = "POST";
        made.target = "/services/ledger/time-entries";
        made.headers.add("Idempotency-Key", "key-1");
        made.body = "{}";
        return made;
    }

    // As if that call had ended other replicas.
    void reportCrashes(int count)
    {
        for (int index = 0; index < count; ++index) {
            coordination::quarantine::CrashReport report;
            report.service = this->endpoint.service;
            report.crash = {state::EndpointId("gone-" + std::to_string(index)), 1};
            report.parts = partsOf(request(), {}, {});
            report.ageUs = (count - index) * 1'000'000LL;
            report.sentAgeUs = report.ageUs + 100'000;
            this->guard->peerReported(report);
        }
    }
    // The second and every later reader of the endpoints sees their domain evacuated.
    void evacuateAfterChoice() { this->evacuatesAfterChoice = true; }
    std::size_t bytesOfReplica() const { return this->replicaBytes; }
    std::size_t blockCount() const { return this->guard->blockCount(); }

    protocol::HttpResponse post()
    {
        const state::Address address = this->entry->address();
        auto call = [](state::Address peer, protocol::HttpRequest sent)
                -> asio::awaitable<state::Result<protocol::HttpResponse>> {
            const asio::any_io_executor executor = co_await asio::this_coro::executor;
            co_return co_await transport::httpCall(executor, peer, std::move(sent), {});
        };
        return runToEnd(call(address, request())).value();
    }

    std::string steps()
    {
        const std::lock_guard lock(this->mutex);
        return this->recordedSteps;
    }

    // Whether the held step has ended.
    bool holdIsOver() const { return this->holdOver; }

    // The steps after the held one has ended, and what follows from it.
    std::string stepsAfterHold()
    {
        constexpr std::chrono::milliseconds check{10};
        constexpr std::chrono::milliseconds timeToFollow{200};
        const state::Instant limit = monotonicNow() + 5 * holdTime;
        while (!this->holdOver && monotonicNow() < limit)
            std::this_thread::sleep_for(check);
        std::this_thread::sleep_for(timeToFollow);
        return this->steps();
    }

private:
    void recordStep(const std::string &step)
    {
        const std::lock_guard lock(this->mutex);
        this->recordedSteps += (this->recordedSteps.empty() ? "" : " ") + step;
    }

    // During the held step, the process reaches the time by which all must be answered.
    asio::awaitable<void> runClaimStep(const char *step)
    {
        this->recordStep(step);
        if (this->heldStep != step)
            co_return;
        this->openRequests->endAll();
        co_await transport::pause(holdTime);
        this->holdOver = true;
    }

    asio::awaitable<void> serveReplica(transport::HttpExchange &exchange, Replica behaviour)
    {
        this->recordStep("replica");
        if (behaviour == Replica::Ends)
            this->replica->stopAccepting();
        if (behaviour == Replica::ClosesUnanswered || behaviour == Replica::Ends)
            co_return;
        if (behaviour == Replica::AnswersWithoutEnd) {
            co_await this->answerWithoutEnd(exchange);
            co_return;
        }
        protocol::HttpResponse answer{201, {}, "booked"};
        co_await exchange.respond(std::move(answer));
    }

    asio::awaitable<void> answerWithoutEnd(transport::HttpExchange &exchange)
    {
        const std::string piece(64U << 10U, 'x');
        protocol::HttpResponse head{201, {}, {}};
        co_await exchange.beginStream(std::move(head));
        while (this->replicaBytes < mostOfReplica) {
            const auto sent = co_await exchange.write(piece);
            if (!sent)
                co_return;
            this->replicaBytes += piece.size();
        }
    }

    ServiceRelay::Hooks hooks(const Case &fault)
    {
        ServiceRelay::Hooks made;
        made.answerBuffers = std::make_shared<AnswerBuffers>(buffers);
        made.endpoints = [this] {
            EndpointTable table;
            table.endpoints[this->endpoint.id] = {this->endpoint, false};
            if (this->evacuatesAfterChoice && this->tableReads++ > 0)
                table.evacuated.insert(this->endpoint.failureDomain);
            state::Snapshot<EndpointTable> cell(std::move(table));
            return cell.read();
        };
        made.guard = this->guard;
        made.openRequests = this->openRequests;
        made.nextRequestId = [] { return state::RequestId("request-1"); };
        made.finished = [](const ServiceOutcome &) {};
        made.claims.take = [this](ClaimKey, std::string, std::string,
                                  state::Instant) -> asio::awaitable<state::Result<ClaimAnswer>> {
            co_await this->runClaimStep("take");
            ClaimAnswer granted;
            granted.verdict = ClaimVerdict::Granted;
            co_return granted;
        };
        made.claims.beginDispatch =
                [this, granted = fault.markGranted](ClaimKey, std::string,
                                                    state::Instant) -> asio::awaitable<bool> {
            co_await this->runClaimStep("mark");
            co_return granted;
        };
        made.claims.release = [this](ClaimKey, std::string) -> asio::awaitable<bool> {
            co_await this->runClaimStep("release");
            co_return true;
        };
        made.claims.finish = [this](ClaimKey, std::string,
                                    protocol::HttpResponse) -> asio::awaitable<void> {
            co_await this->runClaimStep("finish");
            co_return;
        };
        return made;
    }

    Settings settings;
    std::string heldStep;
    std::shared_ptr<OpenRequests> openRequests = OpenRequests::create();
    std::atomic<bool> holdOver = false;
    AccountSetting account{state::ClientAccountId("firm"), "firm-key-1", false};
    state::EndpointDescription endpoint;
    asio::io_context context;
    std::shared_ptr<RequestGuard> guard = RequestGuard::create(this->context, {});
    std::mutex mutex;
    std::string recordedSteps;
    std::atomic<std::size_t> replicaBytes = 0; // of its answers
    std::atomic<bool> evacuatesAfterChoice = false;
    std::atomic<int> tableReads = 0;
    std::unique_ptr<ServiceRelay> relay;
    std::shared_ptr<transport::HttpServer> replica;
    std::shared_ptr<transport::HttpServer> entry;
    std::thread thread;
};

} // namespace

class ServiceRelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServiceRelayTest);
    CPPUNIT_TEST(claimedCallStepsRunInOrder);
    CPPUNIT_TEST(callIsAnsweredBeforeTheEndWhileItsClaimWaits);
    CPPUNIT_TEST(repeatabilityFollowsRulesAndMethod);
    CPPUNIT_TEST(callThatCrashesReplicasIsRefused);
    CPPUNIT_TEST(replicaEvacuatedSinceItWasChosenGetsNothing);
    CPPUNIT_TEST(answersWithoutEndShareABound);
    CPPUNIT_TEST_SUITE_END();

public:
    void claimedCallStepsRunInOrder()
    {
        // A time entry must not be booked twice, and a caller that is told "no" may send it again.
        // So the mark is committed before the replica receives a byte, a refused connection or mark
        // releases the key before the answer "no", and a call that breaks off after it was sent
        // keeps the key and is answered "unknown". Guards against a dispatch without the mark.
        const Case cases[] = {
                {"answered", Replica::Answers, true, "take mark replica finish", 201, ""},
                {"replica down", Replica::IsDown, true, "take release", 503, "\"ran\":\"no\""},
                {"mark refused", Replica::Answers, false, "take mark release", 503,
                 "\"ran\":\"no\""},
                {"cut after sending", Replica::ClosesUnanswered, true, "take mark replica", 502,
                 "\"ran\":\"unknown\""},
        };
        for (const Case &fault : cases) {
            ServiceRelayFixture fixture(fault);
            const protocol::HttpResponse answer = fixture.post();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.name, std::string(fault.steps), fixture.steps());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.name, fault.status, answer.status);
            CPPUNIT_ASSERT_MESSAGE(fault.name, answer.body.find(fault.ran) != std::string::npos);
        }
    }

    // Guards against a call that is closed without an answer when the process ends while the call
    // waits for control members, against one that is sent then, and against a claim that outlives
    // it.
    void callIsAnsweredBeforeTheEndWhileItsClaimWaits()
    {
        const char *unknown = "\"ran\":\"unknown\"";
        const Case cases[] = {
                {"take", Replica::Answers, true, "take release", 502, unknown, "take"},
                {"mark", Replica::Answers, true, "take mark release", 503, "\"ran\":\"no\"",
                 "mark"},
                {"release", Replica::IsDown, true, "take release", 502, unknown, "release"},
                {"finish", Replica::Answers, true, "take mark replica finish", 201, "", "finish"},
        };
        for (const Case &fault : cases) {
            ServiceRelayFixture fixture(fault);
            const protocol::HttpResponse answer = fixture.post();
            CPPUNIT_ASSERT_MESSAGE(fault.name, !fixture.holdIsOver());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.name, fault.status, answer.status);
            CPPUNIT_ASSERT_MESSAGE(fault.name, answer.body.find(fault.ran) != std::string::npos);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.name, std::string(fault.steps),
                                         fixture.stepsAfterHold());
        }
    }

    // Guards against sending a call on under which replicas have ended, and against using up its
    // key.
    void callThatCrashesReplicasIsRefused()
    {
        ServiceRelayFixture fixture({"ends", Replica::Ends, true, "", 502, ""});
        fixture.reportCrashes(1);
        CPPUNIT_ASSERT_EQUAL(502U, fixture.post().status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.blockCount());
        const protocol::HttpResponse refused = fixture.post();
        CPPUNIT_ASSERT_EQUAL(503U, refused.status);
        CPPUNIT_ASSERT(refused.headers.find("Retry-After").has_value());
        CPPUNIT_ASSERT(refused.body.find("\"ran\":\"no\"") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("take mark replica take release"), fixture.steps());
    }

    // The failure domain is evacuated while the call tries other replicas. Guards against sending
    // it on to the next one of the list that it made before.
    void replicaEvacuatedSinceItWasChosenGetsNothing()
    {
        ServiceRelayFixture fixture({"evacuated", Replica::Answers, true, "", 503, ""});
        fixture.evacuateAfterChoice();
        const protocol::HttpResponse answer = fixture.post();
        CPPUNIT_ASSERT_EQUAL(503U, answer.status);
        CPPUNIT_ASSERT(answer.body.find("\"ran\":\"no\"") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("take release"), fixture.steps());
    }

    // Guards against replicas whose answers are each within their bound and use up the memory of an
    // entry together.
    void answersWithoutEndShareABound()
    {
        constexpr std::size_t socketBuffers = 8U << 20U; // of both sides of a connection
        ServiceRelayFixture fixture({"without end", Replica::AnswersWithoutEnd, true, "", 502, ""});
        CPPUNIT_ASSERT_EQUAL(502U, fixture.post().status);
        CPPUNIT_ASSERT(fixture.bytesOfReplica() < buffers.maximumCounted + socketBuffers);
    }

    void repeatabilityFollowsRulesAndMethod()
    {
        const Settings settings = settingsWithNonIdempotentService();
        const ServiceSetting *ledger = settings.services.data();
        CPPUNIT_ASSERT(repeatabilityOf(ledger, "POST", "/time-entries/7")
                       == Repeatability::Claimed);
        CPPUNIT_ASSERT(repeatabilityOf(ledger, "POST", "/other") == Repeatability::NeverRepeated);
        CPPUNIT_ASSERT(repeatabilityOf(ledger, "GET", "/time-entries")
                       == Repeatability::Idempotent);
        CPPUNIT_ASSERT(repeatabilityOf(nullptr, "PATCH", "/x") == Repeatability::NeverRepeated);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceRelayTest);

} // namespace lavenderthread::program
