// Everything that goes through the replicated log, as typed commands and their answers.
#pragma once

#include "state/Error.h"
#include "state/control/Claim.h"
#include "state/control/ControlView.h"
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

// Identity of an operator's command: a resend carries the same three, and gets the first answer.
struct OperatorStamp
{
    OperatorId operatorId;
    std::string requestId; // chosen by the operator's client
    Digest digest;         // of the action's encoding, without the time
    WallTime at;           // for the record only

    auto operator<=>(const OperatorStamp &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->operatorId, this->requestId, this->digest, this->at);
    }
};

// All edits or none.
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

// Puts or removes one record of the catalog if its version is still the expected one (0: absent).
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

// By the order planner of the leader.
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

// By the holder, before the first byte goes to an endpoint.
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

// By the holder, only while it is not dispatched.
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

// By the holder: the endpoint's answer, or none when it can't tell whether it ran.
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

// By the leader once membership has given an entry up, or has seen it restart: settles the claims
// of every incarnation up to this one.
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

// By the leader about once a second: the time on its monotonic clock since its last step.
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

// Puts the configuration in force if its version is higher than the one held; else it changes
// nothing and is accepted all the same, so that operators may send it again after a lost answer.
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
                     FinishClaim, EntryLost, AdvanceTime, ReplaceConfiguration>;

// The command changed the state (or, as a resend, had done so before).
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

// Who won, for the loser of a race.
struct RaceWinner
{
    OperatorId operatorId;
    WallTime at;
    std::uint64_t version = 0; // what the next try has to expect
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
    TooLate,        // release or dispatch in a state that no longer allows it
    Full,           // no room; nothing was taken
};

struct ClaimAnswer
{
    ClaimVerdict verdict = ClaimVerdict::NotHolder;
    ClaimHolder holder; // of the claim as it stands; empty if there is none
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
