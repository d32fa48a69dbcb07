// The list of columns and the validation of their cells.
#include "state/table/Columns.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace lavenderthread::state::table {

namespace {

constexpr std::uint64_t maximumWeight = 10'000;
constexpr std::uint64_t wholeFleetMilli = 1'000;
constexpr std::uint64_t maximumInFlight = 1'000'000;
constexpr std::uint64_t maximumTokensPerSecond = 1'000'000'000;
constexpr std::uint64_t millisecondsPerDay = 86'400'000;
constexpr std::uint64_t lowestPriority = 9;
constexpr std::size_t maximumIdLength = 128;

template <auto Member>
std::uint64_t getMember(const TableRow &row)
{
    return row.*Member;
}

template <auto Member>
void setMember(TableRow &row, std::uint64_t value)
{
    row.*Member = static_cast<std::remove_reference_t<decltype(row.*Member)>>(value);
}

template <auto Member>
constexpr Column makeColumn(std::string_view name, std::uint64_t minimum, std::uint64_t maximum)
{
    return {name, minimum, maximum, &getMember<Member>, &setMember<Member>};
}

constexpr std::array allColumns = {
        makeColumn<&TableRow::weight>("weight", 1, maximumWeight),
        makeColumn<&TableRow::fleetShareMilli>("fleet_share_milli", 1, wholeFleetMilli),
        makeColumn<&TableRow::inFlightLimit>("in_flight_limit", 0, maximumInFlight),
        makeColumn<&TableRow::tokensPerSecondLimit>("tokens_per_second_limit", 0,
                                                    maximumTokensPerSecond),
        makeColumn<&TableRow::deadlineMilliseconds>("deadline_ms", 1, millisecondsPerDay),
        makeColumn<&TableRow::priority>("priority", 0, lowestPriority),
};

std::string rangeOf(const Column &column)
{
    return "a whole number from " + std::to_string(column.minimum) + " to "
           + std::to_string(column.maximum);
}

} // namespace

std::span<const Column> columns()
{
    return allColumns;
}

const Column *findColumn(std::string_view name)
{
    const auto found = std::find_if(allColumns.begin(), allColumns.end(),
                                    [&](const Column &column) { return column.name == name; });
    return found == allColumns.end() ? nullptr : &*found;
}

std::string CellProblem::describe() const
{
    return "row " + this->row + ", column " + this->column + ": \"" + this->value
           + "\" is not allowed, expected " + this->allowed;
}

std::vector<CellProblem> checkRow(const TableRow &row)
{
    std::vector<CellProblem> problems;
    const std::string name = describeKey(row.key);
    if (!isPlainId(row.key.account.value()))
        problems.push_back({name, std::string(accountColumn), row.key.account.value(),
                            std::string(allowedId)});
    if (!isPlainId(row.key.workClass.value()))
        problems.push_back({name, std::string(workClassColumn), row.key.workClass.value(),
                            std::string(allowedId)});
    for (const Column &column : allColumns) {
        const std::uint64_t value = column.get(row);
        if (value < column.minimum || value > column.maximum)
            problems.push_back(
                    {name, std::string(column.name), std::to_string(value), rangeOf(column)});
    }
    return problems;
}

Error problemsAsError(const std::vector<CellProblem> &problems)
{
    std::string cause;
    for (const CellProblem &problem : problems)
        cause += (cause.empty() ? "" : "; ") + problem.describe();
    return makeError(ErrorCode::InvalidArgument, "table.check", cause);
}

Result<TableRow> withCell(const TableRow &row, std::string_view column, std::string_view text)
{
    const Column *known = findColumn(column);
    if (known == nullptr) {
        std::string names;
        for (const Column &each : allColumns)
            names += (names.empty() ? "" : ", ") + std::string(each.name);
        return makeError(ErrorCode::InvalidArgument, "table.cell",
                         "unknown column \"" + std::string(column) + "\", expected one of " + names,
                         describeKey(row.key));
    }
    std::uint64_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = problem == std::errc() && end == text.data() + text.size();
    if (!whole || value < known->minimum || value > known->maximum) {
        const CellProblem bad{describeKey(row.key), std::string(column), std::string(text),
                              rangeOf(*known)};
        return makeError(ErrorCode::InvalidArgument, "table.cell", bad.describe(),
                         describeKey(row.key));
    }
    TableRow copy = row;
    known->set(copy, value);
    return copy;
}

bool isPlainId(std::string_view text)
{
    constexpr std::string_view allowed =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";
    return !text.empty() && text.size() <= maximumIdLength
           && text.find_first_not_of(allowed) == std::string_view::npos;
}

std::string describeKey(const TableKey &key)
{
    return key.account.value() + "/" + key.workClass.value();
}

} // namespace lavenderthread::state::table
