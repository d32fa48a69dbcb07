// Three control members on loopback, each with its own threads, link and disk: the leader dies
// under load, and comes back.
#include "program/ControlMember.h"

#include "transport/PeerLink.h"

#include <boost/asio/executor_work_guard.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <future>
#include <iostream>
#include <memory>
#include <mutex>
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
using coordination::consensus::Stored;

namespace {

constexpr std::chrono::seconds brokenRun{30}; // only ends a run that hangs; decides nothing

// One member; what it writes outlives its process.
class Node
{
public:
    explicit Node(std::uint16_t port = 0)
    {
        transport::PeerLinkSettings settings;
        settings.listen = {"127.0.0.1", port};
        this->link = transport::PeerLink::listen(this->io, settings, {{"key"}},
                                                 {[this](const std::string &bytes) {
                                                      if (const auto to = this->current())
                                                          to->receive(bytes);
                                                  },
                                                  nullptr})
                             .value();
    }
    ~Node() { this->kill(); }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start(const std::string &id, const Stored &stored)
    {
        this->disk = stored;
        ControlMemberSettings settings;
        settings.id = state::VmId(id);
        settings.address = this->link->address();
        settings.seed = std::hash<std::string>{}(id);
        ControlMemberHooks hooks;
        hooks.persist = [this](const PersistBatch &batch) { this->write(batch); };
        hooks.apply = [this](const state::log::LogEntry &entry) {
            const std::lock_guard lock(this->mutex);
            this->commands.push_back(entry.payload);
            return state::control::Answer{};
        };
        hooks.send = [this](const state::Address &peer, std::string bytes) {
            this->link->send(peer, std::move(bytes));
        };
        hooks.restore = [](const state::log::LogSnapshot &) {};
        hooks.saveSnapshot = [](const auto &) {};
        hooks.captureState = [](const auto &) {};
        hooks.roleChanged = [](const auto &) {};
        hooks.membersChanged = [](const auto &) {};
        hooks.badMessage = [](const auto &) {};
        const auto built = ControlMember::create(this->io, settings, stored, hooks).value();
        {
            const std::lock_guard lock(this->mutex);
            this->member = built;
        }
        built->start();
        for (int count = 0; count < 2; ++count)
            this->threads.emplace_back([this] { this->io.run(); });
    }

    void kill()
    {
        if (const auto running = this->current())
            running->stop();
        this->link->stop();
        this->guard.reset();
        this->io.stop();
        for (std::thread &thread : this->threads)
            thread.join();
        this->threads.clear();
    }

    std::shared_ptr<ControlMember> current()
    {
        const std::lock_guard lock(this->mutex);
        return this->member;
    }
    std::vector<std::string> appliedCommands()
    {
        const std::lock_guard lock(this->mutex);
        return this->commands;
    }
    Stored stored()
    {
        const std::lock_guard lock(this->mutex);
        return this->disk;
    }
    state::Address address() const { return this->link->address(); }

private:
    void write(const PersistBatch &batch)
    {
        {
            const std::lock_guard lock(this->mutex);
            if (batch.hardState)
                this->disk.hardState = *batch.hardState;
            for (const state::log::LogEntry &entry : batch.entries) {
                std::erase_if(this->disk.entries, [&entry](const auto &old) {
                    return old.position.index >= entry.position.index;
                });
                this->disk.entries.push_back(entry);
            }
        }
        this->current()->persisted(batch.sequence);
    }

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> guard =
            asio::make_work_guard(this->io);
    std::mutex mutex;
    Stored disk;
    std::vector<std::string> commands;
    std::shared_ptr<ControlMember> member;
    std::shared_ptr<transport::PeerLink> link;
    std::vector<std::thread> threads;
};

} // namespace

class ControlMemberTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlMemberTest);
    CPPUNIT_TEST(leaderDiesUnderLoad);
    CPPUNIT_TEST_SUITE_END();

