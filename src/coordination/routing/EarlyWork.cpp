#include "coordination/routing/EarlyWork.h"

#include <algorithm>
#include <vector>

namespace lavenderthread::coordination::routing {

void EarlyWork::add(const WorkNote &note, state::Instant now)
{
    if (this->works.size() >= capacity)
        this->dropExpired(now);
    if (this->works.size() < capacity || this->works.contains(note.requestHash))
        this->works.insert_or_assign(note.requestHash, Work{note, now, std::nullopt});
}

void EarlyWork::advance(std::uint64_t requestHash, WorkStage stage, state::Instant now)
{
    const auto found = this->works.find(requestHash);
    if (found == this->works.end())
        return;
    if (stage == WorkStage::Ended)
        this->works.erase(found);
    else if (stage == WorkStage::Decoding)
        found->second.decodingAt = now;
}

void EarlyWork::applyTo(EngineView &engine, state::Instant now)
{
    this->dropExpired(now);
    const EngineKey key = EngineKey::of(engine.description().id);
    struct Step
    {
        state::Instant at;
        const WorkNote *dispatched;
        bool decoding;
    };
    std::vector<Step> steps;
    for (const auto &[hash, work] : this->works) {
        const WorkNote &note = work.dispatched;
        if (note.engine != key && std::ranges::find(note.helpers, key) == note.helpers.end())
            continue;
        steps.push_back({work.dispatchedAt, &note, false});
        if (work.decodingAt)
            steps.push_back({*work.decodingAt, &note, true});
    }
    std::ranges::stable_sort(steps, {}, &Step::at);
    for (const Step &step : steps) {
        const WorkNote &note = *step.dispatched;
        if (note.engine == key) {
            WorkNote applied = note;
            applied.stage = step.decoding ? WorkStage::Decoding : WorkStage::Dispatched;
            engine.apply(applied, step.at);
        } else if (step.decoding) {
            engine.completeHelperWork(note.requestHash, WorkStage::Decoding, step.at);
        } else {
            engine.addHelperWork(note, note.memoryOf(key), step.at);
        }
    }
    engine.advance(now);
}

// The end of work that was lost with its entry, or whose note was lost, is never reported.
void EarlyWork::dropExpired(state::Instant now)
{
    std::erase_if(this->works, [now](const auto &each) {
        return each.second.dispatchedAt + each.second.dispatched.lifetime <= now;
    });
}

} // namespace lavenderthread::coordination::routing
