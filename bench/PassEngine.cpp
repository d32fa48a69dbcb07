#include "PassEngine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavenderthread::bench {

void PassEngine::ask(std::uint64_t work, double tokens, double seconds, double memory, int priority)
{
    const Asked asked{{work, tokens, seconds / std::max(tokens, 1.0)}, memory, priority};
    const auto place = std::ranges::upper_bound(this->queue, priority, {}, &Asked::priority);
    this->queue.insert(place, asked);
    this->admitWaiting();
}

void PassEngine::help(std::uint64_t work, double tokens, double seconds)
{
    this->parts.insert(this->parts.begin(), {work, tokens, seconds / std::max(tokens, 1.0)});
}

bool PassEngine::reserve(const std::string &lease, double tokens)
{
    if (this->usedMemory() + tokens > double(this->profile.kvCapacityTokens))
        return false;
    this->reserved[lease] = tokens;
    return true;
}

void PassEngine::release(const std::string &lease)
{
    this->reserved.erase(lease);
    this->admitWaiting();
}

double PassEngine::usedMemory() const
{
    double used = 0;
    for (const auto &[work, memory] : this->placed)
        used += memory;
    for (const auto &[lease, memory] : this->reserved)
        used += memory;
    return used;
}

void PassEngine::admitWaiting()
{
    while (!this->queue.empty() && this->placed.size() < this->profile.slots) {
        const Asked next = this->queue.front();
        if (this->usedMemory() + next.memory > double(this->profile.kvCapacityTokens))
            return;
        this->queue.erase(this->queue.begin());
        this->placed[next.part.work] = next.memory;
        this->parts.push_back(next.part);
        this->hooks.admitted(next.part.work);
    }
}

void PassEngine::leave(std::uint64_t work)
{
    this->placed.erase(work);
    this->admitWaiting();
}

void PassEngine::decode(std::uint64_t work, double contextTokens, std::uint32_t events)
{
    this->writers.push_back({work, contextTokens, events});
}

void PassEngine::cancel(std::uint64_t work)
{
    std::erase_if(this->queue, [work](const Asked &asked) { return asked.part.work == work; });
    std::erase_if(this->parts, [work](const Part &part) { return part.work == work; });
    std::erase_if(this->writers, [work](const Writer &writer) { return writer.work == work; });
    this->leave(work);
}

// Prefills up to so many tokens; gives the time that it takes.
double PassEngine::readSome(double tokens)
{
    double seconds = 0;
    while (tokens > 0 && !this->parts.empty()) {
        Part &part = this->parts.front();
        const double taken = std::min(tokens, part.tokens);
        part.tokens -= taken;
        tokens -= taken;
        seconds += taken * part.secondsPerToken;
        if (part.tokens > 0)
            break;
        this->done.push_back(part.work);
        this->parts.erase(this->parts.begin());
    }
    return seconds;
}

std::optional<state::Instant> PassEngine::begin(state::Instant now)
{
    if (this->running || this->isIdle())
        return std::nullopt;
    this->running = true;
    this->writing = this->writers;
    double context = 0;
    for (const Writer &writer : this->writing)
        context += writer.context;
    // Without decoding requests a pass is one step.
    const double steps = this->writing.empty() ? 1 : double(this->profile.stepsPerPass);
    const double decode =
            state::routes::decodePassSeconds(this->profile, double(this->writing.size()), context)
            * steps / double(this->profile.stepsPerPass);
    const double reading = this->readSome(steps * double(this->profile.stepTokens));
    this->prefilled += reading;
    this->decoded += this->writing.empty() ? 0 : decode;
    const auto length = std::chrono::duration_cast<state::Duration>(
            std::chrono::duration<double>(decode + reading));
    return now + std::max(length, state::Duration(1));
}

void PassEngine::end()
{
    this->running = false;
    for (const std::uint64_t work : std::exchange(this->done, {}))
        this->hooks.partDone(work);
    for (const Writer &wrote : std::exchange(this->writing, {})) {
        const auto writer = std::ranges::find(this->writers, wrote.work, &Writer::work);
        if (writer == this->writers.end())
            continue; // cancelled meanwhile
        const bool last = --writer->events == 0;
        if (last) {
            this->writers.erase(writer);
            this->leave(wrote.work);
        }
        this->hooks.event(wrote.work, last);
    }
}

} // namespace lavenderthread::bench
