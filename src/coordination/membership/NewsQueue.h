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
enum class NewsUrgency : std::uint8_t { Urgent, Ordinary }; // urgent goes first into a datagram

// Sends of one record by one member, at most.
struct NewsLimits
{
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
