// The part of the replicated log that a member keeps in memory: all entries after `start`.
#pragma once

#include "state/log/LogEntry.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace lavenderthread::coordination::consensus {

class MemoryLog
{
public:
    explicit MemoryLog(state::log::LogPosition position = {})
        : start(position)
    {}

    const state::log::LogPosition &startPosition() const { return this->start; }
    state::log::LogPosition last() const;
    std::size_t size() const { return this->entries.size(); }
    std::size_t payloadBytes() const { return this->bytes; }

    // The term at `index`; empty before `start` and after the last entry.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    bool contains(const state::log::LogPosition &position) const;
    const state::log::LogEntry &
    at(std::uint64_t index) const; // start.index < index <= last().index

    // The position of `entry` must be last().index + 1.
    void append(state::log::LogEntry entry);
    void truncateFrom(std::uint64_t index); // start.index < index
    // Drops the entries up to and including index, at most to the last one.
    void compactTo(std::uint64_t index);

    // Entries starting at `from` within both limits, but at least one entry if there is any.
    std::vector<state::log::LogEntry> slice(std::uint64_t from, std::size_t maximumEntries,
                                            std::size_t maximumBytes) const;

private:
    state::log::LogPosition start;            // position before the first entry kept
    std::deque<state::log::LogEntry> entries; // contiguous from start.index + 1
    std::size_t bytes = 0;                    // payload bytes of `entries`
};

} // namespace lavenderthread::coordination::consensus
