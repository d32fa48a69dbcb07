// All members that one entry knows, including itself. Dead and left members stay until forget()
// drops them.
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
    std::uint64_t key = 0;         // memberKey of the id
    std::uint64_t fingerprint = 0; // of the record
    state::Instant changedAt;
    MemberStatus status;
    std::uint32_t statusSends = 0; // number of sends since the status last changed
};

enum class ApplyResult : std::uint8_t { Unknown, Older, Same, Changed };

class MemberTable
{
public:
    // Returns Unknown if the member is not known in that incarnation and the record has no
    // description, thus no address to keep, or if the member is not known at all and the record is
    // of a dead or left member.
    ApplyResult apply(const MemberRecord &news, state::Instant now);
    // Returns false if the member is unknown or the status is not newer than the known one.
    bool applyStatus(const MemberStatus &status);
    // Drops members that left more than `leftRetention` ago or have been dead for more than
    // `deadRetention`. Returns whether any was dropped.
    bool forget(state::Instant now, state::Duration leftRetention, state::Duration deadRetention);

    const MemberEntry *find(const state::VmId &id) const;
    const std::map<state::VmId, MemberEntry> &entries() const { return this->members; }
    std::size_t liveCount() const;

    // Returns up to `count` distinct live members other than `self` and `other`, in random order.
    std::vector<const MemberEntry *> randomLive(std::size_t count, const state::VmId &self,
                                                const state::VmId &other,
                                                std::mt19937_64 &random) const;
    // Returns up to `count` statuses of live members and counts them as sent: that of `self` first,
    // then those sent least often since they changed.
    std::vector<MemberStatus> takeStatuses(std::size_t count, const state::VmId &self);

private:
    std::map<state::VmId, MemberEntry> members;
    std::unordered_map<std::uint64_t, state::VmId> byKey; // exactly one item for each member
};

} // namespace lavenderthread::coordination::membership
