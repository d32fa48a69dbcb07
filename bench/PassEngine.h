// Stand-in of an engine that works in passes, in virtual time: prefill in pieces between the tokens
// of others, parts of prompts for other engines ahead of own ones and the newest of them first.
#pragma once

#include "state/Time.h"
#include "state/routes/EngineProfile.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace lavenderthread::bench {

class PassEngine
{
public:
    struct Hooks
    {
        std::function<void(std::uint64_t work)> partDone; // a part of that prompt is prefilled
        std::function<void(std::uint64_t work, bool last)>
                event; // so many tokens as a pass has steps
    };

    PassEngine(state::routes::EngineProfile chosen, Hooks engineHooks)
        : profile(chosen)
        , hooks(std::move(engineHooks))
    {}

    // `seconds`: engine time of the part; `tokens` of it are prefilled.
    void prefill(std::uint64_t work, double tokens, double seconds, bool helping);
    // All parts of the prompt are done; it decodes from the next pass on.
    void decode(std::uint64_t work, double contextTokens, std::uint32_t events);
    void cancel(std::uint64_t work);

    bool isIdle() const { return this->parts.empty() && this->writers.empty(); }
    // Requests that wait for a place; parts for other engines need none.
    std::size_t queued() const { return this->queue.size(); }
    // Begins a pass if none runs and there is work; gives the time at which it ends.
    std::optional<state::Instant> begin(state::Instant now);
    // The pass that ends now.
    void end();

private:
    struct Part
    {
        std::uint64_t work = 0;
        double tokens = 0; // left
        double secondsPerToken = 0;
        bool helping = false;
    };
    struct Writer
    {
        std::uint64_t work = 0;
        double context = 0;
        std::uint32_t events = 0; // left
    };

    double readSome(double tokens);
    void release(std::uint64_t work); // its place goes to the first that waits

    state::routes::EngineProfile profile;
    Hooks hooks;
    std::vector<Part> parts; // helping ones first, the newest ahead; then own ones in their order
    std::vector<Part> queue; // own requests without a place
    std::vector<std::uint64_t> placed; // own requests with one, at most as many as there are slots
    std::vector<Writer> writers;
    std::vector<Writer> writing;     // in the pass that runs
    std::vector<std::uint64_t> done; // parts that the pass that runs ends
    bool running = false;
};

} // namespace lavenderthread::bench
