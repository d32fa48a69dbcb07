// Selects the members that an entry tells about its work on engines.
#pragma once

#include "coordination/membership/MemberTable.h"

#include <vector>

namespace lavenderthread::coordination::directory {

// Returns the other live members that place requests on the same engines as `self`. A relay shares
// its work with relays only: control members of such a deployment place none, and reading every
// note would take most of a small VM's processor time.
std::vector<const membership::MemberRecord *> workPeers(const membership::MemberTable &members,
                                                        const state::VmId &self);

} // namespace lavenderthread::coordination::directory
