// SWIM failure detector: a direct probe, then indirect probes through other members, then
// suspicion, which the suspect may refute before it is declared dead.
#pragma once

#include "coordination/membership/MemberTable.h"
#include "state/Time.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace lavenderthread::coordination::membership {

struct FailureDetectorSettings
{
    state::Duration probeInterval = std::chrono::seconds(1);
    state::Duration probeTimeout = std::chrono::milliseconds(300); // then indirectly
    // A suspect is declared dead after this many probe intervals for each decimal digit of the
    // number of members.
    unsigned suspicionFactor = 4;
    // After this long without an accepted datagram, this member assumes that the fault is its own.
    state::Duration isolationTimeout = std::chrono::seconds(4);
};

// What the caller of tick() has to do.
struct ProbeActions
{
    std::optional<state::VmId> ping;           // gets a direct probe with `sequence`
    std::optional<state::VmId> pingIndirectly; // gets indirect probes with `sequence`
    std::uint32_t sequence = 0;
    std::optional<state::VmId> suspect;
    std::vector<state::VmId> recheck; // suspects to probe directly before they are declared dead
    std::vector<state::VmId> dead;    // whose suspicion ended without a refutation
};

// Probes every member once a round, in random order, and times the suspicions. It sends nothing
// itself.
class FailureDetector
{
public:
    FailureDetector(FailureDetectorSettings chosen, state::VmId ownId, state::Instant start)
        : settings(chosen)
        , self(std::move(ownId))
        , nextProbe(start)
        , lastContactAt(start)
    {}

    ProbeActions tick(const MemberTable &members, std::mt19937_64 &random, state::Instant now);
    void recordAck(std::uint32_t sequence);
    // Call for every accepted datagram.
    void recordContact(state::Instant now) { this->lastContactAt = now; }
    // Starts, restarts or ends the suspicion timer after a change of the member's record. `members`
    // is the number of live members.
    void updateSuspicion(const MemberRecord &record, std::size_t members, state::Instant now);
    // True while no datagram arrives although other members are live. An isolated member suspects
    // nobody: otherwise it would declare all others dead one by one, and each of them would have to
    // refute that after its return.
    bool isIsolated(const MemberTable &members, state::Instant now) const;

private:
    struct Probe
    {
        state::VmId target;
        std::uint32_t sequence = 0;
        state::Instant sentAt;
        bool indirect = false;
    };

    std::optional<state::VmId> nextTarget(const MemberTable &members, std::mt19937_64 &random);
    void reviewSuspicions(const MemberTable &members, bool isolated, state::Instant now,
                          ProbeActions &actions);
    state::Duration suspicionTimeout(std::size_t members) const;

    FailureDetectorSettings settings;
    state::VmId self;
    std::vector<state::VmId> round; // shuffled; each member is probed once a round
    std::size_t roundPosition = 0;
    std::optional<Probe> probe; // not yet acknowledged
    std::uint32_t lastSequence = 0;
    state::Instant nextProbe;
    state::Instant lastContactAt;
    struct Suspicion
    {
        std::uint32_t version = 0; // of the suspected record
        state::Instant ends;
        unsigned rechecks = 0; // direct probes sent because the suspicion is about to end
    };
    std::map<state::VmId, Suspicion> suspicions;
};

} // namespace lavenderthread::coordination::membership
