// Calls of entries to control members: cereal bodies, sealed, carried by POST /v1/peer/control on
// the member's entry address.
#pragma once

#include "protocol/FeedEncoder.h"
#include "protocol/Seal.h"
#include "state/Address.h"
#include "state/Error.h"
#include "state/Ids.h"
#include "state/control/ControlView.h"
#include "state/log/LogEntry.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lavenderthread::protocol {

// Put this command through the log. Commands are made so that sending one again is harmless.
struct ProposeCall
{
    std::string command; // protocol::encodeCommand

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->command);
    }
};

// What does the entry lack? Counts the entry as having `version` in force.
struct FeedCall
{
    state::VmId entry;
    std::uint64_t version = 0;
    std::uint64_t configuration = 0; // the one in force there that a patch may apply to; 0: none
    // With `pages`: if the entry lacks nothing, the answer is held back until it does, for this
    // long at most. A change then reaches all entries within a round trip, without a poll for each.
    std::uint32_t waitMs = 0;
    // Wants what it lacks, from any member that has it; else only to hear which version is newest.
    bool pages = true;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->entry, this->version, this->configuration, this->waitMs, this->pages);
    }
};

// On how many entries is the version in force?
struct EnforcementCall
{
    std::uint64_t version = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version);
    }
};

// Which configuration is the newest, as a quorum confirms after the call has come?
struct ConfigurationCall
{
    template <typename Archive>
    void serialize(Archive & /*archive*/)
    {}
};

using ControlCall = std::variant<ProposeCall, FeedCall, EnforcementCall, ConfigurationCall>;

struct ProposeReply
{
    bool committed = false;
    std::string answer; // protocol::encodeAnswer, if committed
    state::log::LogPosition position;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->committed, this->answer, this->position);
    }
};

struct FeedReply
{
    bool confirmed = false; // this member leads and knows that nothing newer is committed
    std::uint64_t version = 0;
    FeedContent content; // no pages if the entry lacks nothing, or wants none

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->confirmed, this->version, this->content);
    }
};

struct EnforcementReply
{
    bool confirmed = false;
    std::uint64_t inForce = 0;
    std::uint64_t entries = 0;
    std::vector<state::VmId> missing;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->confirmed, this->inForce, this->entries, this->missing);
    }
};

struct ConfigurationReply
{
    bool confirmed = false;
    state::control::ConfigurationDocument document;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->confirmed, this->document);
    }
};

struct ControlReply
{
    std::variant<ProposeReply, FeedReply, EnforcementReply, ConfigurationReply> body;
    state::Address leader; // consensus address of the leader as far as known; port 0 if not

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->body, this->leader);
    }
};

std::string sealControlCall(const SealKeys &keys, const ControlCall &call);
state::Result<ControlCall> unsealControlCall(const SealKeys &keys, std::string_view bytes);
std::string sealControlReply(const SealKeys &keys, const ControlReply &reply);
state::Result<ControlReply> unsealControlReply(const SealKeys &keys, std::string_view bytes);

} // namespace lavenderthread::protocol
