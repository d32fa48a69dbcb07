// Tests the table: independent cheap copies, typed cells, import, export and the dry run.
#include "state/table/Table.h"
#include "state/table/Catalog.h"
#include "state/table/Columns.h"
#include "state/table/TableDifference.h"
#include "state/table/TableText.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>

namespace lavenderthread::state::table {

namespace {

StoredRow makeRow(const std::string &account, std::uint32_t weight, std::uint64_t version = 1)
{
    return {TableRow{.key = {ClientAccountId(account), WorkClass("review")},
                     .weight = weight,
                     .version = version},
            OperatorId("ana"),
            {}};
}

Table smallTable()
{
    return Table::fromValues({makeRow("acme", 5, 3), makeRow("bell", 7, 4)});
}

} // namespace

class TableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TableTest);
    CPPUNIT_TEST(behavesLikeStdMap);
    CPPUNIT_TEST(earlierCopiesStayUnchanged);
    CPPUNIT_TEST(cellErrorsNameRowColumnAndRange);
    CPPUNIT_TEST(csvAndJsonRoundTrip);
    CPPUNIT_TEST(importReportsEveryInvalidCell);
    CPPUNIT_TEST(importRefusesTextWithoutTable);
    CPPUNIT_TEST(dryRunReturnsTheDifference);
    CPPUNIT_TEST(callPatterns);
    CPPUNIT_TEST(findsAccountByBearerKey);
    CPPUNIT_TEST_SUITE_END();

