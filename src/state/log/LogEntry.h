// Values of the replicated log, shared by consensus (which orders them), the durable log (which
// keeps them) and the control state (which applies them).
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace lavenderthread::state::log {

// Total order over the log. Also the fencing number that an order to an endpoint carries: a higher
// term, then a higher index, is newer.
struct LogPosition
{
    std::uint64_t term = 0;
    std::uint64_t index = 0; // 1 is the first entry; 0 stands before it

    auto operator<=>(const LogPosition &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->term, this->index);
    }
};

enum class LogEntryKind : std::uint8_t {
    Noop,          // a new leader's first entry; commits what earlier terms left
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

// What a member must have synced before it answers a vote or an append of that term.
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

// A whole control state as of `last`; replaces every entry up to it.
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
