// The scheduler of one entry: decides to which engine each request is sent, and when. A state
// machine without I/O: (state, event, now) -> actions.
//
// The driver passes every event with the time, in order of arrival, and carries out the actions in
// the order given. It calls handle(Tick{}, now) at nextWake() at the latest. Not thread safe: one
// Dispatcher belongs to one strand.
#pragma once

#include "coordination/admission/Events.h"
#include "coordination/admission/FairQueue.h"
#include "coordination/admission/LongPromptQueue.h"
#include "coordination/admission/OverloadControl.h"
#include "coordination/admission/RetryBudget.h"
#include "coordination/admission/RunTimes.h"
#include "coordination/routing/EarlyWork.h"
#include "coordination/routing/Fleet.h"
#include "coordination/routing/PolicySettings.h"
#include "coordination/routing/SpanPlan.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace lavenderthread::coordination::admission {

struct DispatcherHooks
{
    routing::FleetHooks fleet;
    // Global limits: charges the request to this entry's share of its table row's limits. Returns
    // nothing if granted, else the time after which to ask again. An empty hook means no limits.
    std::function<std::optional<state::Duration>(const CompletionRequest &, state::Instant)>
            acquireLimit;
    // Called once for each granted request when it ends, with the number of its output tokens.
    std::function<void(const CompletionRequest &, std::uint32_t, state::Instant)> releaseLimit;
};

struct DispatcherCounts
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t expired = 0;
    std::uint64_t finished = 0;
    std::uint64_t retried = 0;
    std::uint64_t recomputedTokens = 0; // prefilled tokens of spans that were lost with an engine
};

// Admits or refuses requests, queues them, places them on engines and retries lost attempts.
// Every request ends with at most one final answer, and its reservations and limits are released.
class Dispatcher
{
public:
    Dispatcher(state::VmId entry, const routing::PolicySettings &settings, DispatcherHooks hooks,
               std::uint64_t seed);

    std::vector<Action> handle(const Event &event, state::Instant now);
    // When the next Tick is due; nothing if only other events can change the state.
    std::optional<state::Instant> nextWake() const;

    std::size_t waiting() const { return this->queue.size(); }
    std::size_t inFlight() const { return this->activeRequests.size(); }
    const DispatcherCounts &counts() const { return this->counters; }
    const routing::Fleet &fleet() const { return this->engines; }

private:
    // How often an entry that leaves looks for requests that it can't answer any more.
    static constexpr state::Duration answerCheckPeriod = std::chrono::milliseconds(100);
    // After a refusal by an entry that leaves; another one takes the request at once.
    static constexpr state::Duration retryElsewhere = std::chrono::milliseconds(50);

    enum class Phase : std::uint8_t { Queued, Reserving, Prefilling, Decoding };

    // A request from its admission until its end, queued or on an engine.
    struct ActiveRequest
    {
        CompletionRequest request;
        std::uint64_t requestHash = 0;
        LengthClass lengthClass = LengthClass::Short;
        Phase phase = Phase::Queued;
        routing::SpanPlan plan;      // has a single part if one engine holds the prompt
        bool usesSpan = false;       // several engines hold it; each part needs a reservation
        std::size_t currentPart = 0; // index of the plan's part that is on an engine now
        std::uint32_t attempt = 0;
        std::uint32_t receivedTokens = 0;   // output tokens that the caller has received
        bool dispatched = false;            // an engine may be running it or may have run it
        state::Instant notBefore{};         // earliest time of the next placement
        state::Instant startedAt{};         // of its last dispatch, on engines that work in passes
        state::Instant renewAt{};           // when its reservations are renewed
        state::FailureDomain avoidedDomain; // of the engine that failed last
        // The same, unless it has refused the request in an answer; else empty.
        state::FailureDomain unreachableDomain;
        // Used only on engines that work in passes.
        std::vector<state::EndpointId> helpers;
        double partSeconds = 0; // prefill time at the engine and at each helper
        state::Duration predictedFirstEvent{0};
        state::Duration predictedAnswerTime{0}; // from `startedAt`, as predictedAnswerSeconds()
        routing::PlacementSnapshot placementSnapshot;
        std::optional<routing::WorkNote> dispatchNote; // the last one sent about a dispatch
        std::vector<state::EndpointId> failedEngines;  // one for each failed attempt
        // Set once a waiting long prompt has missed its target: it goes behind all others, and is
        // refused if it has not started by then.
        std::optional<state::Instant> latestStart;
        std::uint32_t runs = 0;               // failed attempts that may have executed it
        std::uint32_t endedIncarnations = 0;  // attempts at engines that another one has replaced
        std::uint32_t refusedConnections = 0; // attempts at engines that refused the connection
        // How often it left an engine that it was not sent to. Uses up no attempt.
        std::uint32_t moves = 0;
        bool retryPaid = false; // the retry budget has paid for its next attempt

