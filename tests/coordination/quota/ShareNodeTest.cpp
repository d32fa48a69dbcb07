// Tests that work is divided by weight over the whole fleet while every account has a backlog,
// wherever its callers are. The fleet is a fluid model: each entry serves at its share of the
// capacity, which it divides by weight.
#include "coordination/quota/ShareNode.h"
#include "coordination/quota/SimulatedQuotaFleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <deque>
#include <random>
#include <string>

namespace lavenderthread::coordination::quota {

using namespace std::chrono_literals; // NOLINT(google-build-using-namespace): literals only
using state::Instant;

namespace {

constexpr std::size_t entryCount = 18;
constexpr std::size_t accountCount = 10;
constexpr state::Duration step = 50ms;
constexpr int windowSteps = 30s / step;

class FluidFleet
{
public:
    explicit FluidFleet(std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            this->entries.emplace_back(fleetVm(entry));
            this->live.push_back(fleetVm(entry));
        }
        for (std::size_t account = 0; account < accountCount; ++account) {
            this->weights.push_back(1 + static_cast<std::uint32_t>(this->random() % 20));
            this->total += this->weights.back();
            // A backlog at one to all entries.
            const std::size_t spread = 1 + this->random() % entryCount;
            std::vector<bool> has(entryCount);
            for (std::size_t copy = 0; copy < spread; ++copy)
                has[this->random() % entryCount] = true;
            this->backlog.push_back(has);
        }
        this->publishLive();
    }

    void failEntry(std::size_t entry)
    {
        std::erase(this->live, fleetVm(entry));
        for (std::vector<bool> &has : this->backlog)
            has[entry] = false;
        this->failed = entry;
        this->publishLive();
    }

    void run(state::Duration length, bool coordinated = true)
    {
        for (const Instant end = this->now + length; this->now < end; this->now += step)
            this->work(coordinated);
    }

    // Largest relative error of an account's share over any 30 s so far.
    double largestShareError() const { return this->largestError; }
    double utilisation() const { return this->done / static_cast<double>(this->steps); }
    // Whether an account would have no backlog without this entry.
    bool hasBacklogOnlyAt(std::size_t entry) const
    {
        for (const std::vector<bool> &has : this->backlog) {
            std::size_t others = 0;
            for (std::size_t other = 0; other < entryCount; ++other)
                others += other != entry && has[other] ? 1 : 0;
            if (others == 0)
                return true;
        }
        return false;
    }

private:
    void publishLive()
    {
        for (ShareNode &entry : this->entries)
            entry.setLiveEntries(this->live);
    }

    void exchange()
    {
        std::deque<OutgoingShareMessage> queue;
        const auto put = [&](std::vector<OutgoingShareMessage> messages) {
            for (OutgoingShareMessage &message : messages) {
                if (this->random() % 10 != 0) // 10% are lost
                    queue.push_back(std::move(message));
            }
        };
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            for (std::size_t account = 0; account < accountCount; ++account)
                this->entries[entry].setBacklog(
                        account + 1, this->backlog[account][entry] ? this->weights[account] : 0,
                        this->now);
            if (entry != this->failed)
                put(this->entries[entry].tick(this->now));
        }
        while (!queue.empty()) {
            const OutgoingShareMessage message = queue.front();
            queue.pop_front();
            for (std::size_t entry = 0; entry < entryCount; ++entry) {
                if (message.to == fleetVm(entry) && entry != this->failed)
                    put(this->entries[entry].receive(message.message, this->now));
            }
        }
    }

