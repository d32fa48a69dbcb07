// The changes that an import makes: the result of a dry run, and the edits that apply them.
#pragma once

#include "state/table/RowEdit.h"
#include "state/table/Table.h"
#include "state/table/TableText.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace lavenderthread::state::table {

enum class RowChangeKind : std::uint8_t { Added, Changed, Removed };

struct CellChange
{
    std::string column;
    std::uint64_t before = 0;
    std::uint64_t after = 0;

    auto operator<=>(const CellChange &) const = default;
};

struct RowChange
{
    RowChangeKind kind = RowChangeKind::Changed;
    TableKey key;
    std::vector<CellChange> cells; // every column of an added row; empty for a removed one
    bool stale = false; // the file's version differs from the row's: the edit would be refused

    auto operator<=>(const RowChange &) const = default;
};

struct TableDifference
{
    std::vector<RowChange> changes; // ascending by key
    std::vector<RowEdit> edits;     // the same changes, ready for a command
    std::size_t unchanged = 0;

    // Readable text with one line for each change: "~ acme/review weight 1 -> 5".
    std::string describe() const;
};

enum class MissingRows : std::uint8_t { Keep, Remove }; // rows that are absent from the import

// Edits expect the file's versions if it has them, else the versions of `current`.
TableDifference difference(const Table &current, const ImportedRows &imported,
                           MissingRows missing = MissingRows::Keep);

} // namespace lavenderthread::state::table
