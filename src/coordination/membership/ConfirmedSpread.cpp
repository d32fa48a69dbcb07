// Collects confirmations and schedules resends to the members that have not confirmed.
#include "coordination/membership/ConfirmedSpread.h"

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

void ConfirmedSpread::begin(const endpoints::EndpointRecord &left, state::Instant now)
{
    const std::uint64_t key = deregistrationKey(left.id, left.incarnation);
    const auto known = this->deliveries.find(left.id);
    if (known != this->deliveries.end() && known->second.deregistration == key)
        return;
    this->deliveries[left.id] = Delivery{key, now, now + this->settings.firstResend, {}};
}

void ConfirmedSpread::confirmed(std::uint64_t member, std::uint64_t deregistration)
{
    for (auto &[endpoint, pending] : this->deliveries) {
        if (pending.deregistration == deregistration)
            pending.confirmedBy.insert(member);
    }
}

void ConfirmedSpread::settle(const MemberTable &members, const state::VmId &self,
                             state::Instant now)
{
    std::erase_if(this->deliveries, [&](const auto &item) {
        const Delivery &pending = item.second;
        return now - pending.begunAt >= this->settings.giveUpAfter
               || std::ranges::none_of(members.entries(), [&](const auto &each) {
                      return mustConfirm(each.second, self)
                             && !pending.confirmedBy.contains(each.second.key);
                  });
    });
}

std::vector<ConfirmedSpread::Missing>
ConfirmedSpread::due(const MemberTable &members, const state::VmId &self, state::Instant now)
{
    std::vector<std::map<state::EndpointId, Delivery>::iterator> sending;
    for (auto pending = this->deliveries.begin(); pending != this->deliveries.end(); ++pending) {
        if (now < pending->second.nextSend)
            continue;
        pending->second.nextSend = now + this->settings.resendInterval;
        sending.push_back(pending);
    }
    std::vector<Missing> due;
    if (sending.empty())
        return due;
    for (const auto &[id, entry] : members.entries()) {
        if (!mustConfirm(entry, self))
            continue;
        Missing missing{&entry, {}};
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
        this->turn = (this->turn + this->settings.membersPerResend) % due.size();
        std::rotate(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(this->turn), due.end());
        due.resize(this->settings.membersPerResend);
    }
    return due;
}

} // namespace lavenderthread::coordination::membership
