// Upper bound of the encoded size of a gossip message.
#include "coordination/membership/GossipMessage.h"

namespace lavenderthread::coordination::membership {

std::size_t wireBytes(const GossipMessage &message)
{
    constexpr std::size_t fixedBytes = 28;
    std::size_t bytes = fixedBytes + message.cluster.size() + message.sender.value().size()
                        + message.target.value().size();
    for (const MemberRecord &record : message.members)
        bytes += wireBytes(record);
    for (const endpoints::EndpointRecord &record : message.endpointRecords)
        bytes += wireBytes(record);
    bytes += message.statuses.size() * statusWireBytes;
    bytes += message.digest.size() * sizeof(std::uint64_t);
    bytes += message.buckets.size();
    bytes += message.summary.size() * sizeof(SummaryItem);
    bytes += message.keys.size() * sizeof(std::uint64_t);
    for (const state::LoadReport &load : message.loads)
        bytes += loadWireBytes + load.endpoint.value().size();
    return bytes;
}

} // namespace lavenderthread::coordination::membership
