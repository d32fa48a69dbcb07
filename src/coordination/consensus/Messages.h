// What members of the consensus say to each other.
#pragma once

#include "state/Ids.h"
#include "state/log/LogEntry.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lavenderthread::coordination::consensus {

// The sender's own clock in microseconds when it sent the request. The answer carries it back, so
// that the leader's lease counts from the sending, however late the answer comes.
using SendStamp = std::int64_t;

struct VoteRequest
{
    std::uint64_t term = 0; // the term to be voted in
    state::log::LogPosition last;
    bool preVote = false; // "would you?"; changes no state of the asked

    auto operator<=>(const VoteRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->term, this->last, this->preVote);
    }
};

struct VoteResponse
{
    std::uint64_t term = 0; // as asked if granted; otherwise the current term of the asked
    bool preVote = false;
    bool granted = false;

    auto operator<=>(const VoteResponse &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->term, this->preVote, this->granted);
    }
};

// Heartbeat as well; then without entries.
struct AppendRequest
{
    std::uint64_t term = 0;
    state::log::LogPosition previous; // of the entry before `entries`
    std::uint64_t commitIndex = 0;
    SendStamp stamp = 0;
    std::vector<state::log::LogEntry> entries; // contiguous

    auto operator<=>(const AppendRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->term, this->previous, this->commitIndex, this->stamp, this->entries);
    }
};

struct AppendResponse
{
    std::uint64_t term = 0;
    bool accepted = false;
    std::uint64_t index = 0; // accepted: synced up to here; otherwise: where a match may be
    SendStamp stamp = 0;

    auto operator<=>(const AppendResponse &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->term, this->accepted, this->index, this->stamp);
    }
};

struct SnapshotPiece
{
    std::uint64_t term = 0;
    state::log::LogPosition last;
    std::string configuration;
    std::uint64_t totalBytes = 0;
    std::uint64_t offset = 0;
    std::string bytes;
    SendStamp stamp = 0;

    auto operator<=>(const SnapshotPiece &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->term, this->last, this->configuration, this->totalBytes, this->offset,
                this->bytes, this->stamp);
    }
};

struct SnapshotResponse
{
    std::uint64_t term = 0;
    state::log::LogPosition last;
    std::uint64_t nextOffset = 0;
    bool installed = false; // synced, or not needed any more
    SendStamp stamp = 0;

    auto operator<=>(const SnapshotResponse &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->term, this->last, this->nextOffset, this->installed, this->stamp);
    }
};

using MessageBody = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                                 SnapshotPiece, SnapshotResponse>;

struct Message
{
    state::VmId from;
    state::VmId to; // another identity at the same address drops it
    MessageBody body;

    auto operator<=>(const Message &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->from, this->to, this->body);
    }
};

} // namespace lavenderthread::coordination::consensus
