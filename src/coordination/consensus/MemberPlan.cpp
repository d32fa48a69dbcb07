// Keeps live members, adds new ones up to the largest number and removes those that are gone.
#include "coordination/consensus/MemberPlan.h"

#include <algorithm>

namespace lavenderthread::coordination::consensus {

namespace {

const MemberCandidate *findById(const std::vector<MemberCandidate> &live, const state::VmId &id)
{
    const auto found = std::ranges::find(live, id, &MemberCandidate::id);
    return found == live.end() ? nullptr : &*found;
}

} // namespace

// Another identity is alive at the member's address.
bool MemberPlan::isReplaced(const Member &member, const std::vector<MemberCandidate> &live) const
{
    return findById(live, member.id) == nullptr
           && std::ranges::any_of(live, [&](const MemberCandidate &candidate) {
                  return candidate.address == member.address;
              });
}

bool MemberPlan::isGone(const Member &member, const std::vector<MemberCandidate> &live,
                        state::Instant now)
{
    if (findById(live, member.id) != nullptr) {
        this->awaySince.erase(member.id);
        return false;
    }
    const state::Instant since = this->awaySince.emplace(member.id, now).first->second;
    return this->isReplaced(member, live) || now - since >= this->settings.replaceAfter;
}

MemberSet MemberPlan::target(const MemberSet &current, const std::vector<MemberCandidate> &live,
                             state::Instant now)
{
    std::vector<Member> wanted;
    std::vector<Member> away;
    std::size_t temporarilyAway = 0;
    for (const Member &member : current.all()) {
        const bool isLive = findById(live, member.id) != nullptr;
        if (this->isGone(member, live, now)) {
            away.push_back(member);
            continue;
        }
        temporarilyAway += isLive ? 0 : 1;
        wanted.push_back({member.id, member.address, MemberRole::Voter});
    }
    for (const MemberCandidate &candidate : live) {
        if (wanted.size() >= this->settings.mostVoters)
            break;
        if (current.find(candidate.id) == nullptr)
            wanted.push_back({candidate.id, candidate.address, MemberRole::Voter});
    }
    for (const Member &member : away) {
        // Without enough live members, a member that is away stays in the set: it holds a copy,
        // and removing it would let a quorum of fewer disks decide.
        const bool tooFewLive = wanted.size() - temporarilyAway < this->settings.leastVoters;
        // One more than an even number of members needs no larger quorum, and one that returns
        // needs no change of the set then.
        const bool costsNothing = wanted.size() % 2 == 0 && !this->isReplaced(member, live)
                                  && wanted.size() < this->settings.mostVoters;
        if (tooFewLive || costsNothing)
            wanted.push_back({member.id, member.address, member.role});
    }
    const state::Result<MemberSet> set = MemberSet::create(std::move(wanted));
    return set ? set.value() : current;
}

} // namespace lavenderthread::coordination::consensus
