// Collects confirmations and schedules resends to the members that have not confirmed.
#include "coordination/membership/DeregistrationTracker.h"

#include <xxhash.h>

#include <algorithm>

namespace lavenderthread::coordination::membership {

namespace {

bool mustConfirm(const MemberEntry &entry, const state::VmId &self)
{
    return entry.record.id != self && entry.record.isLive() && entry.record.description != nullptr;
}

} // namespace

std::uint64_t deregistrationKey(const state::EndpointId &endpoint, std::uint64_t incarnation)
{
    return XXH64(endpoint.value().data(), endpoint.value().size(), incarnation);
}

void DeregistrationTracker::track(const endpoints::EndpointRecord &left, state::Instant now)
{
    const std::uint64_t key = deregistrationKey(left.id, left.incarnation);
    const auto known = this->pendingDeregistrations.find(left.id);
    if (known != this->pendingDeregistrations.end() && known->second.key == key)
        return;
    this->pendingDeregistrations[left.id] =
            PendingDeregistration{key, now, now + this->settings.firstResend, {}};
}

void DeregistrationTracker::recordConfirmation(std::uint64_t member, std::uint64_t deregistration)
{
    for (auto &[endpoint, pending] : this->pendingDeregistrations) {
        if (pending.key == deregistration)
            pending.confirmedBy.insert(member);
    }
}

void DeregistrationTracker::removeFinished(const MemberTable &members, const state::VmId &self,
                                           state::Instant now)
{
    std::erase_if(this->pendingDeregistrations, [&](const auto &item) {
        const PendingDeregistration &pending = item.second;
        return now - pending.startedAt >= this->settings.giveUpAfter
               || std::ranges::none_of(members.entries(), [&](const auto &each) {
                      return mustConfirm(each.second, self)
                             && !pending.confirmedBy.contains(each.second.key);
                  });
    });
}

std::vector<DeregistrationTracker::MissingConfirmations>
DeregistrationTracker::takeDueResends(const MemberTable &members, const state::VmId &self,
                                      state::Instant now)
{
    std::vector<std::map<state::EndpointId, PendingDeregistration>::iterator> sending;
    for (auto pending = this->pendingDeregistrations.begin();
         pending != this->pendingDeregistrations.end(); ++pending) {
        if (now < pending->second.nextSend)
            continue;
        pending->second.nextSend = now + this->settings.resendInterval;
        sending.push_back(pending);
    }
    std::vector<MissingConfirmations> due;
    if (sending.empty())
        return due;
    for (const auto &[id, entry] : members.entries()) {
        if (!mustConfirm(entry, self))
            continue;
        MissingConfirmations missing{&entry, {}};
        for (const auto &pending : sending) {
            if (!pending->second.confirmedBy.contains(entry.key))
                missing.endpoints.push_back(pending->first);
        }
        if (!missing.endpoints.empty())
            due.push_back(std::move(missing));
    }
    // Rotates, so that failed members not yet known to be dead don't keep the others from being
    // sent to.
    if (due.size() > this->settings.membersPerResend) {
        this->resendOffset = (this->resendOffset + this->settings.membersPerResend) % due.size();
        std::rotate(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(this->resendOffset),
                    due.end());
        due.resize(this->settings.membersPerResend);
    }
    return due;
}

} // namespace lavenderthread::coordination::membership
