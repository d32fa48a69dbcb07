// Both readers share one step: it applies cells by column name to the current row, and records each
// invalid cell.
#include "state/table/TableText.h"

#include "state/BoundedJson.h"

#include <boost/json.hpp>

#include <charconv>
#include <map>
#include <set>

namespace lavenderthread::state::table {

namespace {

namespace json = boost::json;

using Cells = std::map<std::string, std::string>; // text of one row's cells by column name

bool isKeyColumn(std::string_view name)
{
    return name == accountColumn || name == workClassColumn;
}

bool isIgnoredColumn(std::string_view name)
{
    return name == "changed_by" || name == "changed_at_ms";
}

std::string cellOf(const Cells &cells, std::string_view name)
{
    const auto found = cells.find(std::string(name));
    return found == cells.end() ? std::string() : found->second;
}

// Collects the rows and the problems of all rows.
class RowReader
{
public:
    explicit RowReader(const Table &current)
        : current(current)
    {}

    void read(const Cells &cells, const std::string &place)
    {
        const TableKey key{ClientAccountId(cellOf(cells, accountColumn)),
                           WorkClass(cellOf(cells, workClassColumn))};
        this->checkId(key.account.value(), accountColumn, place);
        this->checkId(key.workClass.value(), workClassColumn, place);
        if (!this->seen.insert(key).second)
            this->imported.problems.push_back(
                    {place, std::string(accountColumn), describeKey(key), "one line a row"});
        const StoredRow *known = this->current.find(key);
        TableRow row = known == nullptr ? TableRow{.key = key} : known->row;
        row.version = 0;
        for (const auto &[name, text] : cells)
            this->readCell(row, name, text);
        this->imported.rows.push_back(row);
    }

    ImportedRows take() { return std::move(this->imported); }

private:
    void checkId(const std::string &text, std::string_view column, const std::string &place)
    {
        if (!isPlainId(text))
            this->imported.problems.push_back(
                    {place, std::string(column), text, std::string(allowedId)});
    }

    void readCell(TableRow &row, const std::string &name, const std::string &text)
    {
        if (isKeyColumn(name) || isIgnoredColumn(name))
            return;
        if (name == versionColumn) {
            this->readVersion(row, text);
            return;
        }
        const Result<TableRow> changed = withCell(row, name, text);
        if (changed) {
            row = changed.value();
            return;
        }
        const Column *column = findColumn(name);
        const std::string allowed =
                column == nullptr ? "a known column"
                                  : "a whole number from " + std::to_string(column->minimum)
                                            + " to " + std::to_string(column->maximum);
        this->imported.problems.push_back({describeKey(row.key), name, text, allowed});
    }

    void readVersion(TableRow &row, const std::string &text)
    {
        this->imported.hasVersions = true;
        if (text.empty())
            return;
        const auto [end, problem] =
                std::from_chars(text.data(), text.data() + text.size(), row.version);
        if (problem != std::errc() || end != text.data() + text.size())
            this->imported.problems.push_back({describeKey(row.key), std::string(versionColumn),
                                               text, "the version of the row as exported"});
    }

