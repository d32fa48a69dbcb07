// Announcements, renewals, expiry and take-over.
#include "coordination/endpoints/EndpointLife.h"

namespace lavenderthread::coordination::endpoints {

namespace {

constexpr std::size_t maximumIdCharacters = 128;
constexpr std::size_t maximumRecordBytes = 800; // must fit a datagram with its headers

EndpointRecord nextVersion(const EndpointRecord &known, EndpointPhase phase,
                           const state::VmId &home)
{
    EndpointRecord next = known;
    ++next.version;
    next.phase = phase;
    next.home = home;
    return next;
}

EndpointRecord described(const EndpointRecord &known, const state::EndpointDescription &description,
                         EndpointPhase phase, const state::VmId &home)
{
    EndpointRecord next = nextVersion(known, phase, home);
    if (description.incarnation != known.incarnation)
        next.version = 1;
    next.incarnation = description.incarnation;
    next.descriptionVersion = next.version;
    next.description = std::make_shared<const state::EndpointDescription>(description);
    return next;
}

bool isLiveMember(const state::VmId &id, const membership::MemberTable &members)
{
    const membership::MemberEntry *entry = members.find(id);
    return entry != nullptr && entry->record.isLive();
}

bool isSane(const state::EndpointDescription &description)
{
    const auto fits = [](const auto &id) { return id.value().size() <= maximumIdCharacters; };
    for (const state::ModelName &model : description.models) {
        if (!fits(model))
            return false;
    }
    return !description.id.empty() && fits(description.id) && !description.address.ip.empty()
           && fits(description.failureDomain) && fits(description.service)
           && description.incarnation > 0;
}

} // namespace

state::Result<EndpointLife> EndpointLife::create(const EndpointLifeSettings &settings,
                                                 state::VmId self, state::Instant now)
{
    constexpr int renewalsBeforeExpiry = 2; // one may be lost
    if (self.empty() || settings.renewAfter <= state::Duration::zero()
        || settings.expiresAfter < settings.renewAfter * renewalsBeforeExpiry)
        return state::makeError(state::ErrorCode::InvalidArgument, "endpoint-life.create",
                                "needs an id, and an expiry of two renewals or more");
    return EndpointLife(settings, std::move(self), now);
}

state::Result<std::optional<EndpointRecord>>
EndpointLife::announce(const state::EndpointDescription &description, const EndpointWorld &world,
                       state::Instant now)
{
    const auto fail = [&](state::ErrorCode code, const char *cause) {
        return state::makeError(code, "endpoint.announce", cause, description.id.value());
    };
    if (!isSane(description))
        return fail(state::ErrorCode::InvalidArgument, "id, address or incarnation out of range");
    const EndpointEntry *entry = world.table.find(description.id);
    const EndpointRecord known = entry ? entry->record : EndpointRecord{description.id};
    if (description.incarnation < known.incarnation)
        return fail(state::ErrorCode::Conflict, "a higher incarnation is known");
    const bool restarted = description.incarnation > known.incarnation;
    // A renewal that was sent before the endpoint left may arrive after; it must not bring the
    // endpoint back, or requests would go to a process that is gone.
    if (!restarted && known.phase == EndpointPhase::Left)
        return fail(state::ErrorCode::Conflict, "this incarnation has left");
    const bool changed = restarted || !known.description || *known.description != description;
    if (changed
        && wireBytes(described(known, description, EndpointPhase::Live, this->self))
                   > maximumRecordBytes)
        return fail(state::ErrorCode::InvalidArgument, "the description is too large");

    this->renew(description, now);
    this->damping.observe(description.id, description.incarnation, now);
    if (changed)
        return std::optional(
                described(known, description, this->livePhase(description.id, now), this->self));
    return this->reviewRenewed(known, this->renewals.at(description.id), world, now);
}

state::Result<std::optional<EndpointRecord>> EndpointLife::leave(const state::EndpointId &endpoint,
                                                                 std::uint64_t incarnation,
                                                                 const EndpointWorld &world)
{
    const EndpointEntry *entry = world.table.find(endpoint);
    if (entry == nullptr || entry->record.incarnation == 0)
        return state::makeError(state::ErrorCode::NotFound, "endpoint.leave", "not announced",
                                endpoint.value());
    const EndpointRecord &known = entry->record;
    if (incarnation != known.incarnation)
        return state::makeError(state::ErrorCode::Conflict, "endpoint.leave",
                                "another incarnation is known", endpoint.value());
    this->renewals.erase(endpoint);
    if (known.phase == EndpointPhase::Left)
        return std::optional<EndpointRecord>();
    return std::optional(nextVersion(known, EndpointPhase::Left, this->self));
}

std::vector<EndpointRecord> EndpointLife::tick(const EndpointWorld &world, state::Instant now)
{
    std::erase_if(this->renewals, [&](const auto &item) { return now >= item.second.expires; });
    this->damping.forgetCalm(now);
    std::vector<EndpointRecord> publish;
    for (const auto &[id, entry] : world.table.entries()) {
        const EndpointRecord &known = entry.record;
        if (known.incarnation == 0)
            continue;
        this->damping.observe(id, known.incarnation, now);
        const auto renewal = this->renewals.find(id);
        const bool older = renewal != this->renewals.end()
                           && renewal->second.description.incarnation < known.incarnation;
        if (older || known.phase == EndpointPhase::Left) {
            this->renewals.erase(id);
        } else if (renewal != this->renewals.end()) {
            if (auto next = this->reviewRenewed(known, renewal->second, world, now))
                publish.push_back(std::move(*next));
            continue;
        }
        if (this->hasEnded(known, world, now)
            || (known.home == this->self && known.phase != EndpointPhase::Left
                && known.phase != EndpointPhase::Expired
                && now - this->startedAt >= this->settings.expiresAfter
                && now - entry.changedAt >= this->settings.expiresAfter))
            publish.push_back(nextVersion(known, EndpointPhase::Expired, this->self));
    }
    return publish;
}

bool EndpointLife::isAnnouncedHere(const state::EndpointId &endpoint,
                                   std::uint64_t incarnation) const
{
    const auto found = this->renewals.find(endpoint);
    return found != this->renewals.end() && found->second.description.incarnation == incarnation;
}

void EndpointLife::renew(const state::EndpointDescription &description, state::Instant now)
{
    const auto found = this->renewals.find(description.id);
    state::Instant since = now;
    if (found != this->renewals.end()) {
        const state::Instant renewedAt = found->second.expires - this->settings.expiresAfter;
        const bool unbroken = now - renewedAt < this->settings.renewAfter * 2
                              && found->second.description.incarnation == description.incarnation;
        since = unbroken ? found->second.since : now;
    }
    this->renewals.insert_or_assign(description.id,
                                    Renewal{description, now + this->settings.expiresAfter, since});
}

EndpointPhase EndpointLife::livePhase(const state::EndpointId &endpoint, state::Instant now)
{
    return this->damping.isHeld(endpoint, now) ? EndpointPhase::Held : EndpointPhase::Live;
}

bool EndpointLife::takesOver(const EndpointRecord &known, const EndpointWorld &world,
                             state::Instant now) const
{
    if (known.phase == EndpointPhase::Expired || !isLiveMember(known.home, world.members))
        return true;
    // Two entries that are both sent every renewal would take it from each other for ever; the
    // order of their ids lets only one of them.
    const Renewal &renewal = this->renewals.at(known.id);
    return this->self < known.home && now - renewal.since >= this->settings.renewAfter;
}

std::optional<EndpointRecord> EndpointLife::reviewRenewed(const EndpointRecord &known,
                                                          const Renewal &renewal,
                                                          const EndpointWorld &world,
                                                          state::Instant now)
{
    const EndpointPhase phase = this->livePhase(known.id, now);
    if (known.home != this->self) {
        if (!this->takesOver(known, world, now))
            return std::nullopt;
    } else if (known.phase == phase && known.description
               && *known.description == renewal.description) {
        return std::nullopt;
    }
    if (!known.description || *known.description != renewal.description)
        return described(known, renewal.description, phase, this->self);
    return nextVersion(known, phase, this->self);
}

// The owner ends what a dead home left behind, once the endpoint had the time to announce itself
// at another entry.
bool EndpointLife::hasEnded(const EndpointRecord &known, const EndpointWorld &world,
                            state::Instant now) const
{
    if (known.phase == EndpointPhase::Left || known.phase == EndpointPhase::Expired
        || !known.description)
        return false;
    const membership::MemberEntry *home = world.members.find(known.home);
    if (home != nullptr && home->record.isLive())
        return false;
    if (world.ring.endpointOwner(known.id, known.description->failureDomain) != this->self)
        return false;
    const EndpointEntry *entry = world.table.find(known.id);
    const state::Instant orphanedAt =
            std::max({this->startedAt, entry->changedAt, home ? home->changedAt : this->startedAt});
    return now - orphanedAt >= this->settings.expiresAfter;
}

} // namespace lavenderthread::coordination::endpoints
