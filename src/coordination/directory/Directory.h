// The answer to a caller that asks which addresses to use.
#pragma once

#include "coordination/membership/MemberTable.h"
#include "state/Error.h"

#include <vector>

namespace lavenderthread::coordination::directory {

struct DirectorySettings
{
    state::Duration timeToLive = std::chrono::seconds(10);
    std::size_t minimumEntries = 3; // so that one or two may fail while a caller holds its answer
    std::size_t maximumEntries = 16;
    // An account's entries carry this many times its share of all entries' work.
    double headroom = 1.5;
};

struct DirectoryRequest
{
    state::ClientAccountId account;
    std::uint32_t fleetShareMilli = 0;        // of the account over its work classes, 0 to 1000
    state::FailureDomain callerFailureDomain; // empty if not known
    std::uint64_t callerHash = 0;             // spreads the callers of one account
    // Members known to admit under an older table are not named. The version that this entry held
    // a while ago, longer than a change takes to reach all.
    std::uint64_t requiredTableVersion = 0;
};

struct DirectoryAnswer
{
    std::vector<state::Address> addresses; // the first is to be tried first
    state::Duration timeToLive{};

    bool operator==(const DirectoryAnswer &) const = default;
};

// Immutable.
class Directory
{
public:
    // Error: InvalidArgument, step "directory.create".
    static state::Result<Directory> create(const DirectorySettings &settings);

    // Empty addresses if no member is fit. Steering is by rendezvous: an account keeps its entries
    // while they are fit, and one that becomes unfit is the only one replaced.
    DirectoryAnswer answer(const DirectoryRequest &request,
                           const membership::MemberTable &members) const;
    const DirectorySettings &current() const { return this->settings; }

private:
    explicit Directory(const DirectorySettings &chosen)
        : settings(chosen)
    {}

    DirectorySettings settings;
};

} // namespace lavenderthread::coordination::directory
