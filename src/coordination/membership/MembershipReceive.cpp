// Incoming half of Membership: refuses or merges received messages and replies to them by kind.
#include "coordination/membership/AntiEntropy.h"
#include "coordination/membership/Membership.h"

#include <algorithm>

namespace lavenderthread::coordination::membership {

namespace {

// Set in the sequences of pings that are relayed for other members, so that their acks aren't taken
// for acks of this member's own probes.
constexpr std::uint32_t relaySequenceBit = 1U << 31U;
constexpr state::Duration relayTimeout = std::chrono::seconds(2);
constexpr std::size_t recordMessagesPerPull = 8;

} // namespace

GossipActions Membership::receive(const GossipMessage &message, const state::Address &from,
                                  state::Instant now)
{
    GossipActions actions;
    if (this->superseded || this->isRefused(message, from, actions, now))
        return actions;
    this->failureDetector.recordContact(now);
    this->applyRecords(message, from, actions, now);
    if (!this->superseded)
        this->answer(message, from, actions, now);
    return actions;
}

bool Membership::isRefused(const GossipMessage &message, const state::Address &from,
                           GossipActions &actions, state::Instant now)
{
    if (message.cluster != this->settings.cluster) {
        ++this->gossipCounters.refusedCluster;
        return true;
    }
    if (message.sender == this->settings.self) {
        MemberRecord senderRecord = this->selfRecord();
        senderRecord.incarnation = message.senderIncarnation;
        if (senderRecord.incarnation > this->selfRecord().incarnation)
            this->applyClaimAboutSelf(senderRecord, actions, now);
        return true;
    }
    const MemberEntry *sender = this->memberTable.find(message.sender);
    if (sender == nullptr || message.senderIncarnation >= sender->record.incarnation)
        return false;
    // The sender was replaced, or it started with a clock behind that of its predecessor. Its
    // records are outdated; the reply tells it so, and it stops or takes a higher incarnation.
    ++this->gossipCounters.refusedIncarnation;
    if (this->budget.left(now) > 0) {
        GossipMessage correction = this->makeMessage(GossipKind::Records);
        correction.members.push_back(sender->record);
        this->sendPlain(actions, from, std::move(correction));
    }
    return true;
}

void Membership::applyRecords(const GossipMessage &message, const state::Address &from,
                              GossipActions &actions, state::Instant now)
{
    const bool spread = message.kind != GossipKind::Records;
    std::vector<std::uint64_t> keysOutdatedAtSender;
    for (const MemberRecord &record : message.members) {
        if (record.id == this->settings.self) {
            this->applyClaimAboutSelf(record, actions, now);
            continue;
        }
        const ApplyResult result = this->memberTable.apply(record, now);
        if (result == ApplyResult::Older)
            keysOutdatedAtSender.push_back(memberKey(record.id));
        if (result == ApplyResult::Same)
            this->news.recordDuplicate({NewsSubject::Member, record.id.value()});
        if (result != ApplyResult::Changed)
            continue;
        actions.membersChanged = true;
        this->failureDetector.updateSuspicion(record, this->memberTable.liveCount(), now);
        if (spread)
            this->news.add({NewsSubject::Member, record.id.value()},
                           record.description ? NewsForm::Full : NewsForm::Short,
                           NewsUrgency::Urgent);
    }
    std::vector<endpoints::EndpointRecord> stopped;
    std::vector<endpoints::EndpointRecord> started;
    for (const endpoints::EndpointRecord &record : message.endpointRecords) {
        const endpoints::MergeResult merged = this->endpointRecords.apply(record, now);
        this->storeDeregistration(merged, actions);
        this->queueConfirmation(message, record, merged);
        if (merged.updateIsOlder)
            keysOutdatedAtSender.push_back(endpoints::endpointKey(record.id));
        if (!merged.changed) {
            if (!merged.updateIsOlder)
                this->news.recordDuplicate({NewsSubject::Endpoint, record.id.value()});
            continue;
        }
        actions.endpointsChanged = true;
        if (stopsNewWork(merged.record))
            actions.endOfWorkReports.push_back(
                    {record.id, merged.record.incarnation, message.sender, message.kind});
        if (spread)
            this->news.add({NewsSubject::Endpoint, record.id.value()},
                           record.description ? NewsForm::Full : NewsForm::Short,
                           urgencyOf(record));
        if (spread && stopsNewWork(record))
            stopped.push_back(record);
        else if (spread && record.description)
            started.push_back(record);
    }
    this->pushEagerly(stopped, this->settings.eagerPushFanout, actions, now);
    if (message.kind != GossipKind::Broadcast)
        this->pushEagerly(started, this->settings.missedBroadcastFanout, actions, now);
    for (const MemberStatus &status : message.statuses) {
        if (status.member != this->ownStatus.member)
            this->memberTable.applyStatus(status);
    }
    // Only outdated records pushed by a full-state exchange are corrected. News is often older than
    // what the receiver knows, and correcting it would mean a reply to every late datagram.
    if (!spread && !keysOutdatedAtSender.empty())
        this->sendRecords(actions, from, keysOutdatedAtSender, 1, now);
}

void Membership::applyClaimAboutSelf(const MemberRecord &claim, GossipActions &actions,
                                     state::Instant now)
{
    MemberRecord own = this->selfRecord();
    if (!claim.supersedes(own))
        return;
    if (claim.incarnation == own.incarnation) {
        own.version = claim.version + 1; // refutes suspicion, death or a predecessor's phase
        this->updateSelfRecord(own, actions, now);
        return;
    }
    if (own.phase != MemberPhase::Joining) {
        this->superseded = true;
        return;
    }
    // This process is still joining, so nobody relies on it: the claim stems from a predecessor
    // whose clock was ahead of the current one.
    own.incarnation = claim.incarnation + 1;
    own.version = 0;
    this->ownStatus.sequence = std::max(this->ownStatus.sequence, own.incarnation);
    this->updateSelfRecord(own, actions, now);
    this->memberTable.applyStatus(this->ownStatus);
}

void Membership::answer(const GossipMessage &message, const state::Address &from,
                        GossipActions &actions, state::Instant now)
{
    switch (message.kind) {
    case GossipKind::Ping: {
        // Another VM may have taken over the address; only the addressed member may acknowledge.
        if (message.target != this->settings.self)
            return;
        GossipMessage ack = this->makeMessage(GossipKind::Ack, message.sequence);
        const MemberEntry *sender = this->memberTable.find(message.sender);
        if (sender != nullptr && sender->record.health != MemberHealth::Alive)
            ack.members.push_back(sender->record);
        const bool carriesSelfRecord = std::any_of(
                message.members.begin(), message.members.end(),
                [&](const MemberRecord &record) { return record.id == this->settings.self; });
        if (carriesSelfRecord)
            this->addSelfRecord(ack);
        this->sendWithPiggyback(actions, from, std::move(ack), now);
        return;
    }
    case GossipKind::PingRequest:
        this->relayPing(message, from, actions, now);
        return;
    case GossipKind::Ack:
        if ((message.sequence & relaySequenceBit) != 0)
            this->relayAck(message, actions, now);
        else
            this->failureDetector.recordAck(message.sequence);
        return;
    case GossipKind::Digest: {
        if (message.digest.size() != digestBuckets || !this->hasExchangeBudget(now))
            return;
        GossipMessage summary = this->makeMessage(GossipKind::Summary);
        summarize({this->memberTable, this->endpointRecords}, message.digest,
                  this->remainingBytes(summary), this->random, now, summary);
        this->sendPlain(actions, from, std::move(summary));
        return;
    }
    case GossipKind::Summary:
        this->handleSummary(message, from, actions, now);
        return;
    case GossipKind::Pull:
        this->sendRecords(actions, from, message.keys, recordMessagesPerPull, now);
        return;
    case GossipKind::Load:
        actions.loads = message.loads;
        return;
    case GossipKind::Confirm:
        for (const std::uint64_t key : message.keys)
            this->deregistrationTracker.recordConfirmation(memberKey(message.sender), key);
        this->deregistrationTracker.removeFinished(this->memberTable, this->settings.self, now);
        return;
    case GossipKind::Broadcast:
        this->receiveBroadcast(message, from, actions, now);
        return;
    case GossipKind::BroadcastAck:
        this->broadcastTracker.recordAcknowledgement(message.sequence, message.sender);
        return;
    case GossipKind::News:
    case GossipKind::Records:
    case GossipKind::Deregistrations:
        return;
    }
}

void Membership::relayPing(const GossipMessage &message, const state::Address &from,
                           GossipActions &actions, state::Instant now)
{
    const MemberEntry *target = this->memberTable.find(message.target);
    if (target == nullptr || !target->record.isLive())
        return;
    const std::uint32_t sequence = ++this->lastRelayedSequence | relaySequenceBit;
    this->relayedPings[sequence] = RelayedPing{from, message.sequence, now + relayTimeout};
    GossipMessage ping = this->makeMessage(GossipKind::Ping, sequence);
    ping.target = message.target;
    this->sendPlain(actions, target->record.description->gossip, std::move(ping));
}

void Membership::relayAck(const GossipMessage &message, GossipActions &actions, state::Instant now)
{
    const auto relay = this->relayedPings.find(message.sequence);
    if (relay == this->relayedPings.end() || now >= relay->second.until)
        return;
    this->sendPlain(actions, relay->second.requester,
                    this->makeMessage(GossipKind::Ack, relay->second.sequence));
    this->relayedPings.erase(relay);
}

void Membership::handleSummary(const GossipMessage &summary, const state::Address &from,
                               GossipActions &actions, state::Instant now)
{
    this->differsFromPeer = summary.differingBuckets > 0;
    if (summary.differingBuckets == 0) {
        this->synced = true;
        return;
    }
    SummaryPlan plan = planExchange({this->memberTable, this->endpointRecords}, summary, now);
    GossipMessage pull = this->makeMessage(GossipKind::Pull);
    plan.pull.resize(
            std::min(plan.pull.size(), this->remainingBytes(pull) / sizeof(std::uint64_t)));
    pull.keys = std::move(plan.pull);
    if (!pull.keys.empty() && this->hasExchangeBudget(now))
        this->sendPlain(actions, from, std::move(pull));
    this->sendRecords(actions, from, plan.push, recordMessagesPerPull, now);
}

} // namespace lavenderthread::coordination::membership
