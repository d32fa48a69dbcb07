// Calls that entries send to control members: sealed cereal messages, sent with
// POST /v1/peer/control to the member's entry address.
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

// Proposes a command for the replicated log. Commands are idempotent, so resending one is safe.
struct ProposeCall
{
    std::string command; // encoded by protocol::encodeCommand

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->command);
    }
};

// Requests the changes that the entry lacks. The member records that the entry has `version` in
// force.
struct FeedCall
{
    state::VmId entry;
    std::uint64_t version = 0;
    // Version of the entry's configuration in force, to which a patch may apply; 0: none.
    std::uint64_t configuration = 0;
    // Long poll, with `pages` only: while the entry lacks nothing, the reply is delayed by at most
    // this many milliseconds. A change then reaches all entries within one round trip without
    // polling. 0: the reply is delayed only while the member knows no leader, and briefly.
    std::uint32_t waitMs = 0;
    // True: request the missing changes from any member that has them. False: request the newest
    // version number only.
    bool pages = true;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->entry, this->version, this->configuration, this->waitMs, this->pages);
    }
};

// Asks on how many entries the version is in force.
struct EnforcementCall
{
    std::uint64_t version = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version);
    }
};

// Requests the newest configuration, which a quorum confirms after the call has arrived.
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
    std::string answer; // encoded by protocol::encodeAnswer, if committed
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
    FeedContent content; // without pages if the entry lacks nothing or requested none

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
    state::Address leader; // consensus address of the leader; port 0 if unknown

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
