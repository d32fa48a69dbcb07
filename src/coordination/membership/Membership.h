// Membership by gossip as a state machine: datagrams and ticks go in, datagrams to send come out.
// It holds what this entry knows of all members and all endpoints, and spreads what changes.
#pragma once

#include "coordination/endpoints/EndpointTable.h"
#include "coordination/membership/ConfirmedSpread.h"
#include "coordination/membership/FailureDetector.h"
#include "coordination/membership/GossipMessage.h"
#include "coordination/membership/MemberTable.h"
#include "coordination/membership/MembershipSettings.h"
#include "coordination/membership/NewsQueue.h"
#include "state/ByteBudget.h"
#include "state/Error.h"

#include <random>

namespace lavenderthread::coordination::membership {

struct GossipSend
{
    state::Address to;
    GossipMessage message;
};

// An endpoint of which another member told that it gets no more work.
struct HeardEnd
{
    state::EndpointId endpoint;
    std::uint64_t incarnation = 0;
    state::VmId sender;
    GossipKind kind = GossipKind::News; // of the message
};

struct GossipActions
{
    std::vector<GossipSend> sends;
    std::vector<HeardEnd> ends;
    bool membersChanged = false; // some record, not only a status
    bool endpointsChanged = false;
    std::vector<state::LoadReport> loads; // that arrived
};

// What the process says of itself.
struct SelfState
{
    MemberPhase phase = MemberPhase::Joining;
    bool ready = false;
    std::uint64_t tableVersion = 0;
    std::uint8_t load = 0;

    bool operator==(const SelfState &) const = default;
};

struct GossipCounters
{
    std::uint64_t sentDatagrams = 0;
    std::uint64_t sentBytes = 0; // upper bound, with seal and the headers of IP and UDP
    std::uint64_t refusedCluster = 0;
    std::uint64_t refusedIncarnation = 0;

    bool operator==(const GossipCounters &) const = default;
};

class Membership
{
public:
    static constexpr state::Duration tickInterval = std::chrono::milliseconds(100);

    // Error: InvalidArgument, step "membership.create".
    static state::Result<Membership> create(MembershipSettings settings, state::Instant now);

    // Call every tickInterval.
    GossipActions tick(state::Instant now);
    // `from` is where the datagram came from; its seal has been checked.
    GossipActions receive(const GossipMessage &message, const state::Address &from,
                          state::Instant now);
    GossipActions setSelf(const SelfState &next, state::Instant now);
    // Merges a record made on this entry and spreads it if it was newer.
    GossipActions publish(const endpoints::EndpointRecord &record, state::Instant now);

    // Sends loads of endpoints announced here to `watchers`, unless the byte budget is used up.
    GossipActions sendLoads(const std::vector<state::LoadReport> &loads,
                            const std::vector<state::VmId> &watchers, state::Instant now);

    // Whether every live member has confirmed that the endpoint has left, as far as this member
    // sees to it.
    bool isDeregisteredEverywhere(const state::EndpointId &endpoint) const
    {
        return !this->confirmedSpread.isOnItsWay(endpoint);
    }
    // An endpoint that has left says so again: this member sees to it that all know if the one that
    // it told first is gone.
    void deregisteredAgain(const state::EndpointId &endpoint, state::Instant now);

    const MemberTable &members() const { return this->memberTable; }
    const endpoints::EndpointTable &endpointTable() const { return this->endpointRecords; }
    const state::VmId &self() const { return this->settings.self; }
    const MemberRecord &selfRecord() const;
    const GossipCounters &counters() const { return this->gossipCounters; }
    std::size_t pendingNews() const { return this->news.size(); }
    // This process holds what the others know, or has waited long enough for it.
    bool isSynced() const { return this->synced; }
    bool isIsolated(state::Instant now) const;
    // A newer process runs under this id. This one must stop; it sends nothing any more.
    bool isSuperseded() const { return this->superseded; }

private:
    struct Relay
    {
        state::Address requester;
        std::uint32_t sequence = 0;
        state::Instant until;
    };

