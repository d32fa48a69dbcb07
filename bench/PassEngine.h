// Stand-in of an engine that works in passes, in virtual time: prefill in pieces between the tokens
// of others, parts of prompts for other engines ahead of own ones and the newest of them first.
// A request is admitted when it has a place and its prompt's memory; until then it waits, with all
// behind it, and its helpers have nothing to do yet.
#pragma once

#include "state/Time.h"
#include "state/routes/EngineProfile.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lavenderthread::bench {

class PassEngine
{
public:
    struct Hooks
    {
        std::function<void(std::uint64_t work)> admitted; // its helpers may begin
        std::function<void(std::uint64_t work)> partDone; // a part of that prompt is prefilled
        std::function<void(std::uint64_t work, bool last)>
                event; // so many tokens as a pass has steps
    };

    PassEngine(state::routes::EngineProfile chosen, Hooks engineHooks)
        : profile(chosen)
        , hooks(std::move(engineHooks))
    {}

    // A request of its own. `seconds`: engine time of its part, in which `tokens` are prefilled;
    // `memory`: tokens that it keeps here. Lower priorities are admitted first.
    void ask(std::uint64_t work, double tokens, double seconds, double memory, int priority);
    // A part of a prompt that another engine answers.
    void help(std::uint64_t work, double tokens, double seconds);
    // False if the memory isn't free.
    bool reserve(const std::string &lease, double tokens);
    void release(const std::string &lease);
    // All parts of the prompt are done; it decodes from the next pass on.
    void decode(std::uint64_t work, double contextTokens, std::uint32_t events);
    void cancel(std::uint64_t work);

    bool isIdle() const { return this->parts.empty() && this->writers.empty(); }
    // Requests that wait for a place or memory; parts for other engines need neither.
    std::size_t queued() const { return this->queue.size(); }
    // Engine time so far, in seconds.
    double prefillTime() const { return this->prefilled; }
    double decodeTime() const { return this->decoded; }
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
    };
    struct Asked
    {
        Part part;
        double memory = 0;
        int priority = 0;
    };
    struct Writer
    {
        std::uint64_t work = 0;
        double context = 0;
        std::uint32_t events = 0; // left
    };

    double readSome(double tokens);
    double usedMemory() const;
    void admitWaiting();
    void leave(std::uint64_t work); // its place and memory go to the first that waits

    state::routes::EngineProfile profile;
    Hooks hooks;
    std::vector<Part> parts;  // helping ones first, the newest ahead; then own ones in their order
    std::vector<Asked> queue; // own requests that are not admitted, by priority, then as they came
    std::map<std::uint64_t, double> placed; // memory of the admitted, at most as many as slots
    std::map<std::string, double> reserved; // memory by lease
    std::vector<Writer> writers;
    std::vector<Writer> writing;     // in the pass that runs
    std::vector<std::uint64_t> done; // parts that the pass that runs ends
    bool running = false;
    double prefilled = 0;
    double decoded = 0;
};

} // namespace lavenderthread::bench
