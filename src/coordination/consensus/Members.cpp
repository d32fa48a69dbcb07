// Text encoding of a member set and the rules for single-member changes.
#include "coordination/consensus/Members.h"

#include <algorithm>
#include <sstream>

namespace lavenderthread::coordination::consensus {

using state::ErrorCode;
using state::makeError;

namespace {

constexpr std::string_view voterWord = "voter";
constexpr std::string_view learnerWord = "learner";

bool hasWhitespace(const std::string &text)
{
    return text.find_first_of(" \t\r\n") != std::string::npos;
}

state::Result<Member> decodeLine(const std::string &line)
{
    std::istringstream words(line);
    std::string role;
    std::string id;
    std::string address;
    words >> role >> id >> address;
    if (role != voterWord && role != learnerWord)
        return makeError(ErrorCode::Corrupt, "members.decode", "unknown role in: " + line);
    const state::Result<state::Address> parsed = state::Address::parse(address);
    if (parsed.has_error())
        return makeError(ErrorCode::Corrupt, "members.decode", "bad address in: " + line);
    return Member{state::VmId(id), parsed.value(),
                  role == voterWord ? MemberRole::Voter : MemberRole::Learner};
}

} // namespace

state::Result<MemberSet> MemberSet::create(std::vector<Member> members)
{
    if (members.size() > maximumMembers)
        return makeError(ErrorCode::InvalidArgument, "members.create", "too many members");
    std::sort(members.begin(), members.end());
    for (std::size_t index = 0; index < members.size(); ++index) {
        const std::string &id = members[index].id.value();
        if (id.empty() || hasWhitespace(id))
            return makeError(ErrorCode::InvalidArgument, "members.create", "bad id: " + id);
        if (index > 0 && members[index - 1].id == members[index].id)
            return makeError(ErrorCode::InvalidArgument, "members.create", "id twice: " + id);
    }
    MemberSet set;
    set.members = std::move(members);
    return set;
}

state::Result<MemberSet> MemberSet::decode(std::string_view text)
{
    std::vector<Member> members;
    std::istringstream lines{std::string(text)};
    for (std::string line; std::getline(lines, line);) {
        state::Result<Member> member = decodeLine(line);
        if (member.has_error())
            return member.error();
        members.push_back(member.value());
    }
    state::Result<MemberSet> set = create(std::move(members));
    if (set.has_error())
        return makeError(ErrorCode::Corrupt, "members.decode", set.error().cause);
    return set;
}

std::string MemberSet::encode() const
{
    std::string text;
    for (const Member &member : this->members) {
        text += member.role == MemberRole::Voter ? voterWord : learnerWord;
        text += ' ' + member.id.value() + ' ' + member.address.toString() + '\n';
    }
    return text;
}

const Member *MemberSet::find(const state::VmId &id) const
{
    for (const Member &member : this->members) {
        if (member.id == id)
            return &member;
    }
    return nullptr;
}

bool MemberSet::isVoter(const state::VmId &id) const
{
    const Member *member = this->find(id);
    return member != nullptr && member->role == MemberRole::Voter;
}

std::size_t MemberSet::voterCount() const
{
    return static_cast<std::size_t>(
            std::count_if(this->members.begin(), this->members.end(),
                          [](const Member &member) { return member.role == MemberRole::Voter; }));
}

state::Result<MemberSet> MemberSet::withChange(const MemberChange &change) const
{
    const Member *present = this->find(change.member.id);
    const std::string id = change.member.id.value();
    std::vector<Member> next = this->members;
    if (change.kind == MemberChangeKind::AddLearner) {
        if (present != nullptr)
            return makeError(ErrorCode::AlreadyExists, "members.change", "is a member: " + id);
        next.push_back(Member{change.member.id, change.member.address, MemberRole::Learner});
        return create(std::move(next));
    }
    if (present == nullptr)
        return makeError(ErrorCode::NotFound, "members.change", "not a member: " + id);
    const auto position = next.begin() + (present - this->members.data());
    if (change.kind == MemberChangeKind::Promote) {
        if (present->role == MemberRole::Voter)
            return makeError(ErrorCode::AlreadyExists, "members.change", "votes already: " + id);
        position->role = MemberRole::Voter;
        return create(std::move(next));
    }
    if (present->role == MemberRole::Voter && this->voterCount() == 1)
        return makeError(ErrorCode::Conflict, "members.change", "the last voter can't leave");
    next.erase(position);
    return create(std::move(next));
}

std::optional<MemberChange> nextMemberChange(const MemberSet &current, const MemberSet &target,
                                             const std::set<state::VmId> &caughtUp)
{
    bool allVoting = true;
    for (const Member &wanted : target.all()) {
        const Member *present = current.find(wanted.id);
        if (present == nullptr)
            return MemberChange{MemberChangeKind::AddLearner, wanted};
        if (wanted.role == MemberRole::Learner || present->role == MemberRole::Voter)
            continue;
        if (caughtUp.contains(wanted.id))
            return MemberChange{MemberChangeKind::Promote, wanted};
        allVoting = false;
    }
    if (!allVoting)
        return std::nullopt;
    for (const Member &present : current.all()) {
        if (target.find(present.id) == nullptr)
            return MemberChange{MemberChangeKind::Remove, present};
    }
    return std::nullopt;
}

} // namespace lavenderthread::coordination::consensus
