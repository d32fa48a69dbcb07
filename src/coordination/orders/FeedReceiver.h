// The entry's side of the distribution: keeps the newest view, applies only upward, and knows
// whether the view is confirmed fresh. An entry whose view is not fresh admits nothing new under
// it.
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
    // A change has to be in force this long after its acknowledgement.
    state::Duration inForceWithin = std::chrono::seconds(12);
    // From the sending of a request that a control member answered as confirmed. With the time of
    // one commit it stays under the 12 s in which a change has to be in force.
    state::Duration lease = std::chrono::seconds(8);
    state::Duration refreshEvery = std::chrono::seconds(1);
    // Without confirmed news for this long the entry asks another control member.
    state::Duration switchAfter = std::chrono::seconds(3);
    // Admit under a stale view: for regions that would rather serve under an old table through a
    // long split than stop. Then "in force everywhere" does not hold for them.
    bool admitWhenStale = false;
};

// How far decisions under a view may be relied on.
enum class ViewStanding : std::uint8_t {
    Confirmed,   // it holds all that was acknowledged longer than `inForceWithin` ago
    Unconfirmed, // nobody has said so lately: what it refuses may have been allowed since
    Outdated,    // a newer version has been known of for too long: nothing may be decided under it
};

struct ViewLease
{
    state::Instant confirmedUntil;
    std::optional<state::Instant> outdatedFrom;

    ViewStanding at(state::Instant now) const
    {
        if (this->outdatedFrom && now >= *this->outdatedFrom)
            return ViewStanding::Outdated;
        return now < this->confirmedUntil ? ViewStanding::Confirmed : ViewStanding::Unconfirmed;
    }
    bool operator==(const ViewLease &) const = default;
};

struct FeedRequest
{
    std::uint64_t id = 0;
    std::size_t member = 0;    // which of the known control members to ask
    std::uint64_t version = 0; // the control side counts this entry as having it in force
};

struct FeedAnswer
{
    std::uint64_t id = 0;
    // The member knew, by its leader's lease or a round to a quorum after the request came, that
    // `version` is the newest. An isolated member can't know and says false.
    bool confirmed = false;
    std::uint64_t version = 0;
    std::vector<state::control::FeedPage> pages; // all that the entry lacks
};

class FeedReceiver
{
public:
    // `firstMember` spreads the entries over the members.
    FeedReceiver(FeedSettings feedSettings, std::size_t memberCount, std::size_t firstMember)
        : settings(feedSettings)
        , members(memberCount)
        , member(memberCount == 0 ? 0 : firstMember % memberCount)
    {}

    // A request to send now, if one is due.
    std::optional<FeedRequest> poll(state::Instant now);
    // True if the view changed and has to be published.
    bool onAnswer(const FeedAnswer &answer, state::Instant now);
    // What a member has applied, without a word on whether it is the newest: true if the view
    // changed. Followers give it, since one leader can't send every change to every entry.
    bool onPages(const std::vector<state::control::FeedPage> &pages)
    {
        return this->applyPages(pages);
    }
    // A control member has applied that version, whether or not it could confirm anything.
    void heardOf(std::uint64_t version, state::Instant now);
    // Since when a version is known of that the view lacks; nothing if it lacks none.
    std::optional<state::Instant> behindSince() const;
    void onRequestFailed(std::uint64_t id);
    // The next request is due then, if that is sooner: the last one brought nothing.
    void retryAt(state::Instant at) { this->pollAt = std::min(this->pollAt, at); }
    void setMembers(std::size_t memberCount);

    const state::control::ControlView &view() const { return this->current; }
    bool isFresh(state::Instant now) const { return this->everFresh && now < this->freshUntil; }
    ViewLease lease() const;
    // Also false until the first whole view has come, and while the view is outdated, whatever the
    // settings say.
    bool admits(state::Instant now) const;
    state::Instant nextPoll() const { return this->pollAt; }

private:
    struct HeardVersion
    {
        std::uint64_t version = 0;
        state::Instant at; // first heard of
    };

    bool applyPages(const std::vector<state::control::FeedPage> &pages);
    void switchMember();

    FeedSettings settings;
    std::size_t members;
    std::size_t member;
    state::control::ControlView current; // version never goes down
    // Rising, and all above the view's; while it is full, newer ones are left out.
    std::deque<HeardVersion> lacking;
    state::Instant freshUntil;     // never goes down
    state::Instant confirmedUntil; // never goes down
    bool everFresh = false;
    std::uint64_t lastRequest = 0;
    std::map<std::uint64_t, state::Instant> outstanding; // when each request was sent
    state::Instant pollAt;
    state::Instant newsAt; // last confirmed answer, or last switch
};

} // namespace lavenderthread::coordination::orders
