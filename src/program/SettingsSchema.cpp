// Validates a JSON document against the rules and fills in defaults.
#include "program/SettingsSchema.h"

#include "state/Address.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <sstream>

namespace lavenderthread::program {

namespace json = boost::json;

namespace {

constexpr std::string_view listMark = "[].";

std::string_view typeName(SettingType type)
{
    switch (type) {
    case SettingType::Text:
        return "text";
    case SettingType::Integer:
        return "integer";
    case SettingType::Number:
        return "number";
    case SettingType::Flag:
        return "true or false";
    case SettingType::IpAddress:
        return "IP:PORT";
    case SettingType::TextList:
        return "list of texts";
    case SettingType::AddressList:
        return "list of IP:PORT";
    }
    return "";
}

std::string numberText(double value)
{
    std::ostringstream stream;
    stream.precision(12);
    stream << value;
    return stream.str();
}

std::string allowed(const SettingRule &rule)
{
    const std::string range = numberText(rule.minimum) + " to " + numberText(rule.maximum);
    const std::string unit = rule.unit.empty() ? "" : " " + rule.unit;
    switch (rule.type) {
    case SettingType::Integer:
    case SettingType::Number:
        return std::string(typeName(rule.type)) + " from " + range + unit;
    case SettingType::Text:
        return "text of " + range + " characters";
    case SettingType::TextList:
    case SettingType::AddressList:
        return std::string(typeName(rule.type)) + ", " + range + " of them";
    default:
        return std::string(typeName(rule.type));
    }
}

bool within(double value, const SettingRule &rule)
{
    return value >= rule.minimum && value <= rule.maximum;
}

bool isAddress(const json::value &value)
{
    return value.is_string() && state::Address::parse(value.get_string()).has_value();
}

bool listFits(const json::value &value, const SettingRule &rule)
{
    if (!value.is_array() || !within(static_cast<double>(value.get_array().size()), rule))
        return false;
    return std::all_of(
            value.get_array().begin(), value.get_array().end(), [&](const json::value &item) {
                return rule.type == SettingType::AddressList ? isAddress(item) : item.is_string();
            });
}

bool fits(const json::value &value, const SettingRule &rule)
{
    switch (rule.type) {
    case SettingType::Text:
        return value.is_string() && within(static_cast<double>(value.get_string().size()), rule);
    case SettingType::Integer:
        return value.is_int64() && within(static_cast<double>(value.get_int64()), rule);
    case SettingType::Number:
        return value.is_number() && within(value.to_number<double>(), rule);
    case SettingType::Flag:
        return value.is_bool();
    case SettingType::IpAddress:
        return isAddress(value);
    case SettingType::TextList:
    case SettingType::AddressList:
        return listFits(value, rule);
    }
    return false;
}

} // namespace

// Traverses the document once, validates it against the rules and collects all problems.
class SettingsReader
{
public:
    state::Result<SettingsDocument> read(const json::value &root, const std::string &file)
    {
        if (!root.is_object())
            return this->failure(file, "the document must be a JSON object");
        this->readMembers(root.get_object(), "", "");
        if (!this->problems.empty())
            return this->failure(file, this->problems);
        return std::move(this->document);
    }

private:
    static state::Error failure(const std::string &file, const std::string &cause)
    {
        return state::makeError(state::ErrorCode::InvalidArgument, "settings.check", cause, file);
    }

    void problem(const std::string &path, const std::string &text)
    {
        if (!this->problems.empty())
            this->problems += '\n';
        this->problems += path + ": " + text;
    }

    // `rulePrefix` is the path in the rules; `prefix` is the same path with list indices.
    void readMembers(const json::object &object, const std::string &rulePrefix,
                     const std::string &prefix)
    {
        std::set<std::string> known;
        for (const SettingRule &rule : settingRules()) {
            if (!rule.path.starts_with(rulePrefix))
                continue;
            const std::string rest = rule.path.substr(rulePrefix.size());
            const std::size_t dot = rest.find('.');
            const std::string name = rest.substr(0, std::min(dot, rest.find("[]")));
            if (dot == std::string::npos)
                this->readValue(object, name, rule, prefix + name);
            else if (!known.contains(name))
                this->readSection(object, name, rulePrefix, prefix, rest[dot - 1] == ']');
            known.insert(name);
        }
        for (const auto &member : object) {
            if (!known.contains(std::string(member.key())))
                this->problem(prefix + std::string(member.key()), "unknown setting");
        }
    }

