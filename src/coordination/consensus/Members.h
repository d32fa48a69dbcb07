// The set of control members that a log entry of kind Configuration carries, and the rules for
// changing it: one member at a time, so that the quorums of successive sets overlap.
#pragma once

#include "state/Address.h"
#include "state/Error.h"
#include "state/Ids.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::coordination::consensus {

// A learner receives the log but does not count towards a quorum.
enum class MemberRole : std::uint8_t { Learner, Voter };

struct Member
{
    state::VmId id; // identifies one disk: a member that lost its disk returns with a new id
    state::Address address;
    MemberRole role = MemberRole::Learner;

    auto operator<=>(const Member &) const = default;
};

enum class MemberChangeKind : std::uint8_t { AddLearner, Promote, Remove };

struct MemberChange
{
    MemberChangeKind kind = MemberChangeKind::AddLearner;
    Member member; // address is used for AddLearner only

    auto operator<=>(const MemberChange &) const = default;
};

// Invariant: ordered by id; ids are unique, non-empty and contain no whitespace. A member has an
// empty set until its first contact with the cluster and never campaigns with it.
class MemberSet
{
public:
    MemberSet() = default;

    // Error: InvalidArgument, step "members.create".
    static state::Result<MemberSet> create(std::vector<Member> members);
    // One line per member: "voter ID IP:PORT". Error: Corrupt, step "members.decode".
    static state::Result<MemberSet> decode(std::string_view text);
    std::string encode() const;

    const std::vector<Member> &all() const { return this->members; }
    const Member *find(const state::VmId &id) const;
    bool isVoter(const state::VmId &id) const;
    std::size_t voterCount() const;
    std::size_t quorum() const { return this->voterCount() / 2 + 1; }

    // Errors: AlreadyExists, NotFound, Conflict (the last voter can't leave).
    state::Result<MemberSet> withChange(const MemberChange &change) const;

    auto operator<=>(const MemberSet &) const = default;

private:
    std::vector<Member> members;
};

constexpr std::size_t maximumMembers = 32;

// The highest value that a quorum of voters has reached; `valueOf(id)` returns a voter's value.
template <typename Value, typename ValueOf>
Value quorumValue(const MemberSet &members, ValueOf valueOf)
{
    std::multiset<Value, std::greater<>> values;
    for (const Member &member : members.all()) {
        if (member.role == MemberRole::Voter)
            values.insert(valueOf(member.id));
    }
    if (values.empty())
        return Value{};
    return *std::next(values.begin(), static_cast<std::ptrdiff_t>(members.quorum() - 1));
}

// The next single change from `current` towards `target`; empty if there is none yet. New members
// join as learners, are promoted once in `caughtUp`, and removals come last. A repair thus never
// lowers the number of disks that hold a committed entry before the replacement holds it too.
std::optional<MemberChange> nextMemberChange(const MemberSet &current, const MemberSet &target,
                                             const std::set<state::VmId> &caughtUp);

} // namespace lavenderthread::coordination::consensus
