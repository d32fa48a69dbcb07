// Finds the parts of requests under which endpoints crash, from the requests that were cut off by
// each crash, and decides which requests are sent. Every entry derives the same blocks from the
// same reports, so entries exchange reports and nothing has to be agreed on.
#pragma once

#include "coordination/quarantine/QuarantineUpdate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lavenderthread::coordination::quarantine {

struct QuarantineSettings
{
    // Crashes under one part before it is blocked.
    std::uint32_t crashesUntilBlocked = 3;
    // The same for a whole request, if the crashes have nothing in common with other requests.
    std::uint32_t crashesUntilRequestBlocked = 2;
    // From so many on, a request that was cut off is not sent to another endpoint.
    std::uint32_t crashesUntilNoRepeat = 2;
    // Endpoints that end at the same moment have a cause in common, which is no request: they count
    // once. A request that was sent after one end is evidence of its own at the next.
    state::Duration sameMoment = std::chrono::milliseconds(100);
    // After this time, and each further trial after the factor times as long, one request is sent.
    // The first one comes soon, as it ends a block of a part that only happened to be there.
    state::Duration firstTrialAfter = std::chrono::seconds(1);
    // The same for a block of a digest, which hits few requests: by then most endpoints that have
    // crashed are back, and a service of few can bear the next crash.
    state::Duration firstTrialOfDigestAfter = std::chrono::seconds(5);
    std::uint32_t trialDelayFactor = 30; // of `firstTrialAfter`, for both
    std::uint32_t maximumTrials = 3;
    // Requests that share the body of a blocked one are sent one at a time, this long apart, until
    // one is answered or crashes its endpoint.
    state::Duration sameBodyInterval = std::chrono::seconds(1);
    // After so long without a crash a part is sent again in any case.
    state::Duration memory = std::chrono::hours(24);
    std::size_t maximumCrashes = 64;         // remembered; the oldest are dropped first
    std::size_t maximumRequestsOfCrash = 32; // with different parts
    std::size_t maximumClearedParts = 1'024;
    std::size_t maximumReportsOfBlock = 4; // to peers; as many as a block needs, and one more
    // For so long, and so many, parts that were cleared are told to peers.
    state::Duration clearedToldFor = std::chrono::seconds(5);
    std::size_t maximumClearedTold = 8;
};

// A crash that cut off requests with a part.
struct CrashOfPart
{
    state::Instant at;
    CrashId id;
    state::Instant sentAt; // when the last of these requests was sent
    bool hasBegun = false; // all requests that it cut off had got some of their answers

    auto operator<=>(const CrashOfPart &) const = default;
};

// Requests with all of these parts are refused.
struct Block
{
    state::ServiceName service;
    // Sorted. More than one if these were always together in the requests that were cut off.
    std::vector<state::RequestPart> parts;
    std::vector<CrashOfPart> crashes; // under which it was found, in the order of time; never none

    state::Instant firstCrashAt() const { return this->crashes.front().at; }
    state::Instant lastCrashAt() const { return this->crashes.back().at; }
    bool isOfDigest() const;
    auto operator<=>(const Block &) const = default;
};

enum class SendVerdict : std::uint8_t {
    Send,
    SendAsTrial, // if startTrial() is called and its update is sent to the peers
    Refuse,
};

struct SendDecision
{
    SendVerdict verdict = SendVerdict::Send;
    std::optional<Block> block;   // unless Send
    state::Duration retryAfter{}; // of a refusal: until the next trial
};

enum class ReportResult : std::uint8_t {
    New,
    Known,
    Cleared, // none of its parts is suspect any more
};

class RequestQuarantine
{
public:
    explicit RequestQuarantine(QuarantineSettings chosen = {})
        : settings(chosen)
    {}

    ReportResult apply(const CrashReport &report, state::Instant now);
    // These return whether it was news.
    bool apply(const PartCleared &cleared, state::Instant now);
    bool apply(const TrialStarted &trial, state::Instant now);

