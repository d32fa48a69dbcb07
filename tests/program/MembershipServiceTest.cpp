// Runs three membership services over loopback, with calls from several threads.
#include "program/MembershipService.h"

#include "program/Clock.h"
#include "protocol/GossipMessages.h"

#include <boost/asio/executor_work_guard.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>
#include <vector>

namespace lavenderthread::program {

namespace {

using coordination::endpoints::DrainMark;
using coordination::membership::MemberHealth;
using coordination::membership::MemberPhase;
using coordination::membership::MemberRecord;
using coordination::membership::SelfState;
using std::chrono::milliseconds;

const state::EndpointId engine("engine-1");

struct TestCluster
{
    TestCluster()
        : work(boost::asio::make_work_guard(this->context))
    {
        for (int thread = 0; thread < 3; ++thread)
            this->threads.emplace_back([this] { this->context.run(); });
    }

    ~TestCluster()
    {
        for (const auto &service : this->services)
            service->stop();
        this->work.reset();
        for (std::thread &thread : this->threads)
            thread.join();
    }

    TestCluster(const TestCluster &) = delete;
    TestCluster &operator=(const TestCluster &) = delete;

    std::size_t add(const std::string &id)
    {
        MembershipServiceSettings settings;
        settings.keys = {{"key"}};
        settings.listen = {"127.0.0.1", 0};
        settings.loadInterval = milliseconds(100);
        settings.gossip.cluster = "test";
        settings.gossip.self = state::VmId(id);
        settings.gossip.incarnation = 1;
        settings.gossip.description.caller = {"127.0.0.1", 80};
        settings.gossip.description.gossip = settings.listen;
        settings.gossip.randomSeed = this->services.size();
        if (!this->services.empty())
            settings.gossip.seeds = {this->services.front()->address()};
        settings.gossip.failureDetector.probeInterval = milliseconds(200);
        settings.gossip.failureDetector.probeTimeout = milliseconds(100);
        MembershipService::Hooks hooks;
        hooks.refused = [this](const state::Error &) { ++this->refused; };
        hooks.loadArrived = [this](const state::LoadReport &) { ++this->loadsArrived; };
        hooks.changed = [this](const MembershipView &) { ++this->publications; };
        const auto made = MembershipService::create(settings, this->context, hooks);
        CPPUNIT_ASSERT(made.has_value());
        this->services.push_back(made.value());
        made.value()->start();
        return this->services.size() - 1;
    }

    // The limit is far longer than needed, so that the result does not depend on the machine's
    // speed.
    template <typename Condition>
    static bool eventually(Condition condition)
    {
        const state::Instant limit = monotonicNow() + std::chrono::seconds(60);
        while (!condition()) {
            if (monotonicNow() > limit)
                return false;
            std::this_thread::sleep_for(milliseconds(10));
        }
        return true;
    }

    std::size_t aliveSeenBy(std::size_t service) const
    {
        std::size_t alive = 0;
        const auto view = this->services[service]->view();
        for (const auto &[id, entry] : view->members->entries())
            alive += entry.record.health == MemberHealth::Alive
                     && entry.record.phase == MemberPhase::Serving;
        return alive;
    }

    const state::EndpointDescription &announceEngine(std::size_t service)
    {
        this->description.id = engine;
        this->description.address = {"127.0.0.1", 99};
        this->description.incarnation = 1;
        this->description.models = {state::ModelName("m1")};
        this->services[service]->announce(this->description, [this](const auto &answer) {
            this->announced = answer.has_value() && answer.value().owner.port == 80;
        });
        return this->description;
    }

    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::vector<std::thread> threads;
    std::vector<std::shared_ptr<MembershipService>> services;
    state::EndpointDescription description;
    std::atomic<bool> announced = false;
    std::atomic<int> refused = 0;
    std::atomic<int> loadsArrived = 0;
    std::atomic<int> publications = 0;
};

// Sends a datagram to a service from a separate socket.
void sendRaw(TestCluster &cluster, const state::Address &to, const std::string &bytes)
{
    boost::asio::ip::udp::socket socket(cluster.context, {boost::asio::ip::udp::v4(), 0});
    socket.send_to(boost::asio::buffer(bytes), {boost::asio::ip::make_address(to.ip), to.port});
}

std::string sealedDeadMemberUpdate(const protocol::SealKeys &keys, const std::string &cluster)
{
    coordination::membership::GossipMessage message;
    message.kind = coordination::membership::GossipKind::News;
    message.cluster = cluster;
    message.sender = state::VmId("b");
    message.senderIncarnation = 1;
    message.members.push_back(
            MemberRecord{state::VmId("c"), 1, 99, MemberPhase::Serving, MemberHealth::Dead});
    return protocol::sealGossip(keys, message).value();
}

} // namespace

class MembershipServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipServiceTest);
    CPPUNIT_TEST(joinAnnounceDrainAndFail);
    CPPUNIT_TEST(badSettingsAreRefused);
    CPPUNIT_TEST(manyAnnouncementsShareOnePublication);
    CPPUNIT_TEST_SUITE_END();

