// Endpoint lifecycle on one entry: accepts announcements, renewals and deregistrations,
// expires endpoints, keeps their drain marks, and looks after endpoints whose home entry died.
// Produces the records to publish.
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

struct EndpointLifecycleSettings
{
    state::Duration renewAfter = std::chrono::seconds(5);
    state::Duration expiresAfter = std::chrono::seconds(15);
    FlapDampingSettings damping;
};

// State of this entry that lifecycle decisions read.
struct EndpointContext
{
    const EndpointTable &table;
    const membership::MemberTable &members;
    const ownership::OwnerRing &ring;
};

// Each record names a home entry, which alone expires the record when renewals stop. Every
// entry that receives announcements keeps its own lease and takes over the home role when the
// home is gone. If an endpoint announces itself to two entries, the one with the lower id
// becomes its home.
class EndpointLifecycle
{
public:
    // Error: InvalidArgument, step "endpoint-life.create".
    static state::Result<EndpointLifecycle> create(const EndpointLifecycleSettings &settings,
                                                   state::VmId self, state::Instant now);

    // Handles a first announcement or a renewal. `coldLeft`: how long the endpoint stays cold, if
    // it is. Returns the record to publish if something changed. Errors, step "endpoint.announce":
    // InvalidArgument; Conflict for an incarnation that is old or has deregistered.
    state::Result<std::optional<EndpointRecord>>
    announce(const state::EndpointDescription &description, const EndpointContext &context,
             state::Instant now, std::optional<state::Duration> coldLeft = {});
    // Deregisters the endpoint, also one that was not announced here; returns the record to publish
    // unless it had left already. Errors, step "endpoint.leave": NotFound for incarnation 0;
    // Conflict if a higher incarnation is known; InvalidArgument.
    state::Result<std::optional<EndpointRecord>> leave(const state::EndpointId &endpoint,
                                                       std::uint64_t incarnation,
                                                       const EndpointContext &context);
    // Returns the records to publish after time passed or records changed; call once per second.
    std::vector<EndpointRecord> tick(const EndpointContext &context, state::Instant now);
    // Whether this entry holds a lease of that incarnation and so accepts its load reports.
    bool isAnnouncedHere(const state::EndpointId &endpoint, std::uint64_t incarnation) const;
    const EndpointLifecycleSettings &currentSettings() const { return this->settings; }

private:
    struct Renewal
    {
        state::EndpointDescription description;
        state::Instant expires;
        state::Instant unbrokenSince; // start of the current uninterrupted series of renewals
    };

    EndpointLifecycle(const EndpointLifecycleSettings &chosen, state::VmId ownId,
                      state::Instant now)
        : settings(chosen)
        , self(std::move(ownId))
        , startedAt(now)
        , damping(chosen.damping)
    {}

    // The record to publish without regard to cold times.
    std::optional<EndpointRecord> announcedRecord(const EndpointRecord &known,
                                                  const state::EndpointDescription &description,
                                                  const EndpointContext &context,
                                                  state::Instant now);
    void renew(const state::EndpointDescription &description, state::Instant now);
    EndpointPhase livePhase(const state::EndpointId &endpoint, state::Instant now);
    bool shouldTakeOver(const EndpointRecord &known, const EndpointContext &context,
                        state::Instant now) const;
    std::optional<EndpointRecord> updateForRenewal(const EndpointRecord &known,
                                                   const Renewal &renewal,
                                                   const EndpointContext &context,
                                                   state::Instant now);
    bool shouldExpireOrphan(const EndpointRecord &known, const EndpointContext &context,
                            state::Instant now) const;

    EndpointLifecycleSettings settings;
    state::VmId self;
    state::Instant startedAt;
    FlapDamping damping;
    std::map<state::EndpointId, Renewal> renewals; // unexpired, one incarnation per endpoint
};

} // namespace lavenderthread::coordination::endpoints
