// Directory of the transparent relay: tells its callers where to connect.
#pragma once

#include "coordination/membership/MemberTable.h"
#include "coordination/routing/ColdAccess.h"
#include "coordination/routing/PeerOrder.h"

#include <vector>

namespace lavenderthread::coordination::directory {

// Returns the relay addresses of ready members: those in the callers' failure domain if there are
// enough of them to tolerate the loss of one, otherwise all. Members without paths to endpoints are
// returned only if all are without, and suspect members only if there are no others, because a
// caller that connects to a dead node loses a second.
std::vector<state::Address> relayAddresses(const membership::MemberTable &members,
                                           const state::FailureDomain &callers);

// Returns the entry addresses of the other ready relays that reach endpoints, for requests that
// `self` can't send itself. Empty if `self` is not listed.
routing::RelayPeers relayPeers(const membership::MemberTable &members, const state::VmId &self);

// Returns all members that relay requests and have not left, dead or alive. `complete`: this member
// has got the state of the others.
routing::RelayEntries relayEntries(const membership::MemberTable &members, bool complete);

} // namespace lavenderthread::coordination::directory
