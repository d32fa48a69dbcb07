// Tests the planner against fake endpoints: no order is resent before the endpoint was observed,
// none is sent after the lease has ended, and loads are spread and paced.
#include "coordination/orders/OrderPlanner.h"
#include "state/control/OrderBook.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::orders {

namespace {

using state::EndpointId;
using state::Instant;
using state::control::Order;
using state::control::OrderBook;
using state::control::OrderKind;
using state::control::OrderState;

const state::ModelName model("v4");

Instant at(int seconds)
{
    return Instant(std::chrono::seconds(seconds));
}

struct FakeEndpoint
{
    state::EndpointDescription description;
    EndpointObservation state;
    int orders = 0; // received
};

// A leader with its planner, the order book, and endpoints that answer within the same second.
struct Fleet
{
    OrderPlanner planner;
    OrderBook book;
    state::control::ControlView view;
    std::map<EndpointId, FakeEndpoint> endpoints;
    std::vector<SendOrder> sent;
    bool answersLost = false;
    bool silent = false; // endpoints don't report their state
    Instant leaseUntil = Instant::max();
    std::map<state::ModelName, double> demand;

    explicit Fleet(PlannerSettings settings = {})
        : planner(settings)
    {
        this->view.catalog =
                this->view.catalog.withModel({model, state::ServiceName("billing"), 10, 1});
    }

    void add(const char *id, const char *domain, bool honoursFencing = true)
    {
        FakeEndpoint endpoint;
        endpoint.description.id = EndpointId(id);
        endpoint.description.failureDomain = state::FailureDomain(domain);
        endpoint.description.service = state::ServiceName("billing");
        endpoint.description.incarnation = 1;
        endpoint.description.honoursFencing = honoursFencing;
        endpoint.state = {EndpointId(id), 1, {}, "", false};
        this->planner.endpointPresent(endpoint.description);
        this->endpoints[EndpointId(id)] = endpoint;
    }

    void submit(std::uint64_t id, state::control::OrderSpec spec)
    {
        this->book.submit(Order{.id = id, .spec = std::move(spec)});
    }

    void round(Instant now)
    {
        const std::vector<Order> open = this->book.openOrders();
        const PlannerActions actions =
                this->planner.plan({open, this->view, 100, this->leaseUntil, this->demand}, now);
        for (const auto &record : actions.records)
            this->book.record(record);
        for (const SendOrder &order : actions.sends) {
            this->sent.push_back(order);
            this->applyOrder(order);
            const SendOutcome outcome =
                    this->answersLost ? SendOutcome::Unknown : SendOutcome::Answered;
            this->planner.sendDone(order.orderId, order.endpoint, outcome, now);
        }
        for (const EndpointId &id : actions.observe) {
            if (!this->silent)
                this->planner.observed(this->endpoints.at(id).state, now);
        }
    }

    void run(int from, int to)
    {
        for (int second = from; second < to; ++second)
            this->round(at(second));
    }

    void applyOrder(const SendOrder &order)
    {
        FakeEndpoint &endpoint = this->endpoints.at(order.endpoint);
        ++endpoint.orders;
        if (order.kind == OrderKind::Load)
            endpoint.state.models.insert(order.model);
        if (order.kind == OrderKind::Unload)
            endpoint.state.models.erase(order.model);
        if (order.kind == OrderKind::Drain)
            endpoint.state.draining = true;
        if (order.kind == OrderKind::Stop)
            ++endpoint.state.incarnation;
    }

    std::map<std::string, int> loadedByDomain() const
    {
        std::map<std::string, int> count;
        for (const auto &[id, endpoint] : this->endpoints)
            count[endpoint.description.failureDomain.value()] +=
                    endpoint.state.models.contains(model) ? 1 : 0;
        return count;
    }
};

state::control::OrderSpec specOf(OrderKind kind, std::vector<EndpointId> endpoints)
{
    return {kind, std::move(endpoints), {}, {}, 0};
}

PlannerSettings unpaced()
{
    PlannerSettings settings;
    settings.loads = {1'000'000, 100};
    return settings;
}

} // namespace

class OrderPlannerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderPlannerTest);
    CPPUNIT_TEST(orderWithLostAnswerIsNotResentUnobserved);
    CPPUNIT_TEST(newLeaderObservesFirst);
    CPPUNIT_TEST(unfencedEndpointsWaitForFormerLease);
    CPPUNIT_TEST(nothingIsSentAfterOwnLease);
    CPPUNIT_TEST(stopIsSentOncePerIncarnation);
    CPPUNIT_TEST(loadsSpreadOverFailureDomains);
    CPPUNIT_TEST(lostReplicaIsLoadedElsewhere);
    CPPUNIT_TEST(loadsArePaced);
    CPPUNIT_TEST(modelWithMostDemandIsLoadedFirst);
    CPPUNIT_TEST(refusedOrderFails);
    CPPUNIT_TEST(unloadEverywhere);
    CPPUNIT_TEST_SUITE_END();

public:
    void orderWithLostAnswerIsNotResentUnobserved()
    {
        // The endpoint applies the order, the answer is lost, and for a minute the endpoint does
        // not report its state either. The planner waits, observes, and finds the order applied.
        // Resent without observing, a stop or a load would happen twice.
        Fleet fleet;
        fleet.add("e1", "a");
        fleet.answersLost = true;
        fleet.planner.leaderStarted(1, at(0), 0, at(0));
        fleet.submit(7, specOf(OrderKind::Drain, {EndpointId("e1")}));
        int second = 0;
        while (fleet.sent.empty())
            fleet.round(at(second++));
        fleet.silent = true; // observations from before the send must not decide
        fleet.run(second, second + 60);
        CPPUNIT_ASSERT(fleet.book.find(7)->state == OrderState::Open);
        fleet.silent = false;
        fleet.run(second + 60, second + 70);
        CPPUNIT_ASSERT_EQUAL(1, fleet.endpoints.at(EndpointId("e1")).orders);
        CPPUNIT_ASSERT(fleet.book.find(7)->state == OrderState::Done);
        CPPUNIT_ASSERT(fleet.sent[0].fencing == (state::log::LogPosition{1, 100}));
    }

    void newLeaderObservesFirst()
    {
        // The endpoint applied the old leader's order, but the leader died before recording it.
        Fleet fleet;
        fleet.add("e1", "a");
        fleet.submit(7, specOf(OrderKind::Drain, {EndpointId("e1")}));
        fleet.endpoints.at(EndpointId("e1")).state.draining = true;
        fleet.planner.leaderStarted(2, at(0), 0, at(0));
        fleet.run(0, 20);
        CPPUNIT_ASSERT(fleet.sent.empty());
        CPPUNIT_ASSERT(fleet.book.find(7)->state == OrderState::Done);
    }

    void unfencedEndpointsWaitForFormerLease()
    {
        // An order of the old leader may still arrive at an endpoint that ignores fencing, so the
        // new leader waits until it no longer can. An endpoint that honours fencing gets its order
        // at once.
        Fleet fleet;
        fleet.add("fenced", "a");
        fleet.add("open", "a", false);
        fleet.planner.leaderStarted(2, at(10), 0, at(0));
        fleet.submit(7, specOf(OrderKind::Drain, {EndpointId("fenced"), EndpointId("open")}));
        fleet.run(0, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.sent.size());
        CPPUNIT_ASSERT(fleet.sent[0].endpoint == EndpointId("fenced"));
        fleet.run(10, 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.sent.size());
    }

    void nothingIsSentAfterOwnLease()
    {
        Fleet fleet;
        fleet.add("e1", "a", false);
        fleet.leaseUntil = at(5);
        fleet.planner.leaderStarted(1, at(0), 0, at(0));
        fleet.run(0, 4);
        fleet.submit(7, specOf(OrderKind::Drain, {EndpointId("e1")}));
        fleet.run(4, 20);
        CPPUNIT_ASSERT(fleet.sent.empty());
        fleet.planner.leaderStopped();
        fleet.leaseUntil = Instant::max();
        fleet.run(20, 30);
        CPPUNIT_ASSERT(fleet.sent.empty());
    }

    void stopIsSentOncePerIncarnation()
    {
        // The endpoint stops, its platform restarts it, and it must not be stopped again.
        Fleet fleet;
        fleet.add("e1", "a");
        fleet.answersLost = true;
        fleet.planner.leaderStarted(1, at(0), 0, at(0));
        fleet.submit(7, specOf(OrderKind::Stop, {EndpointId("e1")}));
        fleet.run(0, 10);
        fleet.planner.leaderStarted(2, at(10), 0, at(10));
        fleet.run(10, 60);
        CPPUNIT_ASSERT_EQUAL(1, fleet.endpoints.at(EndpointId("e1")).orders);
        CPPUNIT_ASSERT(fleet.book.find(7)->state == OrderState::Done);
    }

    void loadsSpreadOverFailureDomains()
    {
        Fleet fleet(unpaced());
        for (const char *id : {"a1", "a2", "a3", "a4", "a5"})
            fleet.add(id, "a");
        for (const char *id : {"b1", "b2"})
            fleet.add(id, "b");
        for (const char *id : {"c1", "c2", "c3"})
            fleet.add(id, "c");
        fleet.planner.leaderStarted(1, at(0), 0, at(0));
        fleet.submit(7, {OrderKind::Load, {}, model, {}, 6});
        fleet.run(0, 30);
        const std::map<std::string, int> expected{{"a", 2}, {"b", 2}, {"c", 2}};
        CPPUNIT_ASSERT(fleet.loadedByDomain() == expected);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), fleet.sent.size());
    }

    void lostReplicaIsLoadedElsewhere()
    {
        Fleet fleet(unpaced());
        for (const char *id : {"e1", "e2", "e3"})
            fleet.add(id, "a");
        fleet.planner.leaderStarted(1, at(0), 0, at(0));
        fleet.submit(7, {OrderKind::Load, {}, model, {}, 2});
        fleet.run(0, 20);
        const EndpointId lost = fleet.sent[0].endpoint;
        fleet.endpoints.erase(lost);
        fleet.planner.endpointGone(lost);
        fleet.run(20, 40);
        CPPUNIT_ASSERT_EQUAL(2, fleet.loadedByDomain()["a"]);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fleet.sent.size());
    }

    void loadsArePaced()
    {
        // Ten replicas are requested at once; the weight store delivers one model in five seconds.
        PlannerSettings settings;
        settings.loads = {2, 100}; // a model has 10 bytes
        Fleet fleet(settings);
        for (int number = 0; number < 10; ++number)
            fleet.add(("e" + std::to_string(number)).c_str(), "a");
        fleet.planner.leaderStarted(1, at(0), 10, at(0));
        fleet.submit(7, {OrderKind::Load, {}, model, {}, 10});
        fleet.run(0, 5);
        CPPUNIT_ASSERT(fleet.sent.empty()); // the former leader may just have started a load
        fleet.run(5, 30);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), fleet.sent.size());
        fleet.run(30, 60);
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), fleet.sent.size());
    }

    void modelWithMostDemandIsLoadedFirst()
    {
        PlannerSettings settings;
        settings.loads = {2, 100};
        Fleet fleet(settings);
        const state::ModelName other("v5");
        fleet.view.catalog =
                fleet.view.catalog.withModel({other, state::ServiceName("billing"), 10, 1});
        for (const char *id : {"e1", "e2"})
            fleet.add(id, "a");
        fleet.planner.leaderStarted(1, at(0), 0, at(0));
        fleet.submit(7, {OrderKind::Load, {}, model, {}, 1});
        fleet.submit(8, {OrderKind::Load, {}, other, {}, 1});
        fleet.demand = {{other, 5.0}};
        fleet.run(0, 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.sent.size());
        CPPUNIT_ASSERT(fleet.sent[0].model == other);
    }

    void refusedOrderFails()
    {
        Fleet fleet;
        fleet.add("e1", "a");
        fleet.planner.leaderStarted(1, at(0), 0, at(0));
        fleet.submit(7, {OrderKind::Role, {EndpointId("e1")}, {}, "prefill", 0});
        fleet.run(0, 3);
        fleet.planner.sendDone(7, EndpointId("e1"), SendOutcome::Refused, at(3));
        fleet.run(3, 30);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.sent.size());
        CPPUNIT_ASSERT(fleet.book.find(7)->state == OrderState::Failed);
    }

    void unloadEverywhere()
    {
        Fleet fleet(unpaced());
        for (const char *id : {"e1", "e2", "e3"})
            fleet.add(id, "a");
        fleet.planner.leaderStarted(1, at(0), 0, at(0));
        fleet.submit(7, {OrderKind::Load, {}, model, {}, 2});
        fleet.run(0, 20);
        fleet.submit(8, {OrderKind::Unload, {}, model, {}, 0});
        fleet.run(20, 40);
        CPPUNIT_ASSERT_EQUAL(0, fleet.loadedByDomain()["a"]);
        CPPUNIT_ASSERT(fleet.book.find(7)->state == OrderState::Superseded);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderPlannerTest);

} // namespace lavenderthread::coordination::orders
