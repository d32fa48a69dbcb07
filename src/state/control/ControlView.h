// What of the control state every entry needs: table, catalog and drained endpoints, as one
// immutable value of one version, and the changes that carry a view from one version to the next.
// Control members and entries apply the same changes by the same function, so they can't drift.
#pragma once

#include "state/Ids.h"
#include "state/table/Catalog.h"
#include "state/table/Table.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lavenderthread::state::control {

// Whether operators want an endpoint to get no new work.
struct DrainMark
{
    EndpointId endpoint;
    bool drained = false;
    std::uint64_t orderId = 0;

    auto operator<=>(const DrainMark &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->endpoint, this->drained, this->orderId);
    }
};

struct DrainMarkKey
{
    const EndpointId &operator()(const DrainMark &mark) const { return mark.endpoint; }
};

// The relay configuration as operators sent it, whole. The replicated state keeps the text and
// compares versions; what the text means is decoded where it is used.
struct ConfigurationDocument
{
    std::uint64_t version = 0; // the operators' own; 0: none was accepted yet
    std::string text;

    auto operator<=>(const ConfigurationDocument &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->text);
    }
};

// A record put, or a key whose record is removed.
using FeedChange = std::variant<table::StoredRow, TableKey, table::ClientAccount, ClientAccountId,
                                table::Service, ServiceName, table::ModelVersion, ModelName,
                                DrainMark, ConfigurationDocument>;

struct ControlView
{
    std::uint64_t version = 0; // log index of the last change; never goes down
    table::Table table;
    table::Catalog catalog;
    table::PersistentMap<EndpointId, DrainMark, DrainMarkKey> drained; // drained ones only
    ConfigurationDocument configuration; // its version never goes down

    bool isDrained(const EndpointId &endpoint) const
    {
        return this->drained.find(endpoint) != nullptr;
    }
    ControlView with(const std::vector<FeedChange> &changes, std::uint64_t newVersion) const;
    // Changes that build this view from an empty one.
    std::vector<FeedChange> asChanges() const;
    static ControlView fromChanges(const std::vector<FeedChange> &changes, std::uint64_t version);

    bool operator==(const ControlView &) const = default;
};

// Changes from one version of the view to another, or (from = 0) a whole view; large ones come in
// pages of one `to`.
struct FeedPage
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::uint32_t page = 0; // 0 to pages-1
    std::uint32_t pages = 1;
    std::vector<FeedChange> changes;

    auto operator<=>(const FeedPage &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->from, this->to, this->page, this->pages, this->changes);
    }
};

// Keeps every encoded page well under the largest message between processes.
constexpr std::size_t changesOfOnePage = 5'000;

std::vector<FeedPage> makePages(std::uint64_t from, std::uint64_t to,
                                std::vector<FeedChange> changes);

} // namespace lavenderthread::state::control
