// Bounded piggybacking of news on gossip datagrams.
#include "coordination/membership/NewsQueue.h"

#include <algorithm>

namespace lavenderthread::coordination::membership {

namespace {

unsigned maximumSends(NewsUrgency urgency, const NewsLimits &limits)
{
    switch (urgency) {
    case NewsUrgency::Critical:
        return limits.critical;
    case NewsUrgency::EndpointStart:
        return limits.endpointStart;
    case NewsUrgency::Urgent:
        return limits.urgent;
    case NewsUrgency::Ordinary:
        break;
    }
    return limits.ordinary;
}

// Adds the record if it fits. Returns its size in bytes, or 0 if it does not fit.
template <typename Record>
std::size_t addIfFits(std::vector<Record> &list, Record record, std::size_t room)
{
    const std::size_t bytes = wireBytes(record);
    if (bytes > room)
        return 0;
    list.push_back(std::move(record));
    return bytes;
}

} // namespace

NewsUrgency urgencyOf(const endpoints::EndpointRecord &record)
{
    if (!record.description)
        return NewsUrgency::Critical;
    return record.phase == endpoints::EndpointPhase::Live ? NewsUrgency::EndpointStart
                                                          : NewsUrgency::Ordinary;
}

void NewsQueue::add(const NewsKey &key, NewsForm form, NewsUrgency urgency)
{
    Item &item = this->items[key];
    // A full record that is still spreading stays full, so that every member gets the description.
    if (form == NewsForm::Full)
        item.form = NewsForm::Full;
    item.urgency = urgency;
    item.sends = 0;
    item.serial = this->nextSerial++;
}

bool NewsQueue::has(NewsUrgency urgency) const
{
    return std::any_of(this->items.begin(), this->items.end(),
                       [urgency](const auto &item) { return item.second.urgency == urgency; });
}

void NewsQueue::recordDuplicate(const NewsKey &key)
{
    const auto item = this->items.find(key);
    if (item != this->items.end() && item->second.urgency >= NewsUrgency::Urgent)
        ++item->second.sends;
}

void NewsQueue::fill(GossipMessage &message, std::size_t bytes, const NewsLimits &limits,
                     const MemberTable &members, const endpoints::EndpointTable &endpointTable,
                     NewsUrgency leastUrgent)
{
    using Position = std::map<NewsKey, Item>::iterator;
    std::vector<Position> order;
    order.reserve(this->items.size());
    for (Position position = this->items.begin(); position != this->items.end(); ++position) {
        if (position->second.urgency <= leastUrgent)
            order.push_back(position);
    }
    constexpr std::size_t mostPerDatagram = 64; // more short records than fit into a datagram
    const std::size_t considered = std::min(mostPerDatagram, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(considered),
                      order.end(), [](Position a, Position b) {
                          return std::tuple(a->second.urgency, a->second.sends, a->second.serial)
                                 < std::tuple(b->second.urgency, b->second.sends, b->second.serial);
                      });
    order.resize(considered);
    constexpr std::size_t smallestRecordBytes = 20;
    for (const Position position : order) {
        if (bytes < smallestRecordBytes)
            return;
        const NewsKey &key = position->first;
        Item &item = position->second;
        const MemberEntry *member = nullptr;
        const endpoints::EndpointEntry *endpoint = nullptr;
        if (key.subject == NewsSubject::Member)
            member = members.find(state::VmId(key.id));
        else
            endpoint = endpointTable.find(state::EndpointId(key.id));
        std::size_t bytesAdded = 0;
        if (member != nullptr)
            bytesAdded = addIfFits(message.members, inForm(member->record, item.form), bytes);
        else if (endpoint != nullptr)
            bytesAdded =
                    addIfFits(message.endpointRecords, inForm(endpoint->record, item.form), bytes);
        bytes -= bytesAdded;
        const unsigned limit = maximumSends(item.urgency, limits);
        const bool isForgotten = member == nullptr && endpoint == nullptr;
        if (bytesAdded > 0)
            ++item.sends;
        if (isForgotten || item.sends >= limit)
            this->items.erase(position);
    }
}

} // namespace lavenderthread::coordination::membership
