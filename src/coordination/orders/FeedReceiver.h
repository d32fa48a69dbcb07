// Receives control views at an entry: keeps the newest one, never goes back to an older version,
// and knows whether the view is confirmed as fresh. An entry whose view is not fresh admits no new
// requests under it.
#pragma once

#include "state/Time.h"
#include "state/control/ControlView.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace lavenderthread::coordination::orders {

struct FeedSettings
{
    // A change must be in force on all entries this long after its acknowledgement.
    state::Duration inForceWithin = std::chrono::seconds(12);
    // How long a confirmed answer keeps the view fresh, counted from the sending of its request.
    // Together with the time of one commit this is below the 12 s limit of `inForceWithin`.
    state::Duration lease = std::chrono::seconds(8);
    state::Duration refreshInterval = std::chrono::seconds(1);
    // Without a confirmed answer for this long the entry asks another control member.
    state::Duration memberSwitchTimeout = std::chrono::seconds(3);
    // Admit under a stale view, for regions that prefer serving under an old table to stopping
    // during a long network partition. "In force everywhere" then does not hold for them.
    bool admitWhenStale = false;
};

// How far decisions based on a view may be relied on.
enum class ViewStatus : std::uint8_t {
    Confirmed,   // holds every change acknowledged more than `inForceWithin` ago
    Unconfirmed, // not confirmed lately: what it refuses may since be allowed
    Outdated,    // a newer version has been known for too long: decide nothing
};

// Until when a view is confirmed and from when it is outdated.
struct ViewLease
{
    state::Instant confirmedUntil;
    std::optional<state::Instant> outdatedFrom;

    ViewStatus statusAt(state::Instant now) const
    {
        if (this->outdatedFrom && now >= *this->outdatedFrom)
            return ViewStatus::Outdated;
        return now < this->confirmedUntil ? ViewStatus::Confirmed : ViewStatus::Unconfirmed;
    }
    bool operator==(const ViewLease &) const = default;
};

struct FeedRequest
{
    std::uint64_t id = 0;
    std::size_t member = 0;    // index of the control member to ask
    std::uint64_t version = 0; // the leader counts it as in force on this entry
};

struct FeedAnswer
{
    std::uint64_t id = 0;
    // The member knew that `version` is the newest, by the leader's lease or by a round trip to a
    // quorum after the request came. An isolated member can't know and answers false.
    bool confirmed = false;
    std::uint64_t version = 0;
    std::vector<state::control::FeedPage> pages; // all changes that the entry lacks
};

class FeedReceiver
{
public:
    // `firstMember`: index of the member to ask first; spreads the entries over the members.
    FeedReceiver(FeedSettings feedSettings, std::size_t memberCount, std::size_t firstMember)
        : settings(feedSettings)
        , members(memberCount)
        , member(memberCount == 0 ? 0 : firstMember % memberCount)
    {}

    // The request to send now, if one is due.
    std::optional<FeedRequest> poll(state::Instant now);
    // Returns true if the view changed and must be published.
    bool onAnswer(const FeedAnswer &answer, state::Instant now);
    // Pages that a member has applied, not confirmed as the newest; returns true if the view
    // changed. Followers send them, since one leader can't send every change to every entry.
    bool onPages(const std::vector<state::control::FeedPage> &pages)
    {
        return this->applyPages(pages);
    }
    // A control member has applied this version, whether or not it could confirm it as the newest.
    void onVersionReported(std::uint64_t version, state::Instant now);
    // Whether a member that holds this version can't bring the view up to date, since a newer one
    // was reported.
    bool isBehind(std::uint64_t versionThere) const
    {
        return !this->missingVersions.empty()
               && versionThere < this->missingVersions.back().version;
    }
    // When the oldest version that the view lacks was first reported; nothing if it lacks none.
    std::optional<state::Instant> behindSince() const;
    void onRequestFailed(std::uint64_t id);
    // Moves the next request forward to `at`, if that is sooner: the last one brought nothing.
    void retryAt(state::Instant at) { this->pollAt = std::min(this->pollAt, at); }
    void setMembers(std::size_t memberCount);

    const state::control::ControlView &view() const { return this->current; }
    bool isFresh(state::Instant now) const { return this->everFresh && now < this->freshUntil; }
    ViewLease lease() const;
    // Whether the entry may admit requests. False until the first complete view has come and while
    // the view is outdated, whatever the settings say.
    bool admits(state::Instant now) const;
    state::Instant nextPoll() const { return this->pollAt; }

private:
    struct ReportedVersion
    {
        std::uint64_t version = 0;
        state::Instant reportedAt; // when it was first reported
    };

    bool applyPages(const std::vector<state::control::FeedPage> &pages);
    void switchMember();

    FeedSettings settings;
    std::size_t members;
    std::size_t member;
    state::control::ControlView current; // its version never decreases
    // Known versions newer than the view's, ascending; while the queue is full, newer ones are not
    // added.
    std::deque<ReportedVersion> missingVersions;
    state::Instant freshUntil;     // never decreases
    state::Instant confirmedUntil; // never decreases
    bool everFresh = false;
    std::uint64_t lastRequestId = 0;
    std::map<std::uint64_t, state::Instant> outstanding; // by request id: when it was sent
    state::Instant pollAt;
    state::Instant confirmedOrSwitchedAt; // last confirmed answer or switch of member
};

} // namespace lavenderthread::coordination::orders