    void work(bool coordinated)
    {
        if (this->steps % 5 == 0)
            this->exchange();
        std::vector<double> wanted(entryCount);
        double claimed = 0;
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            double weight = 0;
            for (std::size_t account = 0; account < accountCount; ++account)
                weight += this->weightAt(account, entry, coordinated);
            wanted[entry] = weight == 0   ? 0
                            : coordinated ? this->entries[entry].fleetShare()
                                          : 1.0 / entryCount;
            claimed += wanted[entry];
        }
        std::vector<double> served(accountCount);
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            double weight = 0;
            for (std::size_t account = 0; account < accountCount; ++account)
                weight += this->weightAt(account, entry, coordinated);
            for (std::size_t account = 0; weight > 0 && account < accountCount; ++account)
                served[account] += wanted[entry] / std::max(claimed, 1.0)
                                   * this->weightAt(account, entry, coordinated) / weight;
        }
        this->measure(served);
    }

    double weightAt(std::size_t account, std::size_t entry, bool coordinated) const
    {
        if (!this->backlog[account][entry])
            return 0;
        return coordinated ? this->entries[entry].localWeight(account + 1) : this->weights[account];
    }

    void measure(const std::vector<double> &served)
    {
        ++this->steps;
        this->window.push_back(served);
        double all = 0;
        for (std::size_t account = 0; account < accountCount; ++account) {
            this->done += served[account];
            this->sums[account] += served[account];
            if (this->window.size() > windowSteps)
                this->sums[account] -= this->window.front()[account];
            all += this->sums[account];
        }
        if (this->window.size() < windowSteps)
            return;
        if (this->window.size() > windowSteps)
            this->window.pop_front();
        for (std::size_t account = 0; account < accountCount; ++account) {
            const double expectedShare = this->weights[account] / this->total;
            this->largestError =
                    std::max(this->largestError,
                             std::abs(this->sums[account] / all - expectedShare) / expectedShare);
        }
    }

    std::mt19937_64 random;
    std::vector<ShareNode> entries;
    std::vector<state::VmId> live;
    std::vector<std::uint32_t> weights;
    std::vector<std::vector<bool>> backlog; // by account, then entry
    double total = 0;
    std::size_t failed = entryCount; // none
    Instant now{100s};
    std::deque<std::vector<double>> window;
    std::vector<double> sums = std::vector<double>(accountCount); // over the window
    double largestError = 0;
    double done = 0;
    int steps = 0;
};

} // namespace

class ShareNodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShareNodeTest);
    CPPUNIT_TEST(sharesMatchWeightsFromTheFirstSecond);
    CPPUNIT_TEST(sharesMatchWeightsWhenEntriesAreLost);
    CPPUNIT_TEST_SUITE_END();

public:
    // Each of ten accounts has a backlog at a different subset of eighteen entries. Without
    // coordination, an account with callers at many entries would get several times its share.
    void sharesMatchWeightsFromTheFirstSecond()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            FluidFleet fleet(seed);
            fleet.run(60s);
            const std::string text = std::to_string(seed) + ": "
                                     + std::to_string(fleet.largestShareError()) + ", used "
                                     + std::to_string(fleet.utilisation());
            CPPUNIT_ASSERT_MESSAGE(text, fleet.largestShareError() < 0.05);
            CPPUNIT_ASSERT_MESSAGE(text, fleet.utilisation() > 0.97);
            FluidFleet uncoordinated(seed);
            uncoordinated.run(60s, false);
            CPPUNIT_ASSERT_MESSAGE(text, uncoordinated.largestShareError()
                                                 > 5 * fleet.largestShareError());
        }
    }

    // An entry fails that is the broker of some sums and has a backlog of its own. The new brokers
    // have no reports at first; meanwhile the entries use the last complete sum.
    void sharesMatchWeightsWhenEntriesAreLost()
    {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            for (std::size_t lost = seed % 3; lost < entryCount; lost += 3) {
                FluidFleet fleet(seed);
                if (fleet.hasBacklogOnlyAt(lost))
                    continue;
                fleet.run(35s);
                fleet.failEntry(lost);
                fleet.run(40s);
                const std::string text = std::to_string(seed) + ", lost " + std::to_string(lost)
                                         + ": " + std::to_string(fleet.largestShareError());
                CPPUNIT_ASSERT_MESSAGE(text, fleet.largestShareError() < 0.05);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShareNodeTest);

} // namespace lavenderthread::coordination::quota