public:
    using Cluster = std::array<std::unique_ptr<Node>, 3>;

    // One round of callers at every member that runs; gives how many changes were accepted.
    std::size_t proposeOnce(const Cluster &cluster)
    {
        std::vector<std::pair<std::string, std::future<ProposalResult>>> waiting;
        for (const std::unique_ptr<Node> &node : cluster) {
            for (int call = 0; node && call < 20; ++call) {
                const std::string payload = "change " + std::to_string(this->nextChange++);
                auto promise = std::make_shared<std::promise<ProposalResult>>();
                waiting.emplace_back(payload, promise->get_future());
                node->current()->propose(payload, [promise](ProposalResult result) {
                    promise->set_value(std::move(result));
                });
            }
        }
        std::size_t count = 0;
        for (auto &[payload, future] : waiting) {
            CPPUNIT_ASSERT(future.wait_for(brokenRun) == std::future_status::ready);
            if (future.get().outcome != ProposalOutcome::Committed)
                continue;
            this->accepted.push_back(payload);
            ++count;
        }
        return count;
    }

    std::chrono::milliseconds untilAccepted(const Cluster &cluster)
    {
        const auto begin = std::chrono::steady_clock::now();
        while (this->proposeOnce(cluster) == 0) {
            CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < brokenRun);
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - begin);
    }

    static std::size_t leaderOf(const Cluster &cluster)
    {
        for (std::size_t index = 0; index < cluster.size(); ++index) {
            if (cluster[index]->current()->status()->role == Role::Leader)
                return index;
        }
        return 0;
    }

    void waitUntilApplied(Node &node) const
    {
        const auto begin = std::chrono::steady_clock::now();
        const auto holdsAll = [&] {
            const std::vector<std::string> commands = node.appliedCommands();
            return std::all_of(this->accepted.begin(), this->accepted.end(), [&](const auto &each) {
                return std::count(commands.begin(), commands.end(), each) == 1;
            });
        };
        while (!holdsAll()) {
            CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < brokenRun);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    // Callers propose without pause while the leader's process ends. Their proposals there are
    // answered "unknown"; after an election the others accept changes again, none that was accepted
    // is missing anywhere, and the old leader catches up from its disk when it is started again.
    void leaderDiesUnderLoad()
    {
        Cluster cluster;
        std::vector<coordination::consensus::Member> members;
        for (std::size_t index = 0; index < cluster.size(); ++index) {
            cluster.at(index) = std::make_unique<Node>();
            members.push_back({state::VmId("vm" + std::to_string(index)),
                               cluster.at(index)->address(), MemberRole::Voter});
        }
        Stored first;
        first.snapshot.configuration = MemberSet::create(members).value().encode();
        for (std::size_t index = 0; index < cluster.size(); ++index)
            cluster.at(index)->start(members[index].id.value(), first);
        this->untilAccepted(cluster);
        for (int round = 0; round < 20; ++round)
            this->proposeOnce(cluster);

        const std::size_t old = leaderOf(cluster);
        const std::uint16_t port = cluster.at(old)->address().port;
        cluster.at(old)->kill();
        const Stored kept = cluster.at(old)->stored();
        cluster.at(old) = nullptr;
        const std::chrono::milliseconds took = this->untilAccepted(cluster);
        std::cout << " accepted again after " << took.count() << " ms";

        cluster.at(old) = std::make_unique<Node>(port);
        cluster.at(old)->start(members[old].id.value(), kept);
        for (int round = 0; round < 5; ++round)
            this->proposeOnce(cluster);
        for (const std::unique_ptr<Node> &node : cluster)
            this->waitUntilApplied(*node);
        this->readSeesAll(cluster);
    }

    // Whoever leads answers; while nobody does, the answer is "not confirmed" and never an old one.
    void readSeesAll(const Cluster &cluster) const
    {
        for (const ReadKind kind : {ReadKind::Lease, ReadKind::Round}) {
            bool confirmed = false;
            for (int attempt = 0; !confirmed && attempt < 1000; ++attempt) {
                auto promise = std::make_shared<std::promise<ReadAnswer>>();
                cluster.at(leaderOf(cluster))
                        ->current()
                        ->read(kind,
                               [promise](const ReadAnswer &answer) { promise->set_value(answer); });
                std::future<ReadAnswer> future = promise->get_future();
                CPPUNIT_ASSERT(future.wait_for(brokenRun) == std::future_status::ready);
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
    std::vector<std::string> accepted;
    int nextChange = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlMemberTest);

} // namespace lavenderthread::program
