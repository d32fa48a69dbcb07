// One running process of the system: wires the entry to the parts that decide, runs the threads,
// and leaves in order when told to.
#pragma once

#include "program/RelayCodec.h"
#include "program/Settings.h"

#include <string>

namespace lavenderthread::program {

// Runs until SIGTERM or SIGINT has been handled in full; a second signal ends it at once. SIGHUP
// reads `settingsFile` again. Errors are those of starting: Unavailable for a busy address.
state::Result<void> runNode(const Settings &settings, const std::string &settingsFile,
                            const Deployment &deployment);

} // namespace lavenderthread::program
