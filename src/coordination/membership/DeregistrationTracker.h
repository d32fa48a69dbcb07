// Tracks the deregistrations that this member has acknowledged until every live member has
// confirmed them. Gossip alone misses about one member in 150 and leaves it to the exchange, which
// takes seconds; an entry that missed a deregistration goes on sending work to the endpoint.
#pragma once

#include "coordination/endpoints/EndpointRecord.h"
#include "coordination/membership/MemberTable.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <unordered_set>
#include <vector>

namespace lavenderthread::coordination::membership {

// Identifies the deregistration of one incarnation of an endpoint in a confirmation.
std::uint64_t deregistrationKey(const state::EndpointId &endpoint, std::uint64_t incarnation);

struct DeregistrationTrackerSettings
{
    // Longer than gossip and the confirmations of the members that it reaches take.
    state::Duration firstResend = std::chrono::milliseconds(200);
    state::Duration resendInterval = std::chrono::milliseconds(200);
    // Longer than it takes to declare a failed member dead.
    state::Duration giveUpAfter = std::chrono::seconds(10);
    std::size_t membersPerResend = 64; // at most, with one datagram each, in one tick
};

// Decides which members are sent a deregistration again and when it is finished. A deregistration
// is dropped when all live members have confirmed it or after giveUpAfter.
class DeregistrationTracker
{
public:
    // A member and the endpoints whose deregistration it has not confirmed.
    struct MissingConfirmations
    {
        const MemberEntry *member = nullptr;
        std::vector<state::EndpointId> endpoints;
    };

    DeregistrationTracker() = default;
    explicit DeregistrationTracker(const DeregistrationTrackerSettings &chosen)
        : settings(chosen)
    {}

    void track(const endpoints::EndpointRecord &left, state::Instant now);
    void recordConfirmation(std::uint64_t member, std::uint64_t deregistration);
    // Drops the deregistrations that all live members other than `self` have confirmed, and those
    // older than giveUpAfter.
    void removeFinished(const MemberTable &members, const state::VmId &self, state::Instant now);
    bool isPending(const state::EndpointId &endpoint) const
    {
        return this->pendingDeregistrations.contains(endpoint);
    }
    // Returns the resends that are due, at most membersPerResend, and schedules the next ones.
    std::vector<MissingConfirmations> takeDueResends(const MemberTable &members,
                                                     const state::VmId &self, state::Instant now);

private:
    struct PendingDeregistration
    {
        std::uint64_t key = 0;
        state::Instant startedAt;
        state::Instant nextSend;
        std::unordered_set<std::uint64_t> confirmedBy; // memberKey of each
    };

    DeregistrationTrackerSettings settings;
    std::map<state::EndpointId, PendingDeregistration> pendingDeregistrations;
    std::size_t resendOffset = 0; // offset of the last resend that could not cover all members
};

} // namespace lavenderthread::coordination::membership
