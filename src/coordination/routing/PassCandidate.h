// One engine that works in passes, summed up for one decision.
#pragma once

#include "coordination/routing/PassPlacement.h"

#include <limits>

namespace lavenderthread::coordination::routing {

struct PassCandidate
{
    const EngineView *view = nullptr;
    double speed = 1;        // of prefill, beside what it decodes
    double waiting = 0;      // seconds until the prefill that is there is done
    double ownWaiting = 0;   // engine seconds of it that are for requests that it answers itself
    double context = 0;      // tokens of the requests that it answers
    std::size_t answers = 0; // requests that it answers
    std::size_t briefs = 0;  // of them with a tight pause
    std::size_t longs = 0;   // the others
    std::size_t helped = 0;  // parts for others whose prompt has no first token yet
    std::size_t pending = 0; // requests that it answers whose first token has not come
    // Seconds of prefill that one pass may have before a caller whose answer is decoded here sees a
    // pause longer than he bears; callers with tight pauses aside.
    double bearable = std::numeric_limits<double>::max();
    bool usable = false;

    const state::routes::EngineProfile &profile() const { return *this->view->profile(); }
    bool hasSlot() const { return this->answers < this->profile().slots; }
    bool hasRoom(const PassRequest &request) const
    {
        return this->hasSlot() && this->view->freeTokens() >= request.memoryTokens;
    }
    // One pass of those who are answered there, and with this request besides; without prefill.
    double passSeconds() const;
    double passSecondsWith(const PassRequest &request) const;
    // Prefill that is there delays a newcomer as it is; each request that decodes there makes the
    // passes longer and may be joined by more prefill.
    double crowding() const;
};

// The engines that may be given the request, in the order given. Where most are suspected the fault
// is more likely this entry's, and none is left out.
std::vector<PassCandidate> passCandidates(const std::vector<const EngineView *> &engines,
                                          const std::vector<state::EndpointId> &avoid,
                                          const PassPlacementSettings &settings);

// From the start of the pass that ends the prefill to the first event.
double firstEventPassSeconds(const PassCandidate &answering, const PassRequest &request);

// Fills in engine and predictions of a choice whose parts are known.
PassChoice completeChoice(PassChoice choice, const PassCandidate &answering, double waiting,
                          const PassRequest &request);

} // namespace lavenderthread::coordination::routing
