#include "coordination/directory/WorkPeers.h"

namespace lavenderthread::coordination::directory {

namespace {

bool relays(const membership::MemberRecord &record)
{
    return record.description != nullptr && record.description->relay.port != 0;
}

} // namespace

std::vector<const membership::MemberRecord *> workPeers(const membership::MemberTable &members,
                                                        const state::VmId &self)
{
    const membership::MemberEntry *own = members.find(self);
    const bool selfRelays = own != nullptr && relays(own->record);
    std::vector<const membership::MemberRecord *> peers;
    for (const auto &[id, entry] : members.entries()) {
        const membership::MemberRecord &record = entry.record;
        if (id != self && record.isLive() && record.description != nullptr
            && (!selfRelays || relays(record)))
            peers.push_back(&record);
    }
    return peers;
}

} // namespace lavenderthread::coordination::directory
