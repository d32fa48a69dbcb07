// Placement of several prompts, one after another, on one view of the fleet.
//
// Entries start long prompts at the same time without asking each other. Each of them goes through
// the waiting prompts of all entries in their common order and gives every prompt its engines; the
// engines of a prompt are not free for those behind it. So all entries divide the free engines in
// the same way, and a prompt doesn't wait for the entry of the one before it to act.
#pragma once

#include "coordination/routing/PassCandidate.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace lavenderthread::coordination::routing {

// Selects engines for the request among candidates in the order that all entries share; see
// placeByPasses() on engine views.
std::optional<PassChoice> placeByPasses(const std::vector<PassCandidate> &candidates,
                                        const PassRequest &request,
                                        const PassPlacementSettings &settings);

// Keeps engines for a request that has to wait; see holdForLong().
bool holdByPasses(std::vector<PassCandidate> &candidates, const PassRequest &request,
                  const PassPlacementSettings &settings);

class PassSchedule
{
public:
    // `engines` as for placeByPasses(); `longDemand` as in PassRequest.
    PassSchedule(const std::vector<const EngineView *> &engines, double longDemand,
                 const PassPlacementSettings &settings);

    // Places the request on what earlier ones left free. Returns nullopt if it has to wait; the
    // engines that it needs are then kept from later ones, or small prompts would take each engine
    // that becomes free and a large one would never find enough of them.
    std::optional<PassChoice> place(PassRequest request);
    // Whether no engine is left.
    bool isFull() const { return this->full; }

private:
    void occupy(const PassChoice &choice, const PassRequest &request);
    PassCandidate *find(const state::EndpointId &engine);

    std::vector<PassCandidate> candidates;
    std::unordered_map<state::EndpointId, std::size_t> indexes; // into `candidates`
    double longDemand;
    PassPlacementSettings settings;
    bool full = false;
};

} // namespace lavenderthread::coordination::routing
