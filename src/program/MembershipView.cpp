// Indexes the endpoints by model and by service.
#include "program/MembershipView.h"

#include <algorithm>

namespace lavenderthread::program {

using coordination::endpoints::EndpointRecord;

EndpointsView EndpointsView::fromTable(const coordination::endpoints::EndpointTable &table,
                                       const coordination::ownership::OwnerRing &ring)
{
    EndpointsView view;
    view.endpoints.reserve(table.entries().size());
    for (const auto &[id, entry] : table.entries()) {
        const EndpointRecord &record = entry.record;
        if (!record.description)
            continue;
        const std::size_t position = view.endpoints.size();
        view.endpoints.push_back(
                {record, ring.endpointOwner(id, record.description->failureDomain)});
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
