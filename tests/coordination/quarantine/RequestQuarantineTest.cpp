// Tests RequestQuarantine: which parts are blocked by which crashes, what clears them, and how many
// requests may find out whether a block is still needed.
#include "coordination/quarantine/RequestQuarantine.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lavenderthread::coordination::quarantine {

namespace {

using state::Instant;
using state::RequestPart;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RequestPart crashingPart = 0xbad;
constexpr std::size_t receiversOfRepeats = 3;
constexpr milliseconds repeatInterval{500};
constexpr milliseconds crashTime{120}; // from sending a request until its engine ends
constexpr milliseconds contactTime{3'000};
constexpr milliseconds startTime{6'000}; // of the entries that start late
constexpr milliseconds length{12'000};

// Entries that each see some of the crashes, and tell the others by datagrams that are delayed and
// lost as in RequestGuard. Crashing requests come at any of them, and callers repeat once.
class FleetSimulation
{
public:
    struct Settings
    {
        std::size_t entries = 18;
        double requestsPerSecond = 8;
        double lostDatagrams = 0.05;
        milliseconds longestDelay{30};
        std::size_t lateEntries = 0;
        std::uint64_t seed = 1;
    };
    struct Result
    {
        std::size_t crashes = 0;
        std::size_t late = 0; // arrivals later than the contact time after the fifth crash
    };

    explicit FleetSimulation(const Settings &chosen)
        : settings(chosen)
        , random(chosen.seed)
        , entries(chosen.entries)
    {
        for (std::size_t entry = 0; entry < this->settings.entries; ++entry)
            this->scheduleRepeat(entry, this->begin + this->draw(repeatInterval));
        this->scheduleRequest(this->begin);
    }

    Result run()
    {
        while (!this->events.empty() && this->events.begin()->first < this->begin + length) {
            const auto next = this->events.extract(this->events.begin());
            this->now = next.key();
            next.mapped()();
        }
        return this->result;
    }

private:
    bool isUp(std::size_t entry) const
    {
        return entry >= this->settings.lateEntries || this->now >= this->begin + startTime;
    }

    state::Duration draw(state::Duration longest)
    {
        return state::Duration(
                std::uniform_int_distribution<std::int64_t>(1, longest.count())(this->random));
    }

    std::size_t drawEntry()
    {
        std::size_t entry = this->random() % this->settings.entries;
        while (!this->isUp(entry))
            entry = this->random() % this->settings.entries;
        return entry;
    }

    void at(Instant when, std::function<void()> event)
    {
        this->events.emplace(when, std::move(event));
    }

    template <typename Update>
    void deliver(std::size_t entry, Update update)
    {
        if (std::bernoulli_distribution(this->settings.lostDatagrams)(this->random))
            return;
        this->at(this->now + this->draw(this->settings.longestDelay), [this, entry, update] {
            if (this->isUp(entry))
                this->entries[entry].apply(update, this->now);
        });
    }

    template <typename Update>
    void share(std::size_t sender, const Update &update)
    {
        for (std::size_t entry = 0; entry < this->settings.entries; ++entry) {
            if (entry != sender)
                this->deliver(entry, update);
        }
    }

    void scheduleRepeat(std::size_t entry, Instant when)
    {
        this->at(when, [this, entry] {
            for (std::size_t copy = 0; copy < receiversOfRepeats; ++copy) {
                const std::size_t to = this->random() % this->settings.entries;
                for (const CrashReport &report : this->entries[entry].reportsOfBlocks(this->now))
                    this->deliver(to, report);
                for (const TrialStarted &trial : this->entries[entry].trialsOfBlocks(this->now))
                    this->deliver(to, trial);
            }
            this->scheduleRepeat(entry, this->now + repeatInterval);
        });
    }

    void scheduleRequest(Instant when)
    {
        this->at(when, [this] {
            const std::vector<RequestPart> parts = {RequestPart(this->random() % 60), crashingPart,
                                                    RequestPart(1'000'000 + this->random())};
            this->send(this->drawEntry(), parts, 1, true);
            this->scheduleRequest(this->now
                                  + std::chrono::microseconds(
                                          std::int64_t(1e6 / this->settings.requestsPerSecond)));
        });
    }

    void send(std::size_t entry, const std::vector<RequestPart> &parts, int attempt,
              bool callerRepeats)
    {
        RequestQuarantine &quarantine = this->entries[entry];
        const SendDecision decision = quarantine.decide(this->service, parts, this->now);
        if (decision.verdict == SendVerdict::Refuse)
            return;
        if (decision.verdict == SendVerdict::SendAsTrial)
            this->share(entry, quarantine.startTrial(*decision.block, this->now));
        if (this->fifthCrashAt && this->now > *this->fifthCrashAt + contactTime)
            ++this->result.late;
        this->at(this->now + crashTime, [this, entry, parts, attempt, callerRepeats] {
            this->crash(entry, parts, attempt, callerRepeats);
        });
    }

    void crash(std::size_t entry, const std::vector<RequestPart> &parts, int attempt,
               bool callerRepeats)
    {
        if (++this->result.crashes == 5)
            this->fifthCrashAt = this->now;
        CrashReport report;
        report.service = this->service;
        report.crash = {state::EndpointId(std::to_string(this->result.crashes)), 1};
        report.parts = parts;
        report.sentAgeUs = state::Duration(crashTime).count();
        this->entries[entry].apply(report, this->now);
        this->share(entry, report);
        const bool repeats = attempt == 1 && this->entries[entry].mayRepeat(this->service, parts);
        if (repeats)
            this->send(entry, parts, 2, callerRepeats);
        else if (callerRepeats)
            this->send(this->drawEntry(), parts, 1, false);
    }

    const state::ServiceName service{"llm"};
    const Instant begin{seconds(1'000)};
    Settings settings;
    std::mt19937_64 random;
    std::vector<RequestQuarantine> entries;
    std::multimap<Instant, std::function<void()>> events;
    Instant now = this->begin;
    std::optional<Instant> fifthCrashAt;
    Result result;
};

} // namespace

using std::chrono::hours;

class RequestQuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestQuarantineTest);
    CPPUNIT_TEST(sendsEverythingWithoutCrashes);
    CPPUNIT_TEST(blocksPartAfterThreeCrashes);
    CPPUNIT_TEST(cutOffRequestIsNotRepeatedAfterTwoCrashes);
    CPPUNIT_TEST(oneCrashThatCutsOffManyRequestsIsOneCrash);
    CPPUNIT_TEST(requestSentAfterOneCrashIsEvidenceOfItsOwn);
    CPPUNIT_TEST(answersThatHadBegunAreSuspectOnlyIfAllHad);
    CPPUNIT_TEST(enginesThatEndAtOnceBlockNothing);
    CPPUNIT_TEST(partOfSurvivedAnswersIsNotBlocked);
    CPPUNIT_TEST(partsThatAreSharedWithTheCrashingOneAreNotBlocked);
    CPPUNIT_TEST(partsThatAreAlwaysTogetherAreBlockedTogether);
    CPPUNIT_TEST(anotherCrashTellsPartsApart);
    CPPUNIT_TEST(twoCrashingPartsAreBothBlocked);
    CPPUNIT_TEST(otherServiceIsNotBlocked);
    CPPUNIT_TEST(survivedAnswerEndsBlock);
    CPPUNIT_TEST(lateReportOfClearedPartChangesNothing);
    CPPUNIT_TEST(trialsAreFewAndEachComesLater);
    CPPUNIT_TEST(trialOfPeerPostponesOwn);
    CPPUNIT_TEST(blockOfFewerPartsKeepsItsTrials);
    CPPUNIT_TEST(reportsOfBlocksGiveAnotherEntryTheSameBlocks);
    CPPUNIT_TEST(orderOfReportsDoesNotMatter);
    CPPUNIT_TEST(manyCrashesWithoutCommonPartKeepMemoryBounded);
    CPPUNIT_TEST(blockSurvivesManyOtherCrashes);
    CPPUNIT_TEST(allEntriesStopSoonAfterTheFifthCrash);
    CPPUNIT_TEST(entriesThatStartLaterAreTold);
    CPPUNIT_TEST(wholeRequestIsBlockedAfterTwoCrashes);
    CPPUNIT_TEST(requestBesideACrashingOneIsNotBlocked);
    CPPUNIT_TEST(frequentRequestThatIsAnsweredIsNotBlocked);
    CPPUNIT_TEST(crashesOfOneMomentBlockNoRequest);
    CPPUNIT_TEST(requestsOfOnePartAreBlockedByThatPart);
    CPPUNIT_TEST(trialOfWholeRequestComesLater);
    CPPUNIT_TEST(requestsWithABlockedBodyAreSentOneAtATime);
    CPPUNIT_TEST_SUITE_END();

    static constexpr RequestPart crashing = 0xbad;
    static constexpr RequestPart shared = 0x5a1;
    static constexpr RequestPart otherShared = 0x5a2;
    const state::Instant start{seconds(100'000)};
    const state::ServiceName service{"llm"};

    CrashReport report(int engine, std::vector<RequestPart> parts) const
    {
        CrashReport made;
        made.service = this->service;
        made.crash = {state::EndpointId("i-" + std::to_string(engine)), 7};
        made.parts = std::move(parts);
        made.sentAgeUs = state::Duration(milliseconds(150)).count();
        return made;
    }

    // A crash each second, each of another engine and with other shared parts.
    void crash(RequestQuarantine &quarantine, int count, int firstEngine = 0) const
    {
        for (int index = 0; index < count; ++index)
            quarantine.apply(this->report(firstEngine + index,
                                          {RequestPart(0x100 + firstEngine + index), crashing}),
                             this->start + seconds(firstEngine + index));
    }

    SendVerdict verdict(const RequestQuarantine &quarantine, const std::vector<RequestPart> &parts,
                        state::Instant now) const
    {
        return quarantine.decide(this->service, parts, now).verdict;
    }

    bool isRefused(const RequestQuarantine &quarantine, const std::vector<RequestPart> &parts) const
    {
        return this->verdict(quarantine, parts, this->start + seconds(10)) != SendVerdict::Send;
    }

public:
    void sendsEverythingWithoutCrashes()
    {
        const RequestQuarantine quarantine;
        CPPUNIT_ASSERT(!quarantine.hasSuspects());
        CPPUNIT_ASSERT(!this->isRefused(quarantine, {crashing}));
        CPPUNIT_ASSERT(quarantine.mayRepeat(this->service, {crashing}));
    }

    void blocksPartAfterThreeCrashes()
    {
        RequestQuarantine quarantine;
        this->crash(quarantine, 2);
        CPPUNIT_ASSERT(!this->isRefused(quarantine, {shared, crashing}));
        this->crash(quarantine, 1, 2);
        CPPUNIT_ASSERT(this->isRefused(quarantine, {shared, crashing}));
        CPPUNIT_ASSERT(this->isRefused(quarantine, {crashing, shared}));
        CPPUNIT_ASSERT(!this->isRefused(quarantine, {shared}));
    }

    // Guards against one request that ends an engine with each of its attempts.
    void cutOffRequestIsNotRepeatedAfterTwoCrashes()
    {
        RequestQuarantine quarantine;
        this->crash(quarantine, 1);
        CPPUNIT_ASSERT(quarantine.mayRepeat(this->service, {shared, crashing}));
        this->crash(quarantine, 1, 1);
        CPPUNIT_ASSERT(!quarantine.mayRepeat(this->service, {shared, crashing}));
        CPPUNIT_ASSERT(quarantine.mayRepeat(this->service, {shared}));
    }

    void oneCrashThatCutsOffManyRequestsIsOneCrash()
    {
        RequestQuarantine quarantine;
        for (int request = 0; request < 8; ++request)
            quarantine.apply(this->report(0, {RequestPart(0x300 + request), shared}),
                             this->start + milliseconds(request * 200));
        CPPUNIT_ASSERT(!this->isRefused(quarantine, {shared}));
        CPPUNIT_ASSERT(quarantine.mayRepeat(this->service, {shared}));
    }

    // Guards against counting a request's second attempt as the same moment: both are close in
    // time.
    void requestSentAfterOneCrashIsEvidenceOfItsOwn()
    {
        RequestQuarantine quarantine;
        for (int engine = 0; engine < 3; ++engine) {
            CrashReport cutOff = this->report(engine, {shared, crashing});
            cutOff.sentAgeUs = 10'000;
            quarantine.apply(cutOff, this->start + milliseconds(engine * 15));
        }
        CPPUNIT_ASSERT(this->isRefused(quarantine, {shared, crashing}));
    }

    // Guards against blaming answers that were under way for an engine that ended under another.
    void answersThatHadBegunAreSuspectOnlyIfAllHad()
    {
        RequestQuarantine quarantine;
        for (int engine = 0; engine < 3; ++engine) {
            CrashReport begun = this->report(engine, {shared});
            begun.hasBegun = true;
            quarantine.apply(begun, this->start + seconds(engine));
        }
        CPPUNIT_ASSERT(this->isRefused(quarantine, {shared}));
        this->crash(quarantine, 3);
        CPPUNIT_ASSERT(!this->isRefused(quarantine, {shared}));
        CPPUNIT_ASSERT(this->isRefused(quarantine, {crashing}));
    }

    // Guards against refusing a frequent part because a third of the engines lost power.
    void enginesThatEndAtOnceBlockNothing()
    {
        RequestQuarantine quarantine;
        for (int engine = 0; engine < 8; ++engine)
            quarantine.apply(this->report(engine, {shared}), this->start + milliseconds(engine));
        CPPUNIT_ASSERT(!this->isRefused(quarantine, {shared}));
        CPPUNIT_ASSERT(quarantine.mayRepeat(this->service, {shared}));
    }

    void partOfSurvivedAnswersIsNotBlocked()
    {
        RequestQuarantine quarantine;
        for (int engine = 0; engine < 12; ++engine) {
            quarantine.apply(this->report(engine, {shared}), this->start + seconds(engine));
            if (engine % 2 == 1)
                quarantine.answerSurvived(this->service, {shared},
                                          this->start + seconds(engine) + milliseconds(500));
        }
        CPPUNIT_ASSERT(!this->isRefused(quarantine, {shared}));
        CPPUNIT_ASSERT(!quarantine.hasSuspects());
    }

    // Guards against refusing everything that begins like the crashing prompts.
    void partsThatAreSharedWithTheCrashingOneAreNotBlocked()
    {
        RequestQuarantine quarantine;
        for (int engine = 0; engine < 6; ++engine)
            quarantine.apply(this->report(engine, {engine == 0 ? otherShared : shared, crashing}),
                             this->start + seconds(engine));
        CPPUNIT_ASSERT(this->isRefused(quarantine, {otherShared, crashing}));
        CPPUNIT_ASSERT(!this->isRefused(quarantine, {shared}));
        CPPUNIT_ASSERT(!this->isRefused(quarantine, {otherShared}));
    }

    void partsThatAreAlwaysTogetherAreBlockedTogether()
    {
        RequestQuarantine quarantine;
        for (int engine = 0; engine < 4; ++engine)
            quarantine.apply(this->report(engine, {shared, crashing}),
                             this->start + seconds(engine));
        CPPUNIT_ASSERT(this->isRefused(quarantine, {shared, crashing}));
        CPPUNIT_ASSERT(this->isRefused(quarantine, {crashing, otherShared, shared}));
        CPPUNIT_ASSERT(!this->isRefused(quarantine, {shared}));
    }

    void anotherCrashTellsPartsApart()
    {
        RequestQuarantine quarantine;
        for (int engine = 0; engine < 4; ++engine)
            quarantine.apply(this->report(engine, {shared, crashing}),
                             this->start + seconds(engine));
        quarantine.apply(this->report(4, {otherShared, crashing}), this->start + seconds(4));
        CPPUNIT_ASSERT(this->isRefused(quarantine, {0x777, crashing}));
        CPPUNIT_ASSERT(!this->isRefused(quarantine, {shared}));
    }

    void twoCrashingPartsAreBothBlocked()
    {
        RequestQuarantine quarantine;
        constexpr RequestPart other = 0xbae;
        for (int engine = 0; engine < 8; ++engine)
            quarantine.apply(this->report(engine, {shared, engine % 2 == 0 ? crashing : other}),
                             this->start + seconds(engine));
        quarantine.answerSurvived(this->service, {shared}, this->start + seconds(9));
        CPPUNIT_ASSERT(this->isRefused(quarantine, {shared, crashing}));
        CPPUNIT_ASSERT(this->isRefused(quarantine, {shared, other}));
        CPPUNIT_ASSERT(!this->isRefused(quarantine, {shared}));
    }

    void otherServiceIsNotBlocked()
    {
        RequestQuarantine quarantine;
        this->crash(quarantine, 5);
        CPPUNIT_ASSERT(
                quarantine.decide(state::ServiceName("other"), {crashing}, this->start + seconds(6))
                        .verdict
                == SendVerdict::Send);
    }

    void survivedAnswerEndsBlock()
    {
        RequestQuarantine quarantine;
        this->crash(quarantine, 5);
        const auto told = quarantine.answerSurvived(this->service, {shared, crashing},
                                                    this->start + seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), told.size());
        CPPUNIT_ASSERT(!this->isRefused(quarantine, {crashing}));
        RequestQuarantine peer;
        this->crash(peer, 5);
        CPPUNIT_ASSERT(peer.apply(told.front(), this->start + seconds(8)));
        CPPUNIT_ASSERT(!this->isRefused(peer, {crashing}));
    }

    void lateReportOfClearedPartChangesNothing()
    {
        RequestQuarantine quarantine;
        this->crash(quarantine, 3);
        quarantine.answerSurvived(this->service, {crashing}, this->start + seconds(5));
        CrashReport late = this->report(9, {crashing});
        late.ageUs = state::Duration(seconds(3)).count();
        CPPUNIT_ASSERT(quarantine.apply(late, this->start + seconds(6)) == ReportResult::Cleared);
        late.ageUs = 0;
        CPPUNIT_ASSERT(quarantine.apply(late, this->start + seconds(7)) == ReportResult::New);
    }

    // Guards against finding out again and again, at the price of an engine each time.
    void trialsAreFewAndEachComesLater()
    {
        RequestQuarantine quarantine;
        this->crash(quarantine, 3);
        int trials = 0;
        int engine = 3;
        for (state::Instant now = this->start + seconds(3); now < this->start + hours(20);
             now += seconds(1)) {
            const SendDecision decision = quarantine.decide(this->service, {crashing}, now);
            if (decision.verdict == SendVerdict::Refuse)
                continue;
            CPPUNIT_ASSERT(decision.verdict == SendVerdict::SendAsTrial);
            ++trials;
            quarantine.startTrial(*decision.block, now);
            CPPUNIT_ASSERT(this->verdict(quarantine, {crashing}, now) == SendVerdict::Refuse);
            quarantine.apply(this->report(engine++, {crashing}), now);
        }
        CPPUNIT_ASSERT_EQUAL(3, trials);
    }

    void trialOfPeerPostponesOwn()
    {
        RequestQuarantine quarantine;
        RequestQuarantine peer;
        this->crash(quarantine, 3);
        this->crash(peer, 3);
        const state::Instant due = this->start + seconds(4);
        CPPUNIT_ASSERT(this->verdict(quarantine, {crashing}, due) == SendVerdict::SendAsTrial);
        const auto decision = peer.decide(this->service, {crashing}, due);
        quarantine.apply(peer.startTrial(*decision.block, due), due);
        CPPUNIT_ASSERT(this->verdict(quarantine, {crashing}, due) == SendVerdict::Refuse);
    }

    // Guards against trials that begin anew as another crash or a survived answer tells parts
    // apart.
    void blockOfFewerPartsKeepsItsTrials()
    {
        RequestQuarantine quarantine;
        for (int engine = 0; engine < 3; ++engine)
            quarantine.apply(this->report(engine, {shared, crashing}),
                             this->start + seconds(engine));
        const Instant due = this->start + seconds(4);
        const auto decision = quarantine.decide(this->service, {shared, crashing}, due);
        quarantine.startTrial(*decision.block, due);
        quarantine.answerSurvived(this->service, {shared}, due);
        CPPUNIT_ASSERT(this->verdict(quarantine, {crashing}, due + seconds(2))
                       == SendVerdict::Refuse);
    }

    // Guards against an entry that starts after the crashes and sends what all others refuse.
    void reportsOfBlocksGiveAnotherEntryTheSameBlocks()
    {
        RequestQuarantine quarantine;
        this->crash(quarantine, 30);
        const state::Instant now = this->start + seconds(31);
        RequestQuarantine starter;
        for (const CrashReport &each : quarantine.reportsOfBlocks(now))
            starter.apply(each, now);
        CPPUNIT_ASSERT(this->verdict(starter, {shared, crashing}, now) != SendVerdict::Send);
        CPPUNIT_ASSERT(this->verdict(starter, {shared}, now) == SendVerdict::Send);
    }

    void orderOfReportsDoesNotMatter()
    {
        std::vector<CrashReport> reports;
        for (int engine = 0; engine < 6; ++engine) {
            CrashReport crashed = this->report(engine, {shared, crashing});
            crashed.ageUs = state::Duration(seconds(6 - engine)).count();
            crashed.sentAgeUs = crashed.ageUs + 150'000;
            reports.push_back(crashed);
            crashed.parts = {otherShared};
            reports.push_back(crashed);
        }
        reports[4].parts = {crashing};
        std::mt19937_64 random(5);
        std::vector<Block> expected;
        for (int round = 0; round < 20; ++round) {
            std::ranges::shuffle(reports, random);
            RequestQuarantine quarantine;
            for (const CrashReport &each : reports)
                quarantine.apply(each, this->start);
            if (round == 0)
                expected = quarantine.blocks();
            CPPUNIT_ASSERT(quarantine.blocks() == expected);
        }
        CPPUNIT_ASSERT(!expected.empty());
    }

    // Guards against entries that each count only the crashes that they have seen.
    void allEntriesStopSoonAfterTheFifthCrash()
    {
        for (const auto &[entries, seeds] :
             {std::pair<std::size_t, std::uint64_t>{18, 5}, {126, 2}, {300, 1}}) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                FleetSimulation::Settings settings;
                settings.entries = entries;
                settings.requestsPerSecond = double(entries) / 2;
                settings.seed = seed;
                const auto result = FleetSimulation(settings).run();
                const std::string text = std::to_string(entries) + " entries, seed "
                                         + std::to_string(seed) + ": " + std::to_string(result.late)
                                         + " requests late, " + std::to_string(result.crashes)
                                         + " crashes";
                CPPUNIT_ASSERT_MESSAGE(text, result.late <= 3);
                CPPUNIT_ASSERT_MESSAGE(text, result.crashes >= 3);
            }
        }
    }

    // Guards against entries that start when all crashes are over and learn of none.
    void entriesThatStartLaterAreTold()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            FleetSimulation::Settings settings;
            settings.lateEntries = 6;
            settings.seed = seed;
            const auto result = FleetSimulation(settings).run();
            CPPUNIT_ASSERT_MESSAGE(std::to_string(result.late) + " requests late",
                                   result.late <= 3);
        }
    }

