// Selects the members that an entry tells about its work on engines.
#pragma once

#include "coordination/membership/MemberTable.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lavenderthread::coordination::directory {

// Returns the other live members that place requests on the same engines as `self`. A relay shares
// its work with relays only: control members of such a deployment place none.
std::vector<const membership::MemberRecord *> workPeers(const membership::MemberTable &members,
                                                        const state::VmId &self);

// Finds the peers that have missed what was shared so far.
class PeerArrivals
{
public:
    // Returns the peers that were not among those of the last call, or have started again since.
    std::vector<state::VmId> update(const std::vector<const membership::MemberRecord *> &peers);

private:
    std::map<state::VmId, std::uint64_t> present; // with their incarnations
};

} // namespace lavenderthread::coordination::directory
