// Merges member records, newer ones only, and selects members and statuses to send.
#include "coordination/membership/MemberTable.h"

#include <algorithm>

namespace lavenderthread::coordination::membership {

ApplyResult MemberTable::apply(const MemberRecord &news, state::Instant now)
{
    const auto found = this->members.find(news.id);
    if (found == this->members.end()) {
        if (!news.description || !news.isLive())
            return ApplyResult::Unknown;
        const std::uint64_t key = memberKey(news.id);
        this->members.emplace(news.id,
                              MemberEntry{news, key, membership::fingerprint(news), now, {}, 0});
        this->byKey.emplace(key, news.id);
        return ApplyResult::Changed;
    }
    MemberEntry &known = found->second;
    if (!news.supersedes(known.record))
        return known.record.supersedes(news) ? ApplyResult::Older : ApplyResult::Same;
    const bool restarted = news.incarnation != known.record.incarnation;
    if (restarted && !news.description)
        return ApplyResult::Unknown;
    const auto description = news.description ? news.description : known.record.description;
    known.record = news;
    known.record.description = description;
    known.fingerprint = membership::fingerprint(known.record);
    known.changedAt = now;
    if (restarted)
        known.status = {};
    return ApplyResult::Changed;
}

bool MemberTable::applyStatus(const MemberStatus &status)
{
    const auto id = this->byKey.find(status.member);
    if (id == this->byKey.end())
        return false;
    MemberEntry &known = this->members.find(id->second)->second;
    if (status.sequence <= known.status.sequence)
        return false;
    known.status = status;
    known.statusSends = 0;
    return true;
}

bool MemberTable::forget(state::Instant now, state::Duration leftRetention,
                         state::Duration deadRetention)
{
    return std::erase_if(this->members,
                         [&](const auto &item) {
                             const MemberEntry &entry = item.second;
                             if (entry.record.isLive())
                                 return false;
                             const bool left = entry.record.phase == MemberPhase::Left;
                             if (now - entry.changedAt <= (left ? leftRetention : deadRetention))
                                 return false;
                             this->byKey.erase(entry.key);
                             return true;
                         })
           > 0;
}

const MemberEntry *MemberTable::find(const state::VmId &id) const
{
    const auto found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second;
}

std::size_t MemberTable::liveCount() const
{
    return static_cast<std::size_t>(
            std::count_if(this->members.begin(), this->members.end(),
                          [](const auto &item) { return item.second.record.isLive(); }));
}

std::vector<const MemberEntry *> MemberTable::randomLive(std::size_t count, const state::VmId &self,
                                                         const state::VmId &other,
                                                         std::mt19937_64 &random) const
{
    std::vector<const MemberEntry *> live;
    live.reserve(this->members.size());
    for (const auto &[id, entry] : this->members) {
        if (entry.record.isLive() && id != self && id != other)
            live.push_back(&entry);
    }
    for (std::size_t index = 0; index < std::min(count, live.size()); ++index)
        std::swap(live[index], live[index + random() % (live.size() - index)]);
    live.resize(std::min(count, live.size()));
    return live;
}

std::vector<MemberStatus> MemberTable::takeStatuses(std::size_t count, const state::VmId &self)
{
    std::vector<MemberEntry *> candidates;
    for (auto &[id, entry] : this->members) {
        if (entry.record.isLive() && entry.status.sequence > 0)
            candidates.push_back(&entry);
    }
    const std::size_t taken = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(taken),
                      candidates.end(), [&](const MemberEntry *a, const MemberEntry *b) {
                          const bool aSelf = a->record.id == self;
                          const bool bSelf = b->record.id == self;
                          return std::tuple(!aSelf, a->statusSends, a->key)
                                 < std::tuple(!bSelf, b->statusSends, b->key);
                      });
    std::vector<MemberStatus> statuses;
    for (std::size_t index = 0; index < taken; ++index) {
        ++candidates[index]->statusSends;
        statuses.push_back(candidates[index]->status);
    }
    return statuses;
}

} // namespace lavenderthread::coordination::membership
