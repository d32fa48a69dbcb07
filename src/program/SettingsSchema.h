// The one declaration of every setting: path, type, unit, default, range, meaning. Parsing,
// checking, `check-settings` and the reference page (docs/operators/settings.md) are all made from
// it.
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
    std::string unit;            // "ms", "bytes"; empty if none
    boost::json::value standard; // default; null if required, or if optional and absent
    bool required = false;
    double least = 0; // numbers: range; texts and lists: length
    double most = 0;
    std::string meaning;
};

const std::vector<SettingRule> &settingRules();

// A checked document: every value has the right type and range, defaults are filled in.
class SettingsDocument
{
public:
    // Errors (InvalidArgument, peer = file): each names the path and what is allowed. All problems
    // of the file are in the cause, one a line.
    static state::Result<SettingsDocument> create(std::string_view json, const std::string &file);

    // `path` as in the rules without "[]"; the members of lists have an index: "accounts[0].id".
    std::string text(const std::string &path) const;
    std::int64_t integer(const std::string &path) const;
    double number(const std::string &path) const;
    bool flag(const std::string &path) const;
    std::vector<std::string> list(const std::string &path) const;
    std::size_t objects(const std::string &listPath) const; // length of a list of objects

private:
    std::map<std::string, boost::json::value> values;
    std::map<std::string, std::size_t> lengths;

    friend class SettingsReader;
};

// The reference page as Markdown, one table a section.
std::string settingsReference();

} // namespace lavenderthread::program
