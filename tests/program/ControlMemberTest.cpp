// Three control members on loopback, each with its own threads, link and folder. Tests the failure
// and restart of the leader under load, and the replacement of a member that lost its disk.
#include "program/ControlMemberHost.h"

#include "protocol/ControlCommands.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <future>
#include <iostream>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <vector>

namespace lavenderthread::program {

namespace asio = boost::asio;
using coordination::consensus::MemberRole;
using coordination::consensus::MemberSet;
using coordination::consensus::ProposalOutcome;
using coordination::consensus::ReadAnswer;
using coordination::consensus::ReadKind;
using coordination::consensus::Role;

namespace {

constexpr std::chrono::seconds hangTimeout{30}; // ends a hanging test; no limit under test

// Runs one member as a process would: with its own threads and a folder that outlives them.
class Node
{
public:
    Node(const std::string &identity, const std::filesystem::path &folder, std::uint16_t port,
         const std::optional<MemberSet> &founders)
    {
        ControlMemberHostSettings settings;
        settings.folder = folder.string();
        settings.newIdentity = identity;
        settings.founders = founders;
        settings.listen = {"127.0.0.1", port};
        settings.keys = {{"key"}};
        settings.consensus.compactionEntries = 200; // so that snapshots are taken and sent
        settings.consensus.trailingEntries = 20;
        settings.seed = std::hash<std::string>{}(identity);
        ControlMemberHostHooks hooks;
        hooks.applied = [this](const auto & /*position*/, const state::control::Command &command,
                               const state::control::Answer &answer) {
            const std::lock_guard lock(this->mutex);
            if (std::holds_alternative<state::control::Accepted>(answer))
                this->requests.insert(
                        std::get<state::control::OperatorCommand>(command).stamp.requestId);
        };
        hooks.restored = [this] {
            this->recordState();
            ++this->restores;
        };
        this->host = ControlMemberHost::open(this->io, settings, hooks).value();
        this->recordState();
        this->host->start();
        for (int count = 0; count < 2; ++count)
            this->threads.emplace_back([this] { this->io.run(); });
    }
    ~Node()
    {
        this->host->stop();
        this->io.stop();
        for (std::thread &thread : this->threads)
            thread.join();
    }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    ControlMember &member() { return this->host->member(); }
    std::multiset<std::string> appliedRequests()
    {
        const std::lock_guard lock(this->mutex);
        return this->requests;
    }

