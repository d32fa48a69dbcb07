// The part of Membership that tells all members quickly that an endpoint has started or
// become cold.
//
// While half of a service was replaced, gossip rounds took 19 s to tell the last of 126 members
// about the new endpoints. While a failure domain started again, records of killed entries and of
// path changes used up the byte budget, and entries sent requests to ended incarnations for 10 s.
// So starts are broadcast over a tree and have a byte budget of their own: each member sends and
// gets a record about once. Passed on to random members, it would have to be sent five times.
#include "coordination/membership/Membership.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace lavenderthread::coordination::membership {

namespace {

bool isReceiver(const MemberEntry &entry, const MemberKeyRange &range)
{
    return range.contains(entry.key) && entry.record.isLive() && entry.record.description;
}

} // namespace

void Membership::broadcast(const std::vector<endpoints::EndpointRecord> &records,
                           const MemberKeyRange &range, GossipActions &actions, state::Instant now)
{
    const std::uint64_t own = memberKey(this->settings.self);
    const std::vector<std::uint64_t> targets = this->liveKeysIn(range);
    const std::size_t partSize =
            (targets.size() + this->settings.broadcastFanout - 1) / this->settings.broadcastFanout;
    std::uint64_t first = range.first;
    for (auto target = targets.begin(); target != targets.end();) {
        // No part contains this member's own key, so that parts only become smaller on the way and
        // no record comes back.
        const bool isBelowOwn = *target < own;
        auto end = target;
        while (end != targets.end() && end - target < static_cast<std::ptrdiff_t>(partSize)
               && (*end < own) == isBelowOwn)
            ++end;
        MemberKeyRange part{first, end == targets.end() ? range.last : *std::prev(end)};
        if (isBelowOwn)
            part.last = std::min(part.last, own - 1);
        else if (part.first <= own)
            part.first = own + 1;
        this->sendBroadcast({records, part, {}, 0}, actions, now);
        first = part.last + 1;
        target = end;
    }
}

// Keys of the live members in the range other than this one, sorted.
std::vector<std::uint64_t> Membership::liveKeysIn(const MemberKeyRange &range) const
{
    std::vector<std::uint64_t> keys;
    for (const auto &[id, entry] : this->memberTable.entries()) {
        if (id != this->settings.self && isReceiver(entry, range))
            keys.push_back(entry.key);
    }
    std::ranges::sort(keys);
    return keys;
}

// Sends the part to a random member of its range, another one than the last time if there is one.
void Membership::sendBroadcast(BroadcastPart part, GossipActions &actions, state::Instant now)
{
    if (this->superseded
        || (this->endpointStartBudget.left(now) <= 0 && this->budget.left(now) <= 0))
        return;
    std::vector<const MemberEntry *> receivers;
    for (const auto &[id, entry] : this->memberTable.entries()) {
        if (id != this->settings.self && isReceiver(entry, part.range))
            receivers.push_back(&entry);
    }
    if (receivers.empty())
        return;
    // A member that has just started doesn't know all others yet, to which it should pass it on.
    const auto end = std::partition(receivers.begin(), receivers.end(), [&](const auto *each) {
        return each->record.ready && each->record.id != part.receiver;
    });
    const auto preferred = std::size_t(end - receivers.begin());
    const std::size_t choice = this->random() % (preferred > 0 ? preferred : receivers.size());
    const MemberRecord &receiver = receivers[choice]->record;
    part.receiver = receiver.id;
    ++part.sends;
    GossipMessage message = this->makeMessage(GossipKind::Broadcast);
    message.endpointRecords = part.records;
    this->updateColdTimes(message, now);
    message.keys = {part.range.first, part.range.last};
    message.sequence = this->broadcastTracker.track(std::move(part), now);
    this->endpointStartBudget.spend(wireBytes(message) + sealAndHeaderBytes);
    this->sendPlain(actions, receiver.description->gossip, std::move(message));
}

void Membership::receiveBroadcast(const GossipMessage &message, const state::Address &from,
                                  GossipActions &actions, state::Instant now)
{
    this->sendPlain(actions, from, this->makeMessage(GossipKind::BroadcastAck, message.sequence));
    if (message.keys.size() == 2 && message.keys[0] <= message.keys[1])
        this->broadcast(message.endpointRecords, {message.keys[0], message.keys[1]}, actions, now);
}

void Membership::resendBroadcasts(GossipActions &actions, state::Instant now)
{
    for (BroadcastPart &part : this->broadcastTracker.takeOverdue(now))
        this->sendBroadcast(std::move(part), actions, now);
}

} // namespace lavenderthread::coordination::membership
