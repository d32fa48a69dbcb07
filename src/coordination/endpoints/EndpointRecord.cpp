// Ordering, merging and encoded size of endpoint records.
#include "coordination/endpoints/EndpointRecord.h"

#include <xxhash.h>

#include <array>
#include <tuple>

namespace lavenderthread::coordination::endpoints {

namespace {

constexpr std::size_t stringOverheadBytes = 1;
constexpr std::size_t fixedRecordBytes = 45;
constexpr std::size_t coldMarkBytes = 16;
constexpr std::size_t fixedDescriptionBytes = 32;

// Left is compared before the version. An endpoint whose acknowledgements are lost announces itself
// to several entries. One that has not yet received the deregistration can produce a later
// version with phase Live; if that version won, callers would be sent to the leaving endpoint until
// it deregisters again.
auto lifecycleOrder(const EndpointRecord &record)
{
    return std::tuple(record.incarnation, record.phase == EndpointPhase::Left, record.version,
                      record.phase, record.home);
}

void copyLifecycle(EndpointRecord &into, const EndpointRecord &from)
{
    into.incarnation = from.incarnation;
    into.version = from.version;
    into.descriptionVersion = from.descriptionVersion;
    into.phase = from.phase;
    into.home = from.home;
    if (from.description)
        into.description = from.description;
}

} // namespace

bool EndpointRecord::isUsable() const
{
    return this->phase == EndpointPhase::Live && !this->drain.draining
           && this->description != nullptr;
}

bool EndpointRecord::operator==(const EndpointRecord &other) const
{
    const bool sameDescription =
            this->description == other.description
            || (this->description && other.description && *this->description == *other.description);
    return sameDescription && this->id == other.id && lifecycleOrder(*this) == lifecycleOrder(other)
           && this->descriptionVersion == other.descriptionVersion && this->drain == other.drain
           && this->cold == other.cold;
}

bool stopsNewWork(const EndpointRecord &record)
{
    return record.phase == EndpointPhase::Left || record.drain.draining;
}

bool hasNewerLifecycle(const EndpointRecord &next, const EndpointRecord &known)
{
    return lifecycleOrder(next) > lifecycleOrder(known);
}

MergeResult merge(const EndpointRecord &known, const EndpointRecord &update)
{
    MergeResult result{known};
    const bool sameDescription = update.descriptionVersion == known.descriptionVersion;
    const bool isApplicable = update.description != nullptr || update.phase == EndpointPhase::Left
                              || (update.incarnation == known.incarnation && sameDescription);
    if (hasNewerLifecycle(update, known) && isApplicable) {
        result.descriptionChanged =
                update.description != nullptr
                && std::tuple(update.incarnation, update.descriptionVersion)
                           != std::tuple(known.incarnation, known.descriptionVersion);
        const bool hadLeft =
                known.incarnation == update.incarnation && known.phase == EndpointPhase::Left;
        result.left = update.phase == EndpointPhase::Left && !hadLeft;
        copyLifecycle(result.record, update);
        result.changed = true;
    }
    if (update.drain.position > known.drain.position) {
        result.record.drain = update.drain;
        result.changed = true;
    }
    if (update.cold.isNewerThan(known.cold)) {
        result.record.cold = update.cold;
        result.coldChanged = true;
        result.changed = true;
    }
    result.updateIsOlder = hasNewerLifecycle(known, update)
                           || known.drain.position > update.drain.position
                           || known.cold.isNewerThan(update.cold);
    return result;
}

std::uint64_t fingerprint(const EndpointRecord &record)
{
    const std::array<std::uint64_t, 8> parts{
            XXH64(record.id.value().data(), record.id.value().size(), 1),
            record.incarnation,
            (std::uint64_t{record.version} << 32U) | record.descriptionVersion,
            XXH64(record.home.value().data(), record.home.value().size(),
                  static_cast<std::uint64_t>(record.phase)),
            record.drain.position.term,
            record.drain.position.index,
            record.cold.incarnation,
            record.cold.sequence};
    return XXH64(parts.data(), sizeof(parts), 0);
}

std::size_t wireBytes(const EndpointRecord &record)
{
    std::size_t bytes = fixedRecordBytes + record.id.value().size() + record.home.value().size();
    if (record.cold.incarnation != 0)
        bytes += coldMarkBytes;
    if (!record.description)
        return bytes;
    const state::EndpointDescription &description = *record.description;
    bytes += fixedDescriptionBytes + description.address.ip.size()
             + description.failureDomain.value().size() + description.service.value().size();
    for (const state::ModelName &model : description.models)
        bytes += stringOverheadBytes + model.value().size();
    return bytes;
}

} // namespace lavenderthread::coordination::endpoints
