// Chooses the control members of the cluster from the processes that are alive. A VM that is
// replaced or returns with an empty disk becomes a member again without an operator.
#pragma once

#include "coordination/consensus/Members.h"
#include "state/Time.h"

#include <map>
#include <vector>

namespace lavenderthread::coordination::consensus {

// A process with a data folder that membership reports as alive.
struct MemberCandidate
{
    state::VmId id; // stored in its data folder
    state::Address address;

    auto operator<=>(const MemberCandidate &) const = default;
};

struct MemberPlanSettings
{
    // 2 f + 1 to survive f simultaneous losses of a disk; a repair never goes below it.
    std::size_t leastVoters = 3;
    // Each voter costs the leader a message each heartbeat and a copy of each entry.
    std::size_t mostVoters = 9;
    // A member that is away for less than this is not replaced: restarts and short partitions end
    // earlier, and copying the state to a new member costs more than waiting.
    state::Duration replaceAfter = std::chrono::seconds(4);
};

// Used by the leader. A new plan without history starts with each term.
class MemberPlan
{
public:
    explicit MemberPlan(MemberPlanSettings chosen)
        : settings(chosen)
    {}

    // The member set to reach by single changes. All live control members vote, up to mostVoters:
    // if only some did, the loss of most of these would stop decisions although most control
    // members run. A member that is away is removed only if enough others are alive: after
    // replaceAfter, or at once if another identity is alive at its address. Its disk is then lost
    // for good, and until its removal it counts against every quorum.
    MemberSet target(const MemberSet &current, const std::vector<MemberCandidate> &live,
                     state::Instant now);

private:
    bool isReplaced(const Member &member, const std::vector<MemberCandidate> &live) const;
    bool isGone(const Member &member, const std::vector<MemberCandidate> &live, state::Instant now);

    MemberPlanSettings settings;
    std::map<state::VmId, state::Instant> awaySince; // of members that are not live
};

} // namespace lavenderthread::coordination::consensus
