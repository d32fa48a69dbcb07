// Memory audit of the engines that this entry owns. Every reservation, export and stream that an
// engine holds must belong to a lease with a live holder; what belongs to none is freed.
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

// As the engine lists it.
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
    state::Instant expires; // the holder stops using it before, by a margin for clock drift

    bool operator==(const MemoryLease &) const = default;
};

// A lease's name tells who made it, so that an owner that lost all its leases, or never had them,
// still knows whom to ask. Only characters that the endpoint contract allows.
std::string makeLeaseName(const LeaseHolder &maker, std::uint64_t serial);
std::optional<LeaseHolder> makerOf(std::string_view leaseName);

struct MemoryAuditSettings
{
    // From the first sight of a lease without a live holder until it is freed. Above the time for
    // which a silently isolated entry still admits, and above two renewals of a lease.
    state::Duration orphanGrace = std::chrono::seconds(12);
    // Short streams end before; only what stays is asked about. The rest of the grace is left for
    // the answer.
    state::Duration askAfter = std::chrono::seconds(4);
    state::Duration askAgainAfter = std::chrono::seconds(5);
    state::Duration freeAgainAfter = std::chrono::seconds(2);
};

struct AuditFree
{
    state::EndpointId endpoint;
    HeldItem item;

    bool operator==(const AuditFree &) const = default;
};

// "Do you hold this lease?" Answered by grant() or denied().
struct AuditQuestion
{
    state::EndpointId endpoint;
    std::string lease;
    std::optional<state::VmId> holder; // empty: ask every live entry, any may have adopted it

    bool operator==(const AuditQuestion &) const = default;
};

struct AuditActions
{
    std::vector<AuditFree> frees;
    std::vector<AuditQuestion> questions;
};

class MemoryAudit
{
public:
    explicit MemoryAudit(const MemoryAuditSettings &chosen)
        : settings(chosen)
    {}

    // Ownership came or went. A new owner starts with no leases; the graces count from here.
    void gained(const state::EndpointId &endpoint);
    void lost(const state::EndpointId &endpoint);

    // New lease, renewal, or adoption by another holder. Errors, step "lease.grant": NotFound if
    // the endpoint isn't owned here; Conflict if the lease is being freed.
    state::Result<void> grant(const state::EndpointId &endpoint, const MemoryLease &lease);
    // The holder is done with it; the engine should free it soon by itself.
    void release(const state::EndpointId &endpoint, const std::string &lease);
    // `holder` answered that it doesn't hold the lease.
    void denied(const state::EndpointId &endpoint, const std::string &lease,
                const LeaseHolder &holder);

    // The engine's list of held memory. `isolated`: this entry hears no other now; then it can't
    // hear of holders either and frees nothing.
    AuditActions held(const state::EndpointId &endpoint, const std::vector<HeldItem> &items,
                      const membership::MemberTable &members, bool isolated, state::Instant now);

    std::uint64_t leasedTokens(const state::EndpointId &endpoint, state::Instant now) const;
    std::size_t leaseCount(const state::EndpointId &endpoint) const;

private:
    struct Doubt
    {
        std::optional<state::Instant> since; // first listed without a live lease
        std::optional<state::Instant> askedAt;
        std::optional<state::Instant> freedAt; // when the free was last ordered
        std::optional<LeaseHolder> deniedBy;
    };
    struct Owned
    {
        std::map<std::string, MemoryLease> leases;
        std::map<std::string, Doubt> doubts; // held items without a live lease
    };
    // Why an item is not covered, which decides when it may be freed.
    enum class Standing : std::uint8_t {
        Covered,     // leased by a live holder
        HolderGone,  // dead, left, or restarted: nobody can use it but by adoption
        HolderLives, // named by the item; silent about it so far
        Lapsed,      // leased, not renewed; its live holder had to stop
    };

    Standing standingOf(const Owned &owned, const HeldItem &item,
                        const membership::MemberTable &members, state::Instant now) const;
    static bool isLiveHolder(const LeaseHolder &holder, const membership::MemberTable &members);
    void judge(const state::EndpointId &endpoint, const HeldItem &item, Standing standing,
               Owned &owned, AuditActions &actions, state::Instant now) const;

    MemoryAuditSettings settings;
    std::map<state::EndpointId, Owned> ownedEndpoints;
};

} // namespace lavenderthread::coordination::endpoints
