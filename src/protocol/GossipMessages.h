// Encodes gossip messages as datagrams with cereal. Lengths take one byte, because datagrams are
// small and mostly contain short names. The seal context is "gossip".
#pragma once

#include "coordination/membership/GossipMessage.h"
#include "protocol/Seal.h"

#include <string>
#include <string_view>

namespace lavenderthread::protocol {

// Size limit of a gossip datagram, including the seal.
constexpr std::size_t maximumGossipBytes = 1'200;

// Error: InvalidArgument, step "gossip.encode", for a message that does not fit a datagram.
state::Result<std::string> sealGossip(const SealKeys &keys,
                                      const coordination::membership::GossipMessage &message);

// Errors: Unauthorized if no key matches; Unsupported for another version; Corrupt for anything
// that does not decode completely or has values out of range.
state::Result<coordination::membership::GossipMessage> unsealGossip(const SealKeys &keys,
                                                                    std::string_view datagram);

} // namespace lavenderthread::protocol
