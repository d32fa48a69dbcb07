// Strongly typed ids: a ClientAccountId can't be passed where an EndpointId is expected.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace lavenderthread::state {

// A string id of one kind of object. Ordered and hashable.
template <typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string text)
        : text(std::move(text))
    {}

    const std::string &value() const { return this->text; }
    bool empty() const { return this->text.empty(); }
    auto operator<=>(const StrongId &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->text);
    }

private:
    std::string text;
};

using VmId = StrongId<struct VmIdTag>; // one process of the system; stable across restarts
using EndpointId = StrongId<struct EndpointIdTag>; // one engine or plain service replica
using ClientAccountId = StrongId<struct ClientAccountIdTag>;
using WorkClass = StrongId<struct WorkClassTag>; // "narrative", "review", "posting", …
using ServiceName = StrongId<struct ServiceNameTag>;
using ModelName = StrongId<struct ModelNameTag>; // model with its version, "billing-v4"
using FailureDomain = StrongId<struct FailureDomainTag>;
using Region = StrongId<struct RegionTag>;
using RequestId = StrongId<struct RequestIdTag>;
using OperatorId = StrongId<struct OperatorIdTag>;

} // namespace lavenderthread::state

template <typename Tag>
struct std::hash<lavenderthread::state::StrongId<Tag>>
{
    std::size_t operator()(const lavenderthread::state::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};
