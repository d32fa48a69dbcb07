// Message authentication between the system's processes: only holders of a cluster key can send
// valid messages. Messages are not encrypted.
#pragma once

#include "state/Error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::protocol {

constexpr std::size_t sealBytes = 16; // HMAC-SHA-256, truncated to 128 bits

// Messages are sealed with the first key, and every key is accepted. To rotate keys, append the new
// one on all nodes, then move it to the front on all nodes, then remove the old one.
struct SealKeys
{
    std::vector<std::string> keys; // never empty in a running process
};

// Returns `bytes` followed by their authentication code. `context` names the purpose ("gossip",
// "consensus", "event-id"), so that a message can't be replayed for another purpose.
std::string seal(const SealKeys &keys, std::string_view context, std::string_view bytes);

// Verifies and removes the authentication code. Error: Unauthorized if no key matches.
state::Result<std::string> unseal(const SealKeys &keys, std::string_view context,
                                  std::string_view sealed);

} // namespace lavenderthread::protocol
