// Tests of the operator's calls that begin and finish the evacuation of a failure domain.
#include "platform/SideDoors.h"

#include "fakes/LoopbackServer.h"
#include "program/RunToEnd.h"
#include "transport/HttpClient.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace lavenderthread::platform {

namespace asio = boost::asio;

namespace {

struct Order
{
    std::string failureDomain;
    bool evacuated = false;

    bool operator==(const Order &) const = default;
};

// A control member's listener for operators, which remembers the orders that it gets.
class OperatorFixture
{
public:
    OperatorFixture()
    {
        this->face.setEvacuation = [this](state::FailureDomain domain, bool evacuated,
                                          std::string) -> asio::awaitable<state::Result<void>> {
            this->orders.push_back({domain.value(), evacuated});
            if (this->failure)
                co_return state::makeError(*this->failure, "evacuation.set", "cause");
            co_return state::outcome::success();
        };
        this->server =
                fakes::serveOnLoopback(this->context, [this](transport::HttpExchange &exchange) {
                    return answerOperator(exchange, this->face);
                });
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~OperatorFixture()
    {
        this->context.stop();
        this->thread.join();
    }
    OperatorFixture(const OperatorFixture &) = delete;
    OperatorFixture &operator=(const OperatorFixture &) = delete;

    unsigned call(const std::string &method, const std::string &path, const std::string &body = {})
    {
        protocol::HttpRequest request;
        request.method = method;
        request.target = path;
        request.body = body;
        const auto answer = program::runToEnd(send(this->server->address(), std::move(request)));
        return answer ? answer.value().status : 0;
    }

    std::vector<Order> orders;
    std::optional<state::ErrorCode> failure;

private:
    static asio::awaitable<state::Result<protocol::HttpResponse>>
    send(state::Address to, protocol::HttpRequest request)
    {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        co_return co_await transport::httpCall(executor, std::move(to), std::move(request), {});
    }

    program::OperatorApi face;
    asio::io_context context;
    std::shared_ptr<transport::HttpServer> server;
    std::thread thread;
};

} // namespace

class EvacuationCallTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationCallTest);
    CPPUNIT_TEST(beginAndFinishAreAcknowledged);
    CPPUNIT_TEST(badCallsChangeNothing);
    CPPUNIT_TEST(undecidedOrdersAreNotRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void beginAndFinishAreAcknowledged()
    {
        OperatorFixture fixture;
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call("POST", "/evacuation/zone-a/begin"));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call("POST", "/evacuation/zone%20b/finish"));
        CPPUNIT_ASSERT(fixture.orders == (std::vector<Order>{{"zone-a", true}, {"zone b", false}}));
    }

    // Guards against calls of another form that evacuate something.
    void badCallsChangeNothing()
    {
        OperatorFixture fixture;
        CPPUNIT_ASSERT_EQUAL(405U, fixture.call("GET", "/evacuation/zone-a/begin"));
        CPPUNIT_ASSERT_EQUAL(405U, fixture.call("PUT", "/evacuation/zone-a/finish"));
        CPPUNIT_ASSERT_EQUAL(400U, fixture.call("POST", "/evacuation/zone-a/begin", "{}"));
        CPPUNIT_ASSERT_EQUAL(404U, fixture.call("POST", "/evacuation//begin"));
        CPPUNIT_ASSERT_EQUAL(404U, fixture.call("POST", "/evacuation/zone-a/pause"));
        CPPUNIT_ASSERT(fixture.orders.empty());
        fixture.failure = state::ErrorCode::NotFound;
        CPPUNIT_ASSERT_EQUAL(404U, fixture.call("POST", "/evacuation/unknown/begin"));
    }

    // Guards against a 4xx, which ends the operator's call, for an order that another member can
    // still carry out.
    void undecidedOrdersAreNotRefused()
    {
        OperatorFixture fixture;
        for (const state::ErrorCode code :
             {state::ErrorCode::Conflict, state::ErrorCode::Timeout, state::ErrorCode::Unavailable,
              state::ErrorCode::Overloaded, state::ErrorCode::Internal}) {
            fixture.failure = code;
            CPPUNIT_ASSERT_EQUAL(503U, fixture.call("POST", "/evacuation/zone-a/begin"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationCallTest);

} // namespace lavenderthread::platform