    const Table &current;
    std::set<TableKey> seen;
    ImportedRows imported;
};

// Fields of one line; quoted fields may contain commas and doubled quotes, but no line breaks.
Result<std::vector<std::string>> splitCsvLine(std::string_view line, std::size_t number)
{
    std::vector<std::string> fields(1);
    bool quoted = false;
    for (std::size_t index = 0; index < line.size(); ++index) {
        const char character = line[index];
        const bool doubled =
                quoted && character == '"' && index + 1 < line.size() && line[index + 1] == '"';
        if (doubled) {
            fields.back().push_back('"');
            ++index;
        } else if (character == '"') {
            quoted = !quoted;
        } else if (character == ',' && !quoted) {
            fields.emplace_back();
        } else {
            fields.back().push_back(character);
        }
    }
    if (quoted)
        return makeError(ErrorCode::InvalidArgument, "table.import.csv",
                         "line " + std::to_string(number) + ": unbalanced quote");
    return fields;
}

std::vector<std::string_view> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        lines.push_back(line);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return lines;
}

Result<void> checkHeader(const std::vector<std::string> &names, const char *step)
{
    std::set<std::string> seen;
    for (const std::string &name : names) {
        const bool known = isKeyColumn(name) || isIgnoredColumn(name) || name == versionColumn
                           || findColumn(name) != nullptr;
        if (!known)
            return makeError(ErrorCode::InvalidArgument, step, "unknown column \"" + name + "\"");
        if (!seen.insert(name).second)
            return makeError(ErrorCode::InvalidArgument, step, "column twice: " + name);
    }
    if (!seen.contains(std::string(accountColumn)) || !seen.contains(std::string(workClassColumn)))
        return makeError(ErrorCode::InvalidArgument, step,
                         "columns account and work_class are needed");
    return outcome::success();
}

std::string cellText(const json::value &value)
{
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

json::object toJson(const StoredRow &stored)
{
    json::object object;
    object[accountColumn] = stored.row.key.account.value();
    object[workClassColumn] = stored.row.key.workClass.value();
    for (const Column &column : columns())
        object[column.name] = column.get(stored.row);
    object[versionColumn] = stored.row.version;
    object["changed_by"] = stored.changedBy.value();
    object["changed_at_ms"] = stored.changedAt.time_since_epoch().count();
    return object;
}

} // namespace

Result<ImportedRows> importCsv(std::string_view text, const Table &current)
{
    constexpr const char *step = "table.import.csv";
    if (text.size() > maximumImportBytes)
        return makeError(ErrorCode::InvalidArgument, step, "larger than 64 MiB");
    const std::vector<std::string_view> lines = splitLines(text);
    if (lines.empty())
        return makeError(ErrorCode::InvalidArgument, step, "no header line");
    BOOST_OUTCOME_TRY(const std::vector<std::string> names, splitCsvLine(lines.front(), 1));
    BOOST_OUTCOME_TRYV(checkHeader(names, step));
    RowReader reader(current);
    for (std::size_t number = 2; number <= lines.size(); ++number) {
        if (lines[number - 1].empty())
            continue;
        BOOST_OUTCOME_TRY(const std::vector<std::string> fields,
                          splitCsvLine(lines[number - 1], number));
        const std::string place = "line " + std::to_string(number);
        if (fields.size() != names.size())
            return makeError(ErrorCode::InvalidArgument, step,
                             place + ": " + std::to_string(fields.size()) + " cells, expected "
                                     + std::to_string(names.size()));
        Cells cells;
        for (std::size_t index = 0; index < names.size(); ++index)
            cells[names[index]] = fields[index];
        reader.read(cells, place);
    }
    return reader.take();
}

Result<ImportedRows> importJson(std::string_view text, const Table &current)
{
    constexpr const char *step = "table.import.json";
    if (text.size() > maximumImportBytes)
        return makeError(ErrorCode::InvalidArgument, step, "larger than 64 MiB");
    boost::system::error_code problem;
    const json::value document = parseJson(text, problem);
    if (problem)
        return makeError(ErrorCode::InvalidArgument, step, problem.message());
    const json::value *rows =
            document.is_object() ? document.as_object().if_contains("rows") : nullptr;
    if (rows == nullptr || !rows->is_array())
        return makeError(ErrorCode::InvalidArgument, step, "expected {\"rows\":[…]}");
    RowReader reader(current);
    std::size_t number = 0;
    for (const json::value &row : rows->as_array()) {
        const std::string place = "rows[" + std::to_string(number++) + "]";
        if (!row.is_object())
            return makeError(ErrorCode::InvalidArgument, step, place + " is not an object");
        Cells cells;
        for (const auto &member : row.as_object())
            cells[std::string(member.key())] = cellText(member.value());
        reader.read(cells, place);
    }
    return reader.take();
}

std::string exportCsv(const Table &table)
{
    std::string text = std::string(accountColumn) + "," + std::string(workClassColumn);
    for (const Column &column : columns())
        text.append(",").append(column.name);
    text.append(",").append(versionColumn).append("\n");
    table.forEach([&](const StoredRow &stored) {
        text += stored.row.key.account.value() + "," + stored.row.key.workClass.value();
        for (const Column &column : columns())
            text += "," + std::to_string(column.get(stored.row));
        text += "," + std::to_string(stored.row.version) + "\n";
    });
    return text;
}

std::string exportJson(const Table &table)
{
    json::array rows;
    table.forEach([&](const StoredRow &stored) { rows.push_back(toJson(stored)); });
    return json::serialize(json::object{{"rows", std::move(rows)}});
}

} // namespace lavenderthread::state::table
