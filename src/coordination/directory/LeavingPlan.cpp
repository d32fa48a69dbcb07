#include "coordination/directory/LeavingPlan.h"

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

LeavingPlan LeavingPlan::within(state::Duration termination)
{
    LeavingPlan plan;
    plan.takesCalls = termination * acceptEighths / eighthsPerWhole;
    plan.ends = std::max(plan.takesCalls, termination - killMargin);
    return plan;
}

} // namespace lavenderthread::coordination::directory
