// Value types of the replicated log, shared by consensus (which orders entries), the durable log
// (which stores them) and the control state (which applies them).
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace lavenderthread::state::log {

// Position in the log's total order: by term, then by index. Orders to endpoints carry it as their
// fencing number; the higher position is the newer one.
struct LogPosition
{
    std::uint64_t term = 0;
    std::uint64_t index = 0; // 1 is the first entry; 0 is the position before it

    auto operator<=>(const LogPosition &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->term, this->index);
    }
};

enum class LogEntryKind : std::uint8_t {
    Noop,          // a new leader's first entry; commits the uncommitted entries of earlier terms
    Command,       // payload is an encoded control command
    Configuration, // payload is an encoded set of members
};

struct LogEntry
{
    LogPosition position;
    LogEntryKind kind = LogEntryKind::Noop;
    std::string payload;

    auto operator<=>(const LogEntry &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->position, this->kind, this->payload);
    }
};

// The state that a member must have synced to disk before it answers a vote or an append request of
// that term.
struct HardState
{
    std::uint64_t currentTerm = 0;
    std::string votedFor; // VmId text; empty if no vote in this term

    auto operator<=>(const HardState &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->currentTerm, this->votedFor);
    }
};

// The complete control state as of `last`; replaces all entries up to and including `last`.
struct LogSnapshot
{
    LogPosition last;
    std::string configuration; // encoded set of members as of `last`
    std::string bytes;         // encoded control state

    auto operator<=>(const LogSnapshot &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->last, this->configuration, this->bytes);
    }
};

} // namespace lavenderthread::state::log
