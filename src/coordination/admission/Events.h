// What happens to a Dispatcher, and what it wants done. Plain values; the driver of an entry
// translates its connections, timers and peers into events and carries the actions out in order.
#pragma once

#include "coordination/admission/FairQueue.h"
#include "coordination/admission/Request.h"
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
};

// Its attempts fail, or no longer do. New work avoids it; what it runs goes on.
struct EngineSuspected
{
    state::EndpointId engine;
    bool suspected = true;
};

// The engine is lost: announcements ended, it restarted, or its connections fail.
struct EngineGone
{
    state::EndpointId engine;
};

struct EngineDraining
{
    state::EndpointId engine;
    bool draining = true;
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

// The engine has done a slice: the prompt is prefilled up to that token. Not sent for a dispatch
// with `final` set; its end is the first token.
struct SlicePrefilled
{
    state::RequestId id;
    std::uint32_t attempt = 0;
    std::uint32_t upTo = 0;
};

// Output up to, not including, nextOffset has come; the first one ends the prefill.
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

// The engine refused the dispatch or its stream was cut while the engine lives. didNotRun only if
// that is certain.
struct AttemptFailed
{
    state::RequestId id;
    std::uint32_t attempt = 0;
    bool didNotRun = false;
};

// The engine has sent nothing for long, but its stream stands: may the request move to another?
struct MoveAsked
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

struct PeerWorkNoted
{
    routing::WorkNote note;
};

// What waits at an entry; sent while something waits, and once more when nothing does.
struct BacklogNote
{
    state::VmId entry;
    double leastService = 0;                                  // of its waiting rows, per weight
    std::array<std::uint64_t, lengthClasses> waitingTokens{}; // in that class and shorter ones
    std::uint64_t waitingWeight = 0;

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

struct PeerBacklogNoted
{
    BacklogNote note;
};

struct Tick
{};

using Event =
        std::variant<RequestArrived, CallerCancelled, EngineAnnounced, EngineGone, EngineDraining,
                     EngineSuspected, LoadReported, CacheReported, SlicePrefilled, TokensReceived,
                     RequestFinished, AttemptFailed, MoveAsked, ReservationAnswered, TableChanged,
                     PeerWorkNoted, PeerBacklogNoted, Tick>;

// Whether the request ran; No only when it is certain.
enum class Ran : std::uint8_t { No, Unknown };

enum class RefusalReason : std::uint8_t {
    UnknownModel,     // no engine that this entry knows serves it
    TooLong,          // the watched engines can't hold it even together
    Deadline,         // it can't end in time
    Overload,         // the queue is full
    Limit,            // the row's own limit
    AttemptsExhausted // engines were lost under it and no retry is left
};

// KV of earlier ranges that a dispatch imports before it starts.
struct KvSource
{
    state::EndpointId engine;
    std::string lease;
    std::uint32_t from = 0;
    std::uint32_t to = 0;

    auto operator<=>(const KvSource &) const = default;
};

// Hand the request, or the next slice of it, to the engine.
struct Dispatch
{
    state::RequestId id;
    std::uint32_t attempt = 0; // events of other attempts are ignored
    state::EndpointId engine;
    std::uint8_t priority = 0;
    std::uint32_t from = 0; // prefill from this token on; what stands before is there or imported
    std::uint32_t to = 0;
    bool final = true;              // decode after the prefill
    std::uint32_t resumeOffset = 0; // output tokens that the caller has already
    std::string lease;              // the reservation that the range fills; empty if none
    std::vector<KvSource> imports;
    std::vector<state::EndpointId> helpers; // prefill as much of the prompt as the engine, each
    std::vector<std::string> helperLeases;  // memory reserved at the first of them, in their order
    state::Duration predictedFirst{0};      // from now to the first event; 0: not predicted
    routing::PassLook look;                 // on engines that work in passes
};

// The final answer to a request that was not finished. Nothing more comes for it.
struct Refuse
{
    state::RequestId id;
    RefusalReason reason = RefusalReason::Overload;
    state::Duration retryAfter{0};
    Ran ran = Ran::No;
    state::Duration predictedFirst{0}; // from now to the first event; 0: not predicted
    double queuedSeconds = 0; // engine time of the prompts that wait at entries and go first
    routing::PassLook look;   // on engines that work in passes
};

struct Expire
{
    state::RequestId id;
    Ran ran = Ran::No;
};

struct CancelOnEngine
{
    state::RequestId id;
    std::uint32_t attempt = 0;
    state::EndpointId engine;
};

// To MoveAsked. If allowed, the retry is paid for: the relay gives the attempt up, and
// AttemptFailed places the request again. If not, the relay goes on waiting for the engine.
struct MoveAnswered
{
    state::RequestId id;
    std::uint32_t attempt = 0;
    bool allowed = false;
};

// Take or renew a lease on engine memory through the endpoint's owner.
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

// To the peers that route to note.engine.
struct ShareWork
{
    routing::WorkNote note;
};

struct ShareBacklog
{
    BacklogNote note;
};

using Action = std::variant<Dispatch, Refuse, Expire, CancelOnEngine, MoveAnswered, Reserve,
                            Release, ShareWork, ShareBacklog>;

} // namespace lavenderthread::coordination::admission
