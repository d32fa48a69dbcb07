#include "coordination/admission/LongPromptQueue.h"

namespace lavenderthread::coordination::admission {

LongPromptQueue::Rank LongPromptQueue::rankOf(const WaitingPrompt &prompt)
{
    return {prompt.arrival + prompt.rankDelay, prompt.requestHash};
}

void LongPromptQueue::add(const state::RequestId &id, const WaitingPrompt &prompt)
{
    this->remove(prompt.requestHash);
    const Rank rank = rankOf(prompt);
    this->byRank[rank] = {prompt, state::Instant::max()};
    this->rankByRequestHash[prompt.requestHash] = rank;
    this->ownRequestIds[prompt.requestHash] = id;
}

void LongPromptQueue::remove(std::uint64_t work)
{
    const auto found = this->rankByRequestHash.find(work);
    if (found == this->rankByRequestHash.end())
        return;
    this->byRank.erase(found->second);
    this->rankByRequestHash.erase(found);
    this->ownRequestIds.erase(work);
}

void LongPromptQueue::addPeerPrompt(const WaitingPrompt &prompt, state::Instant now)
{
    if (this->ownRequestIds.contains(prompt.requestHash))
        return; // an own prompt, sent back by a peer
    this->remove(prompt.requestHash);
    const Rank rank = rankOf(prompt);
    this->byRank[rank] = {prompt, now + this->settings.peerLifetime};
    this->rankByRequestHash[prompt.requestHash] = rank;
}

void LongPromptQueue::dropExpired(state::Instant now)
{
    for (auto entry = this->byRank.begin(); entry != this->byRank.end();) {
        if (entry->second.expires > now) {
            ++entry;
            continue;
        }
        this->rankByRequestHash.erase(entry->second.prompt.requestHash);
        entry = this->byRank.erase(entry);
    }
}

std::vector<QueuedPrompt> LongPromptQueue::inOrder(state::Instant now)
{
    this->dropExpired(now);
    std::vector<QueuedPrompt> prompts;
    std::size_t ownLeft = this->ownRequestIds.size();
    for (auto entry = this->byRank.begin(); entry != this->byRank.end() && ownLeft > 0; ++entry) {
        QueuedPrompt queued{entry->second.prompt, std::nullopt};
        const auto own = this->ownRequestIds.find(queued.prompt.requestHash);
        if (own != this->ownRequestIds.end()) {
            queued.ownId = own->second;
            --ownLeft;
        }
        prompts.push_back(std::move(queued));
    }
    return prompts;
}

double LongPromptQueue::secondsBefore(const WaitingPrompt &prompt, state::Instant now) const
{
    const Rank limit = rankOf(prompt);
    double seconds = 0;
    for (const auto &[rank, entry] : this->byRank) {
        if (rank >= limit)
            break;
        if (entry.expires > now && entry.prompt.modelHash == prompt.modelHash)
            seconds += entry.prompt.engineSeconds;
    }
    return seconds;
}

double LongPromptQueue::countBefore(const WaitingPrompt &prompt, state::Instant now) const
{
    const Rank limit = rankOf(prompt);
    double count = 0;
    for (const auto &[rank, entry] : this->byRank) {
        if (rank >= limit)
            break;
        if (entry.expires > now && entry.prompt.modelHash == prompt.modelHash)
            ++count;
    }
    return count;
}

double LongPromptQueue::sumOf(std::uint64_t modelHash, state::Instant now,
                              const std::function<double(const WaitingPrompt &)> &property) const
{
    double sum = 0;
    for (const auto &[rank, entry] : this->byRank) {
        if (entry.expires > now && entry.prompt.modelHash == modelHash)
            sum += property(entry.prompt);
    }
    return sum;
}

std::optional<WaitingPrompt> LongPromptQueue::findOwn(std::uint64_t work) const
{
    if (!this->ownRequestIds.contains(work))
        return std::nullopt;
    return this->byRank.at(this->rankByRequestHash.at(work)).prompt;
}

std::vector<std::pair<state::RequestId, WaitingPrompt>> LongPromptQueue::ownPrompts() const
{
    std::vector<std::pair<state::RequestId, WaitingPrompt>> found;
    for (const auto &[work, id] : this->ownRequestIds)
        found.emplace_back(id, this->byRank.at(this->rankByRequestHash.at(work)).prompt);
    return found;
}

} // namespace lavenderthread::coordination::admission
