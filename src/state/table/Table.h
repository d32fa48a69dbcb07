// The operators' table as an immutable value that is cheap to copy and to publish with tens of
// thousands of rows.
#pragma once

#include "state/Ids.h"
#include "state/TableRow.h"
#include "state/Time.h"
#include "state/table/PersistentMap.h"

#include <compare>

namespace lavenderthread::state::table {

// A row with its last editor, so that the author of a conflicting edit learns who changed the row
// and when, however old that change is.
struct StoredRow
{
    TableRow row;
    OperatorId changedBy;
    WallTime changedAt;

    auto operator<=>(const StoredRow &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->row, this->changedBy, this->changedAt);
    }
};

struct StoredRowKey
{
    const TableKey &operator()(const StoredRow &stored) const { return stored.row.key; }
};

using Table = PersistentMap<TableKey, StoredRow, StoredRowKey>;

} // namespace lavenderthread::state::table
