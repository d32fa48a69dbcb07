// The interface between the relays and the admission and routing policy. A relay waits for a
// placement, reports what happened, and asks for another placement when an endpoint fails. It does
// not know the policy.
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
#include <string_view>
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
    state::Duration firstEventTarget{0}; // as in CompletionRequest
    state::Duration toleratedPause{0};
    std::uint8_t rank = 0;      // as in CompletionRequest
    std::uint32_t attempts = 0; // the most engines to try; 0: as the policy sets it
    // Called on the scheduler's strand to end the running attempt: it was abandoned, or its caller
    // or an engine that it needs is gone. Empty: the engine is told to end the stream instead.
    std::function<void()> interrupt;
};

// Title of the problem with which a request is refused that another entry would take.
constexpr std::string_view leavingTitle = "leaving";

enum class AttemptFailure {
    Unreachable, // no connection: this request did not reach the engine, and others can't either
    ConnectionRefused, // the same, and the attempt has taken no time
    NotRun,            // the engine refused the request
    Rests,             // the same, and it wants no more for a while; says nothing about its health
    Withheld, // not sent: the engine has asked for rest, or has been evacuated, in the meantime
    Replaced, // another endpoint has the engine's address
    PeerLost, // refused, because another engine that this one needed has failed
    Lost,     // the request may have run
};

// An engine that prefills a part of the prompt for the engine that answers.
struct HelperTarget
{
    state::Address address;
    std::string lease; // name of the memory reservation there for the prompt; empty if none

    auto operator<=>(const HelperTarget &) const = default;
};

// Work for one engine: the whole request, or one slice of its prefill.
struct Placement
{
    state::EndpointDescription endpoint;
    unsigned priority = 5;     // sent to the engine; 0 is the most urgent
    std::uint32_t attempt = 1; // counted by the policy; grows when the request loses its endpoint
    // Range of prompt tokens to prefill, `to` exclusive; to = 0 means the whole prompt.
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    bool final = true;                 // the engine then generates the answer; false for a slice
    std::vector<HelperTarget> helpers; // each prefills as many tokens as the endpoint does
    state::Duration predictedFirstEvent{
            0}; // from the placement to the first event; 0: not predicted

    auto operator<=>(const Placement &) const = default;
};

// The id of the engine's stream for a placement. It depends on the arguments only, so every process
// that knows them computes the same id.
std::string streamIdOf(const state::RequestId &id, const Placement &placement);

// A placement, or the error that the caller is answered with.
using PlacementResult = state::outcome::basic_result<Placement, protocol::Problem,
                                                     state::outcome::policy::all_narrow>;

// All functions may be called from any thread. After place() has succeeded, the relay must call
// finished() exactly once, whatever happens; after place() has refused, it must not call it.
struct Scheduler
{
    // Waits in the queue for a placement; refuses at once a request that can't meet its deadline.
    std::function<boost::asio::awaitable<PlacementResult>(ScheduledRequest)> place;
    // The attempt on the endpoint of `failed` has failed; waits for another placement.
    std::function<boost::asio::awaitable<PlacementResult>(state::RequestId, Placement failed,
                                                          AttemptFailure failure)>
            placeAgain;
    // Asks whether to abandon an attempt whose engine has been silent for long. True: abandon it;
    // placeAgain() finds another engine. False: no other attempt is possible; keep waiting.
    std::function<boost::asio::awaitable<bool>(state::RequestId, std::uint32_t attempt)> mayAbandon;
    // A slice has been prefilled; waits for the next slice or for the final placement.
    std::function<boost::asio::awaitable<PlacementResult>(state::RequestId, Placement done)>
            sliceDone;
    // The caller has received the tokens before `nextOffset`.
    std::function<void(const state::RequestId &, std::uint32_t attempt, std::uint64_t nextOffset)>
            progressed;
    // `whole`: the engine has ended the stream itself. Otherwise whatever still runs is cancelled.
    std::function<void(const state::RequestId &, std::uint32_t attempt, bool whole)> finished;
    // The caller has disconnected; a place() or placeAgain() that is waiting ends at once.
    std::function<void(const state::RequestId &)> cancel;
    // Reports what the end of an attempt says about the endpoint's health.
    std::function<void(const state::EndpointDescription &, coordination::routing::AttemptOutcome)>
            noteHealth;
    // The endpoint accepts that many requests a second from all entries; nothing: any rate.
    std::function<void(const state::EndpointId &, std::uint64_t incarnation,
                       std::optional<double> perSecond)>
            limitNamed;
    // The endpoint wants no request from this entry until then.
    std::function<void(const state::EndpointId &, std::uint64_t incarnation, state::Instant until)>
            restNamed;
    // The endpoint has refused a request as full; it is not believed to have room until then.
    std::function<void(const state::EndpointId &, std::uint64_t incarnation, state::Instant until)>
            fullNamed = [](const auto &, auto, auto) {};
    // Reports that an engine named this peer, which it needed for the prompt, as failed.
    std::function<void(const state::Address &)> reportPeerFailure;
    // Whether the endpoint is still known to be alive under that incarnation.
    std::function<bool(const state::EndpointDescription &)> isAlive;
};

} // namespace lavenderthread::program
