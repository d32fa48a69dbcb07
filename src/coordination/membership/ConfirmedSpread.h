// Deregistrations that this member has acknowledged, until every live member has confirmed them.
// Gossip alone reaches all but one member in 150 at once and leaves the rest to the exchange, which
// comes seconds later; an entry that has missed the end of an endpoint goes on sending it work.
#pragma once

#include "coordination/endpoints/EndpointRecord.h"
#include "coordination/membership/MemberTable.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <unordered_set>
#include <vector>

namespace lavenderthread::coordination::membership {

// What a confirmation names: one life of an endpoint.
std::uint64_t deregistrationKey(const state::EndpointId &endpoint, std::uint64_t incarnation);

struct ConfirmedSpreadSettings
{
    // Gossip and the confirmations of those that it reached take less than this.
    state::Duration firstResend = std::chrono::milliseconds(200);
    state::Duration resendInterval = std::chrono::milliseconds(200);
    // Longer than a member that has died counts as live.
    state::Duration giveUpAfter = std::chrono::seconds(10);
    std::size_t membersPerResend = 64; // datagrams that one tick sends at most
};

class ConfirmedSpread
{
public:
    // One member, and the endpoints whose end it has not confirmed.
    struct Missing
    {
        const MemberEntry *member = nullptr;
        std::vector<state::EndpointId> endpoints;
    };

    ConfirmedSpread() = default;
    explicit ConfirmedSpread(const ConfirmedSpreadSettings &chosen)
        : settings(chosen)
    {}

    void begin(const endpoints::EndpointRecord &left, state::Instant now);
    void confirmed(std::uint64_t member, std::uint64_t deregistration);
    // Drops what all live members other than `self` have confirmed, and what is given up.
    void settle(const MemberTable &members, const state::VmId &self, state::Instant now);
    bool isOnItsWay(const state::EndpointId &endpoint) const
    {
        return this->deliveries.contains(endpoint);
    }
    // Whom to send what now.
    std::vector<Missing> due(const MemberTable &members, const state::VmId &self,
                             state::Instant now);

private:
    struct Delivery
    {
        std::uint64_t deregistration = 0;
        state::Instant begunAt;
        state::Instant nextSend;
        std::unordered_set<std::uint64_t> confirmedBy; // keys of members
    };

    ConfirmedSpreadSettings settings;
    std::map<state::EndpointId, Delivery> deliveries;
    std::size_t turn = 0; // where the last tick began, if it could not send to all
};

} // namespace lavenderthread::coordination::membership