    // Whether anything is suspect; if not, all requests may be sent.
    bool hasSuspects() const { return !this->crashes.empty(); }
    // An endpoint has survived an answer to such a request: clears its parts and returns what to
    // tell the peers.
    std::vector<PartCleared> answerSurvived(const state::ServiceName &service,
                                            const std::vector<state::RequestPart> &parts,
                                            state::Instant now);
    // The parts that were cleared lately, for peers that may have missed it.
    std::vector<PartCleared> recentlyCleared(state::Instant now) const;
    bool knows(const CrashId &crash) const { return this->crashes.contains(crash); }

    SendDecision decide(const state::ServiceName &service,
                        const std::vector<state::RequestPart> &parts, state::Instant now) const;
    TrialStarted startTrial(const Block &block, state::Instant now);
    // Whether a part of it is suspect.
    bool suspects(const state::ServiceName &service,
                  const std::vector<state::RequestPart> &parts) const;
    // Whether a request that a crash has cut off may be sent to another endpoint.
    bool mayRepeat(const state::ServiceName &service,
                   const std::vector<state::RequestPart> &parts) const;

    const std::vector<Block> &blocks() const { return this->blockList; }
    // The reports by which another entry finds the same blocks.
    std::vector<CrashReport> reportsOfBlocks(state::Instant now) const;
    std::vector<TrialStarted> trialsOfBlocks(state::Instant now) const;

private:
    using PartKey = std::pair<state::ServiceName, state::RequestPart>;

    struct CutOffRequest
    {
        bool hasBegun = false;
        state::Instant sentAt;

        auto operator<=>(const CutOffRequest &) const = default;
    };
    struct Crash
    {
        state::ServiceName service;
        state::Instant at;
        // By its suspect parts, which are never none. Of several with the same parts
        // the first one that had not begun.
        std::map<std::vector<state::RequestPart>, CutOffRequest> requests;
    };
    struct Trials
    {
        std::uint32_t count = 0;
        state::Instant lastAt;
    };
    // Points to an item of `crashes`; `sentAt` as in CrashOfPart.
    struct CrashView
    {
        const std::pair<const CrashId, Crash> *crash = nullptr;
        state::Instant sentAt;

        state::Instant at() const { return this->crash->second.at; }
        const CrashId &id() const { return this->crash->first; }
    };
    // In the order of time.
    using CrashesOfParts = std::unordered_map<state::RequestPart, std::vector<CrashView>>;

    void forgetOld(state::Instant now);
    void makeRoom();
    void update(); // derives the blocks from the crashes
    void findBlocks(const state::ServiceName &service);
    CrashesOfParts crashesOfParts(const state::ServiceName &service,
                                  const std::set<CrashId> &explained) const;
    bool isConclusive(state::RequestPart part, const std::vector<CrashView> &crashes) const;
    static bool haveOtherRequestsInCommon(state::RequestPart part,
                                          const std::vector<CrashView> &crashes);
    state::Duration trialDelay(const Block &block, std::uint32_t trialsDone) const;
    static bool hasBegunAll(const Crash &crash);
    // The crashes that need not have a cause in common with the one before.
    std::uint32_t countIndependent(const std::vector<CrashView> &crashes) const;
    static bool add(Crash &crash, std::vector<state::RequestPart> parts,
                    const CutOffRequest &request);
    bool isCleared(const PartKey &part, state::Instant crashAt) const;
    bool backsBlock(const CrashId &crash) const;
    const Block *blockOf(const state::ServiceName &service,
                         const std::vector<state::RequestPart> &parts) const;
    // For requests that are not blocked, but share the body of one that is.
    SendDecision decideBySameBody(const state::ServiceName &service,
                                  const std::vector<state::RequestPart> &parts,
                                  state::Instant now) const;
    Trials trialsOf(const Block &block) const;

    QuarantineSettings settings;
    std::map<CrashId, Crash> crashes;
    std::map<PartKey, state::Instant> clearedAt; // the newest time
    std::map<PartKey, Trials> trials;            // of each part of a block
    std::vector<Block> blockList;                // derived from `crashes`
    std::set<std::pair<state::RequestPart, state::ServiceName>> suspectParts; // those in `crashes`
};

} // namespace lavenderthread::coordination::quarantine
