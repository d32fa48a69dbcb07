// Combines import, export and validation of the table for the command line.
#include "program/TableCommands.h"

#include "program/Commands.h"
#include "state/table/Columns.h"
#include "state/table/TableText.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>

namespace lavenderthread::program {

namespace {

namespace json = boost::json;
namespace table = state::table;
namespace control = state::control;

const char *nameOf(table::RowChangeKind kind)
{
    switch (kind) {
    case table::RowChangeKind::Added:
        return "added";
    case table::RowChangeKind::Changed:
        return "changed";
    case table::RowChangeKind::Removed:
        return "removed";
    }
    return "";
}

json::object toJson(const table::RowChange &change)
{
    json::object cells;
    for (const table::CellChange &cell : change.cells)
        cells[cell.column] = {{"before", cell.before}, {"after", cell.after}};
    return {{"kind", nameOf(change.kind)},
            {"account", change.key.account.value()},
            {"work_class", change.key.workClass.value()},
            {"stale", change.stale},
            {"cells", std::move(cells)}};
}

json::object toJson(const control::Refused &refused)
{
    json::object object{{"accepted", false},
                        {"code", state::toString(refused.error.code)},
                        {"cause", refused.error.cause}};
    if (refused.winner) {
        object["winner"] = {{"operator", refused.winner->operatorId.value()},
                            {"at_ms", refused.winner->at.time_since_epoch().count()},
                            {"version", refused.winner->version}};
    }
    return object;
}

state::Error badAssignment(const std::string &text)
{
    return state::makeError(state::ErrorCode::InvalidArgument, "table.set",
                            "expected COLUMN=NUMBER in place of \"" + text + "\"");
}

} // namespace

state::Result<TableFormat> tableFormatOf(std::string_view fileName)
{
    if (fileName.ends_with(".csv"))
        return TableFormat::Csv;
    if (fileName.ends_with(".json"))
        return TableFormat::Json;
    return state::makeError(state::ErrorCode::InvalidArgument, "table.format",
                            "the file's name must end in .csv or .json", std::string(fileName));
}

std::string printTable(const table::Table &whole, TableFormat format,
                       const std::optional<state::ClientAccountId> &onlyAccount)
{
    table::Table shown = whole;
    if (onlyAccount) {
        std::vector<table::StoredRow> rows = whole.values();
        std::erase_if(rows, [&](const table::StoredRow &stored) {
            return stored.row.key.account != *onlyAccount;
        });
        shown = table::Table::fromValues(std::move(rows));
    }
    return format == TableFormat::Csv ? table::exportCsv(shown) : table::exportJson(shown);
}

state::Result<control::EditRows> planRowEdit(const table::Table &current,
                                             const state::TableKey &key,
                                             const std::vector<std::string> &assignments)
{
    const table::StoredRow *known = current.find(key);
    state::TableRow row = known ? known->row : state::TableRow{.key = key};
    const std::uint64_t version = row.version;
    if (assignments.empty())
        return badAssignment("");
    for (const std::string &assignment : assignments) {
        const std::size_t equals = assignment.find('=');
        if (equals == std::string::npos)
            return badAssignment(assignment);
        BOOST_OUTCOME_TRY(row, table::withCell(row, assignment.substr(0, equals),
                                               assignment.substr(equals + 1)));
    }
    const std::vector<table::CellProblem> problems = table::checkRow(row);
    if (!problems.empty())
        return table::problemsAsError(problems);
    return control::EditRows{{{row, version, false}}};
}

state::Result<table::TableDifference> planApply(const table::Table &current, std::string_view text,
                                                TableFormat format, table::MissingRows missing)
{
    const state::Result<table::ImportedRows> imported = format == TableFormat::Csv
                                                                ? table::importCsv(text, current)
                                                                : table::importJson(text, current);
    if (!imported)
        return imported.error();
    if (!imported.value().problems.empty())
        return table::problemsAsError(imported.value().problems);
    return table::difference(current, imported.value(), missing);
}

std::vector<control::EditRows> commandsFor(const table::TableDifference &difference)
{
    std::vector<control::EditRows> commands;
    const std::vector<table::RowEdit> &edits = difference.edits;
    for (std::size_t first = 0; first < edits.size(); first += maxEditsPerCommand) {
        const std::size_t last = std::min(edits.size(), first + maxEditsPerCommand);
        commands.push_back({{edits.begin() + static_cast<std::ptrdiff_t>(first),
                             edits.begin() + static_cast<std::ptrdiff_t>(last)}});
    }
    return commands;
}

std::string differenceAsJson(const table::TableDifference &difference)
{
    json::array changes;
    for (const table::RowChange &change : difference.changes)
        changes.push_back(toJson(change));
    return json::serialize(
            json::object{{"changes", std::move(changes)}, {"unchanged", difference.unchanged}});
}

TableReply describeAnswer(const control::Answer &answer, bool asJson)
{
    if (const auto *accepted = std::get_if<control::Accepted>(&answer)) {
        const json::object object{
                {"accepted", true}, {"version", accepted->version}, {"resend", accepted->resend}};
        const std::string line = "accepted, version " + std::to_string(accepted->version)
                                 + (accepted->resend ? " (already accepted before)" : "");
        return {exitOk, asJson ? json::serialize(object) : line};
    }
    if (const auto *refused = std::get_if<control::Refused>(&answer))
        return {exitFailed, asJson ? json::serialize(toJson(*refused)) : refused->error.describe()};
    return {exitFailed, "unexpected answer"};
}

} // namespace lavenderthread::program