    void readValue(const json::object &object, const std::string &name, const SettingRule &rule,
                   const std::string &path)
    {
        const json::value *value = object.if_contains(name);
        if (value == nullptr && rule.required)
            this->problem(path, "missing; expected " + allowed(rule));
        else if (value != nullptr && !fits(*value, rule))
            this->problem(path, "expected " + allowed(rule) + ", found " + json::serialize(*value));
        else
            this->document.values[path] = value != nullptr ? *value : rule.defaultValue;
    }

    void readSection(const json::object &object, const std::string &name,
                     const std::string &rulePrefix, const std::string &prefix, bool isList)
    {
        static const json::object empty;
        const json::value *value = object.if_contains(name);
        if (isList)
            return this->readList(value, rulePrefix + name + std::string(listMark), prefix + name);
        if (value != nullptr && !value->is_object())
            return this->problem(prefix + name, "expected an object");
        this->readMembers(value != nullptr ? value->get_object() : empty, rulePrefix + name + ".",
                          prefix + name + ".");
    }

    void readList(const json::value *value, const std::string &rulePrefix, const std::string &path)
    {
        this->document.lengths[path] = 0;
        if (value == nullptr)
            return;
        if (!value->is_array())
            return this->problem(path, "expected a list of objects");
        std::size_t index = 0;
        for (const json::value &item : value->get_array()) {
            const std::string itemPath = path + "[" + std::to_string(index++) + "]";
            if (item.is_object())
                this->readMembers(item.get_object(), rulePrefix, itemPath + ".");
            else
                this->problem(itemPath, "expected an object");
        }
        this->document.lengths[path] = index;
    }

    SettingsDocument document;
    std::string problems;
};

state::Result<SettingsDocument> SettingsDocument::create(std::string_view text,
                                                         const std::string &file)
{
    boost::system::error_code problem;
    json::stream_parser parser;
    const std::size_t used = parser.write_some(text.data(), text.size(), problem);
    if (!problem)
        parser.finish(problem);
    if (problem)
        return state::makeError(
                state::ErrorCode::InvalidArgument, "settings.parse",
                "not JSON near byte " + std::to_string(used) + ": " + problem.message(), file);
    return SettingsReader().read(parser.release(), file);
}

std::string SettingsDocument::text(const std::string &path) const
{
    const json::value &value = this->values.at(path);
    return value.is_string() ? std::string(value.get_string()) : std::string();
}

std::int64_t SettingsDocument::integer(const std::string &path) const
{
    return this->values.at(path).to_number<std::int64_t>();
}

double SettingsDocument::number(const std::string &path) const
{
    return this->values.at(path).to_number<double>();
}

bool SettingsDocument::flag(const std::string &path) const
{
    return this->values.at(path).as_bool();
}

std::vector<std::string> SettingsDocument::list(const std::string &path) const
{
    std::vector<std::string> items;
    for (const json::value &item : this->values.at(path).as_array())
        items.emplace_back(item.as_string());
    return items;
}

std::size_t SettingsDocument::listLength(const std::string &listPath) const
{
    return this->lengths.at(listPath);
}

std::string settingsReference()
{
    std::string page = "# Settings\n\nMade by `lavenderthread check-settings --reference`.\n";
    std::string section;
    for (const SettingRule &rule : settingRules()) {
        const std::string ruleSection = rule.path.substr(0, rule.path.find_first_of(".["));
        if (ruleSection != section) {
            section = ruleSection;
            page += "\n## " + section
                    + "\n\n| Setting | Allowed | Default | Meaning |\n| --- | --- | --- | --- |\n";
        }
        const std::string defaultText = rule.required ? "required"
                                        : rule.defaultValue.is_null()
                                                ? "absent"
                                                : json::serialize(rule.defaultValue);
        page += "| `" + rule.path + "` | " + allowed(rule) + " | " + defaultText + " | "
                + rule.description + " |\n";
    }
    return page;
}

} // namespace lavenderthread::program
