// Queue of the records that still have to be spread, with the number of sends of each. It holds
// keys only, so a record that changes again while it spreads is sent in its newest version.
#pragma once

#include "coordination/endpoints/EndpointTable.h"
#include "coordination/membership/GossipMessage.h"
#include "coordination/membership/MemberTable.h"

#include <compare>
#include <map>
#include <string>

namespace lavenderthread::coordination::membership {

enum class NewsSubject : std::uint8_t { Member, Endpoint };

struct NewsKey
{
    NewsSubject subject = NewsSubject::Member;
    std::string id;

    auto operator<=>(const NewsKey &) const = default;
};

enum class NewsForm : std::uint8_t { Short, Full }; // Short: without the description
// Returns a member's or an endpoint's record as it is sent in that form.
template <typename Record>
Record inForm(Record record, NewsForm form)
{
    if (form == NewsForm::Short)
        record.description = nullptr;
    return record;
}

// Ordered: more urgent records go into a datagram first.
enum class NewsUrgency : std::uint8_t {
    Critical,      // an endpoint must get no more work, or may get work again; rare and short
    EndpointStart, // with the description; until it arrives, requests go to what ended before
    Urgent,        // member records; frequent when the network is bad
    Ordinary,      // other endpoint records with their descriptions
};

// `record` in the form in which it is sent.
NewsUrgency urgencyOf(const endpoints::EndpointRecord &record);

// Maximum number of times that one member sends the same record, by urgency.
struct NewsLimits
{
    unsigned critical = 0;
    unsigned endpointStart = 0;
    unsigned urgent = 0;
    unsigned ordinary = 0;
};

// Picks the records to piggyback on datagrams and drops each after its maximum number of sends.
class NewsQueue
{
public:
    // Adds a record, or starts its sends anew if it is queued already.
    void add(const NewsKey &key, NewsForm form, NewsUrgency urgency);
    // Counts a record received from another member as a send, because it is spreading already.
    // Critical news and endpoint starts are not counted: they must not wait for the exchange.
    void recordDuplicate(const NewsKey &key);
    // Adds records to `message` as far as they fit into `bytes`, by urgency and then fewest sends.
    // Records less urgent than `leastUrgent` stay in the queue.
    void fill(GossipMessage &message, std::size_t bytes, const NewsLimits &limits,
              const MemberTable &members, const endpoints::EndpointTable &endpointTable,
              NewsUrgency leastUrgent = NewsUrgency::Ordinary);
    bool empty() const { return this->items.empty(); }
    bool has(NewsUrgency urgency) const;
    std::size_t size() const { return this->items.size(); }

private:
    struct Item
    {
        NewsForm form = NewsForm::Short;
        NewsUrgency urgency = NewsUrgency::Ordinary;
        unsigned sends = 0;
        std::uint64_t serial = 0; // breaks ties; the lower one goes first
    };

    std::map<NewsKey, Item> items;
    std::uint64_t nextSerial = 0;
};

} // namespace lavenderthread::coordination::membership
