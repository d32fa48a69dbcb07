// One edit of one row, applied only if the row still has the version that its author read.
#pragma once

#include "state/TableRow.h"

#include <compare>
#include <cstdint>

namespace lavenderthread::state::table {

struct RowEdit
{
    TableRow row;                      // its version member is ignored
    std::uint64_t expectedVersion = 0; // 0: the row must not exist yet
    bool remove = false;               // then only row.key is used

    auto operator<=>(const RowEdit &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->row, this->expectedVersion, this->remove);
    }
};

} // namespace lavenderthread::state::table
