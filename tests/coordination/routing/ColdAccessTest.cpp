// Tests ColdAccess: one entry's share, and the sum over all entries while some are cut off, killed
// and started. The same loads run on SendLimit, the alternative that entries keep in step by
// messages.
#include "coordination/routing/ColdAccess.h"
#include "coordination/routing/SendLimit.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lavenderthread::coordination::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double rate = 17;
constexpr ColdRate coldRate{rate, 1.5, 5};
constexpr double mostInSecond = rate * 1.5 + 5;
constexpr double leastShareUsed = 0.7; // under load
const state::Instant start{seconds(100)};
const state::EndpointId endpoint("i-7");
constexpr std::uint64_t incarnation = 42;

state::VmId entryId(std::size_t index)
{
    return state::VmId("vm-" + std::to_string(index));
}

// The endpoint is cold for the whole run. Every entry always has a request for it.
struct Load
{
    std::string name;
    std::size_t entries = 130;
    double cutOffShare = 0; // of the entries: cut off from the others from 2 s to 6 s
    double killedShare = 0; // of the entries: killed at 3 s, started again a second later
    bool startsAgain = true;
    // Entries that start at 4 s under new ids. Those that are cut off never learn of them.
    std::size_t newEntries = 0;
};

struct Result
{
    std::size_t mostInSecond = 0;
    double shareUsed = 0;   // of the rate, from 1 s on
    double leastUsed = 1e9; // the lowest share of the rate in one of the whole seconds from 1 s on
};

