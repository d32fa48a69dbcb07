// Logic of `lavenderthread table get|set|apply` on a fetched table and on the answer to a command:
// pure functions on values.
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

// Determined by the file name extension. Error: InvalidArgument, step "table.format".
state::Result<TableFormat> tableFormatOf(std::string_view fileName);

// `table get`: prints the whole table, or the rows of one account.
std::string printTable(const state::table::Table &table, TableFormat format,
                       const std::optional<state::ClientAccountId> &onlyAccount = std::nullopt);

// `table set ACCOUNT WORK_CLASS weight=5 priority=2`: one edit based on the fetched version.
// Error: InvalidArgument, naming row, column and allowed range.
state::Result<state::control::EditRows> planRowEdit(const state::table::Table &table,
                                                    const state::TableKey &key,
                                                    const std::vector<std::string> &assignments);

// `table apply FILE [--dry-run] [--remove-missing]`: the difference, to be shown or sent.
// Error: InvalidArgument, listing every invalid cell.
state::Result<state::table::TableDifference> planApply(const state::table::Table &table,
                                                       std::string_view text, TableFormat format,
                                                       state::table::MissingRows missing);

// Splits the edits into commands that each fit in one log entry. A command is applied atomically; a
// table of up to `maxEditsPerCommand` rows is one command.
constexpr std::size_t maxEditsPerCommand = 10'000;
std::vector<state::control::EditRows> commandsFor(const state::table::TableDifference &difference);

// Output of a dry run as JSON: {"changes":[{"kind","account","work_class","stale","cells":{…}}]}.
std::string differenceAsJson(const state::table::TableDifference &difference);

struct TableReply
{
    int exitCode = 0;
    std::string text; // one line of plain text, or one JSON object
};

// Exit code 0 if accepted. On a conflict or an invalid cell exitFailed; a conflict names the
// winning operator and the time.
TableReply describeAnswer(const state::control::Answer &answer, bool asJson);

} // namespace lavenderthread::program