    void manyCrashesWithoutCommonPartKeepMemoryBounded()
    {
        RequestQuarantine quarantine;
        for (int engine = 0; engine < 2'000; ++engine)
            quarantine.apply(this->report(engine, {RequestPart(engine)}),
                             this->start + seconds(engine));
        CPPUNIT_ASSERT(quarantine.blocks().empty());
        CPPUNIT_ASSERT(quarantine.knows(this->report(1'999, {}).crash));
        CPPUNIT_ASSERT(!quarantine.knows(this->report(0, {}).crash));
    }

    // The parts of the `number`th of some calls.
    static std::vector<RequestPart> requestAt(RequestPart number)
    {
        return {state::wholeRequestBit | number, state::bodyBit | number};
    }

    // Guards against a call that ends replica after replica: two of three, and its caller's repeat
    // the last one.
    void wholeRequestIsBlockedAfterTwoCrashes()
    {
        RequestQuarantine quarantine;
        quarantine.apply(this->report(0, requestAt(1)), this->start);
        CPPUNIT_ASSERT(!this->isRefused(quarantine, requestAt(1)));
        quarantine.apply(this->report(1, requestAt(1)), this->start + milliseconds(200));
        CPPUNIT_ASSERT(this->isRefused(quarantine, requestAt(1)));
        CPPUNIT_ASSERT(!this->isRefused(quarantine, requestAt(2)));
    }

    // Guards against blocking a sound request that was under way at both crashes of another one.
    void requestBesideACrashingOneIsNotBlocked()
    {
        RequestQuarantine quarantine;
        for (int replica = 0; replica < 2; ++replica) {
            const Instant at = this->start + milliseconds(replica * 200);
            quarantine.apply(this->report(replica, requestAt(1)), at);
            quarantine.apply(this->report(replica, requestAt(2)), at);
        }
        CPPUNIT_ASSERT(!this->isRefused(quarantine, requestAt(1)));
        CPPUNIT_ASSERT(!this->isRefused(quarantine, requestAt(2)));
        quarantine.answerSurvived(this->service, requestAt(2), this->start + seconds(1));
        CPPUNIT_ASSERT(this->isRefused(quarantine, requestAt(1)));
        CPPUNIT_ASSERT(!this->isRefused(quarantine, requestAt(2)));
    }

    // Guards against refusing what most callers ask for, since it was under way at every crash.
    void frequentRequestThatIsAnsweredIsNotBlocked()
    {
        RequestQuarantine quarantine;
        for (int replica = 0; replica < 6; ++replica) {
            const Instant at = this->start + seconds(replica);
            quarantine.apply(this->report(replica, requestAt(1)), at);
            quarantine.answerSurvived(this->service, requestAt(1), at + milliseconds(20));
            CPPUNIT_ASSERT(!this->isRefused(quarantine, requestAt(1)));
            CPPUNIT_ASSERT(quarantine.mayRepeat(this->service, requestAt(1)));
        }
    }

    void crashesOfOneMomentBlockNoRequest()
    {
        RequestQuarantine quarantine;
        for (int replica = 0; replica < 3; ++replica)
            quarantine.apply(this->report(replica, requestAt(1)),
                             this->start + milliseconds(replica * 20));
        CPPUNIT_ASSERT(!this->isRefused(quarantine, requestAt(1)));
    }

    // Guards against holding crashes against each request by itself that a part of all of them has
    // caused.
    void requestsOfOnePartAreBlockedByThatPart()
    {
        RequestQuarantine quarantine;
        for (int replica = 0; replica < 4; ++replica) {
            std::vector<RequestPart> parts = requestAt(RequestPart(replica / 2));
            parts.push_back(crashing);
            quarantine.apply(this->report(replica, parts), this->start + seconds(replica));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), quarantine.blocks().size());
        CPPUNIT_ASSERT(quarantine.blocks().front().parts == std::vector<RequestPart>{crashing});
    }

    // Guards against ending a replica with each path at which callers send a crashing body, and
    // against refusing a usual body for long.
    void requestsWithABlockedBodyAreSentOneAtATime()
    {
        RequestQuarantine quarantine;
        for (int replica = 0; replica < 2; ++replica)
            quarantine.apply(this->report(replica, requestAt(1)),
                             this->start + milliseconds(replica * 200));
        const std::vector<RequestPart> elsewhere = {state::wholeRequestBit | 9, state::bodyBit | 1};
        Instant now = this->start + milliseconds(300);
        const SendDecision first = quarantine.decide(this->service, elsewhere, now);
        CPPUNIT_ASSERT(first.verdict == SendVerdict::SendAsTrial);
        quarantine.startTrial(*first.block, now);
        now += milliseconds(900);
        CPPUNIT_ASSERT(this->verdict(quarantine, elsewhere, now) == SendVerdict::Refuse);
        now += milliseconds(100);
        CPPUNIT_ASSERT(this->verdict(quarantine, elsewhere, now) == SendVerdict::SendAsTrial);
        quarantine.answerSurvived(this->service, elsewhere, now);
        CPPUNIT_ASSERT(this->verdict(quarantine, elsewhere, now) == SendVerdict::Send);
        CPPUNIT_ASSERT(this->isRefused(quarantine, requestAt(1)));
    }

    // Guards against ending the last replica of a small service by the first trial.
    void trialOfWholeRequestComesLater()
    {
        RequestQuarantine quarantine;
        for (int replica = 0; replica < 2; ++replica)
            quarantine.apply(this->report(replica, requestAt(1)),
                             this->start + milliseconds(replica * 200));
        CPPUNIT_ASSERT(this->verdict(quarantine, requestAt(1), this->start + milliseconds(5'100))
                       == SendVerdict::Refuse);
        CPPUNIT_ASSERT(this->verdict(quarantine, requestAt(1), this->start + milliseconds(5'300))
                       == SendVerdict::SendAsTrial);
    }

    // Guards against crowding a block out by other crashes.
    void blockSurvivesManyOtherCrashes()
    {
        RequestQuarantine quarantine;
        this->crash(quarantine, 4);
        for (int engine = 100; engine < 1'000; ++engine)
            quarantine.apply(this->report(engine, {RequestPart(engine)}),
                             this->start + seconds(4) + milliseconds(engine));
        CPPUNIT_ASSERT(this->isRefused(quarantine, {shared, crashing}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestQuarantineTest);

} // namespace lavenderthread::coordination::quarantine
