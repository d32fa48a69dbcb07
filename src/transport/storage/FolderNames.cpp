// Names carry a fixed count of digits, so that they also sort by number.
#include "transport/storage/FolderNames.h"

#include "transport/storage/File.h"

#include <algorithm>
#include <cerrno>
#include <charconv>

namespace lavenderthread::transport::storage {

std::string numberedName(std::string_view prefix, std::uint64_t number, std::string_view suffix)
{
    constexpr std::size_t digits = 20;
    const std::string text = std::to_string(number);
    std::string name(prefix);
    name.append(digits - text.size(), '0').append(text).append(suffix);
    return name;
}

state::Result<std::vector<std::string>> listFolder(const FileHooks &hooks,
                                                   const std::string &folder)
{
    std::vector<std::string> names;
    if (hooks.list(folder, names) != 0)
        return storageError("storage.list", folder, errno);
    return names;
}

std::vector<std::uint64_t> numbersIn(const std::vector<std::string> &names, std::string_view prefix,
                                     std::string_view suffix)
{
    std::vector<std::uint64_t> numbers;
    for (const std::string &name : names) {
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

} // namespace lavenderthread::transport::storage
