// Tests attempts at several entries against one claim ledger: the request runs at most once, and a
// caller is told "not run" only if that is true.
#include "coordination/claims/ClaimedRequest.h"
#include "state/control/ClaimLedger.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>

namespace lavenderthread::coordination::claims {

namespace {

using state::Instant;
using state::control::ClaimAnswer;
using state::control::ClaimHolder;
using state::control::ClaimLedger;

const state::ClientAccountId acme("acme");
const state::control::ClaimResult posted{201, "application/json", "{}", true};

struct ApplyToLedger
{
    ClaimLedger &ledger;

    ClaimAnswer operator()(const state::control::TakeClaim &each) { return ledger.take(each); }
    ClaimAnswer operator()(const state::control::DispatchClaim &each)
    {
        return ledger.dispatch(each);
    }
    ClaimAnswer operator()(const state::control::ReleaseClaim &each)
    {
        return ledger.release(each);
    }
    ClaimAnswer operator()(const state::control::FinishClaim &each) { return ledger.finish(each); }
    ClaimAnswer operator()(const auto &) { return {}; }
};

// An entry with one attempt; also plays the log and the endpoint.
struct Entry
{
    ClaimLedger &ledger;
    int &runs;
    ClaimHolder holder;
    ClaimedRequest request;
    std::deque<ClaimAction> pendingActions;
    bool sent = false;
    std::optional<ReplyToCaller> reply;
    std::vector<std::pair<std::uint64_t, ClaimAnswer>> answers; // all answers so far

    Entry(ClaimLedger &sharedLedger, int &runCount, int number, Instant deadline)
        : ledger(sharedLedger)
        , runs(runCount)
        , holder{state::VmId("vm-" + std::to_string(number)), 1,
                 state::RequestId("attempt-" + std::to_string(number))}
        , request({}, {state::control::ClaimId::of(acme, "k"), acme, {}, this->holder, deadline})
    {}

    void take(const ClaimActions &actions)
    {
        this->pendingActions.insert(this->pendingActions.end(), actions.begin(), actions.end());
    }

    // Carries out the oldest pending action; false if there is none.
    bool runNextAction(Instant now)
    {
        if (this->pendingActions.empty())
            return false;
        const ClaimAction action = this->pendingActions.front();
        this->pendingActions.pop_front();
        if (const auto *command = std::get_if<ProposeCommand>(&action)) {
            const ClaimAnswer answer = std::visit(ApplyToLedger{this->ledger}, command->command);
            this->answers.emplace_back(command->id, answer);
            this->take(this->request.onClaimAnswer(command->id, answer, now));
        } else if (std::holds_alternative<ConnectEndpoint>(action)) {
            this->take(this->request.onConnected(now));
        } else if (std::holds_alternative<SendRequest>(action)) {
            CPPUNIT_ASSERT(!this->sent);
            const state::control::Claim *claim =
                    this->ledger.find(state::control::ClaimId::of(acme, "k"));
            CPPUNIT_ASSERT(claim->holder == this->holder);
            CPPUNIT_ASSERT(claim->state != state::control::ClaimState::Held);
            this->sent = true;
            ++this->runs;
            this->take(this->request.onResult(posted, now));
        } else {
            CPPUNIT_ASSERT(!this->reply);
            this->reply = std::get<ReplyToCaller>(action);
            CPPUNIT_ASSERT(this->reply->ran != Ran::No || !this->sent);
        }
        return true;
    }

    void runToEnd(Instant now)
    {
        while (this->runNextAction(now)) {
        }
    }
};

constexpr Instant begin{};
const Instant deadline = begin + std::chrono::seconds(10);

} // namespace

class ClaimedRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimedRequestTest);
    CPPUNIT_TEST(resendAfterEntryKilledAtEachStep);
    CPPUNIT_TEST(connectFailureIsReportedAsNotRun);
    CPPUNIT_TEST(deadlineWithoutReachingLogIsUnknown);
    CPPUNIT_TEST(resumedAfterDeadlineDoesNotSend);
    CPPUNIT_TEST(lateResultIsRecorded);
    CPPUNIT_TEST(randomSchedules);
    CPPUNIT_TEST_SUITE_END();

