// Input events and output actions of a Dispatcher, as plain values. The driver of an entry turns
// what comes from connections, timers and peers into events, and carries out the actions in order.
#pragma once

#include "coordination/admission/FairQueue.h"
#include "coordination/admission/Request.h"
#include "coordination/routing/ColdAccess.h"
#include "coordination/routing/PassPlacement.h"
#include "coordination/routing/PrefixIndex.h"
#include "coordination/routing/WorkNote.h"
#include "state/Endpoint.h"
#include "state/routes/EngineProfile.h"

#include <array>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lavenderthread::coordination::admission {

struct RequestArrived
{
    CompletionRequest request;
};

struct CallerCancelled
{
    state::RequestId id;
};

struct EngineAnnounced
{
    state::EndpointDescription description;
    std::optional<state::routes::EngineProfile> profile; // if it works in declared passes
    // It gets no new work from the start. False changes nothing for an engine that is known.
    bool draining = false;
    // As in EngineCold. Waiting requests are placed at once, so it must be known by then.
    std::optional<routing::ColdShare> cold{};
};

// What this entry may send to the engine while it is cold; nothing: no limit.
struct EngineCold
{
    state::EndpointId engine;
    std::uint64_t incarnation = 0;
    std::optional<routing::ColdShare> share;
};

// Attempts on the engine fail, or succeed again. While suspected it gets no new work; work that
// runs there goes on.
struct EngineSuspected
{
    state::EndpointId engine;
    bool suspected = true;
};

// Another endpoint has the address of that incarnation, which has therefore ended. It gets no new
// work, also if most engines have ended; relays report the loss of what was sent to it.
struct EngineEnded
{
    state::EndpointId engine;
    std::uint64_t incarnation = 0;
    bool ended = true;
};

// The engine accepts that many requests a second from all entries; nothing: any rate.
struct EngineLimited
{
    state::EndpointId engine;
    std::uint64_t incarnation = 0;
    std::optional<double> perSecond;
};

// The engine wants no request from this entry until then.
struct EngineRests
{
    state::EndpointId engine;
    std::uint64_t incarnation = 0;
    state::Instant until;
};

// The engine has refused a request as it has no room. Until then, or until a load report comes, it
// counts as full.
struct EngineFull
{
    state::EndpointId engine;
    std::uint64_t incarnation = 0;
    state::Instant until;
};

// The engine is lost: its announcements ended, it restarted, or its connections fail.
struct EngineGone
{
    state::EndpointId engine;
};

struct EngineDraining
{
    state::EndpointId engine;
    bool draining = true;
};

// Operators want nothing more sent to these engines: besides draining, memory that is being
// reserved there is given back. All engines are named at once, so that what leaves one of them is
// not placed on the next.
struct EnginesEvacuated
{
    std::vector<state::EndpointId> engines;
};

struct LoadReported
{
    state::LoadReport report;
};

struct CacheReported
{
    state::EndpointId engine;
    std::uint64_t incarnation = 0;
    std::uint64_t firstSequence = 0;
    std::vector<routing::CacheEvent> events;
};

// The engine has completed a slice: the prompt is prefilled up to, not including, token `upTo`. Not
// sent for a dispatch with `final` set, whose prefill ends with the first output token.
struct SlicePrefilled
{
    state::RequestId id;
    std::uint32_t attempt = 0;
    std::uint32_t upTo = 0;
};

// Output tokens up to, not including, nextOffset have arrived; the first event ends the prefill.
struct TokensReceived
{
    state::RequestId id;
    std::uint32_t attempt = 0;
    std::uint32_t nextOffset = 0;
};

struct RequestFinished
{
    state::RequestId id;
    std::uint32_t attempt = 0;
};

// The engine refused the dispatch, or the stream broke while the engine is alive. didNotRun is set
// only if it is certain that the request did not run.
struct AttemptFailed
{
    state::RequestId id;
    std::uint32_t attempt = 0;
    bool didNotRun = false;
    bool neverSent = false;         // no byte of the request has reached the engine
    bool replaced = false;          // another endpoint has answered: this incarnation has ended
    bool connectionRefused = false; // never sent, and the attempt has taken no time
    // Never sent, because this entry may send the engine nothing any more: uses up no attempt.
    bool withheld = false;
};

// The engine has sent nothing for long, but its stream is still open: may the request move to
// another engine? Answered by MoveAnswered.
struct MoveRequested
{
    state::RequestId id;
    std::uint32_t attempt = 0;
};

struct ReservationAnswered
{
    state::RequestId id;
    state::EndpointId engine;
    std::string lease;
    bool granted = false;
};

struct TableChanged
{
    std::vector<state::TableRow> rows;
};

struct PeerWorkReceived
{
    routing::WorkNote note;
};

// An entry that places requests on the same engines has started, or is reachable again.
struct PeerJoined
{
    state::VmId peer;
};

// Backlog of an entry. Sent periodically while requests wait, and once more when none does.
struct BacklogNote
{
    state::VmId entry;
    double leastService = 0; // of its waiting rows; tokens per weight
    std::array<std::uint64_t, lengthClassCount> waitingTokens{}; // in that class and shorter ones
    std::uint64_t waitingWeight = 0; // total weight of its waiting rows; 0: none waits

