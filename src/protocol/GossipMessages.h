// Datagram form of gossip messages: cereal, with one-byte lengths, since a datagram is small and
// most of it is short names. Sealed under the use "gossip".
#pragma once

#include "coordination/membership/GossipMessage.h"
#include "protocol/Seal.h"

#include <string>
#include <string_view>

namespace lavenderthread::protocol {

// No datagram of gossip is larger, sealed.
constexpr std::size_t maximumGossipBytes = 1'200;

// Error: InvalidArgument, step "gossip.encode", for a message that does not fit a datagram.
state::Result<std::string> sealGossip(const SealKeys &keys,
                                      const coordination::membership::GossipMessage &message);

// Errors: Unauthorized if no key matches; Unsupported for another version; Corrupt for anything
// that does not decode whole or holds values out of range.
state::Result<coordination::membership::GossipMessage> unsealGossip(const SealKeys &keys,
                                                                    std::string_view datagram);

} // namespace lavenderthread::protocol
