// SWIM-style gossip membership as a state machine: its inputs are datagrams and ticks, its outputs
// are datagrams to send. It holds the records of all members and endpoints known to this entry and
// spreads changes of them.
#pragma once

#include "coordination/endpoints/EndpointTable.h"
#include "coordination/membership/BroadcastTracker.h"
#include "coordination/membership/DeregistrationTracker.h"
#include "coordination/membership/FailureDetector.h"
#include "coordination/membership/GossipMessage.h"
#include "coordination/membership/MemberTable.h"
#include "coordination/membership/MembershipSettings.h"
#include "coordination/membership/NewsQueue.h"
#include "state/ByteBudget.h"
#include "state/Error.h"

#include <optional>
#include <random>
#include <unordered_set>

namespace lavenderthread::coordination::membership {

struct GossipSend
{
    state::Address to;
    GossipMessage message;
};

// A received record by which an endpoint gets no more work: it left or is being drained.
struct EndOfWorkReport
{
    state::EndpointId endpoint;
    std::uint64_t incarnation = 0;
    state::VmId sender;
    GossipKind kind = GossipKind::News; // of the message that carried the record
};

// What the caller has to do after an input: send datagrams and pass on the changes.
struct GossipActions
{
    std::vector<GossipSend> sends;
    std::vector<EndOfWorkReport> endOfWorkReports;
    bool membersChanged = false; // a record changed; status changes don't count
    bool endpointsChanged = false;
    std::vector<state::LoadReport> loads; // received in a Load message
    // To be stored durably and then reported by recordStored(). Empty unless
    // MembershipSettings::storesDeregistrations.
    std::vector<state::Deregistration> deregistrations;
};

// The part of this member's own record and status that the process sets.
struct SelfState
{
    MemberPhase phase = MemberPhase::Joining;
    bool ready = false;
    std::uint64_t tableVersion = 0;
    std::uint8_t load = 0;
    bool reachesEndpoints = true;

    bool operator==(const SelfState &) const = default;
};

struct GossipCounters
{
    std::uint64_t sentDatagrams = 0;
    std::uint64_t sentBytes = 0;      // upper bound, including the seal and the IP and UDP headers
    std::uint64_t refusedCluster = 0; // datagrams of another cluster
    std::uint64_t refusedIncarnation = 0; // datagrams of an outdated incarnation of their sender

    bool operator==(const GossipCounters &) const = default;
};

// Keeps the member and endpoint tables of one entry in agreement with those of all other members:
// probes members, spreads news, and repairs missed news by full-state exchanges. It does no I/O.
class Membership
{
public:
    static constexpr state::Duration tickInterval = std::chrono::milliseconds(100);
    static constexpr std::size_t sealAndHeaderBytes = 16 + 28; // seal, IPv4 and UDP headers

    // Error: InvalidArgument, step "membership.create".
    static state::Result<Membership> create(MembershipSettings settings, state::Instant now);

    // Call every tickInterval.
    GossipActions tick(state::Instant now);
    // `from` is the source address of the datagram. The caller has verified the seal.
    GossipActions receive(const GossipMessage &message, const state::Address &from,
                          state::Instant now);
    GossipActions setSelf(const SelfState &next, state::Instant now);
    // Merges a record made by this entry and spreads it if it is newer than the known one.
    GossipActions publish(const endpoints::EndpointRecord &record, state::Instant now);

    // Sends the loads of endpoints announced to this entry to `watchers`, while more than half of
    // the byte budget is left.
    GossipActions sendLoads(const std::vector<state::LoadReport> &loads,
                            const std::vector<state::VmId> &watchers, state::Instant now);

    // False while this member waits for live members to confirm that the endpoint has left. True
    // also if this member doesn't track the deregistration or has given up on it.
    bool isDeregisteredEverywhere(const state::EndpointId &endpoint) const
    {
        return !this->deregistrationTracker.isPending(endpoint);
    }
    // Handles a deregistration that an endpoint repeats: if its home entry is gone, this member
    // collects the confirmations instead.
    void handleRepeatedDeregistration(const state::EndpointId &endpoint, state::Instant now);

    // Takes deregistrations that were stored before the start of this process, so that no late
    // announcement puts the endpoint into use again. Call before the first tick.
    void restore(const std::vector<state::Deregistration> &deregistrations, state::Instant now);
    void recordStored(const std::vector<state::Deregistration> &deregistrations);
    // Whether the present incarnation's deregistration is durable here, or need not be: this member
    // stores none.
    bool isDeregistrationStored(const state::EndpointId &endpoint) const;

    const MemberTable &members() const { return this->memberTable; }
    const endpoints::EndpointTable &endpointTable() const { return this->endpointRecords; }
    const state::VmId &self() const { return this->settings.self; }
    const MemberRecord &selfRecord() const;
    const GossipCounters &counters() const { return this->gossipCounters; }
    std::size_t pendingNews() const { return this->news.size(); }
    // True once an exchange found no difference, joinTimeout has passed, or there is nobody to ask.
    bool isSynced() const { return this->synced; }
    bool isIsolated(state::Instant now) const;
    // True once a newer process runs under this VM id. This one must stop; it sends nothing more.
    bool isSuperseded() const { return this->superseded; }

private:
    // A ping sent on behalf of another member.
    struct RelayedPing
    {
        state::Address requester;
        std::uint32_t sequence = 0; // of the requester's PingRequest
        state::Instant until;       // an ack that arrives later is not relayed
    };

    Membership(MembershipSettings chosen, state::Instant now);

