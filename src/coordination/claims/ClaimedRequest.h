// One attempt at a non-idempotent request in its entry: claim first, dispatch once, tell the caller
// the truth. (state, event, now) -> actions; the owner carries the actions out.
#pragma once

#include "state/Error.h"
#include "state/Time.h"
#include "state/control/Commands.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace lavenderthread::coordination::claims {

enum class Ran : std::uint8_t { No, Unknown, Yes };

// To be proposed to the replicated log; its answer comes back by onClaimAnswer, or onProposalLost
// if it is not known whether it was committed.
struct ProposeCommand
{
    std::uint64_t id = 0; // comes back with the answer; a repeated command keeps it
    state::control::Command command;
};
// Connect to the endpoint without sending anything: onConnected or onConnectFailed.
struct ConnectEndpoint
{};
// Hand the request to the connection. Given at most once in the life of an attempt.
struct SendRequest
{};
// The caller's one answer.
struct ReplyToCaller
{
    Ran ran = Ran::Unknown;
    std::optional<state::control::ClaimResult> result; // with Yes
    std::optional<state::Error> error;                 // otherwise
};

using ClaimAction = std::variant<ProposeCommand, ConnectEndpoint, SendRequest, ReplyToCaller>;
using ClaimActions = std::vector<ClaimAction>;

struct ClaimedRequestSettings
{
    state::Duration repeatAfter = std::chrono::milliseconds(300); // of an unanswered command
    // Kept before the deadline for the release's commit, so that "not run" can still be said.
    state::Duration releaseMargin = std::chrono::milliseconds(500);
};

struct ClaimedRequestStart
{
    state::control::ClaimId id;
    state::ClientAccountId account;
    state::control::Digest body;
    state::control::ClaimHolder holder;
    state::Instant deadline;
};

class ClaimedRequest
{
public:
    ClaimedRequest(ClaimedRequestSettings requestSettings, ClaimedRequestStart requestStart)
        : settings(requestSettings)
        , start(std::move(requestStart))
    {}

    ClaimActions begin(state::Instant now);
    ClaimActions onClaimAnswer(std::uint64_t id, const state::control::ClaimAnswer &answer,
                               state::Instant now);
    ClaimActions onProposalLost(std::uint64_t id, state::Instant now);
    ClaimActions onConnected(state::Instant now);
    ClaimActions onConnectFailed(state::Instant now);
    // Also after the deadline and after isDone(): a late result still serves resends.
    ClaimActions onResult(state::control::ClaimResult result, state::Instant now);
    // The connection broke after SendRequest and before a whole answer.
    ClaimActions onEndpointLost(state::Instant now);
    ClaimActions onTimer(state::Instant now);
    state::Instant nextTimer() const;

    bool isDone() const { return this->step == Step::Done; }

private:
    enum class Step : std::uint8_t {
        Taking,
        Connecting, // claim held
        Marking,    // dispatch mark proposed
        Running,    // request sent
        Releasing,  // release proposed; nothing was sent and nothing will be
        Finishing,  // outcome proposed; the caller has its answer
        Done,
    };

    ClaimActions propose(state::control::Command command, state::Instant now);
    ClaimActions repeat(state::Instant now);
    ClaimActions release(state::Instant now, state::Error reason);
    ClaimActions finish(std::optional<state::control::ClaimResult> result, state::Instant now);
    ClaimActions onTaken(const state::control::ClaimAnswer &answer, state::Instant now);
    ClaimActions onMarked(const state::control::ClaimAnswer &answer, state::Instant now);
    ClaimActions onReleased(const state::control::ClaimAnswer &answer);
    ClaimActions end(ReplyToCaller reply);
    state::Instant giveUpAt() const { return this->start.deadline - this->settings.releaseMargin; }

    ClaimedRequestSettings settings;
    ClaimedRequestStart start;
    Step step = Step::Taking;
    std::optional<state::control::Command> waiting; // proposed and not answered
    std::uint64_t proposal = 0;                     // id of the latest command
    state::Instant repeatAt;                        // of `waiting`
    bool sent = false;                              // SendRequest was given
    bool hasResult = false;                         // from the endpoint, also after the deadline
    bool replied = false;                           // the caller gets one answer
    std::optional<state::Error> reason;             // of a release
};

} // namespace lavenderthread::coordination::claims
