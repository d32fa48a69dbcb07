#include "program/ShedLog.h"

#include "program/Log.h"

namespace lavenderthread::program {

void ShedLog::write(const transport::ConnectionPool::Counts &counts, state::Instant now)
{
    constexpr std::chrono::seconds interval{1};
    const bool isSame = counts.closedForConnections == this->written.closedForConnections
                        && counts.closedForBytes == this->written.closedForBytes
                        && counts.refusedConnections == this->written.refusedConnections
                        && counts.refusedBytes == this->written.refusedBytes;
    if (isSame || now - this->writtenAt < interval)
        return;
    logEvent(LogLevel::Warning, "connections.shed",
             {{"closed_for_connections",
               counts.closedForConnections - this->written.closedForConnections},
              {"closed_for_bytes", counts.closedForBytes - this->written.closedForBytes},
              {"refused_connections", counts.refusedConnections - this->written.refusedConnections},
              {"refused_requests", counts.refusedBytes - this->written.refusedBytes},
              {"connections", std::uint64_t(counts.connections)},
              {"bytes", std::uint64_t(counts.bytes)}});
    this->written = counts;
    this->writtenAt = now;
}

} // namespace lavenderthread::program
