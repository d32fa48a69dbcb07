// Handles announcements, renewals, expiry and the takeover of the home role.
#include "coordination/endpoints/EndpointLifecycle.h"

#include "state/ConnectableAddress.h"
#include "state/FieldText.h"

namespace lavenderthread::coordination::endpoints {

namespace {

constexpr std::size_t maximumIdCharacters = 128;
constexpr std::size_t maximumRecordBytes = 800; // a record and its headers must fit one datagram

EndpointRecord nextVersion(const EndpointRecord &known, EndpointPhase phase,
                           const state::VmId &home)
{
    EndpointRecord next = known;
    ++next.version;
    next.phase = phase;
    next.home = home;
    return next;
}

EndpointRecord withDescription(const EndpointRecord &known,
                               const state::EndpointDescription &description, EndpointPhase phase,
                               const state::VmId &home)
{
    EndpointRecord next = nextVersion(known, phase, home);
    if (description.incarnation != known.incarnation)
        next.version = 1;
    next.incarnation = description.incarnation;
    next.descriptionVersion = next.version;
    next.description = std::make_shared<const state::EndpointDescription>(description);
    return next;
}

// The mark of an endpoint that has become cold; nothing if it is warm or its countdown goes on.
std::optional<ColdMark> newColdMark(const EndpointEntry *entry,
                                    const state::EndpointDescription &description,
                                    state::Duration coldLeft, state::Instant now)
{
    const ColdMark known = entry == nullptr ? ColdMark{} : entry->record.cold;
    const bool isKnown = known.incarnation == description.incarnation;
    if (coldLeft <= state::Duration::zero() || known.incarnation > description.incarnation
        || (isKnown && now + coldLeft <= entry->coldUntil + ColdMark::tolerance))
        return std::nullopt;
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(coldLeft);
    return ColdMark{description.incarnation, isKnown ? known.sequence + 1 : 1,
                    std::uint32_t(left.count())};
}

bool isLiveMember(const state::VmId &id, const membership::MemberTable &members)
{
    const membership::MemberEntry *entry = members.find(id);
    return entry != nullptr && entry->record.isLive();
}

// Requests name the endpoint that they are meant for in their head.
bool isValid(const state::EndpointId &id)
{
    return !id.empty() && id.value().size() <= maximumIdCharacters
           && state::isFieldValue(id.value());
}

bool isValid(const state::EndpointDescription &description)
{
    const auto fits = [](const auto &id) { return id.value().size() <= maximumIdCharacters; };
    for (const state::ModelName &model : description.models) {
        if (!fits(model))
            return false;
    }
    return isValid(description.id) && state::isConnectable(description.address)
           && fits(description.failureDomain) && fits(description.service)
           && description.incarnation > 0;
}

} // namespace

state::Result<EndpointLifecycle>
EndpointLifecycle::create(const EndpointLifecycleSettings &settings, state::VmId self,
                          state::Instant now)
{
    constexpr int renewalsBeforeExpiry = 2; // so that one lost renewal does not expire the endpoint
    if (self.empty() || settings.renewAfter <= state::Duration::zero()
        || settings.expiresAfter < settings.renewAfter * renewalsBeforeExpiry)
        return state::makeError(state::ErrorCode::InvalidArgument, "endpoint-life.create",
                                "needs an id, a renewal interval above 0 and an expiry of at least "
                                "two renewal intervals");
    return EndpointLifecycle(settings, std::move(self), now);
}

state::Result<std::optional<EndpointRecord>>
EndpointLifecycle::announce(const state::EndpointDescription &description,
                            const EndpointContext &context, state::Instant now,
                            std::optional<state::Duration> coldLeft)
{
    const auto fail = [&](state::ErrorCode code, const char *cause) {
        return state::makeError(code, "endpoint.announce", cause, description.id.value());
    };
    if (!isValid(description))
        return fail(state::ErrorCode::InvalidArgument, "id, address or incarnation out of range");
    const EndpointEntry *entry = context.table.find(description.id);
    const EndpointRecord known = entry ? entry->record : EndpointRecord{description.id};
    if (description.incarnation < known.incarnation)
        return fail(state::ErrorCode::Conflict, "a higher incarnation is known");
    const bool restarted = description.incarnation > known.incarnation;
    // A renewal sent before the deregistration may arrive after it. It must not reactivate the
    // endpoint, or requests would be sent to a process that has exited.
    if (!restarted && known.phase == EndpointPhase::Left)
        return fail(state::ErrorCode::Conflict, "this incarnation has left");
    const bool changed = restarted || !known.description || *known.description != description;
    const auto cold = newColdMark(entry, description, coldLeft.value_or(state::Duration(0)), now);
    if (changed
        && wireBytes(withDescription(known, description, EndpointPhase::Live, this->self))
                   > maximumRecordBytes)
        return fail(state::ErrorCode::InvalidArgument, "the description is too large");

    this->renew(description, now);
    this->damping.observe(description.id, description.incarnation, now);
    std::optional<EndpointRecord> next = this->announcedRecord(known, description, context, now);
    if (cold) {
        next = next.value_or(known);
        next->cold = *cold;
    }
    return next;
}

std::optional<EndpointRecord>
EndpointLifecycle::announcedRecord(const EndpointRecord &known,
                                   const state::EndpointDescription &description,
                                   const EndpointContext &context, state::Instant now)
{
    if (!known.description || *known.description != description)
        return withDescription(known, description, this->livePhase(description.id, now),
                               this->self);
    return this->updateForRenewal(known, this->renewals.at(description.id), context, now);
}

state::Result<std::optional<EndpointRecord>>
EndpointLifecycle::leave(const state::EndpointId &endpoint, std::uint64_t incarnation,
                         const EndpointContext &context)
{
    const auto fail = [&](state::ErrorCode code, const char *cause) {
        return state::makeError(code, "endpoint.leave", cause, endpoint.value());
    };
    if (!isValid(endpoint))
        return fail(state::ErrorCode::InvalidArgument, "id out of range");
    if (incarnation == 0)
        return fail(state::ErrorCode::NotFound, "not announced");
    const EndpointEntry *entry = context.table.find(endpoint);
    const EndpointRecord known = entry ? entry->record : EndpointRecord{endpoint};
    if (incarnation < known.incarnation)
        return fail(state::ErrorCode::Conflict, "a higher incarnation is known");
    this->renewals.erase(endpoint);
    if (incarnation == known.incarnation && known.phase == EndpointPhase::Left)
        return std::optional<EndpointRecord>();
    EndpointRecord left = nextVersion(known, EndpointPhase::Left, this->self);
    // An announcement of this incarnation may still arrive; the description is an earlier one's.
    if (incarnation > known.incarnation) {
        left.incarnation = incarnation;
        left.description = nullptr;
    }
    return std::optional(std::move(left));
}

std::vector<EndpointRecord> EndpointLifecycle::tick(const EndpointContext &context,
                                                    state::Instant now)
{
    std::erase_if(this->renewals, [&](const auto &item) { return now >= item.second.expires; });
    this->damping.forgetStable(now);
    std::vector<EndpointRecord> publish;
    for (const auto &[id, entry] : context.table.entries()) {
        const EndpointRecord &known = entry.record;
        if (known.incarnation == 0)
            continue;
        this->damping.observe(id, known.incarnation, now);
        const auto renewal = this->renewals.find(id);
        const bool isOlder = renewal != this->renewals.end()
                             && renewal->second.description.incarnation < known.incarnation;
        if (isOlder || known.phase == EndpointPhase::Left) {
            this->renewals.erase(id);
        } else if (renewal != this->renewals.end()) {
            if (auto next = this->updateForRenewal(known, renewal->second, context, now))
                publish.push_back(std::move(*next));
            continue;
        }
        if (this->shouldExpireOrphan(known, context, now)
            || (known.home == this->self && known.phase != EndpointPhase::Left
                && known.phase != EndpointPhase::Expired
                && now - this->startedAt >= this->settings.expiresAfter
                && now - entry.changedAt >= this->settings.expiresAfter))
            publish.push_back(nextVersion(known, EndpointPhase::Expired, this->self));
    }
    return publish;
}

bool EndpointLifecycle::isAnnouncedHere(const state::EndpointId &endpoint,
                                        std::uint64_t incarnation) const
{
    const auto found = this->renewals.find(endpoint);
    return found != this->renewals.end() && found->second.description.incarnation == incarnation;
}

void EndpointLifecycle::renew(const state::EndpointDescription &description, state::Instant now)
{
    const auto found = this->renewals.find(description.id);
    state::Instant since = now;
    if (found != this->renewals.end()) {
        const state::Instant renewedAt = found->second.expires - this->settings.expiresAfter;
        const bool isUnbroken = now - renewedAt < this->settings.renewAfter * 2
                                && found->second.description.incarnation == description.incarnation;
        since = isUnbroken ? found->second.unbrokenSince : now;
    }
    this->renewals.insert_or_assign(description.id,
                                    Renewal{description, now + this->settings.expiresAfter, since});
}

EndpointPhase EndpointLifecycle::livePhase(const state::EndpointId &endpoint, state::Instant now)
{
    return this->damping.isHeld(endpoint, now) ? EndpointPhase::Held : EndpointPhase::Live;
}

bool EndpointLifecycle::shouldTakeOver(const EndpointRecord &known, const EndpointContext &context,
                                       state::Instant now) const
{
    if (known.phase == EndpointPhase::Expired || !isLiveMember(known.home, context.members))
        return true;
    // If two entries both receive every renewal, only the one with the lower id may take the
    // role over; otherwise they would take it from each other forever.
    const Renewal &renewal = this->renewals.at(known.id);
    return this->self < known.home && now - renewal.unbrokenSince >= this->settings.renewAfter;
}

std::optional<EndpointRecord> EndpointLifecycle::updateForRenewal(const EndpointRecord &known,
                                                                  const Renewal &renewal,
                                                                  const EndpointContext &context,
                                                                  state::Instant now)
{
    const EndpointPhase phase = this->livePhase(known.id, now);
    if (known.home != this->self) {
        if (!this->shouldTakeOver(known, context, now))
            return std::nullopt;
    } else if (known.phase == phase && known.description
               && *known.description == renewal.description) {
        return std::nullopt;
    }
    if (!known.description || *known.description != renewal.description)
        return withDescription(known, renewal.description, phase, this->self);
    return nextVersion(known, phase, this->self);
}

// The owner expires an endpoint whose home entry is dead, but only after the endpoint had time
// to announce itself to another entry.
bool EndpointLifecycle::shouldExpireOrphan(const EndpointRecord &known,
                                           const EndpointContext &context, state::Instant now) const
{
    if (known.phase == EndpointPhase::Left || known.phase == EndpointPhase::Expired
        || !known.description)
        return false;
    const membership::MemberEntry *home = context.members.find(known.home);
    if (home != nullptr && home->record.isLive())
        return false;
    if (context.ring.endpointOwner(known.id, known.description->failureDomain) != this->self)
        return false;
    const EndpointEntry *entry = context.table.find(known.id);
    const state::Instant orphanedAt =
            std::max({this->startedAt, entry->changedAt, home ? home->changedAt : this->startedAt});
    return now - orphanedAt >= this->settings.expiresAfter;
}

} // namespace lavenderthread::coordination::endpoints