constexpr milliseconds length{10'000};
constexpr milliseconds cutOffFrom{2'000};
constexpr milliseconds cutOffUntil{6'000};
constexpr milliseconds killedAt{3'000};
constexpr milliseconds startedAgainAt{4'000};
constexpr milliseconds newEntriesAt{4'000};
constexpr milliseconds joinTime{300}; // until an entry that started has the state of the others
constexpr milliseconds viewStep{200}; // entries look at each other this often
// An entry believes another one dead once it has not heard from it for so long.
constexpr std::array<milliseconds, 3> deadAfter{milliseconds(800), milliseconds(1'200),
                                                milliseconds(1'600)};
constexpr milliseconds reportDelay{20}; // of messages between entries that reach each other
constexpr double looksPerSecond = 50;

struct SimulatedEntry
{
    state::VmId id;
    bool cutOff = false;
    bool killed = false;
    bool isNew = false;
    std::size_t detectionIndex = 0; // index in deadAfter
    std::unique_ptr<ColdLimit> cold;
    std::unique_ptr<SendLimit> bucket;
};

enum class Method { Set, Bucket };

class Simulation
{
public:
    Simulation(const Load &load, Method method, std::uint64_t seed)
        : method(method)
        , startsAgain(load.startsAgain)
        , isDisturbed(load.cutOffShare + load.killedShare > 0 || load.newEntries > 0)
        , random(seed)
    {
        for (std::size_t index = 0; index < load.entries + load.newEntries; ++index) {
            SimulatedEntry entry{entryId(index)};
            entry.isNew = index >= load.entries;
            entry.cutOff = !entry.isNew && this->draw(load.cutOffShare);
            entry.killed = !entry.isNew && this->draw(load.killedShare);
            entry.detectionIndex = index % deadAfter.size();
            this->entries.push_back(std::move(entry));
        }
    }

    Result run()
    {
        std::vector<milliseconds> sends;
        for (milliseconds at{0}; at < length; at += milliseconds(1)) {
            this->deliver(at);
            this->updateEntries(at);
            for (std::size_t index = 0; index < this->entries.size(); ++index) {
                if (!this->runs(this->entries[index], at) || !this->draw(looksPerSecond / 1'000))
                    continue;
                if (this->send(index, at))
                    sends.push_back(at);
            }
        }
        return evaluate(sends);
    }

private:
    struct Report
    {
        milliseconds at;
        std::size_t sender;
    };

    bool draw(double share) { return std::bernoulli_distribution(share)(this->random); }

    bool runs(const SimulatedEntry &entry, milliseconds at) const
    {
        if (entry.isNew)
            return at >= newEntriesAt;
        return !entry.killed || at < killedAt || (this->startsAgain && at >= startedAgainAt);
    }

    static bool isCutOff(const SimulatedEntry &entry, milliseconds at)
    {
        return entry.cutOff && at >= cutOffFrom && at < cutOffUntil;
    }

    bool hears(const SimulatedEntry &listener, const SimulatedEntry &other, milliseconds at) const
    {
        return this->runs(other, at) && !isCutOff(listener, at) && !isCutOff(other, at);
    }

    bool believesAlive(const SimulatedEntry &viewer, const SimulatedEntry &other,
                       milliseconds at) const
    {
        for (milliseconds ago{0}; ago < deadAfter[viewer.detectionIndex]; ago += viewStep) {
            if (at < ago || this->hears(viewer, other, at - ago))
                return true;
        }
        return false;
    }

    // What an entry knows of the others; those of one kind are alike to it.
    RelayEntries viewOf(const SimulatedEntry &viewer, milliseconds at) const
    {
        RelayEntries known{{}, true};
        const bool knowsNew = at >= newEntriesAt && !isCutOff(viewer, at);
        std::array<std::optional<bool>, 8> liveByKind;
        for (const SimulatedEntry &each : this->entries) {
            if (each.isNew && !knowsNew)
                continue;
            std::optional<bool> &live = liveByKind[(each.cutOff ? 1 : 0) + (each.killed ? 2 : 0)
                                                   + (each.isNew ? 4 : 0)];
            if (!live)
                live = this->believesAlive(viewer, each, at);
            known.entries.push_back({each.id, *live || each.id == viewer.id});
        }
        return known;
    }

    // Starts the entries that start at that time and gives all that learn of entries their shares.
    void updateEntries(milliseconds at)
    {
        const state::Instant now = start + at;
        const bool updatesViews = this->method == Method::Set && this->isDisturbed
                                  && at % viewStep == milliseconds{0};
        for (SimulatedEntry &entry : this->entries) {
            const bool begins = (at == milliseconds{0} && !entry.isNew)
                                || (entry.isNew && at == newEntriesAt)
                                || (entry.killed && at == startedAgainAt);
            if (begins) {
                entry.bucket = std::make_unique<SendLimit>(rate, now, this->random());
                entry.cold = std::make_unique<ColdLimit>(ColdShare{start + length});
            }
            const bool joins = (entry.isNew && at == newEntriesAt + joinTime)
                               || (entry.killed && at == startedAgainAt + joinTime);
            // One that has just started knows nobody yet.
            const bool isJoining =
                    (entry.isNew && at < newEntriesAt + joinTime)
                    || (entry.killed && at >= startedAgainAt && at < startedAgainAt + joinTime);
            if (!this->runs(entry, at) || isJoining
                || (at != milliseconds{0} && !joins && !updatesViews))
                continue;
            const RelayEntries known = this->viewOf(entry, at);
            state::Instant began = start - seconds(60);
            if (entry.isNew)
                began = start + newEntriesAt;
            else if (entry.killed && at >= startedAgainAt)
                began = start + startedAgainAt;
            const ColdShare share = coldShare(endpoint, incarnation, entry.id, began, known,
                                              coldRate, start + length);
            if (at == milliseconds{0})
                *entry.cold = ColdLimit(share); // the endpoint has just become cold
            else
                entry.cold->setShare(share, now);
        }
    }

    void deliver(milliseconds at)
    {
        for (; !this->reports.empty() && this->reports.front().at <= at;
             this->reports.pop_front()) {
            const std::size_t sender = this->reports.front().sender;
            for (std::size_t index = 0; index < this->entries.size(); ++index) {
                const SimulatedEntry &entry = this->entries[index];
                const bool reached = !isCutOff(entry, at) && !isCutOff(this->entries[sender], at);
                if (index != sender && reached && this->runs(entry, at) && entry.bucket)
                    entry.bucket->recordSend(start + at);
            }
        }
    }

    bool send(std::size_t index, milliseconds at)
    {
        SimulatedEntry &entry = this->entries[index];
        const state::Instant now = start + at;
        if (this->method == Method::Set) {
            if (entry.cold->nextSend(now) > now)
                return false;
            entry.cold->recordSend(now);
            return true;
        }
        if (entry.bucket->available(now) == 0)
            return false;
        entry.bucket->recordSend(now);
        this->reports.push_back({at + reportDelay, index});
        return true;
    }

    static Result evaluate(const std::vector<milliseconds> &sends)
    {
        Result result;
        std::deque<milliseconds> recent;
        std::size_t counted = 0;
        std::vector<std::size_t> bySecond(std::size_t(length / seconds(1)), 0);
        for (const milliseconds at : sends) {
            recent.push_back(at);
            while (recent.front() + seconds(1) <= at)
                recent.pop_front();
            result.mostInSecond = std::max(result.mostInSecond, recent.size());
            counted += at >= seconds(1) ? 1 : 0;
            ++bySecond[std::size_t(at / seconds(1))];
        }
        for (std::size_t second = 1; second < bySecond.size(); ++second)
            result.leastUsed = std::min(result.leastUsed, double(bySecond[second]) / rate);
        result.shareUsed = double(counted) / (rate * double((length / seconds(1)) - 1));
        return result;
    }

    Method method;
    bool startsAgain;
    bool isDisturbed;
    std::mt19937_64 random;
    std::vector<SimulatedEntry> entries;
    std::deque<Report> reports; // in the order of arrival
};

// The worst values of several seeds.
Result play(const Load &load, Method method)
{
    Result worst{0, 1e9, 1e9};
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const Result result = Simulation(load, method, seed).run();
        worst.mostInSecond = std::max(worst.mostInSecond, result.mostInSecond);
        worst.shareUsed = std::min(worst.shareUsed, result.shareUsed);
        worst.leastUsed = std::min(worst.leastUsed, result.leastUsed);
    }
    return worst;
}

std::string describe(const Load &load, const char *method, const Result &result)
{
    return std::to_string(load.entries) + " entries, " + load.name + ", " + method + ": "
           + std::to_string(result.mostInSecond) + " in a second, "
           + std::to_string(result.shareUsed) + " of the rate, in the worst second "
           + std::to_string(result.leastUsed);
}

} // namespace

class ColdAccessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdAccessTest);
    CPPUNIT_TEST(sendersFollowTheRateAndTheBound);
    CPPUNIT_TEST(groupsThatAreCutOffShareTheBound);
    CPPUNIT_TEST(setHasTheGivenSize);
    CPPUNIT_TEST(deadEntriesAreReplaced);
    CPPUNIT_TEST(setFollowsTheIncarnation);
    CPPUNIT_TEST(entryWithoutTheStateOfTheOthersSendsNothing);
    CPPUNIT_TEST(startedEntryWaitsForOneSpacing);
    CPPUNIT_TEST(sendsAreSpaced);
    CPPUNIT_TEST(lateSendsDelayNoLaterOnes);
    CPPUNIT_TEST(entryThatReplacesAnotherWaitsForOneSpacing);
    CPPUNIT_TEST(warmEndpointIsFree);
    CPPUNIT_TEST(keepsTheBoundAndUsesTheRate);
    CPPUNIT_TEST(usesTheRateAfterEntriesAreLostForGood);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<RelayEntry> entries(std::size_t count)
    {
        std::vector<RelayEntry> known;
        for (std::size_t index = 0; index < count; ++index)
            known.push_back({entryId(index)});
        return known;
    }

    static std::size_t countSenders(const std::vector<RelayEntry> &known, std::size_t count)
    {
        return std::size_t(std::ranges::count_if(known, [&](const RelayEntry &entry) {
            return entry.isLive && isColdSender(endpoint, incarnation, entry.id, known, count);
        }));
    }

public:
    // Guards against a rate that exceeds what the endpoint accepts while all entries are alive, and
    // against one that gets nothing because its rate is low.
    void sendersFollowTheRateAndTheBound()
    {
        CPPUNIT_ASSERT(coldSenders(coldRate, 130, 130) == (ColdSenders{20, 17}));
        CPPUNIT_ASSERT(coldSenders(coldRate, 14, 26) == (ColdSenders{14, 17}));
        CPPUNIT_ASSERT(coldSenders({16.2, 1.5, 5}, 300, 300) == (ColdSenders{19, 16.2}));
        CPPUNIT_ASSERT(coldSenders({0.5, 1.5, 5}, 26, 26) == (ColdSenders{3, 0.5}));
        CPPUNIT_ASSERT(coldSenders(coldRate, 5, 5) == (ColdSenders{5, 17}));
        CPPUNIT_ASSERT(coldSenders({1, 1, 0}, 26, 26) == (ColdSenders{1, 0.8}));
        CPPUNIT_ASSERT(coldSenders({0, 1.5, 5}, 26, 26) == ColdSenders{});
        CPPUNIT_ASSERT(coldSenders(coldRate, 0, 0) == ColdSenders{});
    }

    // Guards against the full rate from each side of a partition.
    void groupsThatAreCutOffShareTheBound()
    {
        for (const std::size_t groups : {2U, 3U, 5U, 10U}) {
            const ColdSenders each = coldSenders(coldRate, 300 / groups, 300);
            CPPUNIT_ASSERT(double(each.count * groups) <= mostInSecond);
            CPPUNIT_ASSERT(each.perSecond * double(groups) <= mostInSecond);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), coldSenders(coldRate, 1, 130).count);
    }

    // A larger set sends more than the endpoint accepts; a smaller one leaves capacity unused.
    void setHasTheGivenSize()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(17), countSenders(entries(130), 17));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countSenders(entries(26), 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), countSenders(entries(5), 17));
    }

    // Guards against a cold endpoint that goes unused while the entries of its set are dead.
    void deadEntriesAreReplaced()
    {
        std::vector<RelayEntry> known = entries(130);
        for (std::size_t index = 0; index < known.size(); index += 2)
            known[index].isLive = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t(17), countSenders(known, 17));
    }

    // With the same set for all starts and endpoints, a few entries would carry all cold traffic.
    void setFollowsTheIncarnation()
    {
        const std::vector<RelayEntry> known = entries(130);
        std::size_t differing = 0;
        for (const RelayEntry &entry : known) {
            if (isColdSender(endpoint, 1, entry.id, known, 24)
                != isColdSender(endpoint, 2, entry.id, known, 24))
                ++differing;
        }
        CPPUNIT_ASSERT(differing > 10);
    }

    // Guards against all entries using the full rate after they all lost power.
    void entryWithoutTheStateOfTheOthersSendsNothing()
    {
        const RelayEntries known{entries(1), false};
        const ColdLimit limit(coldShare(endpoint, incarnation, entryId(0), start, known, coldRate,
                                        start + seconds(3)));
        CPPUNIT_ASSERT(limit.nextSend(start + seconds(2)) == start + seconds(3));
    }

    // Guards against a send right after a restart, when the earlier process has just sent one.
    void startedEntryWaitsForOneSpacing()
    {
        const RelayEntries known{entries(17), true};
        const ColdLimit limit(coldShare(endpoint, incarnation, entryId(3), start, known, coldRate,
                                        start + seconds(3)));
        CPPUNIT_ASSERT(limit.nextSend(start) == start + seconds(1));
        CPPUNIT_ASSERT(limit.nextSend(start + seconds(1)) == start + seconds(1));
    }

    // Guards against several sends of one entry in a row, also after its share was computed anew.
    void sendsAreSpaced()
    {
        const RelayEntries known{entries(2), true};
        const ColdShare share = coldShare(endpoint, incarnation, entryId(0), start - seconds(9),
                                          known, {4, 1.5, 5}, start + seconds(3));
        ColdLimit limit(share);
        CPPUNIT_ASSERT(limit.nextSend(start) == start);
        limit.recordSend(start);
        limit.setShare(share, start);
        CPPUNIT_ASSERT(limit.nextSend(start) == start + milliseconds(500));
        CPPUNIT_ASSERT(limit.nextSend(start + milliseconds(500)) == start + milliseconds(500));
    }

    // Guards against a rate that stays below the allowed one because requests come a little after
    // they may be sent.
    void lateSendsDelayNoLaterOnes()
    {
        ColdLimit limit(ColdShare{start + seconds(9), true, milliseconds(1'500), start});
        limit.recordSend(start);
        limit.recordSend(start + milliseconds(1'600));
        CPPUNIT_ASSERT(limit.nextSend(start + milliseconds(1'600)) == start + seconds(3));
        limit.recordSend(start + seconds(4));
        CPPUNIT_ASSERT(limit.nextSend(start + seconds(4)) == start + milliseconds(5'300));
    }

    // Guards against sends of both an entry that is cut off and the one that takes its place.
    void entryThatReplacesAnotherWaitsForOneSpacing()
    {
        ColdLimit limit(ColdShare{start + seconds(9)});
        const ColdShare share{start + seconds(9), true, seconds(1), {}};
        limit.setShare(share, start);
        CPPUNIT_ASSERT(limit.nextSend(start) == start + seconds(1));
        limit.setShare(share, start + milliseconds(500));
        CPPUNIT_ASSERT(limit.nextSend(start) == start + seconds(1));
    }

    // Guards against a limit that outlasts the cold time.
    void warmEndpointIsFree()
    {
        ColdLimit limit(ColdShare{start + seconds(3)});
        CPPUNIT_ASSERT(limit.nextSend(start) == start + seconds(3));
        CPPUNIT_ASSERT(!limit.isCold(start + seconds(3)));
        CPPUNIT_ASSERT(limit.nextSend(start + seconds(4)) == start + seconds(4));
    }

    // Guards against an endpoint that crashes because the entries together exceed the rate, and
    // against one that gets far less than it accepts.
    void keepsTheBoundAndUsesTheRate()
    {
        for (const std::size_t entries : {26U, 130U, 300U}) {
            for (const Load &load :
                 std::vector<Load>{{"undisturbed", entries},
                                   {"a third cut off", entries, 0.33},
                                   {"half killed for a second", entries, 0, 0.5},
                                   {"a tenth started", entries, 0, 0, true, entries / 10},
                                   {"all at once", entries, 0.33, 0.5, true, entries / 10}})
                check(load);
        }
    }

    // Guards against a cold endpoint that gets far less than it may because entries that are gone
    // keep their places in the set until they leave or are forgotten.
    void usesTheRateAfterEntriesAreLostForGood()
    {
        for (const std::size_t entries : {26U, 130U, 300U})
            check({"half killed for good", entries, 0, 0.5, false});
    }

private:
    static void check(const Load &load)
    {
        const Result set = play(load, Method::Set);
        const Result bucket = play(load, Method::Bucket);
        const std::string text = describe(load, "set", set);
        std::cout << text << "\n" << describe(load, "bucket", bucket) << "\n";
        CPPUNIT_ASSERT_MESSAGE(text, double(set.mostInSecond) <= mostInSecond);
        CPPUNIT_ASSERT_MESSAGE(text, set.shareUsed >= leastShareUsed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdAccessTest);

} // namespace lavenderthread::coordination::routing
