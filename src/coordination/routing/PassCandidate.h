// Summary of one engine that works in passes, for one placement decision.
#pragma once

#include "coordination/routing/PassPlacement.h"

#include <limits>

namespace lavenderthread::coordination::routing {

struct PassCandidate
{
    const EngineView *view = nullptr;
    double prefillTimeShare = 1;      // engine seconds of prefill per second, beside its decoding
    double waitingSeconds = 0;        // seconds until the waiting prefill is done
    double ownWaitingSeconds = 0;     // engine seconds of it for requests that this engine answers
    double contextTokens = 0;         // prompt tokens of the requests that it answers
    std::size_t answeredRequests = 0; // requests that it answers
    std::size_t briefRequests = 0;    // requests among them with a tight pause
    std::size_t longRequests = 0;     // the other ones among them
    std::size_t helperParts = 0;      // parts for other engines whose prompt has no first token yet
    std::size_t pendingRequests = 0;  // requests that it answers and that have no first token yet
    // Seconds of prefill that one pass may contain before a caller whose answer is decoded here
    // sees a longer pause than it tolerates. Callers with tight pauses are not counted.
    double prefillBudgetSeconds = std::numeric_limits<double>::max();
    std::uint64_t freeTokens = 0; // memory that no request claims
    // Requests that may be sent to it, by the rate that it accepts from all entries.
    std::size_t sendsAvailable = std::numeric_limits<std::size_t>::max();
    bool cold = false;
    bool usable = false;
    bool full = false; // has refused a request as full a moment ago; others have a free slot
    bool held = false; // kept free for a long prompt that waits for it

    const state::routes::EngineProfile &profile() const { return *this->view->profile(); }
    bool hasSlot() const
    {
        const bool isFull = this->answeredRequests >= this->profile().slots;
        return !isFull && !this->full && this->sendsAvailable != 0;
    }
    bool hasRoom(const PassRequest &request) const
    {
        return this->hasSlot() && this->freeTokens >= request.memoryTokens;
    }
    // Time of one decoding pass without prefill, for the present requests and with this one added.
    double passSeconds() const;
    double passSecondsWith(const PassRequest &request) const;
    // Adds the work of a prompt that is placed here, until its note arrives.
    void addHelperPart(double partSeconds, std::uint64_t memoryTokens);
    void addAnswer(double partSeconds, std::uint64_t memoryTokens, const PassRequest &request);
    // Load in seconds: the waiting prefill, which delays a new request directly, plus a cost for
    // each request answered, which lengthens the passes and may be joined by more prefill.
    double loadSeconds() const;
};

// Returns the engines that may receive the request, in the given order. Ended incarnations are left
// out, and suspected engines unless most engines are suspected: then the fault is more likely in
// this entry.
std::vector<PassCandidate> passCandidates(const std::vector<const EngineView *> &engines,
                                          const std::vector<state::EndpointId> &avoid,
                                          const PassPlacementSettings &settings);

// Returns the seconds from the start of the pass that ends the prefill to the first event.
double firstEventPassSeconds(const PassCandidate &answering, const PassRequest &request);

// Fills in the engine and the predictions of a choice whose parts are known. `waiting`: seconds
// until the earlier prefill is done.
PassChoice completeChoice(PassChoice choice, const PassCandidate &answering, double waiting,
                          const PassRequest &request);

} // namespace lavenderthread::coordination::routing
