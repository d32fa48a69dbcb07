// A queue of long prompts whose order is the same at all entries.
//
// An engine divides its time among all prompts that it prefills concurrently, so prompts that start
// together on the same engines all complete late. Each entry therefore holds back its own long
// prompts and announces them to its peers, with their ranks. Every entry knows the same order, so
// that no coordination round is needed to divide the engines among the prompts.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace lavenderthread::coordination::admission {

struct LongPromptQueueSettings
{
    // A peer's prompt is forgotten after this time unless it is announced again. Otherwise a
    // crashed or partitioned entry would hold back all the others.
    state::Duration peerLifetime = std::chrono::milliseconds(250);
};

struct WaitingPrompt
{
    std::uint64_t requestHash = 0; // hash of the request id
    std::uint64_t modelHash = 0;   // the order is kept for each model by itself
    std::uint32_t promptTokens = 0;
    double engineSeconds = 0; // to prefill it
    state::Duration firstEventTarget{0};
    state::Instant arrival;
    // Its rank is its arrival plus this delay: a prompt that occupies the engines for longer lets
    // shorter ones pass that arrive within the delay, and no later ones.
    state::Duration rankDelay{0};
};

// A waiting prompt and, if it waits at this entry, its request.
struct QueuedPrompt
{
    WaitingPrompt prompt;
    std::optional<state::RequestId> ownId;
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

    // All prompts in their order, up to the last own one.
    std::vector<QueuedPrompt> inOrder(state::Instant now);
    // Engine time, in seconds, of all waiting prompts of its model that go before this one.
    double secondsBefore(const WaitingPrompt &prompt, state::Instant now) const;
    double countBefore(const WaitingPrompt &prompt, state::Instant now) const;
    // The sum of a property over all waiting prompts of a model.
    double sumOf(std::uint64_t modelHash, state::Instant now,
                 const std::function<double(const WaitingPrompt &)> &property) const;
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

    static Rank rankOf(const WaitingPrompt &prompt);
    void dropExpired(state::Instant now);

    LongPromptQueueSettings settings;
    std::map<Rank, Entry> byRank; // own and peers' prompts
    std::map<std::uint64_t, Rank>
            rankByRequestHash; // by request hash; the same prompts as in `byRank`
    std::map<std::uint64_t, state::RequestId> ownRequestIds; // by request hash; own prompts only
};

} // namespace lavenderthread::coordination::admission
