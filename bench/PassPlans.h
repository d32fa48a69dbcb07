// Days for PassFleetRun: load that swings between many brief and many long prompts.
#pragma once

#include "PassFleetRun.h"

namespace lavenderthread::bench {

// Ten seconds of long prompts, ten of brief ones, and so on.
PassPlan heavyDay(std::uint64_t seed);
// The same on the fleet of the next size: more engines with fewer places each, many more entries.
PassPlan grownHeavyDay(std::uint64_t seed);
// Again larger: one long prompt uses a tenth of the engines, and dozens wait at the same time.
PassPlan largeHeavyDay(std::uint64_t seed);
// Engines with half of that memory, which one long prompt fills, and dearer pairs.
PassPlan smallMemoryDay(std::uint64_t seed);
PassPlan grownSmallMemoryDay(std::uint64_t seed);

// The latter with twice its load for ten seconds.
PassPlan burstDay(std::uint64_t seed);

// The second of them, with all entries killed at once while long prompts come.
PassPlan restartDay(std::uint64_t seed);

// A deployment drawn by the seed: engines and their speeds, entries, classes, targets, the load and
// its swings, the delay and the loss of notes. No setting may be fitted to a single one of them.
PassPlan drawnDay(std::uint64_t seed);

} // namespace lavenderthread::bench
