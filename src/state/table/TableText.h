// Import and export of the table as CSV and JSON. An import reads the whole text or reports
// every invalid cell; nothing is stored here.
#pragma once

#include "state/Error.h"
#include "state/table/Columns.h"
#include "state/table/Table.h"

#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::state::table {

constexpr std::size_t maximumImportBytes = 64U << 20U;

// Rows with the versions in the file (0 if it has no version column or an empty cell).
struct ImportedRows
{
    std::vector<TableRow> rows;
    bool hasVersions = false;          // the file has a version column
    std::vector<CellProblem> problems; // of all rows; the import is refused unless empty
};

// Reads a header line, then one line for each row. Columns may be in any order; an absent column
// takes the value of the row in `current`, or the default for a new row. Errors: InvalidArgument,
// step "table.import.csv", when the text is not a table.
Result<ImportedRows> importCsv(std::string_view text, const Table &current);
// {"rows":[{"account":…,"work_class":…,"weight":…},…]}. Step "table.import.json".
Result<ImportedRows> importJson(std::string_view text, const Table &current);

std::string exportCsv(const Table &table);
// Also contains changed_by and changed_at_ms, which an import ignores.
std::string exportJson(const Table &table);

} // namespace lavenderthread::state::table
