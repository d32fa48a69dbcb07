#include "PassEngine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavenderthread::bench {

void PassEngine::prefill(std::uint64_t work, double tokens, double seconds, bool helping)
{
    const Part part{work, tokens, seconds / std::max(tokens, 1.0), helping};
    if (helping) {
        this->parts.insert(this->parts.begin(), part);
    } else if (this->placed.size() < this->profile.slots) {
        this->placed.push_back(work);
        this->parts.push_back(part);
    } else {
        this->queue.push_back(part);
    }
}

void PassEngine::release(std::uint64_t work)
{
    std::erase(this->placed, work);
    if (this->queue.empty() || this->placed.size() >= this->profile.slots)
        return;
    this->placed.push_back(this->queue.front().work);
    this->parts.push_back(this->queue.front());
    this->queue.erase(this->queue.begin());
}

void PassEngine::decode(std::uint64_t work, double contextTokens, std::uint32_t events)
{
    this->writers.push_back({work, contextTokens, events});
}

void PassEngine::cancel(std::uint64_t work)
{
    std::erase_if(this->queue, [work](const Part &part) { return part.work == work; });
    std::erase_if(this->parts, [work](const Part &part) { return part.work == work; });
    std::erase_if(this->writers, [work](const Writer &writer) { return writer.work == work; });
    this->release(work);
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
    const double steps = this->writing.empty() ? 1 : double(this->profile.stridePerPass);
    const double decode =
            state::routes::decodePassSeconds(this->profile, double(this->writing.size()), context)
            * steps / double(this->profile.stridePerPass);
    const double reading = this->readSome(steps * double(this->profile.stepTokens));
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
            this->release(wrote.work);
        }
        this->hooks.event(wrote.work, last);
    }
}

} // namespace lavenderthread::bench
