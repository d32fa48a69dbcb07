// Merges endpoint updates and forgets endpoints that left or expired long ago.
#include "coordination/endpoints/EndpointTable.h"

#include <xxhash.h>

#include <algorithm>

namespace lavenderthread::coordination::endpoints {

namespace {

bool hasEnded(const EndpointRecord &record)
{
    return record.phase == EndpointPhase::Left || record.phase == EndpointPhase::Expired;
}

state::Instant coldUntil(const ColdMark &mark, state::Instant now)
{
    return mark.incarnation == 0 ? state::Instant{} : now + std::chrono::milliseconds(mark.leftMs);
}

} // namespace

ColdMark EndpointEntry::coldMarkAt(state::Instant now) const
{
    ColdMark mark = this->record.cold;
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(this->coldUntil - now);
    mark.leftMs = std::uint32_t(std::clamp<std::int64_t>(left.count(), 0, mark.leftMs));
    return mark;
}

std::uint64_t endpointKey(const state::EndpointId &id)
{
    constexpr std::uint64_t endpointSeed = 2;
    return XXH64(id.value().data(), id.value().size(), endpointSeed);
}

MergeResult EndpointTable::apply(const EndpointRecord &update, state::Instant now)
{
    const auto found = this->records.find(update.id);
    if (found == this->records.end()) {
        const bool hasDrainMark = update.drain.position != state::log::LogPosition{};
        const bool isAnnouncement =
                update.description != nullptr && (!hasEnded(update) || update.drain.draining);
        // A deregistration may arrive before the announcement. It must be kept, and thereby passed
        // on, or the late announcement would put an endpoint into use that has left.
        const bool isDeregistration = update.phase == EndpointPhase::Left;
        if (!isAnnouncement && !hasDrainMark && !isDeregistration)
            return MergeResult{update};
        EndpointRecord first = update;
        if (!first.description && !isDeregistration)
            first = EndpointRecord{update.id,    0,  0, 0, EndpointPhase::Expired, {},
                                   update.drain, {}, {}};
        this->records.emplace(update.id, EndpointEntry{first, endpointKey(update.id),
                                                       endpoints::fingerprint(first), now,
                                                       coldUntil(first.cold, now)});
        return MergeResult{first,
                           true,
                           false,
                           first.description != nullptr,
                           first.cold.incarnation != 0,
                           isDeregistration};
    }
    MergeResult merged = merge(found->second.record, update);
    if (merged.changed) {
        if (merged.coldChanged)
            found->second.coldUntil = coldUntil(merged.record.cold, now);
        found->second.record = merged.record;
        found->second.fingerprint = endpoints::fingerprint(merged.record);
        found->second.changedAt = now;
    }
    return merged;
}

bool EndpointTable::forget(state::Instant now, state::Duration retention)
{
    return std::erase_if(this->records,
                         [&](const auto &item) {
                             const EndpointRecord &record = item.second.record;
                             return hasEnded(record) && !record.drain.draining
                                    && now - item.second.changedAt > retention;
                         })
           > 0;
}

const EndpointEntry *EndpointTable::find(const state::EndpointId &id) const
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

} // namespace lavenderthread::coordination::endpoints
