// Probe rounds and suspicion timers of the failure detector.
#include "coordination/membership/FailureDetector.h"

#include <algorithm>
#include <cmath>

namespace lavenderthread::coordination::membership {

ProbeActions FailureDetector::tick(const MemberTable &members, std::mt19937_64 &random,
                                   state::Instant now)
{
    ProbeActions actions;
    const bool isolated = this->isIsolated(members, now);
    if (this->probe && !this->probe->indirect
        && now - this->probe->sentAt >= this->settings.probeTimeout) {
        this->probe->indirect = true;
        actions.pingIndirectly = this->probe->target;
        actions.sequence = this->probe->sequence;
    }
    if (now >= this->nextProbe) {
        if (this->probe && !isolated)
            actions.suspect = this->probe->target;
        this->probe.reset();
        this->nextProbe = now + this->settings.probeInterval;
        if (auto target = this->nextTarget(members, random)) {
            this->probe = Probe{*target, ++this->lastSequence, now, false};
            actions.ping = target;
            actions.pingIndirectly.reset();
            actions.sequence = this->lastSequence;
        }
    }
    this->reviewSuspicions(members, isolated, now, actions);
    return actions;
}

// If a refutation is lost on the way to a single member, that member would declare a live one dead.
// Every member therefore probes the suspect directly before the suspicion ends, and the ack carries
// the refutation. Only members that missed the refutation do so, so a live suspect is not flooded.
void FailureDetector::reviewSuspicions(const MemberTable &members, bool isolated,
                                       state::Instant now, ProbeActions &actions)
{
    constexpr unsigned maximumRechecks = 3;
    for (auto &[id, suspicion] : this->suspicions) {
        if (isolated)
            suspicion.ends =
                    std::max(suspicion.ends, now + this->suspicionTimeout(members.liveCount()));
        const state::Duration left = suspicion.ends - now;
        if (left <= state::Duration::zero())
            actions.dead.push_back(id);
        else if (suspicion.rechecks < maximumRechecks
                 && left <= this->settings.probeInterval * (maximumRechecks - suspicion.rechecks)) {
            ++suspicion.rechecks;
            actions.recheck.push_back(id);
        }
    }
    for (const state::VmId &id : actions.dead)
        this->suspicions.erase(id);
}

void FailureDetector::recordAck(std::uint32_t sequence)
{
    if (this->probe && this->probe->sequence == sequence)
        this->probe.reset();
}

void FailureDetector::updateSuspicion(const MemberRecord &record, std::size_t members,
                                      state::Instant now)
{
    if (record.health != MemberHealth::Suspect || !record.isLive()) {
        this->suspicions.erase(record.id);
        return;
    }
    // A suspicion of a higher version means that the earlier one was refuted, even if the
    // refutation did not arrive here. The timer restarts, because the earlier one would end too
    // soon.
    const auto known = this->suspicions.find(record.id);
    if (known == this->suspicions.end() || known->second.version != record.version)
        this->suspicions[record.id] =
                Suspicion{record.version, now + this->suspicionTimeout(members)};
}

bool FailureDetector::isIsolated(const MemberTable &members, state::Instant now) const
{
    return members.liveCount() > 1 && now - this->lastContactAt > this->settings.isolationTimeout;
}

std::optional<state::VmId> FailureDetector::nextTarget(const MemberTable &members,
                                                       std::mt19937_64 &random)
{
    const std::size_t attempts = this->round.size() + 1;
    for (std::size_t attempt = 0; attempt < attempts; ++attempt) {
        if (this->roundPosition >= this->round.size()) {
            this->round.clear();
            for (const MemberEntry *entry :
                 members.randomLive(members.entries().size(), this->self, this->self, random))
                this->round.push_back(entry->record.id);
            this->roundPosition = 0;
            if (this->round.empty())
                return std::nullopt;
        }
        const state::VmId &candidate = this->round[this->roundPosition++];
        const MemberEntry *entry = members.find(candidate);
        if (entry != nullptr && entry->record.isLive())
            return candidate;
    }
    return std::nullopt;
}

state::Duration FailureDetector::suspicionTimeout(std::size_t members) const
{
    const double digits = std::max(1.0, std::log10(static_cast<double>(members + 1)));
    const double factor = this->settings.suspicionFactor * digits;
    return state::Duration(static_cast<std::int64_t>(
            static_cast<double>(this->settings.probeInterval.count()) * factor));
}

} // namespace lavenderthread::coordination::membership
