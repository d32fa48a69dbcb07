// Indexes the endpoints by model and by service.
#include "program/MembershipView.h"

#include "state/FieldText.h"

#include <algorithm>

namespace lavenderthread::program {

using coordination::endpoints::EndpointRecord;

namespace {

using OwnerRingPointer = std::shared_ptr<const coordination::ownership::OwnerRing>;

// Finds owners in the order of the endpoints' ids. Each search of the ring goes through all members
// of a region, so owners are taken from the previous view where they can't have changed.
class OwnerSearch
{
public:
    OwnerSearch(const OwnerRingPointer &ring, const EndpointsView *previous)
        : ring(*ring)
    {
        if (previous == nullptr || previous->ring != ring)
            return;
        this->next = previous->endpoints.begin();
        this->end = previous->endpoints.end();
    }

    state::VmId ownerOf(const EndpointRecord &record)
    {
        while (this->next != this->end && this->next->record.id < record.id)
            ++this->next;
        const state::FailureDomain &domain = record.description->failureDomain;
        if (this->next != this->end && this->next->record.id == record.id
            && this->next->record.description->failureDomain == domain)
            return this->next->owner;
        return this->ring.endpointOwner(record.id, domain);
    }

private:
    const coordination::ownership::OwnerRing &ring;
    std::vector<EndpointState>::const_iterator next{};
    std::vector<EndpointState>::const_iterator end{};
};

} // namespace

EndpointsView EndpointsView::fromTable(const coordination::endpoints::EndpointTable &table,
                                       const OwnerRingPointer &ring, const EndpointsView *previous)
{
    EndpointsView view;
    view.ring = ring;
    OwnerSearch owners(ring, previous);
    view.endpoints.reserve(table.entries().size());
    for (const auto &[id, entry] : table.entries()) {
        const EndpointRecord &record = entry.record;
        // Members of an earlier version accept any text as an id.
        if (!record.description || !state::isFieldValue(id.value()))
            continue;
        const std::size_t position = view.endpoints.size();
        view.endpoints.push_back({record, owners.ownerOf(record), entry.presentColdUntil()});
        if (!record.isUsable())
            continue;
        if (!record.description->service.empty())
            view.replicasOfService[record.description->service].push_back(position);
        for (const state::ModelName &model : record.description->models)
            view.enginesOfModel[model].push_back(position);
    }
    return view;
}

const EndpointState *EndpointsView::find(const state::EndpointId &id) const
{
    const auto found =
            std::lower_bound(this->endpoints.begin(), this->endpoints.end(), id,
                             [](const EndpointState &entry, const state::EndpointId &wanted) {
                                 return entry.record.id < wanted;
                             });
    return found != this->endpoints.end() && found->record.id == id ? &*found : nullptr;
}

} // namespace lavenderthread::program
