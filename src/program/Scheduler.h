// Where requests run: what the relays ask of admission and routing. The relays don't know the
// policy; they wait for a placement, report what happened, and ask again when an endpoint fails.
#pragma once

#include "coordination/routing/EndpointHealth.h"
#include "protocol/Completion.h"
#include "protocol/Problem.h"
#include "state/Endpoint.h"
#include "state/Ids.h"
#include "state/Time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lavenderthread::program {

struct ScheduledRequest
{
    state::RequestId id;
    state::ClientAccountId account;
    state::WorkClass workClass;
    protocol::CompletionBody body;
    state::Instant arrival;
    state::Instant deadline;
    bool idempotent = true;
    state::Duration firstTarget{0}; // see CompletionRequest
    state::Duration pause{0};
    std::uint32_t attempts = 0;
    // Ends the attempt that runs now, on the scheduler's strand: it was given up, or its caller or
    // an engine that it needs is gone. Empty: the engine is told to end the stream.
    std::function<void()> interrupt;
};

enum class AttemptFailure {
    Unreachable, // no connection: the engine has not seen it, nor can it see others
    NotRun,      // the engine refused it
    PeerLost,    // the same, because another engine that it needed has failed
    Lost,        // it may have run
};

// An engine that prefills a part of the prompt for the one that answers.
struct HelperTarget
{
    state::Address address;
    std::string lease; // of memory reserved there for the prompt; empty if none

    auto operator<=>(const HelperTarget &) const = default;
};

// One piece of work for one engine: the whole request, or a slice of its prefill.
struct Placement
{
    state::EndpointDescription endpoint;
    unsigned priority = 5;     // towards the engine, 0 first
    std::uint32_t attempt = 1; // of the policy; grows when an endpoint was lost to the request
    // The part of the prompt to prefill, in tokens; to = 0 means all of it.
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    bool final = true;                 // the answer is generated behind it; else it is a slice
    std::vector<HelperTarget> helpers; // each prefills as much of the prompt as the endpoint
    state::Duration predictedFirst{0}; // from placing to the first event; 0: not predicted

    auto operator<=>(const Placement &) const = default;
};

// The engine's id of the stream that carries a placement; the same for everybody who knows both.
std::string streamIdOf(const state::RequestId &id, const Placement &placement);

// A placement, or the answer to the caller.
using PlacementResult = state::outcome::basic_result<Placement, protocol::Problem,
                                                     state::outcome::policy::all_narrow>;

// All functions may be called from any thread. After place has succeeded, finished is called
// exactly once, whatever happens; after place has refused, not at all.
struct Scheduler
{
    // Waits in the queue for its turn; refuses at once what can't make its deadline.
    std::function<boost::asio::awaitable<PlacementResult>(ScheduledRequest)> place;
    // The endpoint of `failed` is lost to this request.
    std::function<boost::asio::awaitable<PlacementResult>(state::RequestId, Placement failed,
                                                          AttemptFailure failure)>
            placeAgain;
    // The engine of that attempt has been silent for long. True: give the attempt up, and
    // placeAgain() finds another engine. False: there is no other try; wait on.
    std::function<boost::asio::awaitable<bool>(state::RequestId, std::uint32_t attempt)> mayMove;
    // A slice is prefilled; gives the next one, or the final piece.
    std::function<boost::asio::awaitable<PlacementResult>(state::RequestId, Placement done)>
            sliceDone;
    // The caller has the tokens before `nextOffset`.
    std::function<void(const state::RequestId &, std::uint32_t attempt, std::uint64_t nextOffset)>
            progressed;
    // `whole`: the engine has ended the stream itself; else whatever still runs is cancelled.
    std::function<void(const state::RequestId &, std::uint32_t attempt, bool whole)> finished;
    // The relay has nobody to answer any more; a place() or placeAgain() that waits ends at once.
    std::function<void(const state::RequestId &)> cancel;
    // How an attempt ended, as far as it tells of the endpoint's health.
    std::function<void(const state::EndpointDescription &, coordination::routing::AttemptHealth)>
            noteHealth;
    // An engine said that this peer of it failed, which it needed for the prompt.
    std::function<void(const state::Address &)> blame;
    // Whether the endpoint is still known alive under that incarnation.
    std::function<bool(const state::EndpointDescription &)> isAlive;
};

} // namespace lavenderthread::program
