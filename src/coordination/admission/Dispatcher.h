// Decides, for one entry, which request goes where and when: (state, event, now) -> actions.
//
// The driver passes every event with the time, in the order in which they came, and carries out the
// actions in the order given. It calls handle(Tick{}, now) at nextWake() at the latest. Not thread
// safe: one Dispatcher belongs to one strand.
#pragma once

#include "coordination/admission/Events.h"
#include "coordination/admission/FairQueue.h"
#include "coordination/admission/LongQueue.h"
#include "coordination/admission/RetryBudget.h"
#include "coordination/routing/Fleet.h"
#include "coordination/routing/PolicySettings.h"
#include "coordination/routing/SpanPlan.h"

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
    // Global limits: takes the request out of this entry's slice of its row's limits. Gives nothing
    // when granted, or the time after which to ask again. Empty hook: no limits.
    std::function<std::optional<state::Duration>(const CompletionRequest &, state::Instant)>
            acquireLimit;
    // Called once for each granted request when it is over, with the output tokens it got.
    std::function<void(const CompletionRequest &, std::uint32_t, state::Instant)> releaseLimit;
};

struct DispatcherCounts
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t expired = 0;
    std::uint64_t finished = 0;
    std::uint64_t retried = 0;
    std::uint64_t recomputedTokens = 0; // of ranges lost with their engine
};

class Dispatcher
{
public:
    Dispatcher(state::VmId entry, const routing::PolicySettings &settings, DispatcherHooks hooks,
               std::uint64_t seed);

    std::vector<Action> handle(const Event &event, state::Instant now);
    // When Tick is due; nothing if only events can change anything.
    std::optional<state::Instant> nextWake() const;

    std::size_t waiting() const { return this->queue.size(); }
    std::size_t inFlight() const { return this->flights.size(); }
    const DispatcherCounts &counts() const { return this->tally; }
    const routing::Fleet &fleet() const { return this->engines; }

private:
    enum class Phase : std::uint8_t { Queued, Reserving, Prefilling, Decoding };

    struct Flight
    {
        CompletionRequest request;
        std::uint64_t work = 0;
        LengthClass lengthClass = LengthClass::Short;
        Phase phase = Phase::Queued;
        routing::SpanPlan plan;  // one part for a prompt that one engine holds
        bool span = false;       // its parts are reserved
        std::size_t running = 0; // part of the plan that is on an engine now
        std::uint32_t attempt = 0;
        std::uint32_t received = 0; // output tokens that the caller has
        bool handedOver = false;    // some engine was given it
        state::Instant notBefore{}; // of the next try to place it
        state::Instant renewAt{};   // of its reservations
        state::FailureDomain avoid;
        // Of a request on engines that work in passes.
        std::vector<state::EndpointId> helpers;
        double partSeconds = 0; // prefill at the engine and at each helper
        state::Duration predictedFirst{0};
        routing::PassLook look;
        std::vector<state::EndpointId> failed; // engines that have failed this request
        std::uint32_t runs = 0;                // of them, those that may have run it
        bool moving = false;                   // its next try is paid for

        // Memory at the first helpers, for a prompt that its engine can't hold.
        struct Ticket
        {
            routing::MemoryShare share;
            std::string lease;
            bool granted = false;
        };
        std::vector<Ticket> tickets;

        bool needs(const state::EndpointId &engine) const;
    };
    using Flights = std::unordered_map<state::RequestId, Flight>;

    // Dispatcher.cpp: life of a request
    void on(const RequestArrived &event);
    void on(const CallerCancelled &event);
    void on(const SlicePrefilled &event);
    void on(const TokensReceived &event);
    void on(const RequestFinished &event);
    void on(const TableChanged &event);
    void on(const Tick &event);
    Flight *current(const state::RequestId &id, std::uint32_t attempt);
    void end(const state::RequestId &id);
    void refuse(const state::RequestId &id, RefusalReason reason, state::Duration retryAfter);
    void shareBacklog();