public:
    void behavesLikeStdMap()
    {
        std::mt19937_64 random(1);
        Table table;
        std::map<TableKey, StoredRow> expected;
        for (int step = 0; step < 20'000; ++step) {
            const StoredRow row = makeRow("a" + std::to_string(random() % 900), step + 1U);
            if (random() % 3 == 0) {
                table = table.without(row.row.key);
                expected.erase(row.row.key);
            } else {
                table = table.with(row);
                expected.insert_or_assign(row.row.key, row);
            }
        }
        CPPUNIT_ASSERT_EQUAL(expected.size(), table.size());
        auto next = expected.begin();
        table.forEach([&](const StoredRow &row) { CPPUNIT_ASSERT(row == (next++)->second); });
        for (int number = 0; number < 900; ++number) {
            const TableKey key = makeRow("a" + std::to_string(number), 1).row.key;
            const StoredRow *found = table.find(key);
            CPPUNIT_ASSERT_EQUAL(expected.contains(key), found != nullptr);
        }
        CPPUNIT_ASSERT(table == Table::fromValues(table.values()));
    }

    void earlierCopiesStayUnchanged()
    {
        const Table before = smallTable();
        const Table after = before.with(makeRow("acme", 9)).without(makeRow("bell", 1).row.key);
        CPPUNIT_ASSERT_EQUAL(5U, before.find(makeRow("acme", 1).row.key)->row.weight);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), before.size());
        CPPUNIT_ASSERT_EQUAL(9U, after.find(makeRow("acme", 1).row.key)->row.weight);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), after.size());
    }

    void cellErrorsNameRowColumnAndRange()
    {
        const TableRow row = makeRow("acme", 1).row;
        const struct
        {
            const char *column, *text, *range;
        } cases[] = {{"weight", "0", "1 to 10000"},
                     {"weight", "10001", "1 to 10000"},
                     {"weight", "-1", "1 to 10000"},
                     {"weight", "1.5", "1 to 10000"},
                     {"weight", "", "1 to 10000"},
                     {"weight", "99999999999999999999", "1 to 10000"},
                     {"fleet_share_milli", "1001", "1 to 1000"},
                     {"deadline_ms", "0", "1 to 86400000"},
                     {"priority", "10", "0 to 9"},
                     {"colour", "1", "weight"}};
        for (const auto &each : cases) {
            const Result<TableRow> changed = withCell(row, each.column, each.text);
            CPPUNIT_ASSERT_MESSAGE(each.text, changed.has_error());
            const std::string cause = changed.error().describe();
            CPPUNIT_ASSERT_MESSAGE(cause, cause.find("acme/review") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(cause, cause.find(each.column) != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(cause, cause.find(each.range) != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(10'000U, withCell(row, "weight", "10000").value().weight);
    }

    void csvAndJsonRoundTrip()
    {
        const Table table = smallTable();
        for (const ImportedRows &imported : {importCsv(exportCsv(table), table).value(),
                                             importJson(exportJson(table), table).value()}) {
            CPPUNIT_ASSERT(imported.problems.empty());
            CPPUNIT_ASSERT(imported.hasVersions);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), imported.rows.size());
            CPPUNIT_ASSERT(imported.rows[0] == table.find(imported.rows[0].key)->row);
            CPPUNIT_ASSERT(difference(table, imported).changes.empty());
        }
    }

    void importReportsEveryInvalidCell()
    {
        const auto imported = importCsv("account,work_class,weight,priority\n"
                                        "acme,review,0,5\n"
                                        "b ad,review,1,12\n"
                                        "acme,review,1,1\n",
                                        Table());
        CPPUNIT_ASSERT(imported.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), imported.value().problems.size());
        CPPUNIT_ASSERT_EQUAL(std::string("row acme/review, column weight: \"0\" is not allowed, "
                                         "expected a whole number from 1 to 10000"),
                             imported.value().problems[0].describe());
    }

    void importRefusesTextWithoutTable()
    {
        for (const char *text :
             {"", "weight\n1\n", "account,work_class,colour\na,b,1\n", "account,work_class\na\n",
              "account,work_class,weight,weight\na,b,1,2\n", "account,work_class\n\"a,b\n"})
            CPPUNIT_ASSERT_MESSAGE(text, importCsv(text, Table()).has_error());
        for (const char *text : {"", "{", "[]", "{\"rows\":1}", "{\"rows\":[1]}"})
            CPPUNIT_ASSERT_MESSAGE(text, importJson(text, Table()).has_error());
    }

    void dryRunReturnsTheDifference()
    {
        const Table table = smallTable();
        const ImportedRows imported =
                importCsv("account,work_class,weight,version\nacme,review,6,2\ncore,review,1,\n",
                          table)
                        .value();
        const TableDifference result = difference(table, imported, MissingRows::Remove);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), result.changes.size());
        CPPUNIT_ASSERT(result.changes[0].stale); // the file has version 2, the row 3
        CPPUNIT_ASSERT(result.changes[1].kind == RowChangeKind::Removed);
        CPPUNIT_ASSERT(result.changes[2].kind == RowChangeKind::Added);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), result.edits[0].expectedVersion);
        CPPUNIT_ASSERT(result.describe().starts_with("~ acme/review weight 5 -> 6 (stale"));
    }

    void callPatterns()
    {
        const Service ledger{ServiceName("ledger"), {{"POST", "/postings"}, {"*", "/bids/"}}, 1};
        CPPUNIT_ASSERT(ledger.isNonIdempotent("POST", "/postings"));
        CPPUNIT_ASSERT(ledger.isNonIdempotent("POST", "/postings/7"));
        CPPUNIT_ASSERT(ledger.isNonIdempotent("POST", "/postings?dry=0"));
        CPPUNIT_ASSERT(ledger.isNonIdempotent("PUT", "/bids/7"));
        CPPUNIT_ASSERT(!ledger.isNonIdempotent("GET", "/postings"));
        CPPUNIT_ASSERT(!ledger.isNonIdempotent("POST", "/postings-archive"));
    }

    void findsAccountByBearerKey()
    {
        const ClientAccountId acme("acme");
        const Catalog first = Catalog().withAccount({acme, "Acme", bearerKeyHash("k1"), 1});
        const Catalog second = first.withAccount({acme, "Acme", bearerKeyHash("k2"), 2});
        CPPUNIT_ASSERT(first.accountOfBearerKey("k1")->id == acme);
        CPPUNIT_ASSERT(second.accountOfBearerKey("k1") == nullptr);
        CPPUNIT_ASSERT(second.accountOfBearerKey("k2")->id == acme);
        CPPUNIT_ASSERT(second.withoutAccount(acme).accountOfBearerKey("k2") == nullptr);
        CPPUNIT_ASSERT(second.accountOfBearerKeyHash("") == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableTest);

} // namespace lavenderthread::state::table
