// The order in which long prompts start, over all entries.
//
// Engines share their time among all prompts that they prefill at once, so prompts that start
// together all end late. Each entry therefore keeps its own long prompts back and tells the others
// of them; one starts when it is the first of all and engines are free. Every entry orders what it
// knows by the same rank, so no entry has to ask another.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lavenderthread::coordination::admission {

struct LongQueueSettings
{
    // A prompt's rank is its arrival plus this many times its engine time: shorter ones go first,
    // and longer ones catch up as they wait.
    double secondsPerEngineSecond = 0.5;
    // What a peer has told is forgotten after this long unless it says so again: an entry that was
    // killed or cut off would hold up all the others.
    state::Duration peerLife = std::chrono::milliseconds(250);
};

struct WaitingPrompt
{
    std::uint64_t work = 0;   // hash of the request's id
    double engineSeconds = 0; // to prefill it
    state::Instant arrival;
};

class LongQueue
{
public:
    explicit LongQueue(LongQueueSettings chosen = {})
        : settings(chosen)
    {}

    void add(const state::RequestId &id, const WaitingPrompt &prompt);
    void remove(std::uint64_t work); // own or a peer's: it has started or ended
    void notePeer(const WaitingPrompt &prompt, state::Instant now);

    // The own prompt that may start now: the first of all that wait anywhere.
    std::optional<state::RequestId> head(state::Instant now);
    // Engine time of all that wait and go before this prompt.
    double secondsBefore(const WaitingPrompt &prompt, state::Instant now) const;
    std::vector<std::pair<state::RequestId, WaitingPrompt>> own() const;
    std::optional<WaitingPrompt> findOwn(std::uint64_t work) const;
    bool hasOwn() const { return !this->ids.empty(); }

private:
    struct Rank
    {
        state::Instant at;
        std::uint64_t work = 0;

        auto operator<=>(const Rank &) const = default;
    };
    struct Entry
    {
        WaitingPrompt prompt;
        state::Instant expires; // of a peer's
    };

    Rank rankOf(const WaitingPrompt &prompt) const;
    void dropExpired(state::Instant now);

    LongQueueSettings settings;
    std::map<Rank, Entry> order;                   // own ones and peers'
    std::map<std::uint64_t, Rank> ranks;           // exactly those of `order`
    std::map<std::uint64_t, state::RequestId> ids; // of the own ones
};

} // namespace lavenderthread::coordination::admission
