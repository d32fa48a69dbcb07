// Columns of the table with their types and allowed ranges: the only place that validates cells,
// for the replicated state, for imports and for the command line.
#pragma once

#include "state/Error.h"
#include "state/TableRow.h"

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::state::table {

// An integer column that is not part of the key. Get and set convert to and from the row's own
// type.
struct Column
{
    std::string_view name;
    std::uint64_t minimum;
    std::uint64_t maximum;
    std::uint64_t (*get)(const TableRow &);
    void (*set)(TableRow &, std::uint64_t);
};

std::span<const Column> columns();
const Column *findColumn(std::string_view name);

// One invalid cell, with the texts of its error message.
struct CellProblem
{
    std::string row;    // "account/work_class", or "line N" if the key itself is invalid
    std::string column; // name as in the header
    std::string value;
    std::string allowed;

    auto operator<=>(const CellProblem &) const = default;
    std::string describe() const;
};

// Every invalid cell of the row; empty if the row may be stored.
std::vector<CellProblem> checkRow(const TableRow &row);
// Error: InvalidArgument, step "table.check"; its cause lists every problem.
Error problemsAsError(const std::vector<CellProblem> &problems);

// Copy of the row with one cell set from text. Error: InvalidArgument, step "table.cell".
Result<TableRow> withCell(const TableRow &row, std::string_view column, std::string_view text);

// Whether the text is a valid id for operators to assign: 1 to 128 characters of A-Z a-z 0-9 . _ -
bool isPlainId(std::string_view text);
std::string describeKey(const TableKey &key);

constexpr std::string_view accountColumn = "account";
constexpr std::string_view workClassColumn = "work_class";
constexpr std::string_view versionColumn = "version";
constexpr std::string_view allowedId = "1 to 128 characters of A-Z a-z 0-9 . _ -";

} // namespace lavenderthread::state::table
