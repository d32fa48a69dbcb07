// The command line; main() of each deployment hands it what its wire supplies.
#pragma once

#include "program/RelayCodec.h"

namespace lavenderthread::program {

// Runs the command and gives the exit code of the process.
int runCommandLine(int argc, char **argv, const Deployment &deployment);

} // namespace lavenderthread::program
