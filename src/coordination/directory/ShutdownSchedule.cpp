#include "coordination/directory/ShutdownSchedule.h"

#include <algorithm>

namespace lavenderthread::coordination::directory {

namespace {

// The answer to a long prompt takes half of the termination time. A call accepted later than this
// share would be cut off when the process exits.
constexpr int acceptEighths = 3;
constexpr int eighthsPerWhole = 8;
// Time for the deregistration and for a process that exits slowly.
constexpr state::Duration killMargin = std::chrono::milliseconds(700);

} // namespace

ShutdownSchedule ShutdownSchedule::within(state::Duration termination)
{
    ShutdownSchedule plan;
    plan.acceptCallsFor = termination * acceptEighths / eighthsPerWhole;
    plan.exitAfter = std::max(plan.acceptCallsFor, termination - killMargin);
    return plan;
}

} // namespace lavenderthread::coordination::directory
