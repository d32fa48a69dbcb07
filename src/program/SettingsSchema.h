// Declares every setting once: path, type, unit, default, range and description. Parsing,
// validation, `check-settings` and the reference page (docs/operators/settings.md) derive from it.
#pragma once

#include "state/Error.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::program {

enum class SettingType { Text, Integer, Number, Flag, IpAddress, TextList, AddressList };

struct SettingRule
{
    std::string path; // "entry.listen"; "accounts[].id" for a member of each object of a list
    SettingType type = SettingType::Text;
    std::string unit;                // "ms", "bytes"; empty if none
    boost::json::value defaultValue; // null if required, or if optional without a default
    bool required = false;
    double minimum = 0; // numbers: range; texts and lists: length
    double maximum = 0;
    std::string description;
};

const std::vector<SettingRule> &settingRules();

// A validated document: every value has the right type and range, and defaults are filled in.
class SettingsDocument
{
public:
    // Error: InvalidArgument, with peer = file. The cause lists all problems of the file, one per
    // line, each with the path and the allowed values.
    static state::Result<SettingsDocument> create(std::string_view json, const std::string &file);

    // `path` is as in the rules, but list elements have an index: "accounts[0].id".
    std::string text(const std::string &path) const;
    std::int64_t integer(const std::string &path) const;
    double number(const std::string &path) const;
    bool flag(const std::string &path) const;
    std::vector<std::string> list(const std::string &path) const;
    std::size_t listLength(const std::string &listPath) const; // length of a list of objects

private:
    std::map<std::string, boost::json::value> values;
    std::map<std::string, std::size_t> lengths;

    friend class SettingsReader;
};

// Returns the reference page as Markdown, with one table per section.
std::string settingsReference();

} // namespace lavenderthread::program
