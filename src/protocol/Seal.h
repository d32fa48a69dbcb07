// Keyed hash over messages between the system's processes, so that only holders of a cluster key
// can speak. It authenticates; it does not hide.
#pragma once

#include "state/Error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::protocol {

constexpr std::size_t sealBytes = 16; // HMAC-SHA-256, cut to 128 bits

// The first key seals; every key is accepted, so keys rotate by adding the new one at the end
// everywhere, moving it to the front everywhere, then removing the old one.
struct SealKeys
{
    std::vector<std::string> keys; // never empty in a running process
};

// `bytes` followed by its seal. `context` names the use ("gossip", "consensus", "event-id"), so
// that a message of one use can't be replayed as another.
std::string seal(const SealKeys &keys, std::string_view context, std::string_view bytes);

// The bytes without the seal. Error: Unauthorized if no key matches.
state::Result<std::string> unseal(const SealKeys &keys, std::string_view context,
                                  std::string_view sealed);

} // namespace lavenderthread::protocol
