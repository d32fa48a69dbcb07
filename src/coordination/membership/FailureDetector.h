// Finds members that no longer answer: a direct probe, then probes through others, then suspicion,
// which the suspect may refute before it is declared dead.
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
    state::Duration probeTimeout = std::chrono::milliseconds(300); // then through others
    // A suspect has this many probe intervals for each decimal digit of the number of members.
    unsigned suspicionFactor = 4;
    // No datagram accepted for this long: the fault is taken to be on this side.
    state::Duration isolationAfter = std::chrono::seconds(4);
};

// What tick() asks for.
struct ProbeActions
{
    std::optional<state::VmId> ping; // directly, with `sequence`
    std::optional<state::VmId> pingThroughOthers;
    std::uint32_t sequence = 0;
    std::optional<state::VmId> suspect;
    std::vector<state::VmId> check; // suspects that get a last direct probe
    std::vector<state::VmId> dead;
};

class FailureDetector
{
public:
    FailureDetector(FailureDetectorSettings chosen, state::VmId ownId, state::Instant start)
        : settings(chosen)
        , self(std::move(ownId))
        , nextProbe(start)
        , heardAt(start)
    {}

    ProbeActions tick(const MemberTable &members, std::mt19937_64 &random, state::Instant now);
    void acknowledged(std::uint32_t sequence);
    void heard(state::Instant now) { this->heardAt = now; } // any datagram that was accepted
    // Starts or ends the countdown after the member's record changed.
    void observe(const MemberRecord &record, std::size_t members, state::Instant now);
    // True while nothing is heard. An isolated member accuses nobody: it would find all others
    // silent, declare them dead one by one, and on its return make every one of them refute that.
    bool isIsolated(const MemberTable &members, state::Instant now) const;

private:
    struct Probe
    {
        state::VmId target;
        std::uint32_t sequence = 0;
        state::Instant sentAt;
        bool throughOthers = false;
    };

    std::optional<state::VmId> nextTarget(const MemberTable &members, std::mt19937_64 &random);
    void reviewSuspicions(const MemberTable &members, bool isolated, state::Instant now,
                          ProbeActions &actions);
    state::Duration suspicionTime(std::size_t members) const;

    FailureDetectorSettings settings;
    state::VmId self;
    std::vector<state::VmId> round; // shuffled; every member is probed once a round
    std::size_t roundPosition = 0;
    std::optional<Probe> probe; // unanswered
    std::uint32_t lastSequence = 0;
    state::Instant nextProbe;
    state::Instant heardAt;
    struct Suspicion
    {
        std::uint32_t version = 0; // of the record that is suspected
        state::Instant ends;
        unsigned checks = 0; // last direct probes sent
    };
    std::map<state::VmId, Suspicion> suspicions;
};

} // namespace lavenderthread::coordination::membership
