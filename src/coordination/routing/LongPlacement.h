// Placement of a long prompt on the engines for long requests: one answers, others help to prefill.
#pragma once

#include "coordination/routing/PassCandidate.h"

#include <span>

namespace lavenderthread::coordination::routing {

// Selects the engines for a long prompt. `candidates` are the engines for long requests, in the
// shared order, and `briefGroup` the engines for brief ones. Returns nullopt if the prompt has to
// wait: an engine divides its time among all parts that it prefills at once, so a prompt that
// starts beside others ends late and delays them too.
std::optional<PassChoice> placeLong(std::span<const PassCandidate> candidates,
                                    std::span<const PassCandidate> briefGroup,
                                    const PassRequest &request,
                                    const PassPlacementSettings &settings);

// Keeps the engines that the waiting prompt is to use, those that are free first, from prompts that
// rank behind it. Returns whether any engine is left for them.
bool holdForLong(std::span<PassCandidate> candidates, const PassRequest &request,
                 const PassPlacementSettings &settings);

} // namespace lavenderthread::coordination::routing