public:
    void resendAfterEntryKilledAtEachStep()
    {
        // An entry is killed after each step of a request. The caller resends through other entries
        // before and after the log declares the first entry lost. Steps: take the claim, connect,
        // mark as dispatched, send, record the result, reply.
        for (int steps = 0; steps <= 6; ++steps) {
            ClaimLedger ledger;
            int runs = 0;
            Entry first(ledger, runs, 1, deadline);
            first.take(first.request.begin(begin));
            for (int step = 0; step < steps; ++step)
                first.runNextAction(begin);
            Entry early(ledger, runs, 2, deadline);
            early.take(early.request.begin(begin));
            early.runToEnd(begin);
            ledger.entryLost({first.holder.entry, 1});
            Entry late(ledger, runs, 3, deadline);
            late.take(late.request.begin(begin));
            late.runToEnd(begin);
            const std::string message = "killed after step " + std::to_string(steps);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 1, runs + (steps == 3 ? 1 : 0));
            // Before the mark is committed the resend runs. Between the mark and the recorded
            // result nobody can know; after that the resend gets the result.
            const Ran expected = steps == 3 || steps == 4 ? Ran::Unknown : Ran::Yes;
            CPPUNIT_ASSERT_MESSAGE(message, late.reply->ran == expected);
        }
    }

    void connectFailureIsReportedAsNotRun()
    {
        ClaimLedger ledger;
        int runs = 0;
        Entry entry(ledger, runs, 1, deadline);
        entry.take(entry.request.begin(begin));
        entry.runNextAction(begin);
        entry.pendingActions.clear();
        entry.take(entry.request.onConnectFailed(begin));
        CPPUNIT_ASSERT(!entry.reply); // not before the release is committed
        entry.runToEnd(begin);
        CPPUNIT_ASSERT(entry.reply->ran == Ran::No);
        CPPUNIT_ASSERT_EQUAL(0, runs);
    }

    void deadlineWithoutReachingLogIsUnknown()
    {
        // The entry takes a claim and is then partitioned from the control members. It can't commit
        // its release by the deadline, so it must not say "not run".
        ClaimLedger ledger;
        int runs = 0;
        Entry entry(ledger, runs, 1, deadline);
        entry.take(entry.request.begin(begin));
        entry.runNextAction(begin);
        entry.pendingActions.clear();
        for (Instant now = begin; now <= deadline; now = entry.request.nextTimer()) {
            entry.take(entry.request.onTimer(now));
            std::erase_if(entry.pendingActions, [](const ClaimAction &action) {
                return std::holds_alternative<ProposeCommand>(action);
            });
            entry.runToEnd(now);
        }
        CPPUNIT_ASSERT(entry.reply->ran == Ran::Unknown);
        CPPUNIT_ASSERT_EQUAL(0, runs);
    }

    void resumedAfterDeadlineDoesNotSend()
    {
        // The process is paused between the commit of its dispatch mark and the send until after
        // the deadline.
        ClaimLedger ledger;
        int runs = 0;
        Entry entry(ledger, runs, 1, deadline);
        entry.take(entry.request.begin(begin));
        entry.runNextAction(begin);
        entry.runNextAction(begin);
        entry.runToEnd(deadline + std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(0, runs);
        CPPUNIT_ASSERT(entry.reply->ran == Ran::Unknown);
    }

    void lateResultIsRecorded()
    {
        ClaimLedger ledger;
        int runs = 0;
        Entry entry(ledger, runs, 1, deadline);
        entry.take(entry.request.begin(begin));
        for (int step = 0; step < 3; ++step)
            entry.runNextAction(begin);
        entry.pendingActions.clear(); // sent, no answer by the deadline
        entry.take(entry.request.onTimer(deadline));
        entry.runToEnd(deadline);
        CPPUNIT_ASSERT(entry.reply->ran == Ran::Unknown);
        const ClaimHolder other{state::VmId("vm-2"), 1, state::RequestId("r")};
        CPPUNIT_ASSERT(
                ledger.take({state::control::ClaimId::of(acme, "k"), acme, {}, other, {}}).verdict
                == state::control::ClaimVerdict::OutcomeUnknown);
        entry.take(entry.request.onResult(posted, deadline + std::chrono::seconds(2)));
        entry.runToEnd(deadline + std::chrono::seconds(2));
        CPPUNIT_ASSERT(ledger.find(state::control::ClaimId::of(acme, "k"))->state
                       == state::control::ClaimState::Finished);
    }

    void randomSchedules()
    {
        // Four attempts with one key at four entries. Answers are lost, commands are resent, live
        // entries are declared lost, and time advances in random steps.
        for (std::uint64_t seed = 0; seed < 500; ++seed)
            this->runSchedule(seed);
    }

private:
    void runSchedule(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        ClaimLedger ledger;
        int runs = 0;
        Instant now = begin;
        std::vector<Entry> entries;
        for (int number = 0; number < 4; ++number)
            entries.emplace_back(ledger, runs, number, deadline);
        for (Entry &entry : entries)
            entry.take(entry.request.begin(now));
        for (int step = 0; step < 200; ++step) {
            Entry &entry = entries[random() % entries.size()];
            switch (random() % 10) {
            case 0: // the command is lost before it reaches the log
                if (!entry.pendingActions.empty()
                    && std::holds_alternative<ProposeCommand>(entry.pendingActions.front())) {
                    const std::uint64_t id =
                            std::get<ProposeCommand>(entry.pendingActions.front()).id;
                    entry.pendingActions.pop_front();
                    entry.take(entry.request.onProposalLost(id, now));
                }
                break;
            case 1: // the command is committed but its answer is lost
                if (!entry.pendingActions.empty()) {
                    if (const auto *each =
                                std::get_if<ProposeCommand>(&entry.pendingActions.front()))
                        std::visit(ApplyToLedger{ledger}, each->command);
                }
                break;
            case 2:
                now += std::chrono::milliseconds(random() % 900);
                ledger.advance({std::chrono::milliseconds(random() % 900)});
                break;
            case 3:
                if (random() % 4 == 0)
                    ledger.entryLost({entry.holder.entry, 1});
                break;
            case 4: // an old answer arrives again
                if (!entry.answers.empty()) {
                    const auto &[id, answer] = entry.answers[random() % entry.answers.size()];
                    entry.take(entry.request.onClaimAnswer(id, answer, now));
                }
                break;
            case 5:
                entry.take(entry.request.onTimer(now));
                break;
            default:
                entry.runNextAction(now);
            }
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(seed), runs <= 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimedRequestTest);

} // namespace lavenderthread::coordination::claims
