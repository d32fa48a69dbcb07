// Messages between consensus members.
#pragma once

#include "state/Ids.h"
#include "state/log/LogEntry.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lavenderthread::coordination::consensus {

// The sender's clock in microseconds at which it sent the request. The response echoes it, so that
// the leader's lease counts from the send time, however late the response arrives.
using SendStamp = std::int64_t;

struct VoteRequest
{
    std::uint64_t term = 0; // the term of the election
    state::log::LogPosition last;
    bool preVote = false; // asks whether the receiver would vote; changes no state of it

    auto operator<=>(const VoteRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->term, this->last, this->preVote);
    }
};

struct VoteResponse
{
    std::uint64_t term = 0; // the requested term if granted, otherwise the voter's current term
    bool preVote = false;
    bool granted = false;

    auto operator<=>(const VoteResponse &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->term, this->preVote, this->granted);
    }
};

// Serves as the heartbeat too, then possibly without entries.
struct AppendRequest
{
    std::uint64_t term = 0;
    state::log::LogPosition previous; // position of the entry before `entries`
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
    std::uint64_t index = 0; // accepted: last matching index, synced; otherwise: index to try next
    SendStamp stamp = 0;

    auto operator<=>(const AppendResponse &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->term, this->accepted, this->index, this->stamp);
    }
};

struct SnapshotChunk
{
    std::uint64_t term = 0;
    state::log::LogPosition last;
    std::string configuration;
    std::uint64_t totalBytes = 0;
    std::uint64_t offset = 0;
    std::string bytes;
    SendStamp stamp = 0;

    auto operator<=>(const SnapshotChunk &) const = default;

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
    bool installed = false; // synced, or no longer needed
    SendStamp stamp = 0;

    auto operator<=>(const SnapshotResponse &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->term, this->last, this->nextOffset, this->installed, this->stamp);
    }
};

using MessageBody = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                                 SnapshotChunk, SnapshotResponse>;

struct Message
{
    state::VmId from;
    state::VmId to; // a process with another id at the same address drops the message
    MessageBody body;

    auto operator<=>(const Message &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->from, this->to, this->body);
    }
};

} // namespace lavenderthread::coordination::consensus
