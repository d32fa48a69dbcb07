#include "coordination/relay/PathChoice.h"

namespace lavenderthread::coordination::relay {

bool shouldLeaveOwnPaths(routing::PathState paths, const ConnectionFailures &failures,
                         bool severalDomains)
{
    const std::uint32_t all = failures.ended + failures.timedOut;
    if (paths != routing::PathState::Doubtful || all == 0)
        return paths == routing::PathState::Lost;
    return all > 1 || failures.timedOut > 0 || !severalDomains;
}

} // namespace lavenderthread::coordination::relay