        // KV memory at one of the first helpers, for a prompt that its engine can't hold.
        struct HelperReservation
        {
            routing::MemoryShare share;
            std::string lease;
            bool granted = false;
        };
        std::vector<HelperReservation> helperReservations;

        bool dependsOn(const state::EndpointId &engine) const;
        // Whether it has chosen that engine, or memory of it, and waits for reservations.
        bool reservesAt(const state::EndpointId &engine) const;
    };
    using ActiveRequests = std::unordered_map<state::RequestId, ActiveRequest>;

    // Dispatcher.cpp: request lifecycle
    void on(const RequestArrived &event);
    void on(const CallerCancelled &event);
    void on(const SlicePrefilled &event);
    void on(const TokensReceived &event);
    void on(const RequestFinished &event);
    void on(const TableChanged &event);
    void on(const Tick &event);
    void noteRunTime(const ActiveRequest &active);
    ActiveRequest *findAttempt(const state::RequestId &id, std::uint32_t attempt);
    void endRequest(const state::RequestId &id);
    void refuse(const state::RequestId &id, RefusalReason reason, state::Duration retryAfter);
    void refuseAfterAttempts(const ActiveRequest &active, bool retryBudgetSpent,
                             std::optional<state::Duration> retryAfter = {});
    void shareBacklog();

    // DispatcherEngines.cpp: engines and peers
    void on(const EngineAnnounced &event);
    void on(const EngineGone &event);
    void on(const EngineDraining &event);
    void on(const EnginesEvacuated &event);
    void on(const EngineSuspected &event);
    void on(const EngineEnded &event);
    void on(const EngineCold &event);
    void on(const EngineLimited &event);
    void on(const EngineRests &event);
    void on(const EngineFull &event);
    void on(const LoadReported &event);
    void on(const CacheReported &event);
    void on(const PeerWorkReceived &event);
    void on(const PeerJoined &event);
    void on(const PeerBacklogReceived &event);
    void on(const AttemptFailed &event);
    void on(const MoveRequested &event);
    // The attempts that count toward the policy's limit.
    static std::uint32_t countedAttempts(const ActiveRequest &active);
    bool isExhausted(const ActiveRequest &active) const;
    void moveReservations(const state::EndpointId &engine);
    void handleAttemptLoss(ActiveRequest &active, const state::EndpointId &engine, bool didNotRun,
                           bool engineLost, bool replaced = false);
    // Fills in the fields of a note about dispatched work.
    void fillDispatchNote(const ActiveRequest &active, std::size_t part,
                          routing::WorkNote &note) const;
    // Applies a work note to this entry's own view and sends it to the peers.
    void shareWorkNote(ActiveRequest &active, std::size_t part, routing::WorkStage stage,
                       std::uint32_t prefillTokens = 0, std::uint32_t chargedTokens = 0,
                       std::uint8_t priority = 0);

    // DispatcherLeaving.cpp: the end of this entry
    void on(const EntryLeaving &event);
    double predictedAnswerSeconds(const CompletionRequest &request);
    double answerSeconds(const CompletionRequest &request);
    bool isUnanswerable(const CompletionRequest &request);
    std::optional<Refuse> leavingRefusal(const CompletionRequest &request);
    void refuseUnanswerable();

    // DispatcherPlacing.cpp: admission and placement
    std::optional<Refuse> admissionRefusal(const CompletionRequest &request,
                                           LengthClass lengthClass);
    double expectedWaitSeconds(const CompletionRequest &request, LengthClass lengthClass) const;
    void placeWaiting();
    bool place(ActiveRequest &active, bool aheadOfShare);
    void dispatchNext(ActiveRequest &active);
    std::uint8_t priorityOf(const ActiveRequest &active) const;
    routing::ChoiceQuery queryOf(const CompletionRequest &request, std::uint8_t priority) const;
    bool needsSpan(const CompletionRequest &request) const;
    LengthClass lengthClassOf(std::uint32_t promptTokens) const;
    QueuedRequest queuedRequestOf(const ActiveRequest &active) const;
    void enqueue(ActiveRequest &active, bool front);
    double idealSeconds(const CompletionRequest &request) const;

