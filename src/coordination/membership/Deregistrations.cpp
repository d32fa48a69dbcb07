// The part of Membership that makes every live member confirm the deregistration of an endpoint. A
// member that stores deregistrations confirms them once they are durable.
#include "coordination/membership/Membership.h"

#include <algorithm>
#include <utility>

namespace lavenderthread::coordination::membership {

namespace {

// Per waiting member and tick, which takes several datagrams. The waiting member asks again for the
// rest.
constexpr std::size_t maximumPendingPerMember = 200;
constexpr std::size_t keysPerConfirmation = 100;

bool isKnownToHaveLeft(const endpoints::EndpointRecord &news,
                       const endpoints::EndpointRecord &known)
{
    return known.incarnation > news.incarnation
           || (known.incarnation == news.incarnation
               && known.phase == endpoints::EndpointPhase::Left);
}

} // namespace

void Membership::queueConfirmation(const GossipMessage &message,
                                   const endpoints::EndpointRecord &news,
                                   const endpoints::MergeResult &merged)
{
    if (news.phase != endpoints::EndpointPhase::Left || !isKnownToHaveLeft(news, merged.record))
        return;
    const bool isRequested = message.kind == GossipKind::Deregistrations;
    const bool isFirstNews = merged.changed && message.kind == GossipKind::News;
    const state::VmId &waitingMember = isRequested ? message.sender : news.home;
    if ((!isRequested && !isFirstNews) || waitingMember == this->settings.self)
        return;
    std::vector<std::uint64_t> &pending = this->pendingConfirmations[waitingMember];
    const std::uint64_t key = deregistrationKey(news.id, news.incarnation);
    if (pending.size() < maximumPendingPerMember
        && std::ranges::find(pending, key) == pending.end())
        pending.push_back(key);
}

void Membership::restore(const std::vector<state::Deregistration> &deregistrations,
                         state::Instant now)
{
    for (const state::Deregistration &each : deregistrations) {
        endpoints::EndpointRecord record{each.endpoint, each.incarnation};
        record.phase = endpoints::EndpointPhase::Left;
        record.home = this->settings.self;
        this->endpointRecords.apply(record, now);
    }
}

void Membership::storeDeregistration(const endpoints::MergeResult &merged, GossipActions &actions)
{
    if (!this->settings.storesDeregistrations || !merged.left)
        return;
    const endpoints::EndpointRecord &record = merged.record;
    this->unstoredDeregistrations.insert(deregistrationKey(record.id, record.incarnation));
    actions.deregistrations.push_back({record.id, record.incarnation});
}

void Membership::recordStored(const std::vector<state::Deregistration> &deregistrations)
{
    for (const state::Deregistration &each : deregistrations)
        this->unstoredDeregistrations.erase(deregistrationKey(each.endpoint, each.incarnation));
}

bool Membership::isDeregistrationStored(const state::EndpointId &endpoint) const
{
    const auto *entry = this->endpointRecords.find(endpoint);
    return entry == nullptr
           || !this->unstoredDeregistrations.contains(
                   deregistrationKey(endpoint, entry->record.incarnation));
}

void Membership::sendConfirmations(GossipActions &actions)
{
    for (auto &[waitingMember, keys] : std::exchange(this->pendingConfirmations, {})) {
        const MemberEntry *member = this->memberTable.find(waitingMember);
        if (member == nullptr || member->record.description == nullptr)
            continue;
        const auto unstored =
                std::stable_partition(keys.begin(), keys.end(), [this](std::uint64_t key) {
                    return !this->unstoredDeregistrations.contains(key);
                });
        if (unstored != keys.end())
            this->pendingConfirmations[waitingMember] = {unstored, keys.end()};
        keys.erase(unstored, keys.end());
        GossipMessage message = this->makeMessage(GossipKind::Confirm);
        for (auto next = keys.begin(); next != keys.end();) {
            const auto left = static_cast<std::size_t>(keys.end() - next);
            const auto end =
                    next + static_cast<std::ptrdiff_t>(std::min(left, keysPerConfirmation));
            message.keys.assign(next, end);
            next = end;
            this->sendPlain(actions, member->record.description->gossip, message);
        }
    }
}

void Membership::resendDeregistrations(GossipActions &actions, state::Instant now)
{
    this->deregistrationTracker.removeFinished(this->memberTable, this->settings.self, now);
    for (const DeregistrationTracker::MissingConfirmations &missing :
         this->deregistrationTracker.takeDueResends(this->memberTable, this->settings.self, now)) {
        GossipMessage message = this->makeMessage(GossipKind::Deregistrations);
        std::size_t room = this->remainingBytes(message);
        for (const state::EndpointId &id : missing.endpoints) {
            const auto *entry = this->endpointRecords.find(id);
            if (entry == nullptr)
                continue;
            const endpoints::EndpointRecord record = inForm(entry->record, NewsForm::Short);
            const std::size_t bytes = endpoints::wireBytes(record);
            if (bytes > room)
                break; // the next resend has room for it once others are confirmed
            room -= bytes;
            message.endpointRecords.push_back(record);
        }
        this->sendPlain(actions, missing.member->record.description->gossip, std::move(message));
    }
}

void Membership::handleRepeatedDeregistration(const state::EndpointId &endpoint, state::Instant now)
{
    const auto *known = this->endpointRecords.find(endpoint);
    if (known == nullptr || known->record.phase != endpoints::EndpointPhase::Left
        || known->record.home == this->settings.self)
        return;
    const MemberEntry *home = this->memberTable.find(known->record.home);
    if (home == nullptr || !home->record.isLive())
        this->deregistrationTracker.track(known->record, now);
}

} // namespace lavenderthread::coordination::membership
