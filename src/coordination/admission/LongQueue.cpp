#include "coordination/admission/LongQueue.h"

namespace lavenderthread::coordination::admission {

LongQueue::Rank LongQueue::rankOf(const WaitingPrompt &prompt) const
{
    const auto penalty = std::chrono::duration_cast<state::Duration>(std::chrono::duration<double>(
            prompt.engineSeconds * this->settings.secondsPerEngineSecond));
    return {prompt.arrival + penalty, prompt.work};
}

void LongQueue::add(const state::RequestId &id, const WaitingPrompt &prompt)
{
    this->remove(prompt.work);
    const Rank rank = this->rankOf(prompt);
    this->order[rank] = {prompt, state::Instant::max()};
    this->ranks[prompt.work] = rank;
    this->ids[prompt.work] = id;
}

void LongQueue::remove(std::uint64_t work)
{
    const auto found = this->ranks.find(work);
    if (found == this->ranks.end())
        return;
    this->order.erase(found->second);
    this->ranks.erase(found);
    this->ids.erase(work);
}

void LongQueue::notePeer(const WaitingPrompt &prompt, state::Instant now)
{
    if (this->ids.contains(prompt.work))
        return; // an own prompt, sent back by a peer
    this->remove(prompt.work);
    const Rank rank = this->rankOf(prompt);
    this->order[rank] = {prompt, now + this->settings.peerLife};
    this->ranks[prompt.work] = rank;
}

void LongQueue::dropExpired(state::Instant now)
{
    for (auto entry = this->order.begin(); entry != this->order.end();) {
        if (entry->second.expires > now) {
            ++entry;
            continue;
        }
        this->ranks.erase(entry->second.prompt.work);
        entry = this->order.erase(entry);
    }
}

std::optional<state::RequestId> LongQueue::head(state::Instant now)
{
    this->dropExpired(now);
    if (this->order.empty())
        return std::nullopt;
    const auto own = this->ids.find(this->order.begin()->second.prompt.work);
    if (own == this->ids.end())
        return std::nullopt;
    return own->second;
}

double LongQueue::secondsBefore(const WaitingPrompt &prompt, state::Instant now) const
{
    const Rank limit = this->rankOf(prompt);
    double seconds = 0;
    for (const auto &[rank, entry] : this->order) {
        if (rank >= limit)
            break;
        if (entry.expires > now)
            seconds += entry.prompt.engineSeconds;
    }
    return seconds;
}

std::optional<WaitingPrompt> LongQueue::findOwn(std::uint64_t work) const
{
    if (!this->ids.contains(work))
        return std::nullopt;
    return this->order.at(this->ranks.at(work)).prompt;
}

std::vector<std::pair<state::RequestId, WaitingPrompt>> LongQueue::own() const
{
    std::vector<std::pair<state::RequestId, WaitingPrompt>> found;
    for (const auto &[work, id] : this->ids)
        found.emplace_back(id, this->order.at(this->ranks.at(work)).prompt);
    return found;
}

} // namespace lavenderthread::coordination::admission