    // DispatcherEngines.cpp: engines and peers
    void on(const EngineAnnounced &event);
    void on(const EngineGone &event);
    void on(const EngineDraining &event);
    void on(const EngineSuspected &event);
    void on(const LoadReported &event);
    void on(const CacheReported &event);
    void on(const PeerWorkNoted &event);
    void on(const PeerBacklogNoted &event);
    void on(const AttemptFailed &event);
    void on(const MoveAsked &event);
    bool isExhausted(const Flight &flight) const;
    void attemptLost(Flight &flight, const state::EndpointId &engine, bool didNotRun,
                     bool engineLost);
    // Fills in what peers need to know of dispatched work.
    void describe(const Flight &flight, std::size_t part, routing::WorkNote &note) const;
    // Applies a work note to the own view and sends it to the peers.
    void tell(const Flight &flight, std::size_t part, routing::WorkStage stage,
              std::uint32_t prefillTokens = 0, std::uint32_t chargedTokens = 0,
              std::uint8_t priority = 0);

    // DispatcherPlacing.cpp: admission and placing
    std::optional<Refuse> refusalOf(const CompletionRequest &request, LengthClass lengthClass);
    double waitSeconds(const CompletionRequest &request, LengthClass lengthClass) const;
    void pump();
    bool place(Flight &flight, bool leads);
    void dispatchNext(Flight &flight);
    std::uint8_t priorityOf(const Flight &flight) const;
    routing::ChoiceQuery queryOf(const CompletionRequest &request, std::uint8_t priority) const;
    bool needsSpan(const CompletionRequest &request) const;
    LengthClass classOf(std::uint32_t promptTokens) const;
    QueuedRequest queuedOf(const Flight &flight) const;
    void enqueue(Flight &flight, bool front);
    double idealSeconds(const CompletionRequest &request) const;

    // DispatcherPasses.cpp: engines that work in declared passes
    std::optional<Refuse> refusalByPasses(const CompletionRequest &request);
    bool placeByPasses(Flight &flight);
    std::optional<Refuse> briefRefusal(const CompletionRequest &request);
    std::optional<Refuse> longRefusal(const CompletionRequest &request,
                                      const routing::LongOutlook &outlook, double secondsBefore);
    std::optional<Refuse> refusalWhenOver(const CompletionRequest &request,
                                          state::Duration over) const;
    bool isLong(const CompletionRequest &request) const;
    WaitingPrompt waitingOf(const Flight &flight) const;
    void pumpLong();
    void refuseHopeless();
    state::Duration waitingPatience(const Flight &flight, state::Duration usual) const;
    void shareWaiting();
    void tellWaiting(const Flight &flight, const WaitingPrompt &prompt, routing::WorkStage stage);
    void dequeue(const Flight &flight);                      // from the queue that holds it
    static std::uint64_t workOf(const state::RequestId &id); // what peers know the request by
    routing::PassRequest passRequestOf(const CompletionRequest &request) const;
    void reserveTickets(Flight &flight, const std::vector<routing::MemoryShare> &memory);
    void ticketAnswered(Flight &flight, const ReservationAnswered &event);
    void releaseTickets(Flight &flight);
    std::uint32_t partTokens(const Flight &flight) const;
    void applyNote(const routing::WorkNote &note);

    // DispatcherSpans.cpp: reservations
    void on(const ReservationAnswered &event);
    bool placeSpan(Flight &flight);
    void reserveNext(Flight &flight);
    void giveBack(Flight &flight);
    void renew(Flight &flight);
    std::uint32_t partMemory(const Flight &flight, std::size_t part) const;
    std::string leaseOf(const Flight &flight, std::size_t part) const;

    state::VmId self;
    routing::PolicySettings policy;
    DispatcherHooks hooks;
    routing::Fleet engines;
    FairQueue queue;
    LongQueue longQueue; // own and peers' long prompts for engines that work in passes
    state::Instant longSharedAt{};
    RetryBudget retries;
    Flights flights;
    std::set<std::pair<state::Instant, state::RequestId>> deadlines; // one for each flight
    std::set<state::RequestId> spans; // flights with reservations to renew
    std::map<state::VmId, std::pair<BacklogNote, state::Instant>> peers; // with expiry
    DispatcherCounts tally;
    state::Instant now{};
    state::Instant backlogSharedAt{};
    bool backlogShared = false;
    std::vector<Action> actions; // of the event in hand
};

} // namespace lavenderthread::coordination::admission
