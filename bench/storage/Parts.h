// The parts of the storage bench.
#pragma once

#include "storage/Figures.h"

#include <string>

namespace lavenderthread::bench {

// Claims a second with sync, batched and not, beside a plain append-and-sync loop.
void measureCommits(const std::string &folder, Figures &figures);
// Start after 500 and 100 000 changes, sizes on the disk.
void measureRestart(const std::string &folder, Figures &figures);
// Memory, snapshot and processor time by number of rows and of claims.
void measureState(Figures &figures);

} // namespace lavenderthread::bench