    std::atomic<int> restores = 0; // snapshots received from a leader

private:
    // Replaces the recorded requests by those contained in a restored snapshot.
    void recordState()
    {
        const std::lock_guard lock(this->mutex);
        this->requests.clear();
        this->host->state().view().catalog.accounts().forEach(
                [this](const state::table::ClientAccount &account) {
                    this->requests.insert(account.id.value());
                });
    }

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> guard =
            asio::make_work_guard(this->io);
    std::mutex mutex;
    std::multiset<std::string> requests; // accepted, by id
    std::unique_ptr<ControlMemberHost> host;
    std::vector<std::thread> threads;
};

// Returns a port that is free now. If another process takes it before the member does, the test
// fails with an error.
std::uint16_t freePort()
{
    asio::io_context io;
    const asio::ip::tcp::acceptor probe(io,
                                        {asio::ip::make_address("127.0.0.1"), std::uint16_t(0)});
    return probe.local_endpoint().port();
}

std::string commandFor(const std::string &request)
{
    return protocol::encodeCommand(protocol::makeOperatorCommand(
            state::OperatorId("ana"), request, {},
            state::control::PutAccount{{state::ClientAccountId(request), "Acme", {}, 0}, 0}));
}

} // namespace

class ControlMemberTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlMemberTest);
    CPPUNIT_TEST(leaderFailsUnderLoad);
    CPPUNIT_TEST(lostDiskIsReplaced);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->folder = std::filesystem::temp_directory_path()
                       / ("lavenderthread-control-" + std::to_string(::getpid()));
        std::filesystem::remove_all(this->folder);
        std::filesystem::create_directories(this->folder);
    }
    void tearDown() override { std::filesystem::remove_all(this->folder); }

    using Cluster = std::array<std::unique_ptr<Node>, 3>;

    // Proposes 20 changes at every running member; returns how many were accepted.
    std::size_t proposeOnce(const Cluster &cluster)
    {
        std::vector<std::pair<std::string, std::future<ProposalResult>>> waiting;
        for (const std::unique_ptr<Node> &node : cluster) {
            for (int call = 0; node && call < 20; ++call) {
                const std::string request = "change-" + std::to_string(this->nextChange++);
                auto promise = std::make_shared<std::promise<ProposalResult>>();
                waiting.emplace_back(request, promise->get_future());
                node->member().propose(commandFor(request), [promise](ProposalResult result) {
                    promise->set_value(std::move(result));
                });
            }
        }
        std::size_t count = 0;
        for (auto &[request, future] : waiting) {
            CPPUNIT_ASSERT(future.wait_for(hangTimeout) == std::future_status::ready);
            if (future.get().outcome != ProposalOutcome::Committed)
                continue;
            this->accepted.push_back(request);
            ++count;
        }
        return count;
    }

    std::chrono::milliseconds untilAccepted(const Cluster &cluster)
    {
        const auto begin = std::chrono::steady_clock::now();
        while (this->proposeOnce(cluster) == 0) {
            CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < hangTimeout);
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - begin);
    }

    static std::size_t leaderOf(const Cluster &cluster)
    {
        for (std::size_t index = 0; index < cluster.size(); ++index) {
            if (cluster[index]->member().status()->role == Role::Leader)
                return index;
        }
        return 0;
    }

    void waitUntilApplied(Node &node) const
    {
        const auto begin = std::chrono::steady_clock::now();
        const auto holdsAll = [&] {
            const std::multiset<std::string> applied = node.appliedRequests();
            return std::all_of(this->accepted.begin(), this->accepted.end(),
                               [&](const auto &each) { return applied.count(each) == 1; });
        };
        while (!holdsAll()) {
            CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < hangTimeout);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    // The leader's process ends between rounds of proposals. After an election the other members
    // accept changes again, no accepted change is missing on any member, and the old leader catches
    // up from its disk when it is restarted.
    void leaderFailsUnderLoad()
    {
        Cluster cluster = this->startThree();
        this->untilAccepted(cluster);
        for (int round = 0; round < 20; ++round)
            this->proposeOnce(cluster);

        const std::size_t oldLeader = leaderOf(cluster);
        cluster.at(oldLeader) = nullptr;
        const std::chrono::milliseconds took = this->untilAccepted(cluster);
        std::cout << " accepted again after " << took.count() << " ms";

        cluster.at(oldLeader) = this->startNode(this->members[oldLeader], std::nullopt);
        for (int round = 0; round < 5; ++round)
            this->proposeOnce(cluster);
        for (const std::unique_ptr<Node> &node : cluster)
            this->waitUntilApplied(*node);
        this->readSeesAll(cluster);
    }

    // A member is lost together with its disk. A new member at the same address, with a new
    // identity and an empty folder, receives a snapshot and the log and becomes a voter; the lost
    // member is removed last. Then all processes end at once and restart: no accepted change is
    // lost.
    void lostDiskIsReplaced()
    {
        Cluster cluster = this->startThree();
        this->untilAccepted(cluster);
        cluster.at(2) = nullptr;
        std::filesystem::remove_all(this->folder / "vm2.1");
        while (this->accepted.size() < 500)
            this->untilAccepted(cluster);
        coordination::consensus::Member fresh = this->members[2];
        fresh.id = state::VmId("vm2.2");
        cluster.at(2) = this->startNode(fresh, std::nullopt);
        this->members[2] = fresh;
        this->changeMembers(cluster, MemberSet::create(this->members).value());
        this->untilAccepted(cluster);
        this->waitUntilApplied(*cluster.at(2));
        CPPUNIT_ASSERT(cluster.at(2)->restores > 0);

        for (std::unique_ptr<Node> &node : cluster)
            node = nullptr;
        for (std::size_t index = 0; index < cluster.size(); ++index)
            cluster.at(index) = this->startNode(this->members[index], std::nullopt);
        this->untilAccepted(cluster);
        for (const std::unique_ptr<Node> &node : cluster)
            this->waitUntilApplied(*node);
    }

    static void changeMembers(const Cluster &cluster, const MemberSet &target)
    {
        const auto begin = std::chrono::steady_clock::now();
        while (true) {
            CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < hangTimeout);
            ControlMember &leader = cluster.at(leaderOf(cluster))->member();
            const auto status = leader.status();
            if (status->role == Role::Leader && status->members == target)
                return;
            const auto change = nextMemberChange(status->members, target, status->caughtUp);
            if (change) {
                auto promise = std::make_shared<std::promise<ProposalResult>>();
                leader.proposeChange(*change, [promise](ProposalResult result) {
                    promise->set_value(std::move(result));
                });
                CPPUNIT_ASSERT(promise->get_future().wait_for(hangTimeout)
                               == std::future_status::ready);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    std::unique_ptr<Node> startNode(const coordination::consensus::Member &member,
                                    const std::optional<MemberSet> &founders) const
    {
        return std::make_unique<Node>(member.id.value(), this->folder / member.id.value(),
                                      member.address.port, founders);
    }

    Cluster startThree()
    {
        Cluster cluster;
        for (std::size_t index = 0; index < cluster.size(); ++index)
            this->members.push_back({state::VmId("vm" + std::to_string(index) + ".1"),
                                     {"127.0.0.1", freePort()},
                                     MemberRole::Voter});
        const MemberSet founders = MemberSet::create(this->members).value();
        for (std::size_t index = 0; index < cluster.size(); ++index)
            cluster.at(index) = this->startNode(this->members[index], founders);
        return cluster;
    }

    // The leader confirms reads of both kinds. Without a leader a read is unconfirmed and never
    // stale.
    void readSeesAll(const Cluster &cluster) const
    {
        for (const ReadKind kind : {ReadKind::Lease, ReadKind::QuorumRound}) {
            bool confirmed = false;
            for (int attempt = 0; !confirmed && attempt < 1000; ++attempt) {
                auto promise = std::make_shared<std::promise<ReadAnswer>>();
                cluster.at(leaderOf(cluster))
                        ->member()
                        .read(kind,
                              [promise](const ReadAnswer &answer) { promise->set_value(answer); });
                std::future<ReadAnswer> future = promise->get_future();
                CPPUNIT_ASSERT(future.wait_for(hangTimeout) == std::future_status::ready);
                const ReadAnswer answer = future.get();
                confirmed = answer.confirmed;
                CPPUNIT_ASSERT(!confirmed || answer.index >= this->accepted.size());
                if (!confirmed)
                    std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
            CPPUNIT_ASSERT(confirmed);
        }
    }

private:
    std::filesystem::path folder;
    std::vector<coordination::consensus::Member> members;
    std::vector<std::string> accepted;
    int nextChange = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlMemberTest);

} // namespace lavenderthread::program
