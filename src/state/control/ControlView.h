// The part of the control state that every entry needs: table, catalog, drained endpoints and
// configuration as one immutable, versioned value, and the changes between two versions. Control
// members and entries apply the same changes by the same function, so their views can't diverge.
#pragma once

#include "state/Ids.h"
#include "state/control/Evacuation.h"
#include "state/table/Catalog.h"
#include "state/table/Table.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lavenderthread::state::control {

// Whether operators have drained an endpoint, so that it gets no new work.
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

// The complete relay configuration as operators sent it. The replicated state stores the text and
// compares versions; the text is decoded where it is used.
struct ConfigurationDocument
{
    std::uint64_t version = 0; // set by the operators; 0: none was accepted yet
    std::string text;

    auto operator<=>(const ConfigurationDocument &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->text);
    }
};

// A record to store, or the key of a record to remove.
using FeedChange = std::variant<table::StoredRow, TableKey, table::ClientAccount, ClientAccountId,
                                table::Service, ServiceName, table::ModelVersion, ModelName,
                                DrainMark, ConfigurationDocument, EvacuationMark>;

struct ControlView
{
    std::uint64_t version = 0; // log index of the last change; never decreases
    table::Table table;
    table::Catalog catalog;
    table::PersistentMap<EndpointId, DrainMark, DrainMarkKey> drained; // drained ones only
    ConfigurationDocument configuration; // its version never decreases
    table::PersistentMap<FailureDomain, EvacuationMark, EvacuationMarkKey>
            evacuations; // also ended

    bool isDrained(const EndpointId &endpoint) const
    {
        return this->drained.find(endpoint) != nullptr;
    }
    bool isEvacuated(const FailureDomain &failureDomain) const
    {
        const EvacuationMark *mark = this->evacuations.find(failureDomain);
        return mark != nullptr && mark->evacuated;
    }
    ControlView with(const std::vector<FeedChange> &changes, std::uint64_t newVersion) const;
    // The changes that build this view from an empty one.
    std::vector<FeedChange> asChanges() const;
    static ControlView fromChanges(const std::vector<FeedChange> &changes, std::uint64_t version);

    bool operator==(const ControlView &) const = default;
};

// Changes from one version of the view to another, or a whole view (from = 0). A large set of
// changes is split into several pages with the same `to`.
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

// Keeps every encoded page well below the maximum size of a message between processes.
constexpr std::size_t changesPerPage = 5'000;

std::vector<FeedPage> makePages(std::uint64_t from, std::uint64_t to,
                                std::vector<FeedChange> changes);

} // namespace lavenderthread::state::control