    // DispatcherPasses.cpp: engines that work in declared passes
    std::optional<Refuse> refusalByPasses(const CompletionRequest &request);
    bool placeByPasses(ActiveRequest &active);
    void startByPasses(ActiveRequest &active, const routing::PassChoice &choice);
    // Engine seconds per second that would start the prompt without waiting for more engines.
    double waitingDemandOf(const WaitingPrompt &prompt) const;
    double updateWaitingDemand(const state::ModelName &model); // returns the model's demand
    std::optional<Refuse> briefRefusal(const CompletionRequest &request);
    std::optional<Refuse> longRefusal(const CompletionRequest &request,
                                      const routing::LongPromptEstimate &outlook,
                                      double secondsBefore);
    std::optional<Refuse> refusalIfLate(const CompletionRequest &request,
                                        state::Duration overrun) const;
    bool isLong(const CompletionRequest &request) const;
    WaitingPrompt waitingPromptOf(const CompletionRequest &request) const;
    state::Duration rankDelayOf(const CompletionRequest &request, double prefillSeconds) const;
    double engineSecondsOf(const CompletionRequest &request) const; // of its whole prefill
    void placeLongPrompts();
    void refuseOverdue();
    bool defer(ActiveRequest &active);
    state::Duration maximumWaitOf(const ActiveRequest &active, state::Duration defaultWait) const;
    void shareWaitingPrompts();
    void sendWaitingNote(const ActiveRequest &active, const WaitingPrompt &prompt,
                         routing::WorkStage stage);
    void dequeue(const ActiveRequest &active); // from the queue that holds it
    static std::uint64_t
    requestHashOf(const state::RequestId &id); // identifies the request in work notes
    routing::PassRequest passRequestOf(const CompletionRequest &request) const;
    static routing::PassRequest passRequestOf(const WaitingPrompt &prompt);
    void reserveHelperMemory(ActiveRequest &active,
                             const std::vector<routing::MemoryShare> &memory);
    void handleHelperReservationAnswer(ActiveRequest &active, const ReservationAnswered &event);
    void releaseHelperMemory(ActiveRequest &active);
    std::uint32_t equivalentPartTokens(const ActiveRequest &active) const;
    void applyWorkNote(const routing::WorkNote &note);

    // DispatcherOverload.cpp: the decision under overload, with PolicySettings::rankedOverload
    OverloadQuery overloadQuery(const CompletionRequest &request);
    std::optional<Refuse> rankedRefusal(const CompletionRequest &request);
    bool mayStart(const ActiveRequest &active);
    std::optional<state::Duration> retryRefusal(const ActiveRequest &active);
    state::Duration retryAfterOf(const CompletionRequest &request, state::Duration fixed);
    void noteAdmitted(const routing::WorkNote &note);
    void rankRow(const CompletionRequest &request);
    static state::Duration briefWaitOf(const CompletionRequest &request);
    static std::uint8_t rankedPriority(std::uint8_t rank, bool isLong); // as sent to engines
    static std::uint8_t rankOfPriority(std::uint8_t priority);

    // DispatcherSpans.cpp: reservations
    void on(const ReservationAnswered &event);
    bool placeSpan(ActiveRequest &active);
    void reserveNext(ActiveRequest &active);
    void releaseReservations(ActiveRequest &active);
    void renewReservations(ActiveRequest &active);
    std::uint32_t partMemoryTokens(const ActiveRequest &active, std::size_t part) const;
    std::string leaseOf(const ActiveRequest &active, std::size_t part) const;

    state::VmId self;
    routing::PolicySettings policy;
    DispatcherHooks hooks;
    routing::Fleet engines;
    routing::EarlyWork earlyWork;
    FairQueue queue;
    LongPromptQueue longPromptQueue; // own and peers' long prompts; for engines that work in passes
    std::map<state::ModelName, OverloadControl> overloadByModel; // for engines that work in passes
    state::Instant waitingPromptsSharedAt{};
    state::Instant placementTriedAt{};   // last time when all waiting brief requests were tried
    state::Instant longPlacementDueAt{}; // next time when long prompts are tried
    std::optional<state::Instant> firstEngineAt; // when the first engine became known
    RetryBudget retryBudget;
    std::array<RunTimes, 2> runTimes;           // of brief and of long requests
    std::optional<state::Instant> answersUntil; // once this entry has been told to stop
    state::Instant answersCheckedAt{};          // last refuseUnanswerable()
    ActiveRequests activeRequests;
    std::set<std::pair<state::Instant, state::RequestId>> deadlines; // one for each request
    std::set<state::RequestId> reservationHolders; // requests whose reservations must be renewed
    std::map<state::VmId, std::pair<BacklogNote, state::Instant>> peerBacklogs; // with expiry time
    DispatcherCounts counters;
    state::Instant now{};
    state::Instant backlogSharedAt{};
    bool backlogShared = false;
    std::vector<Action> actions; // for the event being handled
};

} // namespace lavenderthread::coordination::admission
