// A queue of long prompts whose order is the same at all entries.
//
// An engine divides its time among all prompts that it prefills concurrently, so prompts that start
// together all complete late. Each entry therefore holds back its own long prompts and announces
// them to its peers; a prompt starts when it ranks first among all and engines are free. Every
// entry computes the same ranks from what it knows, so no coordination round is needed.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lavenderthread::coordination::admission {

struct LongPromptQueueSettings
{
    // A prompt's rank is its arrival plus this factor times its engine time: shorter prompts go
    // first, and longer ones catch up as they wait.
    double rankDelayPerEngineSecond = 0.5;
    // A peer's prompt is forgotten after this time unless it is announced again. Otherwise a
    // crashed or partitioned entry would block all the others.
    state::Duration peerLifetime = std::chrono::milliseconds(250);
};

struct WaitingPrompt
{
    std::uint64_t requestHash = 0; // hash of the request id
    double engineSeconds = 0;      // to prefill it
    state::Instant arrival;
};

// Holds the long prompts that wait at this entry and those that peers have announced.
class LongPromptQueue
{
public:
    explicit LongPromptQueue(LongPromptQueueSettings queueSettings = {})
        : settings(queueSettings)
    {}

    void add(const state::RequestId &id, const WaitingPrompt &prompt);
    void remove(std::uint64_t work); // an own or a peer's prompt that has started or ended
    void addPeerPrompt(const WaitingPrompt &prompt, state::Instant now);

    // The first prompt of the order if it is an own one, which may start now; nothing otherwise.
    std::optional<state::RequestId> head(state::Instant now);
    // Engine time, in seconds, of all waiting prompts that go before this one.
    double secondsBefore(const WaitingPrompt &prompt, state::Instant now) const;
    std::vector<std::pair<state::RequestId, WaitingPrompt>> ownPrompts() const;
    std::optional<WaitingPrompt> findOwn(std::uint64_t work) const;
    bool hasOwn() const { return !this->ownRequestIds.empty(); }

private:
    struct Rank
    {
        state::Instant effectiveArrival;
        std::uint64_t requestHash = 0;

        auto operator<=>(const Rank &) const = default;
    };
    struct Entry
    {
        WaitingPrompt prompt;
        state::Instant expires; // Instant::max() for own prompts
    };

    Rank rankOf(const WaitingPrompt &prompt) const;
    void dropExpired(state::Instant now);

    LongPromptQueueSettings settings;
    std::map<Rank, Entry> byRank; // own and peers' prompts
    std::map<std::uint64_t, Rank>
            rankByRequestHash; // by request hash; the same prompts as in `byRank`
    std::map<std::uint64_t, state::RequestId> ownRequestIds; // by request hash; own prompts only
};

} // namespace lavenderthread::coordination::admission
