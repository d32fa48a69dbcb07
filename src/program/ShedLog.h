// Log lines about connections that were closed, and requests that were refused, for want of room.
#pragma once

#include "state/Time.h"
#include "transport/ConnectionPool.h"

namespace lavenderthread::program {

class ShedLog
{
public:
    // Writes a line if there were more since the last one, at most one a second.
    void write(const transport::ConnectionPool::Counts &counts, state::Instant now);

private:
    transport::ConnectionPool::Counts written;
    state::Instant writtenAt;
};

} // namespace lavenderthread::program
