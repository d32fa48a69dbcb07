// Directory of the transparent relay: tells its callers where to connect.
#pragma once

#include "coordination/membership/MemberTable.h"

#include <vector>

namespace lavenderthread::coordination::directory {

// Returns the relay addresses of ready members: those in the callers' failure domain if there are
// enough of them to tolerate the loss of one, otherwise all. Suspect members are returned only if
// there are no others, because a caller that connects to a dead node loses a second.
std::vector<state::Address> relayAddresses(const membership::MemberTable &members,
                                           const state::FailureDomain &callers);

} // namespace lavenderthread::coordination::directory
