// Tests the replicated control state: conflicting and resent edits, all-or-nothing edits, the feed
// to the entries, orders, and the snapshot image.
#include "state/control/ControlState.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::state::control {

namespace {

const ClientAccountId acme("acme");

table::RowEdit edit(const char *workClass, std::uint32_t weight, std::uint64_t expected)
{
    return {TableRow{.key = {acme, WorkClass(workClass)}, .weight = weight}, expected, false};
}

// Applies commands with ascending indexes, as the log does.
struct Driver
{
    ControlState state;
    std::uint64_t index = 0;

    Answer run(const char *who, const std::string &id, OperatorAction action,
               const std::string &content = "same")
    {
        const OperatorStamp stamp{OperatorId(who), id, Digest::of(content),
                                  WallTime(std::chrono::milliseconds(1'000 + this->index))};
        return this->state.apply({1, ++this->index}, OperatorCommand{stamp, std::move(action)});
    }

    void prepare()
    {
        this->run("ana", "a", PutAccount{{acme, "Acme", "", 0}, 0});
        this->run("ana", "m", PutModel{{ModelName("v4"), ServiceName("s"), 10, 0}, 0});
    }
};

const Error *errorOf(const Answer &answer)
{
    const auto *refused = std::get_if<Refused>(&answer);
    return refused == nullptr ? nullptr : &refused->error;
}

bool contains(const std::string &text, const char *part)
{
    return text.find(part) != std::string::npos;
}

OrderSpec drainOf(std::vector<EndpointId> endpoints, OrderKind kind = OrderKind::Drain)
{
    return {kind, std::move(endpoints), {}, {}, 0};
}

} // namespace

class ControlStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlStateTest);
    CPPUNIT_TEST(racingEditsHaveOneWinner);
    CPPUNIT_TEST(resendGetsTheFirstAnswer);
    CPPUNIT_TEST(sameIdWithOtherContentIsAConflict);
    CPPUNIT_TEST(evictedResendFailsVersionCheck);
    CPPUNIT_TEST(editsAreAllOrNothing);
    CPPUNIT_TEST(refusals);
    CPPUNIT_TEST(historyRecordsWhoWhatAndWhen);
    CPPUNIT_TEST(feedUpdatesFromEveryVersion);
    CPPUNIT_TEST(wholeViewComesInPages);
    CPPUNIT_TEST(drainsAppearInTheView);
    CPPUNIT_TEST(laterOrdersSupersedeEarlierOnes);
    CPPUNIT_TEST(imageRestoresTheSameState);
    CPPUNIT_TEST_SUITE_END();

public:
    void racingEditsHaveOneWinner()
    {
        // Two operators read version 0 (no row) and both write. The first write in the log wins;
        // the second is refused and gets the winner, its time and the current version.
        Driver driver;
        driver.prepare();
        const Answer first = driver.run("ana", "1", EditRows{{edit("review", 5, 0)}});
        const Answer second = driver.run("bob", "1", EditRows{{edit("review", 9, 0)}});
        CPPUNIT_ASSERT(std::holds_alternative<Accepted>(first));
        CPPUNIT_ASSERT(errorOf(second)->code == ErrorCode::Conflict);
        const RaceWinner winner = *std::get<Refused>(second).winner;
        CPPUNIT_ASSERT(winner.operatorId == OperatorId("ana"));
        CPPUNIT_ASSERT_EQUAL(std::get<Accepted>(first).version, winner.version);
        CPPUNIT_ASSERT(contains(errorOf(second)->cause, "ana at 1002 ms"));
        CPPUNIT_ASSERT_EQUAL(
                5U, driver.state.view().table.find({acme, WorkClass("review")})->row.weight);
    }

    void resendGetsTheFirstAnswer()
    {
        // The answer to an accepted edit is lost and the operator resends the edit. If it were
        // evaluated again, it would conflict with its own first copy; instead it gets the first
        // answer, marked as a resend.
        Driver driver;
        driver.prepare();
        const EditRows action{{edit("review", 5, 0)}};
        const auto first = std::get<Accepted>(driver.run("ana", "1", action));
        const ControlView before = driver.state.view();
        const auto again = std::get<Accepted>(driver.run("ana", "1", action));
        CPPUNIT_ASSERT_EQUAL(first.version, again.version);
        CPPUNIT_ASSERT(again.resend && !first.resend);
        CPPUNIT_ASSERT(before == driver.state.view());
    }

