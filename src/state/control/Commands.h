// The commands of the replicated log and their answers.
#pragma once

#include "state/Error.h"
#include "state/control/Claim.h"
#include "state/control/ControlView.h"
#include "state/control/Evacuation.h"
#include "state/control/Order.h"
#include "state/table/Catalog.h"
#include "state/table/RowEdit.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lavenderthread::state::control {

// Identifies an operator's command. A resend has the same operator, request id and digest, and gets
// the first answer.
struct OperatorStamp
{
    OperatorId operatorId;
    std::string requestId; // chosen by the operator's client
    Digest digest;         // of the encoded action, without the time
    WallTime at;           // only for records and messages

    auto operator<=>(const OperatorStamp &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->operatorId, this->requestId, this->digest, this->at);
    }
};

// Applies all edits or none.
struct EditRows
{
    std::vector<table::RowEdit> edits;
    auto operator<=>(const EditRows &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->edits);
    }
};

// Stores or removes one catalog record if its version equals the expected one (0: absent).
template <typename Record>
struct PutRecord
{
    Record record;
    std::uint64_t expectedVersion = 0;
    auto operator<=>(const PutRecord &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->record, this->expectedVersion);
    }
};
template <typename Key>
struct RemoveRecord
{
    Key key;
    std::uint64_t expectedVersion = 0;
    auto operator<=>(const RemoveRecord &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->expectedVersion);
    }
};
using PutAccount = PutRecord<table::ClientAccount>;
using RemoveAccount = RemoveRecord<ClientAccountId>;
using PutService = PutRecord<table::Service>;
using RemoveService = RemoveRecord<ServiceName>;
using PutModel = PutRecord<table::ModelVersion>;
using RemoveModel = RemoveRecord<ModelName>;

struct SubmitOrder
{
    OrderSpec spec;
    auto operator<=>(const SubmitOrder &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->spec);
    }
};

using OperatorAction = std::variant<EditRows, PutAccount, RemoveAccount, PutService, RemoveService,
                                    PutModel, RemoveModel, SubmitOrder>;

struct OperatorCommand
{
    OperatorStamp stamp;
    OperatorAction action;
    auto operator<=>(const OperatorCommand &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->stamp, this->action);
    }
};

// Sent by the leader's order planner.
struct RecordOrderProgress
{
    std::uint64_t orderId = 0;
    EndpointId endpoint;
    EndpointOrderProgress progress;
    auto operator<=>(const RecordOrderProgress &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->orderId, this->endpoint, this->progress);
    }
};

struct TakeClaim
{
    ClaimId id;
    ClientAccountId account;
    Digest body;
    ClaimHolder holder;
    Duration timeLeft{}; // until the request's deadline; bounded by ClaimLimits::longestDeadline
    auto operator<=>(const TakeClaim &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->account, this->body, this->holder, this->timeLeft);
    }
};

// Sent by the holder before it sends the first byte to an endpoint.
struct DispatchClaim
{
    ClaimId id;
    ClaimHolder holder;
    auto operator<=>(const DispatchClaim &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->holder);
    }
};

// Sent by the holder; granted only before dispatch.
struct ReleaseClaim
{
    ClaimId id;
    ClaimHolder holder;
    auto operator<=>(const ReleaseClaim &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->holder);
    }
};

// Sent by the holder: the endpoint's answer, or no result if it is unknown whether the request ran.
struct FinishClaim
{
    ClaimId id;
    ClaimHolder holder;
    std::optional<ClaimResult> result;
    auto operator<=>(const FinishClaim &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->holder, this->result);
    }
};

// Sent by the leader when membership has declared an entry dead or has seen it restart. Settles the
// claims of every incarnation up to and including this one.
struct EntryLost
{
    VmId entry;
    std::uint64_t incarnation = 0;
    auto operator<=>(const EntryLost &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->entry, this->incarnation);
    }
};

// Sent by the leader about once a second: time on its monotonic clock since the last such command.
struct AdvanceTime
{
    Duration elapsed{};
    auto operator<=>(const AdvanceTime &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->elapsed);
    }
};

// Replaces the configuration if the new version is higher than the current one. Otherwise it
// changes nothing and is accepted too, so that operators can resend it after a lost answer.
struct ReplaceConfiguration
{
    ConfigurationDocument document;
    auto operator<=>(const ReplaceConfiguration &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->document);
    }
};

using Command =
        std::variant<OperatorCommand, RecordOrderProgress, TakeClaim, DispatchClaim, ReleaseClaim,
                     FinishClaim, EntryLost, AdvanceTime, ReplaceConfiguration, SetEvacuation>;

// The command changed the state, or is the resend of a command that did.
struct Accepted
{
    std::uint64_t version = 0; // log index of the change; for SubmitOrder also the order's id
    bool resend = false;
    auto operator<=>(const Accepted &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->resend);
    }
};

// The earlier conflicting command, reported to the operator whose command is refused.
struct RaceWinner
{
    OperatorId operatorId;
    WallTime at;
    std::uint64_t version = 0; // the version that the next attempt has to expect
    auto operator<=>(const RaceWinner &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->operatorId, this->at, this->version);
    }
};

// The command changed nothing.
struct Refused
{
    Error error;
    std::optional<RaceWinner> winner;
    bool resend = false;
    auto operator<=>(const Refused &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->error.code, this->error.step, this->error.peer, this->error.cause,
                this->winner, this->resend);
    }
};

enum class ClaimVerdict : std::uint8_t {
    Granted,        // the command took effect for this holder, now or when first sent
    InProgress,     // another attempt holds it
    AlreadyRan,     // result is set
    OutcomeUnknown, // another attempt may have run it
    OtherBody,      // the key was used with another body
    NotHolder,      // this attempt does not hold the claim (any more)
    TooLate,        // the claim's state no longer allows the command
    Full,           // a limit on claims is reached; no claim was taken
};

struct ClaimAnswer
{
    ClaimVerdict verdict = ClaimVerdict::NotHolder;
    ClaimHolder holder; // present holder of the claim; empty if there is no claim
    std::optional<ClaimResult> result;
    auto operator<=>(const ClaimAnswer &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->verdict, this->holder, this->result);
    }
};

using Answer = std::variant<Accepted, Refused, ClaimAnswer>;

} // namespace lavenderthread::state::control
