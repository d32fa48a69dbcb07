// One process of the system: connects the entry with scheduling, membership and control, runs the
// threads, and shuts down gracefully on a signal.
#pragma once

#include "program/RelayCodec.h"
#include "program/Settings.h"

#include <string>

namespace lavenderthread::program {

// Runs until the graceful shutdown that SIGTERM or SIGINT starts is complete; a second signal ends
// it at once. SIGHUP reads and checks `settingsFile` again. Returns only errors of the start, such
// as Unavailable for an address in use.
state::Result<void> runNode(const Settings &settings, const std::string &settingsFile,
                            const Deployment &deployment);

} // namespace lavenderthread::program
