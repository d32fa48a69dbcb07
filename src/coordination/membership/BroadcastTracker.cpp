// Keeps the parts in the order in which they were sent, which is also that of their timeouts.
#include "coordination/membership/BroadcastTracker.h"

#include <utility>

namespace lavenderthread::coordination::membership {

std::uint32_t BroadcastTracker::track(BroadcastPart part, state::Instant now)
{
    const std::uint32_t sequence = ++this->lastSequence;
    this->parts[sequence] = {std::move(part), now + this->settings.acknowledgementTimeout};
    return sequence;
}

void BroadcastTracker::recordAcknowledgement(std::uint32_t sequence, const state::VmId &sender)
{
    const auto found = this->parts.find(sequence);
    if (found != this->parts.end() && found->second.part.receiver == sender)
        this->parts.erase(found);
}

std::vector<BroadcastPart> BroadcastTracker::takeOverdue(state::Instant now)
{
    std::vector<BroadcastPart> overdue;
    while (!this->parts.empty() && this->parts.begin()->second.dueAt <= now) {
        BroadcastPart &part = this->parts.begin()->second.part;
        if (part.sends < this->settings.maximumSends)
            overdue.push_back(std::move(part));
        this->parts.erase(this->parts.begin());
    }
    return overdue;
}

} // namespace lavenderthread::coordination::membership
