// Where callers of the transparent relay should connect.
#pragma once

#include "coordination/membership/MemberTable.h"

#include <vector>

namespace lavenderthread::coordination::directory {

// The members that relay and are ready: those of the callers' own failure domain if they are enough
// to bear the loss of one, else all. Suspects are named only if nobody else is left: a caller that
// meets a dead node loses a second.
std::vector<state::Address> relayAddresses(const membership::MemberTable &members,
                                           const state::FailureDomain &callers);

} // namespace lavenderthread::coordination::directory
