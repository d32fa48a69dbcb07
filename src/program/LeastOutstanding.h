// The plainest scheduler: the live engine with the fewest requests of this entry. It serves as the
// baseline of measurements.
#pragma once

#include "program/EndpointRegistry.h"
#include "program/Scheduler.h"

#include <memory>

namespace lavenderthread::program {

Scheduler makeLeastOutstanding(std::shared_ptr<EndpointRegistry> registry);

} // namespace lavenderthread::program
