// The caller is told "not run" only if this attempt has sent nothing and will send nothing, and the
// log has either released its claim or never granted one.
#include "coordination/claims/ClaimedRequest.h"

#include <algorithm>
#include <utility>

namespace lavenderthread::coordination::claims {

namespace {

using state::ErrorCode;
using state::Instant;
using state::makeError;
using state::control::ClaimAnswer;
using state::control::ClaimVerdict;

// How long recording the outcome continues after the caller's deadline: resends can still use the
// result.
constexpr state::Duration finishWindow = std::chrono::seconds(30);

ReplyToCaller notRun(ErrorCode code, const char *cause)
{
    return {Ran::No, std::nullopt, makeError(code, "claim.take", cause)};
}

ReplyToCaller unknown(ErrorCode code, const char *cause)
{
    return {Ran::Unknown, std::nullopt, makeError(code, "claim.run", cause)};
}

} // namespace

ClaimActions ClaimedRequest::begin(Instant now)
{
    if (now >= this->releaseAt())
        return this->endWithReply(notRun(ErrorCode::Timeout, "no time left to claim the request"));
    const state::Duration left = this->start.deadline - now;
    return this->propose(state::control::TakeClaim{this->start.id, this->start.account,
                                                   this->start.body, this->start.holder, left},
                         now);
}

ClaimActions ClaimedRequest::onClaimAnswer(std::uint64_t id, const ClaimAnswer &answer, Instant now)
{
    // A resent command is answered twice. Mistaking the second grant of the claim for the answer to
    // the dispatch mark would send the request before the mark is committed.
    if (!this->pendingCommand || id != this->proposalId)
        return {};
    this->pendingCommand.reset();
    switch (this->step) {
    case Step::Taking:
        return this->onTaken(answer, now);
    case Step::MarkingDispatched:
        return this->onMarkedDispatched(answer, now);
    case Step::Releasing:
        return this->onReleased(answer);
    case Step::Finishing:
        this->step = Step::Done;
        return {};
    case Step::Connecting:
    case Step::Running:
    case Step::Done:
        break;
    }
    return {};
}

ClaimActions ClaimedRequest::onTaken(const ClaimAnswer &answer, Instant)
{
    switch (answer.verdict) {
    case ClaimVerdict::Granted:
        this->step = Step::Connecting;
        return {ConnectEndpoint{}};
    case ClaimVerdict::AlreadyRan:
        return this->endWithReply({Ran::Yes, answer.result, std::nullopt});
    case ClaimVerdict::InProgress:
        return this->endWithReply(
                unknown(ErrorCode::Conflict, "another attempt of this key is under way"));
    case ClaimVerdict::OutcomeUnknown:
        return this->endWithReply(
                unknown(ErrorCode::Unavailable,
                        "an earlier attempt of this key may have run; its entry was lost"));
    case ClaimVerdict::OtherBody:
        return this->endWithReply(
                notRun(ErrorCode::Conflict, "the key was used with another request"));
    case ClaimVerdict::Full:
        return this->endWithReply(notRun(ErrorCode::Overloaded, "no room for more claims"));
    case ClaimVerdict::NotHolder:
    case ClaimVerdict::TooLate:
        break;
    }
    // The log has released this attempt's claim: its entry was declared lost, or time ran out.
    return this->endWithReply(
            notRun(ErrorCode::Unavailable, "the claim was released before dispatch"));
}

ClaimActions ClaimedRequest::onConnected(Instant now)
{
    if (this->step != Step::Connecting)
        return {};
    if (now >= this->releaseAt())
        return this->release(now, makeError(ErrorCode::Timeout, "claim.connect", "deadline"));
    this->step = Step::MarkingDispatched;
    return this->propose(state::control::DispatchClaim{this->start.id, this->start.holder}, now);
}

ClaimActions ClaimedRequest::onConnectFailed(Instant now)
{
    if (this->step != Step::Connecting)
        return {};
    return this->release(now, makeError(ErrorCode::Unavailable, "claim.connect",
                                        "the endpoint can't be reached"));
}

ClaimActions ClaimedRequest::onMarkedDispatched(const ClaimAnswer &answer, Instant now)
{
    if (answer.verdict != ClaimVerdict::Granted)
        return this->endWithReply(
                notRun(ErrorCode::Unavailable, "the claim was released before dispatch"));
    // A process that was paused may resume here with a claim that the log has released meanwhile.
    // Past the deadline it must not use the claim.
    if (now >= this->start.deadline)
        return this->recordOutcome(std::nullopt, now);
    this->step = Step::Running;
    this->requestSent = true;
    return {SendRequest{}};
}

ClaimActions ClaimedRequest::onResult(state::control::ClaimResult result, Instant now)
{
    if (!this->requestSent || std::exchange(this->hasResult, true))
        return {};
    return this->recordOutcome(std::move(result), now);
}

ClaimActions ClaimedRequest::onEndpointLost(Instant now)
{
    if (this->step != Step::Running)
        return {};
    return this->recordOutcome(std::nullopt, now);
}

ClaimActions ClaimedRequest::onProposalLost(std::uint64_t id, Instant now)
{
    // Every command may be resent: the log gives a copy the same answer as the first.
    if (id == this->proposalId)
        this->resendAt = std::min(this->resendAt, now);
    return {};
}

ClaimActions ClaimedRequest::onTimer(Instant now)
{
    const bool sentNothing = this->step == Step::Taking || this->step == Step::Connecting
                             || this->step == Step::MarkingDispatched;
    if (sentNothing && now >= this->releaseAt())
        return this->release(now, makeError(ErrorCode::Timeout, "claim.run", "deadline"));
    if (this->step == Step::Releasing && now >= this->start.deadline)
        return this->endWithReply(
                unknown(ErrorCode::Timeout, "the claim's release was not confirmed"));
    if (this->step == Step::Running && now >= this->start.deadline)
        return this->recordOutcome(std::nullopt, now);
    if (this->step == Step::Finishing && now >= this->start.deadline + finishWindow) {
        this->step = Step::Done;
        return {};
    }
    if (this->pendingCommand && now >= this->resendAt)
        return this->sendPending(now);
    return {};
}

Instant ClaimedRequest::nextTimer() const
{
    Instant next = this->start.deadline;
    if (this->step == Step::Done)
        return Instant::max();
    if (this->step == Step::Finishing)
        next = this->start.deadline + finishWindow;
    if (this->step < Step::Running)
        next = this->releaseAt();
    return this->pendingCommand ? std::min(next, this->resendAt) : next;
}

ClaimActions ClaimedRequest::propose(state::control::Command command, Instant now)
{
    this->pendingCommand = std::move(command);
    ++this->proposalId;
    return this->sendPending(now);
}

ClaimActions ClaimedRequest::sendPending(Instant now)
{
    this->resendAt = now + this->settings.resendAfter;
    return {ProposeCommand{this->proposalId, *this->pendingCommand}};
}

ClaimActions ClaimedRequest::release(Instant now, state::Error error)
{
    this->step = Step::Releasing;
    this->releaseReason = std::move(error);
    return this->propose(state::control::ReleaseClaim{this->start.id, this->start.holder}, now);
}

ClaimActions ClaimedRequest::onReleased(const ClaimAnswer &answer)
{
    // NotHolder: the log never granted the claim to this attempt, or has since granted it to
    // another.
    const bool settled =
            answer.verdict == ClaimVerdict::Granted || answer.verdict == ClaimVerdict::NotHolder;
    if (settled)
        return this->endWithReply({Ran::No, std::nullopt, this->releaseReason});
    // The dispatch mark was committed before the release. Nothing was sent, but the log can't know
    // that and answers "unknown" to a resend, so this caller is told the same.
    return this->endWithReply(unknown(ErrorCode::Timeout, "the request was marked as dispatched"));
}

ClaimActions ClaimedRequest::recordOutcome(std::optional<state::control::ClaimResult> result,
                                           Instant now)
{
    ReplyToCaller reply =
            unknown(ErrorCode::Unavailable, "the endpoint gave no whole answer; it may have run");
    if (result)
        reply = {Ran::Yes, result, std::nullopt};
    this->step = Step::Finishing;
    ClaimActions actions = this->propose(
            state::control::FinishClaim{this->start.id, this->start.holder, std::move(result)},
            now);
    if (!std::exchange(this->replied, true))
        actions.emplace_back(std::move(reply));
    return actions;
}

ClaimActions ClaimedRequest::endWithReply(ReplyToCaller reply)
{
    this->step = Step::Done;
    this->pendingCommand.reset();
    if (std::exchange(this->replied, true))
        return {};
    return {std::move(reply)};
}

} // namespace lavenderthread::coordination::claims
