// Memory audit of the engines that this entry owns. Every reservation, export and stream that
// an engine holds must belong to a lease with a live holder; memory without one is freed.
#pragma once

#include "coordination/membership/MemberTable.h"
#include "state/Error.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::coordination::endpoints {

enum class HeldKind : std::uint8_t { Stream, Reservation, Export };

// One item of held memory, as the engine lists it.
struct HeldItem
{
    std::string lease;
    HeldKind kind = HeldKind::Stream;
    std::uint64_t tokens = 0;

    bool operator==(const HeldItem &) const = default;
};

// The entry process that uses the memory.
struct LeaseHolder
{
    state::VmId vm;
    std::uint64_t incarnation = 0;

    bool operator==(const LeaseHolder &) const = default;
};

struct MemoryLease
{
    std::string name;
    LeaseHolder holder;
    std::uint64_t tokens = 0;
    state::Instant expires; // the holder stops using it earlier, by a margin for clock drift

    bool operator==(const MemoryLease &) const = default;
};

// A lease name contains the identity of its creator, so that an owner that lost its leases or never
// had them still knows which holder to query. It uses only characters that the endpoint contract
// allows.
std::string makeLeaseName(const LeaseHolder &creator, std::uint64_t serial);
// Parses the creator out of a lease name; empty if the name has another format.
std::optional<LeaseHolder> leaseCreator(std::string_view leaseName);

struct MemoryAuditSettings
{
    // Time from the first sight of a lease without a live holder until its memory is freed. Longer
    // than the time for which an entry that has not noticed its isolation still admits
    // requests, and longer than two renewal intervals of a lease.
    state::Duration orphanGrace = std::chrono::seconds(12);
    // Delay before the first query, so that short streams end without one. The rest of orphanGrace
    // is left for the answer.
    state::Duration queryAfter = std::chrono::seconds(4);
    state::Duration queryRetryInterval = std::chrono::seconds(5);
    state::Duration freeRetryInterval = std::chrono::seconds(2);
};

struct AuditFree
{
    state::EndpointId endpoint;
    HeldItem item;

    bool operator==(const AuditFree &) const = default;
};

// Query whether an entry holds this lease. The answer is passed to grant() or holderDenied().
struct AuditQuery
{
    state::EndpointId endpoint;
    std::string lease;
    std::optional<state::VmId> holder; // empty: query all live entries; any may have adopted it

    bool operator==(const AuditQuery &) const = default;
};

struct AuditActions
{
    std::vector<AuditFree> frees;
    std::vector<AuditQuery> queries;
};

// Tracks the leases and the unleased memory of each owned endpoint, and decides what to query and
// what to free.
class MemoryAudit
{
public:
    explicit MemoryAudit(const MemoryAuditSettings &chosen)
        : settings(chosen)
    {}

    // Ownership was gained or lost. A new owner starts without leases; grace periods start anew.
    void ownershipGained(const state::EndpointId &endpoint);
    void ownershipLost(const state::EndpointId &endpoint);

    // Records a new lease, a renewal, or an adoption by another holder. Errors, step "lease.grant":
    // NotFound if the endpoint is not owned here; Conflict if the lease is being freed.
    state::Result<void> grant(const state::EndpointId &endpoint, const MemoryLease &lease);
    // The holder no longer uses the lease; the engine should soon free the memory by itself.
    void release(const state::EndpointId &endpoint, const std::string &lease);
    // `holder` answered that it does not hold the lease.
    void holderDenied(const state::EndpointId &endpoint, const std::string &lease,
                      const LeaseHolder &holder);

    // Audits the engine's list of held memory and returns what to free and query. `isolated`: this
    // entry currently hears no other one, so it cannot hear from holders and frees nothing.
    AuditActions auditHeldMemory(const state::EndpointId &endpoint,
                                 const std::vector<HeldItem> &items,
                                 const membership::MemberTable &members, bool isolated,
                                 state::Instant now);

    std::uint64_t leasedTokens(const state::EndpointId &endpoint, state::Instant now) const;
    std::size_t leaseCount(const state::EndpointId &endpoint) const;

private:
    struct OrphanCandidate
    {
        // First listed without a live lease, or last seen while isolated; empty: not listed yet.
        std::optional<state::Instant> graceStart;
        std::optional<state::Instant> queriedAt;     // last query; empty: none
        std::optional<state::Instant> freeOrderedAt; // last free order to the engine
        std::optional<LeaseHolder> deniedBy;
    };
    struct OwnedEndpoint
    {
        std::map<std::string, MemoryLease> leases;
        // By lease name; held items without a live lease.
        std::map<std::string, OrphanCandidate> orphanCandidates;
    };
    // Whether a live lease covers an item and, if not, why; this decides when it may be freed.
    enum class LeaseStatus : std::uint8_t {
        Covered,     // leased by a live holder
        HolderGone,  // dead, left or restarted; usable only after adoption
        HolderAlive, // no lease yet, but the holder that its name contains is alive
        Lapsed,      // lease not renewed in time; its live holder had to stop using it
    };

    LeaseStatus leaseStatusOf(const OwnedEndpoint &owned, const HeldItem &item,
                              const membership::MemberTable &members, state::Instant now) const;
    static bool isLiveHolder(const LeaseHolder &holder, const membership::MemberTable &members);
    void freeOrQuery(const state::EndpointId &endpoint, const HeldItem &item, LeaseStatus status,
                     OwnedEndpoint &owned, AuditActions &actions, state::Instant now) const;

    MemoryAuditSettings settings;
    std::map<state::EndpointId, OwnedEndpoint> ownedEndpoints;
};

} // namespace lavenderthread::coordination::endpoints
