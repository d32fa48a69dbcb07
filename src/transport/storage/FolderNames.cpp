// Lists the data folder by name.
#include "transport/storage/FolderNames.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <system_error>

namespace lavenderthread::transport::storage {

namespace {

std::vector<std::string> namesIn(const std::string &folder)
{
    std::vector<std::string> names;
    std::error_code problem;
    for (const auto &file : std::filesystem::directory_iterator(folder, problem))
        names.push_back(file.path().filename().string());
    return names;
}

} // namespace

std::string numberedName(std::string_view prefix, std::uint64_t number, std::string_view suffix)
{
    constexpr std::size_t digits = 20;
    const std::string text = std::to_string(number);
    std::string name(prefix);
    name.append(digits - text.size(), '0').append(text).append(suffix);
    return name;
}

std::vector<std::uint64_t> listNumbers(const std::string &folder, std::string_view prefix,
                                       std::string_view suffix)
{
    std::vector<std::uint64_t> numbers;
    for (const std::string &name : namesIn(folder)) {
        const bool fits = name.size() > prefix.size() + suffix.size() && name.starts_with(prefix)
                          && name.ends_with(suffix);
        if (!fits)
            continue;
        const char *first = name.data() + prefix.size();
        const char *last = name.data() + name.size() - suffix.size();
        std::uint64_t number = 0;
        const auto [end, problem] = std::from_chars(first, last, number);
        if (problem == std::errc() && end == last)
            numbers.push_back(number);
    }
    std::sort(numbers.begin(), numbers.end());
    return numbers;
}

std::vector<std::string> listTemporaryFiles(const std::string &folder)
{
    std::vector<std::string> paths;
    for (const std::string &name : namesIn(folder)) {
        if (name.ends_with(temporarySuffix))
            paths.push_back((std::filesystem::path(folder) / name).string());
    }
    return paths;
}

} // namespace lavenderthread::transport::storage
