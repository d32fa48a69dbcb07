#include "coordination/directory/LeavingPlan.h"

#include <algorithm>

namespace lavenderthread::coordination::directory {

namespace {

// The answer to a long prompt takes half of the time: one that is taken later is cut by the end.
constexpr int takenEighths = 3;
constexpr int eighths = 8;
// For the farewell, and for a process that is slow to end.
constexpr state::Duration killMargin = std::chrono::milliseconds(700);

} // namespace

LeavingPlan LeavingPlan::within(state::Duration termination)
{
    LeavingPlan plan;
    plan.takesCalls = termination * takenEighths / eighths;
    plan.ends = std::max(plan.takesCalls, termination - killMargin);
    return plan;
}

} // namespace lavenderthread::coordination::directory
