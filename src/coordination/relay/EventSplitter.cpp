#include "coordination/relay/EventSplitter.h"

#include <charconv>

namespace lavenderthread::coordination::relay {

namespace {

constexpr std::string_view idField = "id:";

// The number of an event's id line; nothing if it has none, or none that is a number.
std::optional<std::uint64_t> idOf(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (!line.starts_with(idField))
            continue;
        line.remove_prefix(idField.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [parsed, problem] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (problem == std::errc())
            return id;
    }
    return std::nullopt;
}

// One past the blank line that ends the first event; npos if it has not come yet.
std::size_t endOfEvent(std::string_view bytes, std::size_t from)
{
    const std::size_t plain = bytes.find("\n\n", from);
    const std::size_t carriage = bytes.find("\r\n\r\n", from);
    if (plain == std::string_view::npos && carriage == std::string_view::npos)
        return std::string_view::npos;
    constexpr std::size_t plainLength = 2;
    constexpr std::size_t carriageLength = 4;
    return plain < carriage ? plain + plainLength : carriage + carriageLength;
}

} // namespace

std::string EventSplitter::take(std::string_view bytes)
{
    this->rest += bytes;
    std::string whole;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = endOfEvent(this->rest, begin);
        if (end == std::string_view::npos)
            break;
        const std::string_view event = std::string_view(this->rest).substr(begin, end - begin);
        if (this->isNew(event)) {
            whole += event;
            ++this->events;
        }
        begin = end;
    }
    this->rest.erase(0, begin);
    return whole;
}

bool EventSplitter::isNew(std::string_view event)
{
    const std::optional<std::uint64_t> id = idOf(event);
    if (!id)
        return true;
    if (this->last && *id <= *this->last)
        return false;
    this->last = id;
    return true;
}

} // namespace lavenderthread::coordination::relay
