// Work on engines that this entry does not know yet. Entries learn of a new engine at different
// times, up to seconds apart. One that learns of it late would otherwise believe it idle, and all
// late ones would send their requests there.
#pragma once

#include "coordination/routing/EngineView.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace lavenderthread::coordination::routing {

// Keeps peers' work notes of requests that name an unknown engine, until the request ends.
class EarlyWork
{
public:
    // Further requests are not kept.
    static constexpr std::size_t capacity = 4'096;

    // Keeps a note on dispatched work.
    void add(const WorkNote &note, state::Instant now);
    // Records a later stage. No effect if the work is not kept.
    void advance(std::uint64_t requestHash, WorkStage stage, state::Instant now);
    // Gives an engine that has become known the work that it is believed to have, in the order in
    // which the notes arrived.
    void applyTo(EngineView &engine, state::Instant now);
    std::size_t size() const { return this->works.size(); }

private:
    struct Work
    {
        WorkNote dispatched;
        state::Instant dispatchedAt;
        std::optional<state::Instant> decodingAt;
    };

    void dropExpired(state::Instant now);

    std::unordered_map<std::uint64_t, Work> works; // by requestHash; at most `capacity`
};

} // namespace lavenderthread::coordination::routing
