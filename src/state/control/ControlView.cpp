// Applies changes to a view, and splits them into pages.
#include "state/control/ControlView.h"

#include <algorithm>
#include <iterator>

namespace lavenderthread::state::control {

namespace {

// One overload for each kind of change.
struct ChangeApplier
{
    ControlView &view;

    void operator()(const table::StoredRow &row) const
    {
        this->view.table = this->view.table.with(row);
    }
    void operator()(const TableKey &key) const { this->view.table = this->view.table.without(key); }
    void operator()(const table::ClientAccount &account) const
    {
        this->view.catalog = this->view.catalog.withAccount(account);
    }
    void operator()(const ClientAccountId &id) const
    {
        this->view.catalog = this->view.catalog.withoutAccount(id);
    }
    void operator()(const table::Service &service) const
    {
        this->view.catalog = this->view.catalog.withService(service);
    }
    void operator()(const ServiceName &name) const
    {
        this->view.catalog = this->view.catalog.withoutService(name);
    }
    void operator()(const table::ModelVersion &model) const
    {
        this->view.catalog = this->view.catalog.withModel(model);
    }
    void operator()(const ModelName &name) const
    {
        this->view.catalog = this->view.catalog.withoutModel(name);
    }
    void operator()(const DrainMark &mark) const
    {
        this->view.drained = mark.drained ? this->view.drained.with(mark)
                                          : this->view.drained.without(mark.endpoint);
    }
    void operator()(const ConfigurationDocument &document) const
    {
        if (document.version > this->view.configuration.version)
            this->view.configuration = document;
    }
    void operator()(const EvacuationMark &mark) const
    {
        this->view.evacuations = this->view.evacuations.with(mark);
    }
};

} // namespace

ControlView ControlView::with(const std::vector<FeedChange> &changes,
                              std::uint64_t newVersion) const
{
    ControlView next(*this);
    for (const FeedChange &change : changes)
        std::visit(ChangeApplier{next}, change);
    next.version = std::max(this->version, newVersion);
    return next;
}

std::vector<FeedChange> ControlView::asChanges() const
{
    std::vector<FeedChange> changes;
    const auto add = [&](const auto &record) { changes.emplace_back(record); };
    this->catalog.accounts().forEach(add);
    this->catalog.services().forEach(add);
    this->catalog.models().forEach(add);
    this->table.forEach(add);
    this->drained.forEach(add);
    this->evacuations.forEach(add);
    if (this->configuration.version > 0)
        changes.emplace_back(this->configuration);
    return changes;
}

ControlView ControlView::fromChanges(const std::vector<FeedChange> &changes, std::uint64_t version)
{
    // Rows and accounts are by far the most numerous records. Adding them all at once avoids
    // copying a chunk for each.
    std::vector<table::StoredRow> rows;
    std::vector<table::ClientAccount> accounts;
    std::vector<FeedChange> others;
    for (const FeedChange &change : changes) {
        if (const auto *row = std::get_if<table::StoredRow>(&change))
            rows.push_back(*row);
        else if (const auto *account = std::get_if<table::ClientAccount>(&change))
            accounts.push_back(*account);
        else
            others.push_back(change);
    }
    ControlView view;
    view.table = table::Table::fromValues(std::move(rows));
    view.catalog = table::Catalog::fromAccounts(accounts);
    return view.with(others, version);
}

std::vector<FeedPage> makePages(std::uint64_t from, std::uint64_t to,
                                std::vector<FeedChange> changes)
{
    const std::size_t count =
            std::max<std::size_t>(1, (changes.size() + changesPerPage - 1) / changesPerPage);
    std::vector<FeedPage> pages;
    for (std::size_t number = 0; number < count; ++number) {
        const auto first = changes.begin() + static_cast<std::ptrdiff_t>(number * changesPerPage);
        const auto left = static_cast<std::size_t>(changes.end() - first);
        const auto last = first + static_cast<std::ptrdiff_t>(std::min(left, changesPerPage));
        pages.push_back({from,
                         to,
                         static_cast<std::uint32_t>(number),
                         static_cast<std::uint32_t>(count),
                         {std::make_move_iterator(first), std::make_move_iterator(last)}});
    }
    return pages;
}

} // namespace lavenderthread::state::control
