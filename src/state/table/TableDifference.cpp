// Compares imported rows with the table, cell by cell.
#include "state/table/TableDifference.h"

#include <algorithm>
#include <set>

namespace lavenderthread::state::table {

namespace {

std::vector<CellChange> changedCells(const TableRow &before, const TableRow &after, bool all)
{
    std::vector<CellChange> cells;
    for (const Column &column : columns()) {
        if (all || column.get(before) != column.get(after))
            cells.push_back({std::string(column.name), column.get(before), column.get(after)});
    }
    return cells;
}

std::string describeChange(const RowChange &change)
{
    const char *mark = change.kind == RowChangeKind::Added     ? "+ "
                       : change.kind == RowChangeKind::Removed ? "- "
                                                               : "~ ";
    std::string line = mark + describeKey(change.key);
    for (const CellChange &cell : change.cells) {
        line += " " + cell.column + " ";
        if (change.kind == RowChangeKind::Changed)
            line += std::to_string(cell.before) + " -> ";
        line += std::to_string(cell.after);
    }
    return line + (change.stale ? " (stale: the row has a newer version)\n" : "\n");
}

void addRemoved(const Table &current, const std::set<TableKey> &named, TableDifference &result)
{
    current.forEach([&](const StoredRow &stored) {
        if (named.contains(stored.row.key))
            return;
        result.changes.push_back({RowChangeKind::Removed, stored.row.key, {}, false});
        result.edits.push_back({TableRow{.key = stored.row.key}, stored.row.version, true});
    });
}

} // namespace

std::string TableDifference::describe() const
{
    std::string text;
    for (const RowChange &change : this->changes)
        text += describeChange(change);
    return text + std::to_string(this->changes.size()) + " changed, "
           + std::to_string(this->unchanged) + " unchanged\n";
}

TableDifference difference(const Table &current, const ImportedRows &imported, MissingRows missing)
{
    TableDifference result;
    std::set<TableKey> named;
    for (const TableRow &row : imported.rows) {
        named.insert(row.key);
        const StoredRow *known = current.find(row.key);
        const std::uint64_t version = known == nullptr ? 0 : known->row.version;
        const std::uint64_t expected = imported.hasVersions ? row.version : version;
        const TableRow before = known == nullptr ? TableRow{.key = row.key} : known->row;
        const std::vector<CellChange> cells = changedCells(before, row, known == nullptr);
        if (cells.empty()) {
            ++result.unchanged;
            continue;
        }
        const RowChangeKind kind = known == nullptr ? RowChangeKind::Added : RowChangeKind::Changed;
        result.changes.push_back({kind, row.key, cells, expected != version});
        result.edits.push_back({row, expected, false});
    }
    if (missing == MissingRows::Remove)
        addRemoved(current, named, result);
    std::sort(result.changes.begin(), result.changes.end(),
              [](const RowChange &left, const RowChange &right) { return left.key < right.key; });
    return result;
}

} // namespace lavenderthread::state::table
