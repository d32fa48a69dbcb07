#include "coordination/directory/WorkPeers.h"

#include <utility>

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

std::vector<state::VmId>
PeerArrivals::update(const std::vector<const membership::MemberRecord *> &peers)
{
    std::map<state::VmId, std::uint64_t> next;
    std::vector<state::VmId> arrived;
    for (const membership::MemberRecord *peer : peers) {
        next.emplace(peer->id, peer->incarnation);
        const auto known = this->present.find(peer->id);
        if (known == this->present.end() || known->second != peer->incarnation)
            arrived.push_back(peer->id);
    }
    this->present = std::move(next);
    return arrived;
}

} // namespace lavenderthread::coordination::directory
