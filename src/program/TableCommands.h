// What `lavenderthread table get|set|apply` does with the table once it has been fetched, and with
// what the system answered: pure functions on values, apart from reading a file.
#pragma once

#include "state/Error.h"
#include "state/control/Commands.h"
#include "state/table/TableDifference.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::program {

enum class TableFormat : std::uint8_t { Csv, Json };

// By the ending of the file's name. Error: InvalidArgument, step "table.format".
state::Result<TableFormat> tableFormatOf(std::string_view fileName);

// `table get`: the whole table, or the rows of one account.
std::string printTable(const state::table::Table &table, TableFormat format,
                       const std::optional<state::ClientAccountId> &onlyAccount = std::nullopt);

// `table set ACCOUNT WORK_CLASS weight=5 priority=2`: one edit against the version that was
// fetched. Error: InvalidArgument, naming row, column and allowed range.
state::Result<state::control::EditRows> planSet(const state::table::Table &table,
                                                const state::TableKey &key,
                                                const std::vector<std::string> &assignments);

// `table apply FILE [--dry-run] [--remove-missing]`: the difference, ready to be shown or sent.
// Error: InvalidArgument, with every bad cell.
state::Result<state::table::TableDifference> planApply(const state::table::Table &table,
                                                       std::string_view text, TableFormat format,
                                                       state::table::MissingRows missing);

// The edits in commands that each fit one log entry. Edits of one command are stored all or none; a
// table within `editsOfOneCommand` rows is one command.
constexpr std::size_t editsOfOneCommand = 10'000;
std::vector<state::control::EditRows> commandsFor(const state::table::TableDifference &difference);

// The dry run's answer as JSON: {"changes":[{"kind","account","work_class","stale","cells":{…}}]}.
std::string differenceAsJson(const state::table::TableDifference &difference);

struct TableReply
{
    int exitCode = 0;
    std::string text; // one line for a person, or one JSON object
};

// Accepted: exit code 0; a lost race or a bad cell: exitFailed, telling by whom and when.
TableReply describeAnswer(const state::control::Answer &answer, bool asJson);

} // namespace lavenderthread::program
