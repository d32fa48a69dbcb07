// Tests the operators' table commands, including two conflicting edits of the same cell.
#include "program/TableCommands.h"
#include "state/control/ControlState.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::program {

namespace {

using state::TableKey;
namespace control = state::control;
namespace table = state::table;

const state::ClientAccountId acme("acme");
const TableKey review{acme, state::WorkClass("review")};

control::Answer submit(control::ControlState &state, const char *who,
                       control::OperatorAction action)
{
    const control::OperatorStamp stamp{state::OperatorId(who),
                                       std::to_string(state.appliedIndex()),
                                       {},
                                       state::WallTime(std::chrono::milliseconds(77))};
    return state.apply({1, state.appliedIndex() + 1},
                       control::OperatorCommand{stamp, std::move(action)});
}

} // namespace

class TableCommandsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TableCommandsTest);
    CPPUNIT_TEST(conflictingSetIsRefused);
    CPPUNIT_TEST(invalidAssignmentsAreRefused);
    CPPUNIT_TEST(applyDescribesAndSendsDifference);
    CPPUNIT_TEST_SUITE_END();

public:
    void conflictingSetIsRefused()
    {
        // Two operators fetch the same table and set the same cell; the second one's refusal names
        // the first.
        control::ControlState state;
        submit(state, "ana", control::PutAccount{{acme, "Acme", "", 0}, 0});
        const table::Table fetched = state.view().table;
        const auto first = planRowEdit(fetched, review, {"weight=5", "priority=2"}).value();
        const auto second = planRowEdit(fetched, review, {"weight=9"}).value();
        CPPUNIT_ASSERT_EQUAL(0, describeAnswer(submit(state, "ana", first), false).exitCode);
        const TableReply lost = describeAnswer(submit(state, "bob", second), true);
        CPPUNIT_ASSERT(lost.exitCode != 0);
        CPPUNIT_ASSERT(lost.text.find(R"("operator":"ana","at_ms":77,"version":2)")
                       != std::string::npos);
        const std::string shown = printTable(state.view().table, TableFormat::Csv, acme);
        CPPUNIT_ASSERT(shown.find("acme,review,5,1000,0,0,60000,2,2\n") != std::string::npos);
        const state::ClientAccountId other("bell");
        CPPUNIT_ASSERT(printTable(state.view().table, TableFormat::Csv, other).find("acme")
                       == std::string::npos);
    }

    void invalidAssignmentsAreRefused()
    {
        const std::vector<std::vector<std::string>> cases{
                {}, {"weight"}, {"weight=0"}, {"colour=1"}, {"weight=1", "priority=11"}};
        for (const auto &assignments : cases)
            CPPUNIT_ASSERT(planRowEdit(table::Table(), review, assignments).has_error());
        const TableKey bad{state::ClientAccountId("a b"), state::WorkClass("review")};
        CPPUNIT_ASSERT(planRowEdit(table::Table(), bad, {"weight=1"}).has_error());
        CPPUNIT_ASSERT(tableFormatOf("table.txt").has_error());
    }

    void applyDescribesAndSendsDifference()
    {
        control::ControlState state;
        submit(state, "ana", control::PutAccount{{acme, "Acme", "", 0}, 0});
        const std::string text = "account,work_class,weight\nacme,review,5\nacme,draft,7\n";
        const auto planned = planApply(state.view().table, text, tableFormatOf("t.csv").value(),
                                       table::MissingRows::Keep);
        CPPUNIT_ASSERT(differenceAsJson(planned.value()).find(R"("kind":"added")")
                       != std::string::npos);
        for (const control::EditRows &command : commandsFor(planned.value()))
            CPPUNIT_ASSERT_EQUAL(0, describeAnswer(submit(state, "ana", command), false).exitCode);
        const auto again =
                planApply(state.view().table, text, TableFormat::Csv, table::MissingRows::Keep);
        CPPUNIT_ASSERT(again.value().changes.empty());
        const auto bad = planApply(state.view().table, "account,work_class,weight\nacme,review,0\n",
                                   TableFormat::Csv, table::MissingRows::Keep);
        CPPUNIT_ASSERT(bad.error().cause.find("row acme/review, column weight")
                       != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableCommandsTest);

} // namespace lavenderthread::program
