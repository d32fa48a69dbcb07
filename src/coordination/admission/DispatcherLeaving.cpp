// Requests of an entry that has been told to stop. Its callers get their answers through it, so
// what can't be answered before it ends is refused while its caller has time to go elsewhere.
#include "coordination/admission/Dispatcher.h"

namespace lavenderthread::coordination::admission {

namespace {

state::Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<state::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void Dispatcher::on(const EntryLeaving &event)
{
    this->answersUntil = event.answersUntil;
    this->answersCheckedAt = this->now - answerCheckPeriod;
    this->refuseUnanswerable();
    this->placeWaiting();
}

// From its dispatch to the end of its answer, at idle engines.
double Dispatcher::predictedAnswerSeconds(const CompletionRequest &request)
{
    if (!this->engines.worksInPasses(request.model) || !this->isLong(request))
        return this->idealSeconds(request);
    const routing::LongPromptEstimate outlook = this->engines.estimateLongPrompt(
            request.model, this->passRequestOf(request), this->now);
    return outlook.engines > 0 ? outlook.prefillSeconds + outlook.completionSeconds
                               : this->idealSeconds(request);
}

double Dispatcher::answerSeconds(const CompletionRequest &request)
{
    return this->predictedAnswerSeconds(request)
           * this->runTimes[this->isLong(request) ? 1 : 0].ratio();
}

// Also if it could be answered now, but not any more at the next check.
bool Dispatcher::isUnanswerable(const CompletionRequest &request)
{
    return this->answersUntil
           && this->now + toDuration(this->answerSeconds(request)) + answerCheckPeriod
                      > *this->answersUntil;
}

std::optional<Refuse> Dispatcher::leavingRefusal(const CompletionRequest &request)
{
    if (!this->isUnanswerable(request))
        return std::nullopt;
    return Refuse{request.id, RefusalReason::Leaving, retryElsewhere, Ran::No};
}

void Dispatcher::refuseUnanswerable()
{
    if (!this->answersUntil || this->now < this->answersCheckedAt + answerCheckPeriod)
        return;
    this->answersCheckedAt = this->now;
    std::vector<state::RequestId> late;
    for (const auto &[id, active] : this->activeRequests) {
        const bool waits = active.phase == Phase::Queued || active.phase == Phase::Reserving;
        if (waits && this->isUnanswerable(active.request))
            late.push_back(id);
    }
    for (const state::RequestId &id : late)
        this->refuse(id, RefusalReason::Leaving, retryElsewhere);
}

} // namespace lavenderthread::coordination::admission