    void sameIdWithOtherContentIsAConflict()
    {
        Driver driver;
        driver.prepare();
        driver.run("ana", "1", EditRows{{edit("review", 5, 0)}}, "five");
        const Answer other = driver.run("ana", "1", EditRows{{edit("draft", 6, 0)}}, "six");
        CPPUNIT_ASSERT(errorOf(other)->code == ErrorCode::Conflict);
        // Another operator may use the same id.
        CPPUNIT_ASSERT(std::holds_alternative<Accepted>(
                driver.run("bob", "1", EditRows{{edit("draft", 6, 0)}}, "six")));
    }

    void evictedResendFailsVersionCheck()
    {
        ControlLimits limits;
        limits.requestsRemembered = 3;
        Driver driver{ControlState(limits)};
        driver.prepare();
        driver.run("ana", "1", EditRows{{edit("review", 5, 0)}});
        for (const char *id : {"2", "3", "4"})
            driver.run("ana", id, EditRows{{edit(id, 1, 0)}});
        const Answer late = driver.run("ana", "1", EditRows{{edit("review", 5, 0)}});
        CPPUNIT_ASSERT(errorOf(late)->code == ErrorCode::Conflict);
    }

    void editsAreAllOrNothing()
    {
        Driver driver;
        driver.prepare();
        const Answer answer =
                driver.run("ana", "1", EditRows{{edit("review", 5, 0), edit("draft", 10'001, 0)}});
        CPPUNIT_ASSERT(contains(errorOf(answer)->cause, "row acme/draft, column weight"));
        CPPUNIT_ASSERT(contains(errorOf(answer)->cause, "1 to 10000"));
        CPPUNIT_ASSERT(driver.state.view().table.empty());
    }

    void refusals()
    {
        Driver driver;
        driver.prepare();
        driver.run("ana", "r", EditRows{{edit("review", 5, 0)}});
        table::RowEdit stranger = edit("review", 1, 0);
        stranger.row.key.account = ClientAccountId("stranger");
        const OrderSpec unknownModel{OrderKind::Load, {}, ModelName("v9"), {}, 6};
        const OrderSpec noCount{OrderKind::Load, {}, ModelName("v4"), {}, 0};
        const auto badKind = static_cast<OrderKind>(200);
        const std::pair<OperatorAction, ErrorCode> cases[] = {
                {EditRows{}, ErrorCode::InvalidArgument},
                {EditRows{{stranger}}, ErrorCode::InvalidArgument},
                {EditRows{{edit("x", 1, 0), edit("x", 2, 0)}}, ErrorCode::InvalidArgument},
                {RemoveAccount{acme, 1}, ErrorCode::Conflict}, // the account still has a row
                {RemoveModel{ModelName("v9"), 0}, ErrorCode::NotFound},
                {PutAccount{{ClientAccountId("b c"), "", "", 0}, 0}, ErrorCode::InvalidArgument},
                {SubmitOrder{unknownModel}, ErrorCode::InvalidArgument},
                {SubmitOrder{noCount}, ErrorCode::InvalidArgument},
                {SubmitOrder{drainOf({})}, ErrorCode::InvalidArgument},
                {SubmitOrder{drainOf({EndpointId("e")}, badKind)}, ErrorCode::InvalidArgument},
        };
        int number = 0;
        for (const auto &[action, code] : cases) {
            const Answer answer = driver.run("ana", std::to_string(++number), action);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(number), errorOf(answer) != nullptr);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(number), errorOf(answer)->code == code);
        }
    }

    void historyRecordsWhoWhatAndWhen()
    {
        Driver driver;
        driver.prepare();
        driver.run("ana", "1", EditRows{{edit("review", 5, 0)}});
        driver.run("bob", "1", EditRows{{edit("review", 8, 3)}});
        const ChangeRecord &last = driver.state.history().back();
        CPPUNIT_ASSERT(last.operatorId == OperatorId("bob"));
        CPPUNIT_ASSERT_EQUAL(std::string("row acme/review"), last.subject);
        CPPUNIT_ASSERT_EQUAL(std::string("weight 5 -> 8"), last.summary);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), last.version);
    }

