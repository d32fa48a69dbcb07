// Index arithmetic of the in-memory log.
#include "coordination/consensus/MemoryLog.h"

#include <utility>

namespace lavenderthread::coordination::consensus {

using state::log::LogEntry;
using state::log::LogPosition;

LogPosition MemoryLog::last() const
{
    return this->entries.empty() ? this->start : this->entries.back().position;
}

std::optional<std::uint64_t> MemoryLog::termAt(std::uint64_t index) const
{
    if (index == this->start.index)
        return this->start.term;
    if (index < this->start.index || index > this->last().index)
        return std::nullopt;
    return this->at(index).position.term;
}

bool MemoryLog::contains(const LogPosition &position) const
{
    return this->termAt(position.index) == position.term;
}

const LogEntry &MemoryLog::at(std::uint64_t index) const
{
    return this->entries[index - this->start.index - 1];
}

void MemoryLog::append(LogEntry entry)
{
    this->bytes += entry.payload.size();
    this->entries.push_back(std::move(entry));
}

void MemoryLog::truncateFrom(std::uint64_t index)
{
    while (!this->entries.empty() && this->last().index >= index) {
        this->bytes -= this->entries.back().payload.size();
        this->entries.pop_back();
    }
}

void MemoryLog::compactTo(std::uint64_t index)
{
    while (!this->entries.empty() && this->start.index < index) {
        this->start = this->entries.front().position;
        this->bytes -= this->entries.front().payload.size();
        this->entries.pop_front();
    }
}

std::vector<LogEntry> MemoryLog::slice(std::uint64_t from, std::size_t maximumEntries,
                                       std::size_t maximumBytes) const
{
    std::vector<LogEntry> found;
    std::size_t foundBytes = 0;
    for (std::uint64_t index = from; index <= this->last().index; ++index) {
        const LogEntry &entry = this->at(index);
        const bool full =
                found.size() >= maximumEntries || foundBytes + entry.payload.size() > maximumBytes;
        if (full && !found.empty())
            break;
        foundBytes += entry.payload.size();
        found.push_back(entry);
    }
    return found;
}

} // namespace lavenderthread::coordination::consensus