public:
    void joinAnnounceDrainAndFail()
    {
        // Three entries join through one seed. What one of them is told spreads to all, datagrams
        // with a wrong key or cluster are refused or ignored, and every view notices that an entry
        // has stopped.
        TestCluster cluster;
        for (const char *id : {"a", "b", "c"})
            cluster.add(id);
        for (std::size_t service = 0; service < 3; ++service) {
            CPPUNIT_ASSERT(TestCluster::eventually(
                    [&] { return cluster.services[service]->view()->synced; }));
            cluster.services[service]->setSelf(SelfState{MemberPhase::Serving, true, 7, 1});
        }
        for (std::size_t service = 0; service < 3; ++service)
            CPPUNIT_ASSERT(
                    TestCluster::eventually([&] { return cluster.aliveSeenBy(service) == 3; }));

        cluster.announceEngine(1);
        for (std::size_t service = 0; service < 3; ++service)
            CPPUNIT_ASSERT(TestCluster::eventually([&] {
                const auto view = cluster.services[service]->view();
                return view->endpoints->enginesOfModel.contains(state::ModelName("m1"))
                       && view->endpoints->find(engine)->owner
                                  == cluster.services[0]->view()->endpoints->find(engine)->owner;
            }));
        CPPUNIT_ASSERT(TestCluster::eventually([&] { return cluster.announced.load(); }));
        CPPUNIT_ASSERT(TestCluster::eventually([&] {
            cluster.services[1]->reportLoad({engine, 1, 1, 2, 3, 4, 5});
            return cluster.loadsArrived > 1;
        }));

        const state::Address target = cluster.services[0]->address();
        sendRaw(cluster, target, sealedDeadMemberUpdate({{"stolen"}}, "test"));
        sendRaw(cluster, target, "noise");
        sendRaw(cluster, target, std::string(5'000, 'x'));
        CPPUNIT_ASSERT(TestCluster::eventually([&] { return cluster.refused == 3; }));
        sendRaw(cluster, target, sealedDeadMemberUpdate({{"key"}}, "other"));

        cluster.services[2]->markDrain(engine, DrainMark{{1, 4}, true});
        for (std::size_t service = 0; service < 3; ++service)
            CPPUNIT_ASSERT(TestCluster::eventually([&] {
                return cluster.services[service]->view()->endpoints->enginesOfModel.empty();
            }));
        const auto view = cluster.services[0]->view();
        const MemberRecord &third = view->members->find(state::VmId("c"))->record;
        CPPUNIT_ASSERT(third.health != MemberHealth::Dead && third.version < 99);

        cluster.services[2]->stop();
        for (std::size_t service = 0; service < 2; ++service)
            CPPUNIT_ASSERT(
                    TestCluster::eventually([&] { return cluster.aliveSeenBy(service) == 2; }));
        CPPUNIT_ASSERT(TestCluster::eventually([&] {
            return cluster.services[0]->view()->endpoints->find(engine)->owner != state::VmId("c");
        }));
    }

    void badSettingsAreRefused()
    {
        boost::asio::io_context context;
        MembershipServiceSettings settings;
        settings.listen = {"127.0.0.1", 0};
        CPPUNIT_ASSERT(MembershipService::create(settings, context, {}).has_error());
        settings.keys = {{"key"}};
        CPPUNIT_ASSERT_EQUAL(std::string("membership.create"),
                             MembershipService::create(settings, context, {}).error().step);
        settings.listen = {"203.0.113.1", 0}; // not a local address
        const auto refused = MembershipService::create(settings, context, {});
        CPPUNIT_ASSERT_EQUAL(std::string("gossip.bind"), refused.error().step);
        CPPUNIT_ASSERT_EQUAL(std::string("203.0.113.1:0"), refused.error().peer);
    }

    // All endpoints of a fleet announce themselves at once. Guards against a new view for each of
    // them: every view copies all endpoints, and a small VM would do nothing else.
    void manyAnnouncementsShareOnePublication()
    {
        constexpr std::size_t endpoints = 500;
        constexpr int mostPublications = 50;
        TestCluster cluster;
        cluster.add("a");
        for (std::size_t index = 0; index < endpoints; ++index) {
            state::EndpointDescription description;
            description.id = state::EndpointId("engine-" + std::to_string(index));
            description.address = {"127.0.0.1", static_cast<std::uint16_t>(1 + index)};
            description.incarnation = 1;
            cluster.services.front()->announce(description);
        }
        CPPUNIT_ASSERT(TestCluster::eventually([&] {
            return cluster.services.front()->view()->endpoints->endpoints.size() == endpoints;
        }));
        CPPUNIT_ASSERT(cluster.publications < mostPublications);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipServiceTest);

} // namespace lavenderthread::program
