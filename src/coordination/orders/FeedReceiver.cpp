// Requests, answers and the lease that confirmed answers grant.
#include "coordination/orders/FeedReceiver.h"

#include <algorithm>

namespace lavenderthread::coordination::orders {

using state::Instant;
using state::control::ControlView;
using state::control::FeedChange;
using state::control::FeedPage;

std::optional<FeedRequest> FeedReceiver::poll(Instant now)
{
    if (this->members == 0 || now < this->pollAt)
        return std::nullopt;
    if (now >= this->confirmedOrSwitchedAt + this->settings.memberSwitchTimeout) {
        this->switchMember();
        this->confirmedOrSwitchedAt = now;
    }
    constexpr std::size_t maxOutstanding = 16;
    if (this->outstanding.size() >= maxOutstanding)
        this->outstanding.erase(this->outstanding.begin());
    this->pollAt = now + this->settings.refreshInterval;
    this->outstanding.emplace(++this->lastRequestId, now);
    return FeedRequest{this->lastRequestId, this->member, this->current.version};
}

bool FeedReceiver::onAnswer(const FeedAnswer &answer, Instant now)
{
    const auto sent = this->outstanding.find(answer.id);
    if (sent == this->outstanding.end())
        return false;
    const Instant sentAt = sent->second;
    this->outstanding.erase(sent);
    this->onVersionReported(answer.version, now);
    const bool changed = this->applyPages(answer.pages);
    // The lease counts from the sending of the request: a delayed answer confirms what was newest
    // then, not what is newest now. A member that reports an older version as the newest than this
    // entry already has is wrong and confirms nothing.
    const bool fresh = answer.confirmed && answer.version == this->current.version;
    if (fresh) {
        this->confirmedUntil =
                std::max(this->confirmedUntil, sentAt + this->settings.inForceWithin);
        this->freshUntil = std::max(this->freshUntil, sentAt + this->settings.lease);
        this->everFresh = true;
        this->confirmedOrSwitchedAt = now;
    }
    return changed;
}

void FeedReceiver::onVersionReported(std::uint64_t version, Instant now)
{
    constexpr std::size_t maxMissingVersions = 64;
    const std::uint64_t newest = this->missingVersions.empty()
                                         ? this->current.version
                                         : this->missingVersions.back().version;
    if (version > newest && this->missingVersions.size() < maxMissingVersions)
        this->missingVersions.push_back({version, now});
}

std::optional<Instant> FeedReceiver::behindSince() const
{
    if (this->missingVersions.empty())
        return std::nullopt;
    return this->missingVersions.front().reportedAt;
}

void FeedReceiver::onRequestFailed(std::uint64_t id)
{
    if (this->outstanding.erase(id) > 0)
        this->switchMember();
}

void FeedReceiver::setMembers(std::size_t memberCount)
{
    this->members = memberCount;
    this->member = memberCount == 0 ? 0 : this->member % memberCount;
}

// While a leader answers, an entry learns of a newer version at most one refresh after its commit.
// The rest of `inForceWithin` is the time in which the change must arrive.
ViewLease FeedReceiver::lease() const
{
    constexpr state::Duration maxAnswerTime = std::chrono::milliseconds(250);
    constexpr state::Duration minArrivalTime = std::chrono::milliseconds(250);
    ViewLease lease{this->confirmedUntil, std::nullopt};
    if (const auto since = this->behindSince())
        lease.outdatedFrom = *since
                             + std::max(minArrivalTime, this->settings.inForceWithin
                                                                - this->settings.refreshInterval
                                                                - maxAnswerTime);
    return lease;
}

bool FeedReceiver::admits(Instant now) const
{
    if (this->lease().statusAt(now) == ViewStatus::Outdated)
        return false;
    return this->isFresh(now) || (this->everFresh && this->settings.admitWhenStale);
}

// Applies all pages of an answer or none: a partial view would refuse accounts whose page is
// missing.
bool FeedReceiver::applyPages(const std::vector<FeedPage> &pages)
{
    if (pages.empty() || pages.front().to <= this->current.version)
        return false;
    const FeedPage &first = pages.front();
    const bool fits = first.from == 0 || first.from == this->current.version;
    if (!fits || pages.size() != first.pages)
        return false;
    std::vector<FeedChange> changes;
    for (std::uint32_t number = 0; number < pages.size(); ++number) {
        const FeedPage &page = pages[number];
        if (page.from != first.from || page.to != first.to || page.page != number)
            return false;
        changes.insert(changes.end(), page.changes.begin(), page.changes.end());
    }
    this->current = first.from == 0 ? ControlView::fromChanges(changes, first.to)
                                    : this->current.with(changes, first.to);
    while (!this->missingVersions.empty()
           && this->missingVersions.front().version <= this->current.version)
        this->missingVersions.pop_front();
    return true;
}

void FeedReceiver::switchMember()
{
    this->member = this->members == 0 ? 0 : (this->member + 1) % this->members;
}

} // namespace lavenderthread::coordination::orders
