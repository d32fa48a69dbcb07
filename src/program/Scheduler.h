// Where requests run: what the relays ask of admission and routing. The relays don't know the
// policy; they wait for a placement, report what happened, and ask again when an endpoint fails.
#pragma once

#include "protocol/Completion.h"
#include "protocol/Problem.h"
#include "state/Endpoint.h"
#include "state/Ids.h"
#include "state/Time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>

namespace lavenderthread::program {

struct ScheduledRequest
{
    state::RequestId id;
    state::ClientAccountId account;
    state::WorkClass workClass;
    protocol::CompletionBody body;
    state::Instant arrival;
    state::Instant deadline;
};

struct Placement
{
    state::EndpointDescription endpoint;
    unsigned priority = 5; // towards the engine, 0 first

    auto operator<=>(const Placement &) const = default;
};

// A placement, or the answer to the caller.
using PlacementResult = state::outcome::basic_result<Placement, protocol::Problem,
                                                     state::outcome::policy::all_narrow>;

// All functions may be called from any thread. After place has succeeded, finished is called
// exactly once, whatever happens.
struct Scheduler
{
    // Waits in the queue for its turn; refuses at once what can't make its deadline.
    std::function<boost::asio::awaitable<PlacementResult>(ScheduledRequest)> place;
    // The endpoint of `failed` is lost to this request; tokens up to `offset` are with the caller.
    std::function<boost::asio::awaitable<PlacementResult>(state::RequestId, Placement failed,
                                                          std::uint64_t offset)>
            placeAgain;
    std::function<void(const state::RequestId &, std::uint64_t tokens)> progressed;
    std::function<void(const state::RequestId &)> finished;
    // Whether the endpoint is still known alive under that incarnation.
    std::function<bool(const state::EndpointDescription &)> isAlive;
};

} // namespace lavenderthread::program
