// State of one engine as an entry estimates it: description, last load report, requests that this
// entry and its peers dispatched to it, and the contents of its prefix cache.
#pragma once

#include "coordination/routing/ColdAccess.h"
#include "coordination/routing/PolicySettings.h"
#include "coordination/routing/PrefixIndex.h"
#include "coordination/routing/SendLimit.h"
#include "coordination/routing/WorkNote.h"
#include "state/Endpoint.h"
#include "state/Time.h"
#include "state/routes/EngineProfile.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace lavenderthread::coordination::routing {

// A request, or a helper's share of one, that is believed to be on an engine.
struct ResidentWork
{
    std::uint64_t requestHash = 0;
    std::uint8_t priority = 0;
    double prefillLeft = 0; // estimated tokens
    double outputLeft = 0;  // estimated tokens
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t memoryTokens = 0;
    bool decoding = false;
    state::Instant expires;
    // Longest gap between two events that the caller tolerates; 0: unknown.
    double toleratedPauseSeconds = 0;
    bool isHelperWork = false; // this engine prefills only a part of the prompt, for another engine
};

// Tracks the work on an engine from work notes and load reports, and estimates how long new work
// would wait there. Between two updates the estimated work proceeds at the announced rates.
class EngineView
{
public:
    EngineView(state::EndpointDescription announced, const PolicySettings &policy);

    const state::EndpointDescription &description() const { return this->endpoint; }
    const PrefixIndex &prefixes() const { return this->prefixIndex; }
    PrefixIndex &prefixes() { return this->prefixIndex; }
    std::span<const ResidentWork> residentWork() const { return this->work; }

    // Replaces the description. A newer incarnation discards the work and the prefix cache.
    void applyAnnouncement(state::EndpointDescription announced);
    // Timing of the engine's passes, if operators have declared it.
    const std::optional<state::routes::EngineProfile> &profile() const
    {
        return this->declaredProfile;
    }
    void setProfile(std::optional<state::routes::EngineProfile> profile)
    {
        this->declaredProfile = profile;
    }
    // Adds the part of a dispatched prompt that this engine prefills as a helper, and the memory
    // that it reserves for it.
    void addHelperWork(const WorkNote &note, std::uint32_t memoryTokens, state::Instant now);
    // Completes the helper work for a request that decodes or has ended. No effect without any.
    void completeHelperWork(std::uint64_t requestHash, WorkStage stage, state::Instant now);
    // Sets the rate of requests that the engine accepts from all entries; nothing: any rate.
    void limitSends(std::optional<double> perSecond, state::Instant now, std::uint64_t seed);
    // The engine wants no request from this entry until then. A later time replaces an earlier one.
    void restUntil(state::Instant until);
    // The engine has refused a request as full: it is not believed to have room until then, or
    // until its next load report.
    void fullUntil(state::Instant until);
    bool hasRefusedAsFull() const { return this->advancedTo < this->refusesUntil; }
    // What this entry may send while the engine is cold; nothing: it is warm or has no limit then.
    void limitCold(const std::optional<ColdShare> &share, state::Instant now);
    // This entry sends the engine a request, or is about to.
    void recordOwnSend(state::Instant now);
    bool isCold() const; // Call advance(now) first.
    // How many requests may be sent to it now. Call advance(now) first.
    std::size_t sendsAvailable() const;
    // When one may be sent; in the past if it accepts any rate.
    state::Instant nextSend() const;
    void apply(const WorkNote &note, state::Instant now);
    void apply(const state::LoadReport &report, state::Instant now);
    void advance(state::Instant now); // estimates the progress of the work up to now

    double prefillSeconds(double tokens) const;
    // Prefill that runs before a new request of that priority. Call advance(now) first.
    double prefillSecondsAhead(std::uint8_t priority) const;
    double prefillSecondsLeft() const; // of all work, as engine time
    double prefillTimeShare() const;   // of engine time, 0 to 1; decoding takes the rest
    double decodeStepSeconds() const;
    // Memory that known work and, unless peers share work notes, the last report do not claim.
    std::uint64_t freeTokens() const;
    std::uint32_t outstandingRequests() const; // requests in the last report and dispatched since

    bool draining = false;
    bool suspected = false; // attempts on it fail; it gets no new work for a while
    bool ended = false;     // another endpoint has the address of this incarnation

private:
    void insert(ResidentWork resident);
    void dropExpired(state::Instant now);

    state::EndpointDescription endpoint;
    std::optional<state::routes::EngineProfile> declaredProfile;
    PrefixIndex prefixIndex;
    double reportSlackTokens; // completed prefill that a late report may still count
    bool peersShareWork;
    double decodeSlowdownDuringPrefill;

    std::optional<SendLimit> sendLimit; // of this incarnation; none: it accepts any rate
    std::optional<ColdLimit> coldLimit; // of this incarnation
    state::Instant restsUntil{};        // of this incarnation
    state::Instant refusesUntil{};      // of this incarnation
    std::vector<ResidentWork> work;     // ordered by priority, then by arrival
    // Tokens reported beyond the known work; decreases with time.
    double unattributedPrefillTokens = 0;
    std::uint64_t reportedMemory = 0;
    std::uint32_t reportedRequests = 0;
    std::uint32_t dispatchedSinceReport = 0;
    std::uint64_t reportSequence = 0;
    state::Instant advancedTo{};
};

} // namespace lavenderthread::coordination::routing
