// Each field is encoded and decoded by the same function.
#include "protocol/GossipMessages.h"

#include "protocol/Envelope.h"

#include <limits>

namespace lavenderthread::protocol {

namespace {

using namespace coordination; // NOLINT(google-build-using-namespace): only in this file's helpers

constexpr std::string_view gossipContext = "gossip";

// Writes to or reads from the archive; values that are read are validated.
template <typename Archive>
class Fields
{
public:
    static constexpr bool isReading = Archive::is_loading::value;

    explicit Fields(Archive &into)
        : archive(into)
    {}

    template <typename Number>
    void number(Number &value)
    {
        this->archive(value);
    }

    template <typename Enum>
    void choice(Enum &value, Enum last)
    {
        auto raw = static_cast<std::uint8_t>(value);
        this->archive(raw);
        if (raw > static_cast<std::uint8_t>(last))
            throw cereal::Exception("choice out of range");
        value = static_cast<Enum>(raw);
    }

    void flag(bool &value)
    {
        std::uint8_t raw = value ? 1 : 0;
        this->archive(raw);
        if (raw > 1)
            throw cereal::Exception("flag out of range");
        value = raw == 1;
    }

    void text(std::string &value)
    {
        this->length(value);
        this->archive(cereal::binary_data(value.data(), value.size()));
    }

    template <typename Tag>
    void id(state::StrongId<Tag> &value)
    {
        std::string characters = value.value();
        this->text(characters);
        value = state::StrongId<Tag>(std::move(characters));
    }

    template <typename Element, typename Each>
    void list(std::vector<Element> &values, Each each)
    {
        this->length(values);
        for (Element &value : values)
            each(value);
    }

private:
    // One byte suffices: a datagram can't hold 255 elements.
    template <typename Container>
    void length(Container &container)
    {
        if (container.size() > std::numeric_limits<std::uint8_t>::max())
            throw cereal::Exception("too long");
        auto size = static_cast<std::uint8_t>(container.size());
        this->archive(size);
        container.resize(size);
    }

    Archive &archive;
};

template <typename F>
void fields(F &f, state::Address &address)
{
    f.text(address.ip);
    f.number(address.port);
}

template <typename F>
void fields(F &f, membership::MemberDescription &description)
{
    fields(f, description.caller);
    fields(f, description.control);
    fields(f, description.gossip);
    fields(f, description.relay);
    f.id(description.controlIdentity);
    f.id(description.failureDomain);
    f.id(description.region);
}

// An optional description; `read` creates a new one.
template <typename F, typename Value, typename Each>
void optionalShared(F &f, std::shared_ptr<const Value> &shared, Each each)
{
    bool present = shared != nullptr;
    f.flag(present);
    if (!present)
        return;
    Value value = shared ? *shared : Value{};
    each(value);
    if constexpr (F::isReading)
        shared = std::make_shared<const Value>(std::move(value));
}

template <typename F>
void fields(F &f, membership::MemberRecord &record)
{
    f.id(record.id);
    f.number(record.incarnation);
    f.number(record.version);
    f.choice(record.phase, membership::MemberPhase::Left);
    f.choice(record.health, membership::MemberHealth::Dead);
    f.flag(record.ready);
    f.flag(record.reachesEndpoints);
    optionalShared(f, record.description,
                   [&](membership::MemberDescription &description) { fields(f, description); });
}

template <typename F>
void fields(F &f, endpoints::EndpointRecord &record)
{
    f.id(record.id);
    f.number(record.incarnation);
    f.number(record.version);
    f.number(record.descriptionVersion);
    f.choice(record.phase, endpoints::EndpointPhase::Left);
    f.id(record.home);
    f.number(record.drain.position.term);
    f.number(record.drain.position.index);
    f.flag(record.drain.draining);
    bool wasCold = record.cold.incarnation != 0;
    f.flag(wasCold);
    if (wasCold) {
        f.number(record.cold.incarnation);
        f.number(record.cold.sequence);
        f.number(record.cold.leftMs);
        if (record.cold.leftMs > endpoints::ColdMark::longestMs)
            throw cereal::Exception("cold time out of range");
    }
    optionalShared(f, record.description, [&](state::EndpointDescription &description) {
        description.id = record.id;
        description.incarnation = record.incarnation;
        fields(f, description.address);
        f.choice(description.kind, state::EndpointKind::PlainService);
        f.id(description.failureDomain);
        f.id(description.service);
        f.list(description.models, [&](state::ModelName &model) { f.id(model); });
        f.number(description.kvCapacityTokens);
        f.number(description.prefillTokensPerSecond);
        f.number(description.decodeTokensPerSecond);
        f.flag(description.honoursFencing);
    });
}

template <typename F>
void fields(F &f, membership::MemberStatus &status)
{
    f.number(status.member);
    f.number(status.sequence);
    f.number(status.tableVersion);
    f.number(status.load);
    if (status.load > membership::maximumLoad)
        throw cereal::Exception("load out of range");
}

template <typename F>
void fields(F &f, state::LoadReport &load)
{
    f.id(load.endpoint);
    f.number(load.incarnation);
    f.number(load.sequence);
    f.number(load.runningRequests);
    f.number(load.waitingRequests);
    f.number(load.waitingPrefillTokens);
    f.number(load.kvUsedTokens);
}

template <typename F>
void fields(F &f, membership::GossipMessage &message)
{
    f.choice(message.kind, membership::GossipKind::BroadcastAck);
    f.text(message.cluster);
    f.id(message.sender);
    f.number(message.senderIncarnation);
    f.number(message.sequence);
    f.id(message.target);
    f.list(message.members, [&](membership::MemberRecord &record) { fields(f, record); });
    f.list(message.endpointRecords, [&](endpoints::EndpointRecord &record) { fields(f, record); });
    f.list(message.statuses, [&](membership::MemberStatus &status) { fields(f, status); });
    f.list(message.digest, [&](std::uint64_t &hash) { f.number(hash); });
    f.list(message.buckets, [&](std::uint8_t &bucket) { f.number(bucket); });
    f.number(message.differingBuckets);
    f.list(message.summary, [&](membership::SummaryItem &item) {
        f.number(item.key);
        f.number(item.fingerprint);
    });
    f.list(message.keys, [&](std::uint64_t &key) { f.number(key); });
    f.list(message.loads, [&](state::LoadReport &load) { fields(f, load); });
}

// The message type that encode and decode handle.
struct Datagram
{
    membership::GossipMessage message;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        Fields<Archive> f(archive);
        fields(f, this->message);
    }
};

} // namespace

state::Result<std::string> sealGossip(const SealKeys &keys,
                                      const membership::GossipMessage &message)
{
    try {
        std::string bytes = seal(keys, gossipContext, encode(Datagram{message}));
        if (bytes.size() > maximumGossipBytes)
            return state::makeError(state::ErrorCode::InvalidArgument, "gossip.encode",
                                    "larger than a datagram may be");
        return bytes;
    } catch (const cereal::Exception &problem) {
        return state::makeError(state::ErrorCode::InvalidArgument, "gossip.encode", problem.what());
    }
}

state::Result<membership::GossipMessage> unsealGossip(const SealKeys &keys,
                                                      std::string_view datagram)
{
    if (datagram.size() > maximumGossipBytes)
        return state::makeError(state::ErrorCode::Corrupt, "gossip.decode", "too large");
    BOOST_OUTCOME_TRY(const std::string bytes, unseal(keys, gossipContext, datagram));
    BOOST_OUTCOME_TRY(Datagram decoded, decode<Datagram>(bytes));
    return std::move(decoded.message);
}

} // namespace lavenderthread::protocol
