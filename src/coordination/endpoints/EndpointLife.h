// The life of endpoints as one entry handles it: announcements and renewals taken here, expiry,
// leaving, drain marks, and care for endpoints whose home entry died. Makes records to publish.
#pragma once

#include "coordination/endpoints/EndpointTable.h"
#include "coordination/endpoints/FlapDamping.h"
#include "coordination/membership/MemberTable.h"
#include "coordination/ownership/OwnerRing.h"
#include "state/Error.h"

#include <map>
#include <optional>
#include <vector>

namespace lavenderthread::coordination::endpoints {

struct EndpointLifeSettings
{
    state::Duration renewAfter = std::chrono::seconds(5);
    state::Duration expiresAfter = std::chrono::seconds(15);
    FlapDampingSettings damping;
};

// What one entry knows when an event arrives.
struct EndpointWorld
{
    const EndpointTable &table;
    const membership::MemberTable &members;
    const ownership::OwnerRing &ring;
};

// Home: the entry that a record names; it alone ends the record when renewals stop. Every entry
// that is sent announcements keeps a lease of its own, and takes the role over when the home is
// gone. An endpoint that announces itself at two entries ends up at the one with the lower id.
class EndpointLife
{
public:
    // Error: InvalidArgument, step "endpoint-life.create".
    static state::Result<EndpointLife> create(const EndpointLifeSettings &settings,
                                              state::VmId self, state::Instant now);

    // First announcement or renewal. Gives the record to publish if something changed. Errors, step
    // "endpoint.announce": InvalidArgument; Conflict for an incarnation that is old or has left.
    state::Result<std::optional<EndpointRecord>>
    announce(const state::EndpointDescription &description, const EndpointWorld &world,
             state::Instant now);
    // Errors, step "endpoint.leave": NotFound; Conflict for an old incarnation.
    state::Result<std::optional<EndpointRecord>>
    leave(const state::EndpointId &endpoint, std::uint64_t incarnation, const EndpointWorld &world);
    // Records to publish because of time or of news; call every second.
    std::vector<EndpointRecord> tick(const EndpointWorld &world, state::Instant now);
    // Whether load reports of this endpoint are taken here.
    bool isAnnouncedHere(const state::EndpointId &endpoint, std::uint64_t incarnation) const;
    const EndpointLifeSettings &current() const { return this->settings; }

private:
    struct Renewal
    {
        state::EndpointDescription description;
        state::Instant expires;
        state::Instant since; // of the first of an unbroken row of renewals
    };

    EndpointLife(const EndpointLifeSettings &chosen, state::VmId ownId, state::Instant now)
        : settings(chosen)
        , self(std::move(ownId))
        , startedAt(now)
        , damping(chosen.damping)
    {}

    void renew(const state::EndpointDescription &description, state::Instant now);
    EndpointPhase livePhase(const state::EndpointId &endpoint, state::Instant now);
    bool takesOver(const EndpointRecord &known, const EndpointWorld &world,
                   state::Instant now) const;
    std::optional<EndpointRecord> reviewRenewed(const EndpointRecord &known, const Renewal &renewal,
                                                const EndpointWorld &world, state::Instant now);
    bool hasEnded(const EndpointRecord &known, const EndpointWorld &world,
                  state::Instant now) const;

    EndpointLifeSettings settings;
    state::VmId self;
    state::Instant startedAt;
    FlapDamping damping;
    std::map<state::EndpointId, Renewal> renewals; // unexpired, of one incarnation each
};

} // namespace lavenderthread::coordination::endpoints
