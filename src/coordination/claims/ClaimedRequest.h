// State machine for one attempt at a non-idempotent request: takes a claim in the replicated log,
// dispatches the request at most once, and tells the caller whether it ran. Each event handler
// returns actions, which the owner carries out.
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

// Whether the request ran, as far as the caller may be told.
enum class Ran : std::uint8_t { No, Unknown, Yes };

// Propose a command to the replicated log. The owner reports its answer by onClaimAnswer, or calls
// onProposalLost if it is unknown whether the command was committed.
struct ProposeCommand
{
    std::uint64_t id = 0; // returned with the answer; a resent command keeps it
    state::control::Command command;
};
// Connect to the endpoint without sending anything. The owner then calls onConnected or
// onConnectFailed.
struct ConnectEndpoint
{};
// Send the request over the connection. Returned at most once per attempt.
struct SendRequest
{};
// Answer the caller. Returned at most once per attempt.
struct ReplyToCaller
{
    Ran ran = Ran::Unknown;
    std::optional<state::control::ClaimResult> result; // set if the request completed
    std::optional<state::Error> error;                 // set otherwise
};

using ClaimAction = std::variant<ProposeCommand, ConnectEndpoint, SendRequest, ReplyToCaller>;
using ClaimActions = std::vector<ClaimAction>;

struct ClaimedRequestSettings
{
    state::Duration resendAfter = std::chrono::milliseconds(300); // for an unanswered command
    // Time reserved before the deadline to commit the release of the claim, so that the caller can
    // still be told "not run".
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
    // Also accepted after the deadline and after isDone(): a late result is recorded for resends.
    ClaimActions onResult(state::control::ClaimResult result, state::Instant now);
    // The connection broke after SendRequest and before the answer was complete.
    ClaimActions onEndpointLost(state::Instant now);
    ClaimActions onTimer(state::Instant now);
    state::Instant nextTimer() const;

    bool isDone() const { return this->step == Step::Done; }

private:
    enum class Step : std::uint8_t {
        Taking,
        Connecting,        // claim held
        MarkingDispatched, // dispatch mark proposed, not yet committed
        Running,           // request sent
        Releasing,         // release proposed; nothing was or will be sent
        Finishing,         // outcome proposed; the caller has been answered
        Done,
    };

    ClaimActions propose(state::control::Command command, state::Instant now);
    ClaimActions sendPending(state::Instant now);
    ClaimActions release(state::Instant now, state::Error error);
    ClaimActions recordOutcome(std::optional<state::control::ClaimResult> result,
                               state::Instant now);
    ClaimActions onTaken(const state::control::ClaimAnswer &answer, state::Instant now);
    ClaimActions onMarkedDispatched(const state::control::ClaimAnswer &answer, state::Instant now);
    ClaimActions onReleased(const state::control::ClaimAnswer &answer);
    ClaimActions endWithReply(ReplyToCaller reply);
    state::Instant releaseAt() const { return this->start.deadline - this->settings.releaseMargin; }

    ClaimedRequestSettings settings;
    ClaimedRequestStart start;
    Step step = Step::Taking;
    std::optional<state::control::Command> pendingCommand; // proposed, not answered
    std::uint64_t proposalId = 0;                          // id of the latest command
    state::Instant resendAt;                               // when the pending command is resent
    bool requestSent = false;                              // SendRequest was returned
    bool hasResult = false;                    // the endpoint answered, maybe after the deadline
    bool replied = false;                      // the caller is answered only once
    std::optional<state::Error> releaseReason; // why the claim is released
};

} // namespace lavenderthread::coordination::claims
