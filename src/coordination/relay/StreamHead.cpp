#include "coordination/relay/StreamHead.h"

#include <algorithm>

namespace lavenderthread::coordination::relay {

namespace {

constexpr std::string_view whitespace = " \t";

char toLower(char character)
{
    return character >= 'A' && character <= 'Z' ? char(character - 'A' + 'a') : character;
}

} // namespace

StreamHead StreamHead::of(unsigned status, std::optional<std::string_view> contentType)
{
    StreamHead head;
    head.status = status;
    if (!contentType)
        return head;
    const std::string_view type = contentType->substr(0, contentType->find(';'));
    const std::size_t first = type.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return head;
    head.mediaType = type.substr(first, type.find_last_not_of(whitespace) - first + 1);
    std::ranges::transform(head.mediaType, head.mediaType.begin(), toLower);
    return head;
}

} // namespace lavenderthread::coordination::relay
