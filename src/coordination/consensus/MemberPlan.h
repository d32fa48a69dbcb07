// Which control members the cluster should have, from those that live: a machine that is replaced
// or comes back with an empty disk takes its place again without an operator.
#pragma once

#include "coordination/consensus/Members.h"
#include "state/Time.h"

#include <map>
#include <vector>

namespace lavenderthread::coordination::consensus {

// A process with a data folder that membership knows to be alive.
struct Candidate
{
    state::VmId id; // of its data folder
    state::Address address;

    auto operator<=>(const Candidate &) const = default;
};

struct MemberPlanSettings
{
    std::size_t wantedVoters = 3; // 2 f + 1 for f losses at once
    // A member that is away for less is waited for: restarts and short partitions end before it,
    // and copying the state to a newcomer costs more than waiting.
    state::Duration replaceAfter = std::chrono::seconds(4);
};

// Used by the leader; it starts anew with each term.
class MemberPlan
{
public:
    explicit MemberPlan(MemberPlanSettings chosen)
        : settings(chosen)
    {}

    // The set to move to, one change at a time. Live members stay. A member that is away is dropped
    // only when enough others live, or when another identity lives at its address: its disk is gone
    // for good then, and until it leaves the set it counts against every quorum.
    MemberSet target(const MemberSet &current, const std::vector<Candidate> &live,
                     state::Instant now);

private:
    bool isGone(const Member &member, const std::vector<Candidate> &live, state::Instant now);

    MemberPlanSettings settings;
    std::map<state::VmId, state::Instant> awaySince; // of members that are not live
};

} // namespace lavenderthread::coordination::consensus
