// Directory of entries: tells a caller which addresses to connect to.
#pragma once

#include "coordination/membership/MemberTable.h"
#include "state/Error.h"

#include <vector>

namespace lavenderthread::coordination::directory {

struct DirectorySettings
{
    state::Duration timeToLive = std::chrono::seconds(10); // for which a caller keeps an answer
    std::size_t minimumEntries = 3; // one or two may fail while a caller holds its answer
    std::size_t maximumEntries = 16;
    // An account gets entries for this many times its share of the work of all entries.
    double headroom = 1.5;
};

struct DirectoryRequest
{
    state::ClientAccountId account;
    std::uint32_t fleetShareMilli = 0; // the account's share over its work classes, 0 to 1000
    state::FailureDomain callerFailureDomain; // empty if unknown
    std::uint64_t callerHash = 0;             // distributes the callers of one account
    // Members known to admit requests under an older version of the operators' table are left out.
    // Set to the version that this entry held longer ago than a change takes to reach all.
    std::uint64_t requiredTableVersion = 0;
};

struct DirectoryAnswer
{
    std::vector<state::Address> addresses; // in order of preference
    state::Duration timeToLive{};

    bool operator==(const DirectoryAnswer &) const = default;
};

// Selects and orders the entries for a caller. Immutable.
class Directory
{
public:
    // Error: InvalidArgument, step "directory.create".
    static state::Result<Directory> create(const DirectorySettings &settings);

    // Returns no addresses if no member is eligible. Rendezvous hashing selects the members: an
    // account keeps its entries while they are eligible, and only one that becomes ineligible
    // is replaced.
    DirectoryAnswer answer(const DirectoryRequest &request,
                           const membership::MemberTable &members) const;
    const DirectorySettings &currentSettings() const { return this->settings; }

private:
    explicit Directory(const DirectorySettings &chosen)
        : settings(chosen)
    {}

    DirectorySettings settings;
};

} // namespace lavenderthread::coordination::directory
