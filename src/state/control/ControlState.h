// The replicated control state: applies committed commands in log order. It is deterministic, and
// the only writer of table, catalog, orders and claims.
#pragma once

#include "state/control/ClaimLedger.h"
#include "state/control/Commands.h"
#include "state/control/ControlView.h"
#include "state/control/OrderBook.h"
#include "state/log/LogEntry.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lavenderthread::state::control {

// History record of one change: who changed what, and when.
struct ChangeRecord
{
    std::uint64_t version = 0;
    OperatorId operatorId;
    WallTime at;
    std::string subject; // "row acme/review", "account acme", "order 17"
    std::string summary; // "weight 1 -> 5", "removed"

    auto operator<=>(const ChangeRecord &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->operatorId, this->at, this->subject, this->summary);
    }
};

// The first answer to an operator's request; repeated for resends.
struct RememberedRequest
{
    OperatorStamp stamp;
    Answer answer;

    auto operator<=>(const RememberedRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->stamp, this->answer);
    }
};

// The state as plain data, for snapshots. Equal states have equal images.
struct ControlImage
{
    std::uint64_t appliedIndex = 0;
    std::uint64_t viewVersion = 0;
    std::vector<FeedChange> view;
    std::vector<Order> orders;
    std::vector<RememberedRequest> requests;
    std::vector<ChangeRecord> history;
    ControlTime now{};
    std::vector<Claim> claims;

    auto operator<=>(const ControlImage &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->appliedIndex, this->viewVersion, this->view, this->orders, this->requests,
                this->history, this->now, this->claims);
    }
};

// Limits of the replicated state. All members must use the same values, so they are constants and
// not settings.
struct ControlLimits
{
    ClaimLimits claims;
    std::size_t tableRows = 100'000;
    std::size_t accounts = 50'000;
    std::size_t requestsRemembered = 10'000; // five days of changes at the planned size
    std::size_t changesRemembered = 10'000;
    // Kept for entries that are behind; an entry further behind gets a whole view.
    std::size_t feedChanges = 50'000;
    std::size_t evacuations = 1'000; // failure domains with an order, also ended ones
};

class ControlState
{
public:
    explicit ControlState(ControlLimits limits = {});
    ControlState(ControlLimits limits, ControlImage image);

    // Call once for each committed command, in log order.
    Answer apply(const log::LogPosition &position, const Command &command);

    const ControlView &view() const { return this->currentView; }
    const OrderBook &orders() const { return this->orderBook; }
    const ClaimLedger &claims() const { return this->claimLedger; }
    const std::deque<ChangeRecord> &history() const { return this->changes; }
    std::uint64_t appliedIndex() const { return this->lastAppliedIndex; }

    // The changes after `version`; empty if it is current. A whole view (from = 0) if the changes
    // are no longer kept, or if this state never had `version`.
    std::vector<FeedPage> changesSince(std::uint64_t version) const;

    // Images of equal states are equal.
    ControlImage image() const;
    // Like image(), but with the claims in unspecified order. Commands wait during this copy, so it
    // is kept fast; sorting and encoding (protocol::encodeControlImage) belong on another thread.
    ControlImage copyImage() const;

private:
    struct FeedDelta
    {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        std::vector<FeedChange> changes;
    };
    // The changes of one command, collected before any of them is applied.
    struct Draft
    {
        OperatorStamp stamp;
        std::uint64_t version = 0;
        std::vector<FeedChange> changes;
        std::vector<ChangeRecord> records;

        void add(FeedChange change, std::string subject, std::string summary);
    };
    using RequestKey = std::pair<OperatorId, std::string>;

    Answer replaceConfiguration(const ConfigurationDocument &document);
    Answer setEvacuation(const SetEvacuation &order);
    Answer applyOperator(const OperatorCommand &command);
    Result<void> draft(const EditRows &action, Draft &draft, std::optional<RaceWinner> &winner);
    // `kind` is the prefix of the subject in errors and in the history, such as "service ".
    template <typename Record>
    Result<void> draftNamed(const PutRecord<Record> &action, const char *kind, const Record *known,
                            Draft &draft, std::optional<RaceWinner> &winner);
    template <typename Key, typename Record>
    Result<void> checkRemoval(const RemoveRecord<Key> &action, const std::string &subject,
                              const Record *known, std::optional<RaceWinner> &winner);
    Result<void> draft(const PutAccount &action, Draft &draft, std::optional<RaceWinner> &winner);
    Result<void> draft(const RemoveAccount &action, Draft &draft,
                       std::optional<RaceWinner> &winner);
    Result<void> draft(const PutService &action, Draft &draft, std::optional<RaceWinner> &winner);
    Result<void> draft(const RemoveService &action, Draft &draft,
                       std::optional<RaceWinner> &winner);
    Result<void> draft(const PutModel &action, Draft &draft, std::optional<RaceWinner> &winner);
    Result<void> draft(const RemoveModel &action, Draft &draft, std::optional<RaceWinner> &winner);
    Result<void> draft(const SubmitOrder &action, Draft &draft, std::optional<RaceWinner> &winner);
    Result<void> draftRow(const table::RowEdit &edit, Draft &draft,
                          std::optional<RaceWinner> &winner);
    Result<void> checkVersion(const std::string &subject, std::uint64_t current,
                              std::uint64_t expected, std::optional<RaceWinner> &winner) const;
    std::optional<RaceWinner> lastEditor(const std::string &subject) const;
    void commit(Draft draft);
    void removeOlderConfigurations();
    void rememberAnswer(const OperatorStamp &stamp, const Answer &answer);

    ControlLimits limits;
    std::uint64_t lastAppliedIndex = 0;
    ControlView currentView;
    OrderBook orderBook;
    ClaimLedger claimLedger;
    std::map<RequestKey, RememberedRequest> requests;
    std::deque<RequestKey> requestKeysByAge; // exactly the keys of `requests`, oldest first
    std::deque<ChangeRecord> changes;
    // Not part of the image: after a restart a member serves whole views until new changes arrive.
    std::deque<FeedDelta> feed; // the `from` of each delta is the `to` of the previous one
    std::size_t feedSize = 0;   // number of changes in all deltas of `feed`
};

} // namespace lavenderthread::state::control