    auto operator<=>(const BacklogNote &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->entry, this->leastService);
        for (std::uint64_t &tokens : this->waitingTokens)
            archive(tokens);
        archive(this->waitingWeight);
    }
};

struct PeerBacklogReceived
{
    BacklogNote note;
};

// This entry has been told to stop. Whatever is not answered by then never is.
struct EntryLeaving
{
    state::Instant answersUntil;
};

struct Tick
{};

using Event = std::variant<RequestArrived, CallerCancelled, EngineAnnounced, EngineGone,
                           EngineDraining, EnginesEvacuated, EngineSuspected, EngineEnded,
                           EngineCold, EngineLimited, EngineRests, EngineFull, LoadReported,
                           CacheReported, SlicePrefilled, TokensReceived, RequestFinished,
                           AttemptFailed, MoveRequested, ReservationAnswered, TableChanged,
                           PeerWorkReceived, PeerJoined, PeerBacklogReceived, EntryLeaving, Tick>;

// Whether the request ran; No only if that is certain.
enum class Ran : std::uint8_t { No, Unknown };

enum class RefusalReason : std::uint8_t {
    UnknownModel,     // no engine known to this entry serves the model
    TooLong,          // the watched engines together can't hold the prompt
    Deadline,         // it can't complete in time
    Overload,         // the queue is full, or it has waited too long for capacity
    Limit,            // a limit of its table row is exceeded
    EndpointLimits,   // the engines accept no more requests from all entries now
    Leaving,          // this entry ends before it could be answered
    AttemptsExhausted // attempts failed and no retry is left or allowed
};

// KV of an earlier part of the prompt, imported by the engine before the dispatch starts.
struct KvSource
{
    state::EndpointId engine;
    std::string lease;
    std::uint32_t from = 0;
    std::uint32_t to = 0;

    auto operator<=>(const KvSource &) const = default;
};

// Send the request, or its next slice, to the engine.
struct Dispatch
{
    state::RequestId id;
    std::uint32_t attempt = 0; // events of other attempts are ignored
    state::EndpointId engine;
    std::uint8_t priority = 0;
    std::uint32_t from = 0; // first token to prefill; earlier KV is on the engine or imported
    std::uint32_t to = 0;   // past the last token to prefill
    bool final = true;      // decode after the prefill
    std::uint32_t resumeOffset = 0; // output tokens that the caller has received already
    std::string lease;              // reservation for this part's KV; empty if none
    std::vector<KvSource> imports;
    std::vector<state::EndpointId> helpers; // each prefills as much of the prompt as the engine
    std::vector<std::string> helperLeases;  // memory reserved at the first helpers, in order
    state::Duration predictedFirstEvent{0}; // from now to the first event; 0: not predicted
    // Basis of the decision, on engines that work in passes.
    routing::PlacementSnapshot placementSnapshot;
};

// The final answer to a request that did not complete. No further action follows for its caller.
struct Refuse
{
    state::RequestId id;
    RefusalReason reason = RefusalReason::Overload;
    state::Duration retryAfter{0};
    Ran ran = Ran::No;
    state::Duration predictedFirstEvent{0}; // from now to the first event; 0: not predicted
    double queuedSeconds = 0; // engine time of the prompts that wait at the entries and go first
    // Basis of the decision, on engines that work in passes.
    routing::PlacementSnapshot placementSnapshot;
    // With PolicySettings::rankedOverload only.
    std::uint8_t rank = 0;
    double waitingAhead = 0; // requests that waited and would have gone first
    std::uint32_t slotsTaken = 0;
    std::uint32_t failedAttempts = 0;
    bool retryBudgetSpent = false; // the budget did not pay for another attempt
};

// The final answer to a request whose deadline has passed.
struct Expire
{
    state::RequestId id;
    Ran ran = Ran::No;
};

// A waiting prompt has missed its target and goes behind all others. For the log.
struct Deferred
{
    state::RequestId id;
    state::Instant latestStart; // it is refused if it has not started by then
};

struct CancelOnEngine
{
    state::RequestId id;
    std::uint32_t attempt = 0;
    state::EndpointId engine;
};

// The answer to MoveRequested. If allowed, the retry budget has paid for the next attempt: the
// relay abandons the current one, and its AttemptFailed event places the request again. If not, the
// relay keeps waiting for the engine.
struct MoveAnswered
{
    state::RequestId id;
    std::uint32_t attempt = 0;
    bool allowed = false;
};

// Acquire or renew a lease on engine memory through the endpoint's owner.
struct Reserve
{
    state::RequestId id;
    state::EndpointId engine;
    std::string lease;
    std::uint32_t tokens = 0;
    state::Duration ttl{0};
};

struct Release
{
    state::RequestId id;
    state::EndpointId engine;
    std::string lease;
};

// Send to the peers that route to note.engine.
struct ShareWork
{
    routing::WorkNote note;
};

// Send to that peer only.
struct ShareWorkWith
{
    state::VmId peer;
    routing::WorkNote note;
};

struct ShareBacklog
{
    BacklogNote note;
};

using Action = std::variant<Dispatch, Refuse, Expire, Deferred, CancelOnEngine, MoveAnswered,
                            Reserve, Release, ShareWork, ShareWorkWith, ShareBacklog>;

} // namespace lavenderthread::coordination::admission