    Membership(MembershipSettings chosen, state::Instant now);

    void probe(GossipActions &actions, state::Instant now);
    void gossip(GossipActions &actions, state::Instant now);
    // Sends what has just been heard to a few members, at once.
    void passOn(const std::vector<endpoints::EndpointRecord> &records, GossipActions &actions,
                state::Instant now);
    void resendDeregistrations(GossipActions &actions, state::Instant now);
    void confirmDeregistrations(GossipActions &actions);
    void noteDeregistration(const GossipMessage &message, const endpoints::EndpointRecord &news,
                            const endpoints::MergeResult &merged);
    void exchange(GossipActions &actions, state::Instant now);
    void reconnect(GossipActions &actions, state::Instant now);
    // A direct ping that carries what is said of the target, whose ack then refutes it. A target
    // that may not know this member is given an introduction.
    void pingAccused(const MemberRecord &target, const MemberRecord &introduction,
                     GossipActions &actions);
    void forget(GossipActions &actions, state::Instant now);
    std::optional<state::Address> exchangePeer();
    std::vector<state::Address> unmetSeeds() const; // that no live member known here has
    void seekSeeds(GossipActions &actions, state::Instant now);

    bool isRefused(const GossipMessage &message, const state::Address &from, GossipActions &actions,
                   state::Instant now);
    void applyRecords(const GossipMessage &message, const state::Address &from,
                      GossipActions &actions, state::Instant now);
    void applySelf(const MemberRecord &claim, GossipActions &actions, state::Instant now);
    void answer(const GossipMessage &message, const state::Address &from, GossipActions &actions,
                state::Instant now);
    void relayPing(const GossipMessage &message, const state::Address &from, GossipActions &actions,
                   state::Instant now);
    void relayAck(const GossipMessage &message, GossipActions &actions, state::Instant now);
    void followSummary(const GossipMessage &summary, const state::Address &from,
                       GossipActions &actions, state::Instant now);

    void changeSelf(const MemberRecord &next, GossipActions &actions, state::Instant now);
    void declare(const state::VmId &member, MemberHealth health, GossipActions &actions,
                 state::Instant now);
    GossipMessage makeMessage(GossipKind kind, std::uint32_t sequence = 0) const;
    void addSelf(GossipMessage &message) const;
    // Fills the room that is left with news and statuses if the budget allows.
    void send(GossipActions &actions, const state::Address &to, GossipMessage message,
              state::Instant now);
    void sendBare(GossipActions &actions, const state::Address &to, GossipMessage message);
    void sendRecords(GossipActions &actions, const state::Address &to,
                     const std::vector<std::uint64_t> &keys, std::size_t maximumMessages,
                     state::Instant now);
    std::size_t room(const GossipMessage &message) const;
    NewsLimits newsLimits() const;
    bool mayExchange(state::Instant now);

    MembershipSettings settings;
    std::mt19937_64 random;
    MemberTable memberTable; // always holds this member itself
    endpoints::EndpointTable endpointRecords;
    NewsQueue news;
    ConfirmedSpread confirmedSpread; // of endpoints that deregistered here
    // Deregistrations that were heard of since the last tick, by the member that waits for a word.
    std::map<state::VmId, std::vector<std::uint64_t>> owedConfirmations;
    FailureDetector failureDetector;
    state::ByteBudget budget;
    GossipCounters gossipCounters;
    MemberStatus ownStatus;
    std::map<std::uint32_t, Relay> relays; // by the sequence of the ping sent for the requester
    std::uint32_t lastRelay = 0;
    state::Instant startedAt;
    state::Instant nextGossip;
    state::Instant nextExchange;
    state::Instant nextReconnect;
    state::Instant nextSeek;
    state::Instant nextForget;
    bool synced = false;
    bool differs = false; // from another member, by the last Summary
    bool superseded = false;
};

} // namespace lavenderthread::coordination::membership