    void probe(GossipActions &actions, state::Instant now);
    void gossip(GossipActions &actions, state::Instant now);
    // What a gossip round may send: nothing, or the news that is at least so urgent.
    std::optional<NewsUrgency> leastUrgentOfRound(state::Instant now);
    // Sends new records to a few random members at once, without waiting for the next gossip round.
    void pushEagerly(const std::vector<endpoints::EndpointRecord> &records, unsigned fanout,
                     GossipActions &actions, state::Instant now);
    // Sends the starts of endpoints to all live members with keys in the range: to a few of them,
    // each of which passes them on within a part of the range.
    void broadcast(const std::vector<endpoints::EndpointRecord> &records,
                   const MemberKeyRange &range, GossipActions &actions, state::Instant now);
    std::vector<std::uint64_t> liveKeysIn(const MemberKeyRange &range) const;
    void sendBroadcast(BroadcastPart part, GossipActions &actions, state::Instant now);
    void receiveBroadcast(const GossipMessage &message, const state::Address &from,
                          GossipActions &actions, state::Instant now);
    void resendBroadcasts(GossipActions &actions, state::Instant now);
    void resendDeregistrations(GossipActions &actions, state::Instant now);
    void sendConfirmations(GossipActions &actions);
    void storeDeregistration(const endpoints::MergeResult &merged, GossipActions &actions);
    void queueConfirmation(const GossipMessage &message, const endpoints::EndpointRecord &news,
                           const endpoints::MergeResult &merged);
    void exchange(GossipActions &actions, state::Instant now);
    void reconnect(GossipActions &actions, state::Instant now);
    // Sends a direct ping with the record that calls the target suspect or dead, so that its ack
    // carries the refutation. `introduction` is added unless its id is empty; it is meant for a
    // target that may not know this member.
    void pingForRefutation(const MemberRecord &target, const MemberRecord &introduction,
                           GossipActions &actions);
    void forget(GossipActions &actions, state::Instant now);
    std::optional<state::Address> exchangePeer();
    // Returns the seeds at whose addresses no live member is known.
    std::vector<state::Address> seedsWithoutLiveMember() const;
    void contactSeeds(GossipActions &actions, state::Instant now);

    bool isRefused(const GossipMessage &message, const state::Address &from, GossipActions &actions,
                   state::Instant now);
    void applyRecords(const GossipMessage &message, const state::Address &from,
                      GossipActions &actions, state::Instant now);
    void applyClaimAboutSelf(const MemberRecord &claim, GossipActions &actions, state::Instant now);
    void answer(const GossipMessage &message, const state::Address &from, GossipActions &actions,
                state::Instant now);
    void relayPing(const GossipMessage &message, const state::Address &from, GossipActions &actions,
                   state::Instant now);
    void relayAck(const GossipMessage &message, GossipActions &actions, state::Instant now);
    void handleSummary(const GossipMessage &summary, const state::Address &from,
                       GossipActions &actions, state::Instant now);

    void updateSelfRecord(const MemberRecord &next, GossipActions &actions, state::Instant now);
    void declareHealth(const state::VmId &member, MemberHealth health, GossipActions &actions,
                       state::Instant now);
    GossipMessage makeMessage(GossipKind kind, std::uint32_t sequence = 0) const;
    void addSelfRecord(GossipMessage &message) const;
    // Fills the rest of the datagram with news before sending. A message of another kind than News
    // gets news and statuses only while the byte budget is above zero.
    void sendWithPiggyback(GossipActions &actions, const state::Address &to, GossipMessage message,
                           state::Instant now, NewsUrgency leastUrgent = NewsUrgency::Ordinary);
    // Sets the cold times in the message to what is left of them now.
    void updateColdTimes(GossipMessage &message, state::Instant now) const;
    // Sends the message as it is.
    void sendPlain(GossipActions &actions, const state::Address &to, GossipMessage message);
    void sendRecords(GossipActions &actions, const state::Address &to,
                     const std::vector<std::uint64_t> &keys, std::size_t maximumMessages,
                     state::Instant now);
    std::size_t remainingBytes(const GossipMessage &message) const; // bytes left in its datagram
    NewsLimits newsLimits() const;
    bool hasExchangeBudget(state::Instant now);

    MembershipSettings settings;
    std::mt19937_64 random;
    MemberTable memberTable; // always contains this member
    endpoints::EndpointTable endpointRecords;
    NewsQueue news;
    // The deregistrations for which this member collects confirmations.
    DeregistrationTracker deregistrationTracker;
    // Keys of deregistrations, by the member that waits for the confirmation: received since the
    // last tick, or not stored yet.
    std::map<state::VmId, std::vector<std::uint64_t>> pendingConfirmations;
    std::unordered_set<std::uint64_t> unstoredDeregistrations; // their keys
    BroadcastTracker broadcastTracker;
    FailureDetector failureDetector;
    state::ByteBudget budget;
    // For the starts of endpoints, which other news must not hold up. What it pays for is taken
    // from `budget` too.
    state::ByteBudget endpointStartBudget;
    GossipCounters gossipCounters;
    MemberStatus ownStatus;
    std::map<std::uint32_t, RelayedPing> relayedPings; // by the sequence of the relayed ping
    std::uint32_t lastRelayedSequence = 0;
    state::Instant startedAt;
    state::Instant nextGossip;
    state::Instant nextExchange;
    state::Instant nextReconnect;
    state::Instant nextSeedContact;
    state::Instant nextForget;
    bool synced = false;
    bool differsFromPeer = false; // the last Summary reported differing buckets
    bool superseded = false;
};

} // namespace lavenderthread::coordination::membership
