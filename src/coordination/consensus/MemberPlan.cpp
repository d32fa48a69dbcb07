// Keeps the live members, adds newcomers up to the wanted number, drops those that are gone.
#include "coordination/consensus/MemberPlan.h"

#include <algorithm>

namespace lavenderthread::coordination::consensus {

namespace {

const Candidate *findById(const std::vector<Candidate> &live, const state::VmId &id)
{
    const auto found = std::ranges::find(live, id, &Candidate::id);
    return found == live.end() ? nullptr : &*found;
}

} // namespace

bool MemberPlan::isGone(const Member &member, const std::vector<Candidate> &live,
                        state::Instant now)
{
    if (findById(live, member.id) != nullptr) {
        this->awaySince.erase(member.id);
        return false;
    }
    const state::Instant since = this->awaySince.emplace(member.id, now).first->second;
    const bool succeeded = std::ranges::any_of(
            live, [&](const Candidate &candidate) { return candidate.address == member.address; });
    return succeeded || now - since >= this->settings.replaceAfter;
}

MemberSet MemberPlan::target(const MemberSet &current, const std::vector<Candidate> &live,
                             state::Instant now)
{
    std::vector<Member> wanted;
    std::vector<Member> away;
    std::size_t waitedFor = 0;
    for (const Member &member : current.all()) {
        const bool isLive = findById(live, member.id) != nullptr;
        if (this->isGone(member, live, now)) {
            away.push_back(member);
            continue;
        }
        waitedFor += isLive ? 0 : 1;
        wanted.push_back({member.id, member.address, MemberRole::Voter});
    }
    for (const Candidate &candidate : live) {
        if (wanted.size() >= this->settings.wantedVoters)
            break;
        if (current.find(candidate.id) == nullptr)
            wanted.push_back({candidate.id, candidate.address, MemberRole::Voter});
    }
    // Without enough live ones a member that is away keeps its place: it holds a copy, and dropping
    // it would let fewer disks decide.
    for (const Member &member : away) {
        if (wanted.size() - waitedFor >= this->settings.wantedVoters)
            break;
        wanted.push_back({member.id, member.address, member.role});
    }
    const state::Result<MemberSet> set = MemberSet::create(std::move(wanted));
    return set ? set.value() : current;
}

} // namespace lavenderthread::coordination::consensus
