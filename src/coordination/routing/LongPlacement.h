// Placing a long prompt on its part of the engines: one answers, others help to prefill.
#pragma once

#include "coordination/routing/PassCandidate.h"

#include <span>

namespace lavenderthread::coordination::routing {

// `candidates`: the engines for long requests, in the shared order; `briefPart`: the others.
// Nothing if the prompt has to wait: engines share their time among all parts that they prefill at
// once, so one that starts beside others ends late and makes them late.
std::optional<PassChoice> placeLong(std::span<const PassCandidate> candidates,
                                    std::span<const PassCandidate> briefPart,
                                    const PassRequest &request,
                                    const PassPlacementSettings &settings);

} // namespace lavenderthread::coordination::routing
