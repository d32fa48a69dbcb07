// Checks a command completely before it changes anything: a refused command leaves nothing but the
// remembered answer.
#include "state/control/ControlState.h"

#include "state/table/Columns.h"

#include <algorithm>
#include <array>
#include <set>

namespace lavenderthread::state::control {

namespace {

using table::StoredRow;

std::string describeAt(const RaceWinner &winner)
{
    return winner.operatorId.value() + " at " + std::to_string(winner.at.time_since_epoch().count())
           + " ms";
}

std::string changedCells(const TableRow &before, const TableRow &after)
{
    std::string text;
    for (const table::Column &column : table::columns()) {
        if (column.get(before) == column.get(after))
            continue;
        text += (text.empty() ? "" : ", ") + std::string(column.name) + " "
                + std::to_string(column.get(before)) + " -> " + std::to_string(column.get(after));
    }
    return text.empty() ? "unchanged" : text;
}

std::string rowSubject(const TableKey &key)
{
    return "row " + table::describeKey(key);
}

Error invalid(const std::string &cause)
{
    return makeError(ErrorCode::InvalidArgument, "control.apply", cause);
}

std::uint64_t versionOf(const auto *record)
{
    return record == nullptr ? 0 : record->version;
}

template <typename Record>
Record withVersion(Record record, std::uint64_t version)
{
    record.version = version;
    return record;
}

Answer markAsResend(Answer answer)
{
    if (auto *accepted = std::get_if<Accepted>(&answer))
        accepted->resend = true;
    if (auto *refused = std::get_if<Refused>(&answer))
        refused->resend = true;
    return answer;
}

bool isConfiguration(const FeedChange &change)
{
    return std::holds_alternative<ConfigurationDocument>(change);
}

std::string describeOrder(const OrderSpec &spec)
{
    constexpr std::array names = {"drain", "undrain", "load", "unload", "stop", "role"};
    std::string text = names.at(static_cast<std::size_t>(spec.kind));
    for (const std::string &part : {spec.model.value(), spec.role})
        text += part.empty() ? "" : " " + part;
    if (spec.endpointCount > 0)
        text += " on " + std::to_string(spec.endpointCount) + " endpoints";
    for (const EndpointId &endpoint : spec.endpoints)
        text += " " + endpoint.value();
    return text;
}

} // namespace

ControlState::ControlState(ControlLimits limits)
    : limits(limits)
    , claimLedger(limits.claims)
{}

ControlState::ControlState(ControlLimits limits, ControlImage image)
    : limits(limits)
    , lastAppliedIndex(image.appliedIndex)
    , currentView(ControlView::fromChanges(image.view, image.viewVersion))
    , orderBook(std::move(image.orders))
    , claimLedger(limits.claims, image.now, std::move(image.claims))
    , changes(image.history.begin(), image.history.end())
{
    for (const RememberedRequest &request : image.requests)
        this->rememberAnswer(request.stamp, request.answer);
}

Answer ControlState::apply(const log::LogPosition &position, const Command &command)
{
    this->lastAppliedIndex = position.index;
    if (const auto *operatorCommand = std::get_if<OperatorCommand>(&command))
        return this->applyOperator(*operatorCommand);
    if (const auto *progress = std::get_if<RecordOrderProgress>(&command))
        this->orderBook.record(*progress);
    else if (const auto *take = std::get_if<TakeClaim>(&command))
        return this->claimLedger.take(*take);
    else if (const auto *dispatch = std::get_if<DispatchClaim>(&command))
        return this->claimLedger.dispatch(*dispatch);
    else if (const auto *release = std::get_if<ReleaseClaim>(&command))
        return this->claimLedger.release(*release);
    else if (const auto *finish = std::get_if<FinishClaim>(&command))
        return this->claimLedger.finish(*finish);
    else if (const auto *lost = std::get_if<EntryLost>(&command))
        this->claimLedger.entryLost(*lost);
    else if (const auto *time = std::get_if<AdvanceTime>(&command))
        this->claimLedger.advance(*time);
    else if (const auto *replace = std::get_if<ReplaceConfiguration>(&command))
        return this->replaceConfiguration(replace->document);
    else if (const auto *evacuation = std::get_if<SetEvacuation>(&command))
        return this->setEvacuation(*evacuation);
    return Accepted{position.index};
}

// Two operators may send the same version with different content: the first one committed stays in
// force, and the other operator gets the version in force, which is the same number.
Answer ControlState::replaceConfiguration(const ConfigurationDocument &document)
{
    if (document.version > this->currentView.configuration.version) {
        Draft draft{{}, this->lastAppliedIndex, {}, {}};
        draft.add(document, "configuration",
                  "version " + std::to_string(this->currentView.configuration.version) + " -> "
                          + std::to_string(document.version));
        this->commit(std::move(draft));
    }
    return Accepted{this->currentView.configuration.version};
}

Answer ControlState::setEvacuation(const SetEvacuation &order)
{
    const EvacuationMark *known = this->currentView.evacuations.find(order.failureDomain);
    const std::uint64_t version = known == nullptr ? 0 : known->version;
    if ((known != nullptr && known->evacuated) == order.evacuated)
        return Accepted{version, true};
    const std::string subject = "evacuation of " + order.failureDomain.value();
    if (version != order.expectedVersion)
        return Refused{makeError(ErrorCode::Conflict, "control.apply",
                                 subject + " has version " + std::to_string(version) + ", expected "
                                         + std::to_string(order.expectedVersion)),
                       std::nullopt};
    if (known == nullptr && this->currentView.evacuations.size() >= this->limits.evacuations)
        return Refused{
                makeError(ErrorCode::Overloaded, "control.apply", "too many failure domains"),
                std::nullopt};
    Draft draft{{}, this->lastAppliedIndex, {}, {}};
    draft.add(EvacuationMark{order.failureDomain, order.evacuated, this->lastAppliedIndex,
                             order.requestedBy},
              subject, order.evacuated ? "begun" : "finished");
    this->commit(std::move(draft));
    return Accepted{this->lastAppliedIndex};
}

Answer ControlState::applyOperator(const OperatorCommand &command)
{
    const OperatorStamp &stamp = command.stamp;
    const auto known = this->requests.find({stamp.operatorId, stamp.requestId});
    if (known != this->requests.end()) {
        const OperatorStamp &first = known->second.stamp;
        if (first.digest == stamp.digest)
            return markAsResend(known->second.answer);
        return Refused{makeError(ErrorCode::Conflict, "control.apply",
                                 "request id \"" + stamp.requestId
                                         + "\" was used before with other content"),
                       RaceWinner{first.operatorId, first.at, 0}};
    }
    Draft draft{stamp, this->lastAppliedIndex, {}, {}};
    std::optional<RaceWinner> winner;
    const Result<void> checked = std::visit(
            [&](const auto &action) { return this->draft(action, draft, winner); }, command.action);
    Answer answer = Accepted{this->lastAppliedIndex};
    if (checked)
        this->commit(std::move(draft));
    else
        answer = Refused{checked.error(), winner};
    this->rememberAnswer(stamp, answer);
    return answer;
}

Result<void> ControlState::draft(const EditRows &action, Draft &draft,
                                 std::optional<RaceWinner> &winner)
{
    if (action.edits.empty())
        return invalid("no edits");
    std::set<TableKey> seen;
    std::size_t rows = this->currentView.table.size();
    for (const table::RowEdit &edit : action.edits) {
        if (!seen.insert(edit.row.key).second)
            return invalid(rowSubject(edit.row.key) + " is edited twice in one command");
        BOOST_OUTCOME_TRYV(this->draftRow(edit, draft, winner));
        if (this->currentView.table.find(edit.row.key) == nullptr)
            ++rows;
    }
    if (rows > this->limits.tableRows)
        return makeError(ErrorCode::Overloaded, "control.apply",
                         "the table may have " + std::to_string(this->limits.tableRows) + " rows");
    return outcome::success();
}

Result<void> ControlState::draftRow(const table::RowEdit &edit, Draft &draft,
                                    std::optional<RaceWinner> &winner)
{
    const TableKey &key = edit.row.key;
    const StoredRow *known = this->currentView.table.find(key);
    BOOST_OUTCOME_TRYV(this->checkVersion(rowSubject(key), known ? known->row.version : 0,
                                          edit.expectedVersion, winner));
    if (edit.remove) {
        if (known == nullptr)
            return makeError(ErrorCode::NotFound, "control.apply", rowSubject(key) + " is absent");
        draft.add(key, rowSubject(key), "removed");
        return outcome::success();
    }
    const std::vector<table::CellProblem> problems = table::checkRow(edit.row);
    if (!problems.empty())
        return table::problemsAsError(problems);
    if (this->currentView.catalog.accounts().find(key.account) == nullptr) {
        const table::CellProblem unknown{table::describeKey(key), std::string(table::accountColumn),
                                         key.account.value(), "an account of the catalog"};
        return table::problemsAsError({unknown});
    }
    const TableRow before = known ? known->row : TableRow{};
    const std::string prefix = known ? "" : "added, ";
    draft.add(
            StoredRow{withVersion(edit.row, draft.version), draft.stamp.operatorId, draft.stamp.at},
            rowSubject(key), prefix + changedCells(before, edit.row));
    return outcome::success();
}

template <typename Record>
Result<void> ControlState::draftNamed(const PutRecord<Record> &action, const char *kind,
                                      const Record *known, Draft &draft,
                                      std::optional<RaceWinner> &winner)
{
    const Record &record = action.record;
    const std::string subject = kind + record.name.value();
    if (!table::isPlainId(record.name.value()))
        return invalid(subject + ": the name must be " + std::string(table::allowedId));
    BOOST_OUTCOME_TRYV(
            this->checkVersion(subject, versionOf(known), action.expectedVersion, winner));
    draft.add(withVersion(record, draft.version), subject, known ? "changed" : "added");
    return outcome::success();
}

template <typename Key, typename Record>
Result<void> ControlState::checkRemoval(const RemoveRecord<Key> &action, const std::string &subject,
                                        const Record *known, std::optional<RaceWinner> &winner)
{
    BOOST_OUTCOME_TRYV(
            this->checkVersion(subject, versionOf(known), action.expectedVersion, winner));
    if (known == nullptr)
        return makeError(ErrorCode::NotFound, "control.apply", subject + " is absent");
    return outcome::success();
}

Result<void> ControlState::draft(const PutAccount &action, Draft &draft,
                                 std::optional<RaceWinner> &winner)
{
    const table::ClientAccount &account = action.record;
    const std::string subject = "account " + account.id.value();
    if (!table::isPlainId(account.id.value()))
        return invalid(subject + ": the id must be " + std::string(table::allowedId));
    const table::Catalog &catalog = this->currentView.catalog;
    const table::ClientAccount *known = catalog.accounts().find(account.id);
    BOOST_OUTCOME_TRYV(
            this->checkVersion(subject, versionOf(known), action.expectedVersion, winner));
    const table::ClientAccount *sameKey =
            account.bearerKeyHash.empty() ? nullptr
                                          : catalog.accountOfBearerKeyHash(account.bearerKeyHash);
    if (sameKey != nullptr && sameKey->id != account.id)
        return makeError(ErrorCode::Conflict, "control.apply",
                         subject + ": its key belongs to another account");
    if (known == nullptr && catalog.accounts().size() >= this->limits.accounts)
        return makeError(ErrorCode::Overloaded, "control.apply", "too many accounts");
    draft.add(withVersion(account, draft.version), subject, known ? "changed" : "added");
    return outcome::success();
}

Result<void> ControlState::draft(const RemoveAccount &action, Draft &draft,
                                 std::optional<RaceWinner> &winner)
{
    const std::string subject = "account " + action.key.value();
    const table::ClientAccount *known = this->currentView.catalog.accounts().find(action.key);
    BOOST_OUTCOME_TRYV(this->checkRemoval(action, subject, known, winner));
    std::size_t rows = 0;
    this->currentView.table.forEach(
            [&](const StoredRow &row) { rows += row.row.key.account == action.key ? 1 : 0; });
    if (rows > 0)
        return makeError(ErrorCode::Conflict, "control.apply",
                         subject + " still has " + std::to_string(rows)
                                 + " rows in the table; remove them first");
    draft.add(action.key, subject, "removed");
    return outcome::success();
}

Result<void> ControlState::draft(const PutService &action, Draft &draft,
                                 std::optional<RaceWinner> &winner)
{
    const auto *known = this->currentView.catalog.services().find(action.record.name);
    return this->draftNamed(action, "service ", known, draft, winner);
}

Result<void> ControlState::draft(const RemoveService &action, Draft &draft,
                                 std::optional<RaceWinner> &winner)
{
    const std::string subject = "service " + action.key.value();
    const auto *known = this->currentView.catalog.services().find(action.key);
    BOOST_OUTCOME_TRYV(this->checkRemoval(action, subject, known, winner));
    draft.add(action.key, subject, "removed");
    return outcome::success();
}

Result<void> ControlState::draft(const PutModel &action, Draft &draft,
                                 std::optional<RaceWinner> &winner)
{
    const auto *known = this->currentView.catalog.models().find(action.record.name);
    return this->draftNamed(action, "model ", known, draft, winner);
}

Result<void> ControlState::draft(const RemoveModel &action, Draft &draft,
                                 std::optional<RaceWinner> &winner)
{
    const std::string subject = "model " + action.key.value();
    const auto *known = this->currentView.catalog.models().find(action.key);
    BOOST_OUTCOME_TRYV(this->checkRemoval(action, subject, known, winner));
    draft.add(action.key, subject, "removed");
    return outcome::success();
}

Result<void> ControlState::draft(const SubmitOrder &action, Draft &draft,
                                 std::optional<RaceWinner> &)
{
    BOOST_OUTCOME_TRYV(OrderBook::check(action.spec, this->currentView.catalog));
    const OrderKind kind = action.spec.kind;
    const bool draining = kind == OrderKind::Drain || kind == OrderKind::Undrain;
    if (draining) {
        for (const EndpointId &endpoint : action.spec.endpoints)
            draft.changes.emplace_back(
                    DrainMark{endpoint, kind == OrderKind::Drain, draft.version});
    }
    draft.records.push_back({draft.version, draft.stamp.operatorId, draft.stamp.at,
                             "order " + std::to_string(draft.version), describeOrder(action.spec)});
    this->orderBook.submit(Order{.id = draft.version,
                                 .operatorId = draft.stamp.operatorId,
                                 .submittedAt = draft.stamp.at,
                                 .spec = action.spec});
    return outcome::success();
}

Result<void> ControlState::checkVersion(const std::string &subject, std::uint64_t currentVersion,
                                        std::uint64_t expected,
                                        std::optional<RaceWinner> &winner) const
{
    if (currentVersion == expected)
        return outcome::success();
    winner = this->lastEditor(subject);
    if (winner)
        winner->version = currentVersion;
    const std::string by = winner ? ", changed by " + describeAt(*winner) : "";
    return makeError(ErrorCode::Conflict, "control.apply",
                     subject + " has version " + std::to_string(currentVersion) + ", expected "
                             + std::to_string(expected) + by);
}

std::optional<RaceWinner> ControlState::lastEditor(const std::string &subject) const
{
    for (auto record = this->changes.rbegin(); record != this->changes.rend(); ++record) {
        if (record->subject == subject)
            return RaceWinner{record->operatorId, record->at, record->version};
    }
    return std::nullopt;
}

void ControlState::Draft::add(FeedChange change, std::string subject, std::string summary)
{
    this->changes.push_back(std::move(change));
    this->records.push_back({this->version, this->stamp.operatorId, this->stamp.at,
                             std::move(subject), std::move(summary)});
}

void ControlState::commit(Draft draft)
{
    for (ChangeRecord &record : draft.records)
        this->changes.push_back(std::move(record));
    while (this->changes.size() > this->limits.changesRemembered)
        this->changes.pop_front();
    if (draft.changes.empty())
        return;
    const std::uint64_t from = this->currentView.version;
    this->currentView = this->currentView.with(draft.changes, draft.version);
    if (std::ranges::any_of(draft.changes, isConfiguration))
        this->removeOlderConfigurations();
    this->feedSize += draft.changes.size();
    this->feed.push_back({from, draft.version, std::move(draft.changes)});
    while (this->feedSize > this->limits.feedChanges) {
        this->feedSize -= this->feed.front().changes.size();
        this->feed.pop_front();
    }
}

// Each configuration replaces the previous one as a whole. If older ones were kept, a hundred of
// 100 KB each would fill a member's memory, and an entry that is behind would be sent all of them.
void ControlState::removeOlderConfigurations()
{
    for (FeedDelta &delta : this->feed)
        this->feedSize -= std::erase_if(delta.changes, isConfiguration);
}

// The number of answers is bounded. A resend that arrives after its answer was evicted fails the
// compare-and-set, since the row's version has changed; a repeated order requests a state that is
// already reached.
void ControlState::rememberAnswer(const OperatorStamp &stamp, const Answer &answer)
{
    const RequestKey key{stamp.operatorId, stamp.requestId};
    this->requests.emplace(key, RememberedRequest{stamp, answer});
    this->requestKeysByAge.push_back(key);
    while (this->requestKeysByAge.size() > this->limits.requestsRemembered) {
        this->requests.erase(this->requestKeysByAge.front());
        this->requestKeysByAge.pop_front();
    }
}

std::vector<FeedPage> ControlState::changesSince(std::uint64_t version) const
{
    if (version == this->currentView.version)
        return {};
    std::vector<FeedChange> missing;
    bool found = false;
    for (const FeedDelta &delta : this->feed) {
        found = found || delta.from == version;
        if (found)
            missing.insert(missing.end(), delta.changes.begin(), delta.changes.end());
    }
    if (found)
        return makePages(version, this->currentView.version, std::move(missing));
    return makePages(0, this->currentView.version, this->currentView.asChanges());
}

ControlImage ControlState::image() const
{
    ControlImage image = this->copyImage();
    sortClaims(image.claims);
    return image;
}

ControlImage ControlState::copyImage() const
{
    ControlImage image;
    image.appliedIndex = this->lastAppliedIndex;
    image.viewVersion = this->currentView.version;
    image.view = this->currentView.asChanges();
    image.orders = this->orderBook.all();
    for (const RequestKey &key : this->requestKeysByAge)
        image.requests.push_back(this->requests.at(key));
    image.history.assign(this->changes.begin(), this->changes.end());
    image.now = this->claimLedger.now();
    image.claims = this->claimLedger.copyClaims();
    return image;
}

} // namespace lavenderthread::state::control
