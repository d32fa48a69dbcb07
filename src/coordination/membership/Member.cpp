// Keys, fingerprints and sizes of member records.
#include "coordination/membership/Member.h"

#include <xxhash.h>

#include <array>

namespace lavenderthread::coordination::membership {

std::uint64_t memberKey(const state::VmId &id)
{
    constexpr std::uint64_t memberSeed = 1;
    return XXH64(id.value().data(), id.value().size(), memberSeed);
}

std::uint64_t fingerprint(const MemberRecord &record)
{
    const std::array<std::uint64_t, 3> parts{
            memberKey(record.id), record.incarnation,
            (std::uint64_t{record.version} << 1U)
                    | (record.health == MemberHealth::Dead ? 1U : 0U)};
    return XXH64(parts.data(), sizeof(parts), 0);
}

std::size_t wireBytes(const MemberRecord &record)
{
    constexpr std::size_t fixedRecordBytes = 19;
    constexpr std::size_t fixedDescriptionBytes = 15;
    const std::size_t bytes = fixedRecordBytes + record.id.value().size();
    if (!record.description)
        return bytes;
    const MemberDescription &description = *record.description;
    return bytes + fixedDescriptionBytes + description.caller.ip.size()
           + description.control.ip.size() + description.gossip.ip.size()
           + description.relay.ip.size() + description.controlIdentity.value().size()
           + description.failureDomain.value().size() + description.region.value().size();
}

} // namespace lavenderthread::coordination::membership
