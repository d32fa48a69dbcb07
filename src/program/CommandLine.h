// The command line. main() of each deployment passes in its Deployment.
#pragma once

#include "program/RelayCodec.h"

namespace lavenderthread::program {

// Runs the command and returns the exit code of the process.
int runCommandLine(int argc, char **argv, const Deployment &deployment);

} // namespace lavenderthread::program
