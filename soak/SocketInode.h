// Finds out which socket of this machine is one end of a connection.
#pragma once

#include "state/Address.h"

#include <cstdint>
#include <optional>

namespace lavenderthread::soak {

// The inode of the connected TCP socket at `local`, whose peer is `remote`; nothing if there is
// none. Asks the system for that socket alone: its list of all sockets takes long to read.
std::optional<std::uint32_t> inodeOfSocket(const state::Address &local,
                                           const state::Address &remote);

} // namespace lavenderthread::soak
