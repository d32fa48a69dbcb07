// Which records still have to be spread, and how often each was sent. Holds names only: a record
// that changes again while it spreads is sent in its newest form.
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

enum class NewsForm : std::uint8_t { Short, Full };
// A member's or an endpoint's record as it is sent in that form.
template <typename Record>
Record inForm(Record record, NewsForm form)
{
    if (form == NewsForm::Short)
        record.description = nullptr;
    return record;
}

// The more urgent goes first into a datagram.
enum class NewsUrgency : std::uint8_t {
    Critical, // an endpoint must get no more work, or may again; rare and short
    Urgent,   // what is said of members; many when the network is bad
    Ordinary, // whole descriptions of endpoints
};

// Sends of one record by one member, at most.
struct NewsLimits
{
    unsigned critical = 0;
    unsigned urgent = 0;
    unsigned ordinary = 0;
};

class NewsQueue
{
public:
    void add(const NewsKey &key, NewsForm form, NewsUrgency urgency);
    // Another member sent the same record: it is spreading already, so fewer sends are left to do.
    // Urgent news go on regardless: they are short, and must not wait for the exchange.
    void heardAgain(const NewsKey &key);
    // Adds records that fit into `bytes` to `message`, urgent ones and those sent least first.
    void fill(GossipMessage &message, std::size_t bytes, const NewsLimits &limits,
              const MemberTable &members, const endpoints::EndpointTable &endpointTable);
    bool empty() const { return this->items.empty(); }
    bool hasCritical() const;
    std::size_t size() const { return this->items.size(); }

private:
    struct Item
    {
        NewsForm form = NewsForm::Short;
        NewsUrgency urgency = NewsUrgency::Ordinary;
        unsigned sends = 0;
        std::uint64_t serial = 0; // breaks ties, older first
    };

    std::map<NewsKey, Item> items;
    std::uint64_t nextSerial = 0;
};

} // namespace lavenderthread::coordination::membership
