// One engine as an entry sees it: its description, its last report, the work that this entry and
// its peers sent there, and its prefix cache.
#pragma once

#include "coordination/routing/PolicySettings.h"
#include "coordination/routing/PrefixIndex.h"
#include "coordination/routing/WorkNote.h"
#include "state/Endpoint.h"
#include "state/Time.h"
#include "state/routes/EngineProfile.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace lavenderthread::coordination::routing {

// Work believed to be on an engine.
struct Resident
{
    std::uint64_t work = 0;
    std::uint8_t priority = 0;
    double prefillLeft = 0; // tokens, by estimate
    double outputLeft = 0;  // tokens, by estimate
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t memoryTokens = 0;
    bool decoding = false;
    state::Instant expires;
    double pauseSeconds = 0; // that its caller bears between two events; 0: not known
    bool helping = false;    // only a part of its prompt is prefilled here, for another engine
};

class EngineView
{
public:
    EngineView(state::EndpointDescription announced, const PolicySettings &policy);

    const state::EndpointDescription &description() const { return this->endpoint; }
    const PrefixIndex &prefixes() const { return this->prefixIndex; }
    PrefixIndex &prefixes() { return this->prefixIndex; }
    std::span<const Resident> residents() const { return this->work; }

    void announce(state::EndpointDescription announced);
    // How this engine works, where operators have declared it.
    const std::optional<state::routes::EngineProfile> &profile() const { return this->declared; }
    void setProfile(std::optional<state::routes::EngineProfile> profile)
    {
        this->declared = profile;
    }
    // The part of dispatched work that this engine, as one of its helpers, prefills, and the memory
    // that it holds for it.
    void help(const WorkNote &note, std::uint32_t memoryTokens, state::Instant now);
    // That work decodes, or has ended: what this engine prefilled for it, if it did, is over.
    void helpOver(std::uint64_t work, WorkStage stage, state::Instant now);
    void apply(const WorkNote &note, state::Instant now);
    void apply(const state::LoadReport &report, state::Instant now);
    void advance(state::Instant now); // lets the estimated work proceed up to now

    double prefillSeconds(double tokens) const;
    // Prefill that goes before a newcomer of that priority, in seconds. Needs advance(now).
    double secondsAhead(std::uint8_t priority) const;
    double prefillSecondsLeft() const; // of all residents, as engine time
    double prefillSpeed() const;       // engine time for prefill in a second, beside decoding
    double decodeStepSeconds() const;
    std::uint64_t freeTokens() const;  // memory neither known nor reported as claimed
    std::uint32_t outstanding() const; // requests, own and reported

    bool draining = false;
    bool suspected = false; // its attempts fail; it gets no new work for a while

private:
    void insert(Resident resident);
    void dropExpired(state::Instant now);

    state::EndpointDescription endpoint;
    std::optional<state::routes::EngineProfile> declared;
    PrefixIndex prefixIndex;
    double reportSlackTokens; // known work older than a report may be this much
    bool peersShareWork;
    double slowdownBesidePrefill;

    std::vector<Resident> work; // ordered by priority, then by arrival
    double unknownPrefill = 0;  // tokens reported beyond the known work; drains with time
    std::uint64_t reportedMemory = 0;
    std::uint32_t reportedRequests = 0;
    std::uint32_t dispatchedSinceReport = 0;
    std::uint64_t reportSequence = 0;
    state::Instant advancedTo{};
};

} // namespace lavenderthread::coordination::routing