    void feedUpdatesFromEveryVersion()
    {
        // From every earlier version, an entry gets only the changes that it lacks and ends with
        // the same view.
        Driver driver;
        std::vector<ControlView> views{driver.state.view()};
        driver.prepare();
        for (std::uint32_t number = 0; number < 20; ++number) {
            const std::string workClass = std::to_string(number % 7);
            const auto *known = driver.state.view().table.find({acme, WorkClass(workClass)});
            driver.run("ana", std::to_string(number),
                       EditRows{{edit(workClass.c_str(), number + 1,
                                      known ? known->row.version : 0)}});
            views.push_back(driver.state.view());
        }
        for (const ControlView &view : views) {
            ControlView caughtUp = view;
            for (const FeedPage &page : driver.state.changesSince(view.version)) {
                CPPUNIT_ASSERT_EQUAL(view.version, page.from);
                caughtUp = caughtUp.with(page.changes, page.to);
            }
            CPPUNIT_ASSERT(caughtUp == driver.state.view());
        }
        const std::vector<FeedPage> whole = driver.state.changesSince(999);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), whole.front().from);
    }

    void wholeViewComesInPages()
    {
        Driver driver;
        driver.prepare();
        EditRows many;
        for (int number = 0; number < 12'000; ++number)
            many.edits.push_back(edit(std::to_string(number).c_str(), 1, 0));
        driver.run("ana", "1", many);
        std::vector<FeedChange> all;
        for (const FeedPage &page : driver.state.changesSince(0)) {
            CPPUNIT_ASSERT_EQUAL(3U, page.pages);
            all.insert(all.end(), page.changes.begin(), page.changes.end());
        }
        CPPUNIT_ASSERT(ControlView::fromChanges(all, 3) == driver.state.view());
    }

    void drainsAppearInTheView()
    {
        Driver driver;
        const EndpointId engine("engine-1");
        driver.run("ana", "1", SubmitOrder{drainOf({engine})});
        CPPUNIT_ASSERT(driver.state.view().isDrained(engine));
        driver.run("ana", "2", SubmitOrder{drainOf({engine}, OrderKind::Undrain)});
        CPPUNIT_ASSERT(!driver.state.view().isDrained(engine));
        CPPUNIT_ASSERT(driver.state.orders().find(1)->state == OrderState::Superseded);
    }

    void laterOrdersSupersedeEarlierOnes()
    {
        Driver driver;
        driver.prepare();
        const EndpointId one("engine-1");
        const EndpointId two("engine-2");
        const ModelName model("v4");
        driver.run("ana", "1", SubmitOrder{{OrderKind::Load, {}, model, {}, 6}});      // 3
        driver.run("ana", "2", SubmitOrder{{OrderKind::Unload, {one}, model, {}, 0}}); // 4
        driver.run("ana", "3", SubmitOrder{drainOf({one, two})});                      // 5
        driver.run("ana", "4", SubmitOrder{drainOf({two}, OrderKind::Undrain)});       // 6
        const OrderBook &orders = driver.state.orders();
        CPPUNIT_ASSERT(orders.find(3)->excluded.contains(one));
        CPPUNIT_ASSERT(orders.find(5)->state == OrderState::Open);
        driver.state.apply({1, ++driver.index},
                           RecordOrderProgress{5, one, {EndpointOrderState::Applied, 1, ""}});
        CPPUNIT_ASSERT(orders.find(5)->state == OrderState::Superseded);
        driver.run("ana", "5", SubmitOrder{{OrderKind::Load, {}, model, {}, 2}}); // 8
        CPPUNIT_ASSERT(orders.find(3)->state == OrderState::Superseded);
        CPPUNIT_ASSERT(orders.find(8)->state == OrderState::Open);
    }

    void imageRestoresTheSameState()
    {
        Driver driver;
        driver.prepare();
        driver.run("ana", "1", EditRows{{edit("review", 5, 0)}});
        driver.run("ana", "2", SubmitOrder{drainOf({EndpointId("engine-1")})});
        driver.state.apply(
                {1, ++driver.index},
                TakeClaim{ClaimId::of(acme, "k"), acme, {}, {}, std::chrono::seconds(5)});
        Driver restored{ControlState({}, driver.state.image()), driver.index};
        CPPUNIT_ASSERT(driver.state.image() == restored.state.image());
        for (Driver *each : {&driver, &restored}) {
            each->run("ana", "1", EditRows{{edit("review", 5, 0)}});
            each->run("bob", "1", EditRows{{edit("review", 7, 3)}});
        }
        CPPUNIT_ASSERT(driver.state.image() == restored.state.image());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlStateTest);

} // namespace lavenderthread::state::control
