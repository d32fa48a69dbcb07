// Outgoing half of Membership: ticks, probes, spreading news within the byte budget, and updates of
// this member's own record.
#include "coordination/membership/Membership.h"

#include "coordination/membership/AntiEntropy.h"

#include <algorithm>
#include <cmath>

namespace lavenderthread::coordination::membership {

namespace {

constexpr std::size_t sealBytes = 16;
// Exchanges and critical news may overdraw the budget by this much. Otherwise a burst of other news
// would block joining members and delay drains for as long as it lasts.
constexpr double overdraftBytes = 4'000;
// Share of a full budget that loads leave to news: loads are sent continuously and expire anyway.
constexpr double budgetShareReservedFromLoads = 0.5;
// Share of a full budget that gossip rounds leave to the eager push of new records: rounds repeat
// records that were pushed when they were new.
constexpr double budgetShareReservedFromRounds = 0.25;
constexpr double secondsPerMinute = 60;
constexpr double minimumDigits = 2; // lets news survive loss also in a small cluster
// With more records than this in the queue, each ordinary one is sent burstSends times only.
constexpr std::size_t burstRecords = 100;
// With more than this, each member record is sent half as often: when many members fail together,
// their records would use up the budget of a minute in seconds.
constexpr std::size_t memberBurstRecords = 20;
constexpr unsigned burstSends = 2;
constexpr state::Duration forgetInterval = std::chrono::seconds(10);

} // namespace

state::Result<Membership> Membership::create(MembershipSettings settings, state::Instant now)
{
    constexpr std::size_t maximumCluster = 32;
    constexpr std::size_t maximumId = 128;
    constexpr std::size_t smallestDatagram = 900; // a digest or the largest record, with headers
    const auto fail = [](const char *cause) {
        return state::makeError(state::ErrorCode::InvalidArgument, "membership.create", cause);
    };
    if (settings.cluster.empty() || settings.cluster.size() > maximumCluster)
        return fail("the cluster name must have 1 to 32 characters");
    if (settings.self.empty() || settings.self.value().size() > maximumId)
        return fail("the VM id must have 1 to 128 characters");
    if (settings.incarnation == 0)
        return fail("the incarnation must be above 0");
    if (settings.datagramBytes < smallestDatagram)
        return fail("datagrams must hold at least 900 bytes");
    const auto longest = std::max(settings.description.failureDomain.value().size(),
                                  settings.description.region.value().size());
    if (longest > maximumId)
        return fail("failure domain and region must have at most 128 characters");
    return Membership(std::move(settings), now);
}

Membership::Membership(MembershipSettings chosen, state::Instant now)
    : settings(std::move(chosen))
    , random(this->settings.randomSeed)
    , failureDetector(this->settings.failureDetector, this->settings.self, now)
    , budget(this->settings.bytesPerSecond, this->settings.burstBytes, -overdraftBytes, now)
    , endpointStartBudget(this->settings.endpointStartBytesPerMinute / secondsPerMinute,
                          this->settings.endpointStartBytesPerMinute, 0, now)
    , startedAt(now)
    , nextGossip(now)
    , nextExchange(now)
    , nextReconnect(now + this->settings.reconnectInterval)
    , nextForget(now + forgetInterval)
{
    MemberRecord own{this->settings.self, this->settings.incarnation};
    own.description = std::make_shared<const MemberDescription>(this->settings.description);
    this->memberTable.apply(own, now);
    this->ownStatus.member = memberKey(own.id);
    this->ownStatus.sequence = own.incarnation;
    this->memberTable.applyStatus(this->ownStatus);
}

GossipActions Membership::tick(state::Instant now)
{
    GossipActions actions;
    if (this->superseded)
        return actions;
    this->probe(actions, now);
    this->gossip(actions, now);
    this->sendConfirmations(actions);
    this->resendDeregistrations(actions, now);
    this->resendBroadcasts(actions, now);
    this->exchange(actions, now);
    this->contactSeeds(actions, now);
    this->reconnect(actions, now);
    this->forget(actions, now);
    std::erase_if(this->relayedPings, [&](const auto &item) { return now >= item.second.until; });
    return actions;
}

void Membership::probe(GossipActions &actions, state::Instant now)
{
    const ProbeActions probeActions =
            this->failureDetector.tick(this->memberTable, this->random, now);
    if (probeActions.suspect)
        this->declareHealth(*probeActions.suspect, MemberHealth::Suspect, actions, now);
    for (const state::VmId &id : probeActions.dead)
        this->declareHealth(id, MemberHealth::Dead, actions, now);
    if (probeActions.ping) {
        const MemberRecord &target = this->memberTable.find(*probeActions.ping)->record;
        GossipMessage message = this->makeMessage(GossipKind::Ping, probeActions.sequence);
        message.target = target.id;
        // The probe tells a suspect that it is suspected, in time for it to refute that.
        if (target.health != MemberHealth::Alive)
            message.members.push_back(target);
        this->sendWithPiggyback(actions, target.description->gossip, std::move(message), now);
    }
    for (const state::VmId &id : probeActions.recheck)
        this->pingForRefutation(this->memberTable.find(id)->record, MemberRecord{}, actions);
    if (!probeActions.pingIndirectly)
        return;
    // With 20% datagram loss, all of these fail for a live member in one probe of sixty.
    constexpr std::size_t indirectProbes = 4;
    const MemberEntry *target = this->memberTable.find(*probeActions.pingIndirectly);
    GossipMessage again = this->makeMessage(GossipKind::Ping, probeActions.sequence);
    again.target = target->record.id;
    this->sendPlain(actions, target->record.description->gossip, std::move(again));
    for (const MemberEntry *helper : this->memberTable.randomLive(
                 indirectProbes, this->settings.self, *probeActions.pingIndirectly, this->random)) {
        GossipMessage message = this->makeMessage(GossipKind::PingRequest, probeActions.sequence);
        message.target = *probeActions.pingIndirectly;
        this->sendPlain(actions, helper->record.description->gossip, std::move(message));
    }
}

void Membership::gossip(GossipActions &actions, state::Instant now)
{
    if (now < this->nextGossip || this->news.empty())
        return;
    this->nextGossip = now + this->settings.gossipInterval;
    for (const MemberEntry *peer :
         this->memberTable.randomLive(this->settings.gossipFanout, this->settings.self,
                                      this->settings.self, this->random)) {
        const std::optional<NewsUrgency> leastUrgent = this->leastUrgentOfRound(now);
        if (!leastUrgent)
            return;
        const std::uint64_t sentBefore = this->gossipCounters.sentBytes;
        this->sendWithPiggyback(actions, peer->record.description->gossip,
                                this->makeMessage(GossipKind::News), now, *leastUrgent);
        if (leastUrgent == NewsUrgency::EndpointStart)
            this->endpointStartBudget.spend(this->gossipCounters.sentBytes - sentBefore);
    }
}

std::optional<NewsUrgency> Membership::leastUrgentOfRound(state::Instant now)
{
    if (this->news.empty())
        return std::nullopt;
    const double left = this->budget.left(now);
    if (left > this->settings.burstBytes * budgetShareReservedFromRounds
        || (this->news.has(NewsUrgency::Critical) && left > -overdraftBytes))
        return NewsUrgency::Ordinary;
    if (this->news.has(NewsUrgency::EndpointStart) && this->endpointStartBudget.left(now) > 0)
        return NewsUrgency::EndpointStart;
    return std::nullopt;
}

// Deregistrations and drains: a leaving endpoint takes new work for at most two seconds more, and
// its deregistration is acknowledged because the eager push meets that limit. Gossip rounds alone
// reached the last of 126 members after 2 to 10 s. These records are few and short, so they may
// exceed the budget. Changes of many endpoints at once, as when their home entry is lost, exceed
// the datagram and wait for the rounds.
//
void Membership::pushEagerly(const std::vector<endpoints::EndpointRecord> &records, unsigned fanout,
                             GossipActions &actions, state::Instant now)
{
    if (this->superseded)
        return;
    GossipMessage message = this->makeMessage(GossipKind::News);
    std::size_t room = this->remainingBytes(message);
    for (const endpoints::EndpointRecord &record : records) {
        const std::size_t bytes = endpoints::wireBytes(record);
        if (bytes > room)
            break; // gossip rounds spread the rest
        if (!stopsNewWork(record) && this->budget.left(now) <= 0)
            continue;
        room -= bytes;
        message.endpointRecords.push_back(record);
    }
    if (message.endpointRecords.empty())
        return;
    for (const MemberEntry *peer : this->memberTable.randomLive(fanout, this->settings.self,
                                                                this->settings.self, this->random))
        this->sendPlain(actions, peer->record.description->gossip, message);
}

void Membership::exchange(GossipActions &actions, state::Instant now)
{
    if (!this->synced && now - this->startedAt >= this->settings.joinTimeout)
        this->synced = true;
    if (now < this->nextExchange)
        return;
    this->nextExchange =
            now + (this->synced ? this->settings.syncInterval : this->settings.joinSyncInterval);
    const std::optional<state::Address> peer = this->exchangePeer();
    if (!peer) {
        this->synced = true; // this is the first member of its cluster
        return;
    }
    if (!this->hasExchangeBudget(now))
        return;
    GossipMessage message = this->makeMessage(GossipKind::Digest);
    message.digest = makeDigest({this->memberTable, this->endpointRecords}, now);
    if (!this->synced)
        this->addSelfRecord(message);
    this->sendPlain(actions, *peer, std::move(message));
}

std::optional<state::Address> Membership::exchangePeer()
{
    const auto peers =
            this->memberTable.randomLive(1, this->settings.self, this->settings.self, this->random);
    if (!peers.empty())
        return peers.front()->record.description->gossip;
    const std::vector<state::Address> seeds = this->seedsWithoutLiveMember();
    if (seeds.empty())
        return std::nullopt;
    return seeds[this->random() % seeds.size()];
}

std::vector<state::Address> Membership::seedsWithoutLiveMember() const
{
    std::vector<state::Address> seeds = this->settings.seeds;
    std::erase(seeds, this->settings.description.gossip);
    for (const auto &[id, entry] : this->memberTable.entries()) {
        if (entry.record.isLive() && entry.record.description != nullptr)
            std::erase(seeds, entry.record.description->gossip);
    }
    return seeds;
}

// Members that start at the same time may form two groups that don't know each other, so that the
// entries of one never learn of the endpoints of the other. Either a group knows no live member at
// some seed address, and contacting that seed joins the groups, or it knows one at each and the
// groups have met already.
void Membership::contactSeeds(GossipActions &actions, state::Instant now)
{
    if (now < this->nextSeedContact)
        return;
    this->nextSeedContact = now + this->settings.seedContactInterval;
    const std::vector<state::Address> seeds = this->seedsWithoutLiveMember();
    if (seeds.empty() || this->memberTable.liveCount() < 2)
        return; // a member that knows no other contacts the seeds by its exchange
    GossipMessage message = this->makeMessage(GossipKind::Digest);
    message.digest = makeDigest({this->memberTable, this->endpointRecords}, now);
    this->addSelfRecord(message);
    this->sendPlain(actions, seeds[this->random() % seeds.size()], std::move(message));
}

void Membership::reconnect(GossipActions &actions, state::Instant now)
{
    if (now < this->nextReconnect)
        return;
    this->nextReconnect = now + this->settings.reconnectInterval;
    std::vector<const MemberEntry *> dead;
    for (const auto &[id, entry] : this->memberTable.entries()) {
        if (entry.record.health == MemberHealth::Dead && entry.record.phase != MemberPhase::Left)
            dead.push_back(&entry);
    }
    if (dead.empty())
        return;
    this->pingForRefutation(dead[this->random() % dead.size()]->record, this->selfRecord(),
                            actions);
}

void Membership::pingForRefutation(const MemberRecord &target, const MemberRecord &introduction,
                                   GossipActions &actions)
{
    GossipMessage message = this->makeMessage(GossipKind::Ping);
    message.target = target.id;
    message.members.push_back(target);
    message.members.back().description = nullptr;
    if (!introduction.id.empty())
        message.members.push_back(introduction);
    this->sendPlain(actions, target.description->gossip, std::move(message));
}

void Membership::forget(GossipActions &actions, state::Instant now)
{
    if (now < this->nextForget)
        return;
    this->nextForget = now + forgetInterval;
    actions.membersChanged |= this->memberTable.forget(now, this->settings.leftRetention,
                                                       this->settings.deadRetention);
    actions.endpointsChanged |= this->endpointRecords.forget(now, this->settings.leftRetention);
}

GossipActions Membership::setSelf(const SelfState &next, state::Instant now)
{
    GossipActions actions;
    MemberRecord own = this->selfRecord();
    if (next.phase != own.phase || next.ready != own.ready
        || next.reachesEndpoints != own.reachesEndpoints) {
        own.phase = next.phase;
        own.ready = next.ready;
        own.reachesEndpoints = next.reachesEndpoints;
        ++own.version;
        this->updateSelfRecord(own, actions, now);
    }
    if (next.tableVersion != this->ownStatus.tableVersion || next.load != this->ownStatus.load) {
        this->ownStatus.tableVersion = next.tableVersion;
        this->ownStatus.load = std::min(next.load, maximumLoad);
        ++this->ownStatus.sequence;
        this->memberTable.applyStatus(this->ownStatus);
    }
    return actions;
}

GossipActions Membership::publish(const endpoints::EndpointRecord &record, state::Instant now)
{
    GossipActions actions;
    const endpoints::MergeResult merged = this->endpointRecords.apply(record, now);
    if (!merged.changed)
        return actions;
    actions.endpointsChanged = true;
    if (merged.record.phase == endpoints::EndpointPhase::Left)
        this->deregistrationTracker.track(merged.record, now);
    this->storeDeregistration(merged, actions);
    const bool full = merged.descriptionChanged;
    const NewsForm form = full ? NewsForm::Full : NewsForm::Short;
    const endpoints::EndpointRecord news = inForm(merged.record, form);
    const NewsUrgency urgency = urgencyOf(news);
    this->news.add({NewsSubject::Endpoint, record.id.value()}, form, urgency);
    if (urgency == NewsUrgency::EndpointStart || merged.coldChanged)
        this->broadcast({news}, {}, actions, now);
    else if (full || stopsNewWork(merged.record))
        this->pushEagerly({news}, this->settings.eagerPushFanout, actions, now);
    return actions;
}

GossipActions Membership::sendLoads(const std::vector<state::LoadReport> &loads,
                                    const std::vector<state::VmId> &watchers, state::Instant now)
{
    GossipActions actions;
    GossipMessage message = this->makeMessage(GossipKind::Load);
    for (const state::LoadReport &load : loads) {
        if (loadWireBytes + load.endpoint.value().size() <= this->remainingBytes(message))
            message.loads.push_back(load);
    }
    for (const state::VmId &id : watchers) {
        const MemberEntry *watcher = this->memberTable.find(id);
        if (this->superseded || message.loads.empty()
            || this->budget.left(now) <= this->settings.burstBytes * budgetShareReservedFromLoads)
            break;
        if (watcher != nullptr && watcher->record.isLive() && id != this->settings.self)
            this->sendPlain(actions, watcher->record.description->gossip, message);
    }
    return actions;
}

const MemberRecord &Membership::selfRecord() const
{
    return this->memberTable.find(this->settings.self)->record;
}

bool Membership::isIsolated(state::Instant now) const
{
    return this->failureDetector.isIsolated(this->memberTable, now);
}

void Membership::updateSelfRecord(const MemberRecord &next, GossipActions &actions,
                                  state::Instant now)
{
    const bool isNew = next.incarnation != this->selfRecord().incarnation
                       || this->selfRecord().phase == MemberPhase::Joining;
    this->memberTable.apply(next, now);
    this->news.add({NewsSubject::Member, next.id.value()}, isNew ? NewsForm::Full : NewsForm::Short,
                   NewsUrgency::Urgent);
    actions.membersChanged = true;
}

void Membership::declareHealth(const state::VmId &member, MemberHealth health,
                               GossipActions &actions, state::Instant now)
{
    const MemberEntry *entry = this->memberTable.find(member);
    if (entry == nullptr || !entry->record.isLive())
        return;
    MemberRecord worse = entry->record;
    worse.health = health;
    if (this->memberTable.apply(worse, now) != ApplyResult::Changed)
        return;
    this->failureDetector.updateSuspicion(worse, this->memberTable.liveCount(), now);
    this->news.add({NewsSubject::Member, member.value()}, NewsForm::Short, NewsUrgency::Urgent);
    actions.membersChanged = true;
}

GossipMessage Membership::makeMessage(GossipKind kind, std::uint32_t sequence) const
{
    GossipMessage message;
    message.kind = kind;
    message.cluster = this->settings.cluster;
    message.sender = this->settings.self;
    message.senderIncarnation = this->selfRecord().incarnation;
    message.sequence = sequence;
    return message;
}

void Membership::addSelfRecord(GossipMessage &message) const
{
    message.members.push_back(this->selfRecord());
}

void Membership::sendWithPiggyback(GossipActions &actions, const state::Address &to,
                                   GossipMessage message, state::Instant now,
                                   NewsUrgency leastUrgent)
{
    const bool isNews = message.kind == GossipKind::News;
    if (isNews || this->budget.left(now) > 0) {
        this->news.fill(message, this->remainingBytes(message), this->newsLimits(),
                        this->memberTable, this->endpointRecords, leastUrgent);
        this->updateColdTimes(message, now);
        // Statuses don't go with News datagrams but with probes, whose rate is fixed; else they
        // would use up the budget just when there is much news to send.
        const std::size_t wanted = this->news.empty() ? this->settings.statusesPerDatagram
                                                      : this->settings.statusesBesideNews;
        const std::size_t statuses =
                std::min(wanted, this->remainingBytes(message) / statusWireBytes);
        if (!isNews)
            message.statuses = this->memberTable.takeStatuses(statuses, this->settings.self);
    }
    this->sendPlain(actions, to, std::move(message));
}

void Membership::updateColdTimes(GossipMessage &message, state::Instant now) const
{
    for (endpoints::EndpointRecord &record : message.endpointRecords) {
        const endpoints::EndpointEntry *known = this->endpointRecords.find(record.id);
        if (known != nullptr && !record.cold.isNewerThan(known->record.cold))
            record.cold = known->coldMarkAt(now);
    }
}

void Membership::sendPlain(GossipActions &actions, const state::Address &to, GossipMessage message)
{
    const std::size_t bytes = wireBytes(message) + sealAndHeaderBytes;
    this->budget.spend(bytes);
    this->gossipCounters.sentBytes += bytes;
    ++this->gossipCounters.sentDatagrams;
    actions.sends.push_back({to, std::move(message)});
}

void Membership::sendRecords(GossipActions &actions, const state::Address &to,
                             const std::vector<std::uint64_t> &keys, std::size_t maximumMessages,
                             state::Instant now)
{
    const std::size_t bytes = this->remainingBytes(this->makeMessage(GossipKind::Records));
    for (const GossipMessage &part :
         collectRecords({this->memberTable, this->endpointRecords}, keys, bytes, maximumMessages)) {
        if (!this->hasExchangeBudget(now))
            return;
        GossipMessage message = this->makeMessage(GossipKind::Records);
        message.members = part.members;
        message.endpointRecords = part.endpointRecords;
        this->updateColdTimes(message, now);
        this->sendPlain(actions, to, std::move(message));
    }
}

bool Membership::hasExchangeBudget(state::Instant now)
{
    // A joining member may always exchange: joinSyncInterval limits its rate, its requests are
    // small.
    return !this->synced || this->budget.left(now) > -overdraftBytes;
}

std::size_t Membership::remainingBytes(const GossipMessage &message) const
{
    const std::size_t used = wireBytes(message) + sealBytes;
    return used >= this->settings.datagramBytes ? 0 : this->settings.datagramBytes - used;
}

NewsLimits Membership::newsLimits() const
{
    const double members = static_cast<double>(this->memberTable.entries().size());
    const auto digits =
            static_cast<unsigned>(std::max(minimumDigits, std::ceil(std::log10(members + 1))));
    // In a burst, sending each description only a few times and leaving the rest to the exchange is
    // faster than repeating all of them.
    const bool memberBurst = this->news.size() > memberBurstRecords;
    const bool burst = this->news.size() > burstRecords;
    return {this->settings.criticalNewsFactor * digits, this->settings.endpointStartSends,
            this->settings.urgentNewsFactor * digits / (memberBurst ? 2 : 1),
            burst ? burstSends : this->settings.ordinaryNewsFactor * digits};
}

} // namespace lavenderthread::coordination::membership
