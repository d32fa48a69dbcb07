// Import and export of the table as CSV and JSON. An import reads whole or tells every bad cell;
// nothing is stored here.
#pragma once

#include "state/Error.h"
#include "state/table/Columns.h"
#include "state/table/Table.h"

#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::state::table {

constexpr std::size_t maximumImportBytes = 64U << 20U;

// Rows with the versions that the file names (0 if it has no version column or an empty cell).
struct ImportedRows
{
    std::vector<TableRow> rows;
    bool hasVersions = false;          // the file has a version column
    std::vector<CellProblem> problems; // of all rows; the import is refused unless empty
};

// A header line, then one line a row. Columns may stand in any order; one that is absent takes the
// value of `current`'s row, or the default for a new row.
// Errors: InvalidArgument, step "table.import.csv", when the text is not a table at all.
Result<ImportedRows> importCsv(std::string_view text, const Table &current);
// {"rows":[{"account":…,"work_class":…,"weight":…},…]}. Step "table.import.json".
Result<ImportedRows> importJson(std::string_view text, const Table &current);

std::string exportCsv(const Table &table);
// Carries changed_by and changed_at_ms besides; an import ignores them.
std::string exportJson(const Table &table);

} // namespace lavenderthread::state::table
