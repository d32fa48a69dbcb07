// All members that one entry knows, itself included; dead and left ones until they are forgotten.
#pragma once

#include "coordination/membership/Member.h"
#include "state/Time.h"

#include <map>
#include <random>
#include <unordered_map>
#include <vector>

namespace lavenderthread::coordination::membership {

struct MemberEntry
{
    MemberRecord record;
    std::uint64_t key = 0;
    std::uint64_t fingerprint = 0;
    state::Instant changedAt;
    MemberStatus status;
    std::uint32_t statusSends = 0; // since the status last changed
};

enum class ApplyResult : std::uint8_t { Unknown, Older, Same, Changed };

class MemberTable
{
public:
    // Unknown: the news is short, or tells of an end, and its member is not known in that
    // incarnation. A short record can't be kept, since it has no address.
    ApplyResult apply(const MemberRecord &news, state::Instant now);
    bool applyStatus(const MemberStatus &status);
    // Drops members that left longer than `leftKept` ago or are dead for longer than `deadKept`.
    bool forget(state::Instant now, state::Duration leftKept, state::Duration deadKept);

    const MemberEntry *find(const state::VmId &id) const;
    const std::map<state::VmId, MemberEntry> &entries() const { return this->members; }
    std::size_t liveCount() const;

    // Up to `count` distinct live members other than `self` and `other`, in random order.
    std::vector<const MemberEntry *> randomLive(std::size_t count, const state::VmId &self,
                                                const state::VmId &other,
                                                std::mt19937_64 &random) const;
    // Up to `count` statuses, those first that were sent least since they changed.
    std::vector<MemberStatus> takeStatuses(std::size_t count, const state::VmId &self);

private:
    std::map<state::VmId, MemberEntry> members;
    std::unordered_map<std::uint64_t, state::VmId> byKey; // of exactly the members
};

} // namespace lavenderthread::coordination::membership
