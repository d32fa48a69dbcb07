#include "coordination/relay/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace lavenderthread::coordination::relay {

namespace {

constexpr std::string_view idField = "id:";
constexpr std::string_view retryField = "retry:";

// The numeric id of an event; nothing if it has no id line with a number.
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

// Whether a block is more than comments and the time after which a caller connects again.
bool carriesEvent(std::string_view block)
{
    while (!block.empty()) {
        const std::size_t end = block.find('\n');
        std::string_view line = block.substr(0, end);
        block = end == std::string_view::npos ? std::string_view() : block.substr(end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.empty() && !line.starts_with(':') && !line.starts_with(retryField))
            return true;
    }
    return false;
}

constexpr std::size_t lfLength = 2; // of the blank line that ends an event
constexpr std::size_t crlfLength = 4;

// Position after the first blank line from `from` on; npos if there is none.
std::size_t endOfEvent(std::string_view bytes, std::size_t from)
{
    const std::size_t lfEnd = bytes.find("\n\n", from);
    const std::size_t crlfEnd = bytes.find("\r\n\r\n", from);
    if (lfEnd == std::string_view::npos && crlfEnd == std::string_view::npos)
        return std::string_view::npos;
    return lfEnd < crlfEnd ? lfEnd + lfLength : crlfEnd + crlfLength;
}

} // namespace

std::string EventSplitter::append(std::string_view bytes)
{
    this->buffer += bytes;
    std::string complete;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = endOfEvent(this->buffer, std::max(begin, this->searched));
        if (end == std::string_view::npos)
            break;
        const std::string_view event = std::string_view(this->buffer).substr(begin, end - begin);
        if (this->isNew(event)) {
            complete += event;
            ++this->passedEventCount;
        }
        begin = end;
    }
    this->buffer.erase(0, begin);
    // The blank line may have begun in the last bytes.
    this->searched = this->buffer.size() < crlfLength ? 0 : this->buffer.size() - crlfLength + 1;
    return complete;
}

void EventSplitter::beginRun()
{
    this->buffer.clear();
    this->searched = 0;
    this->progress = this->lastEventId ? RunProgress::Behind : RunProgress::Beyond;
    this->runHasEvents = false;
}

bool EventSplitter::isNew(std::string_view event)
{
    const std::optional<std::uint64_t> id = idOf(event);
    const bool isEvent = id || carriesEvent(event);
    this->runHasEvents = this->runHasEvents || isEvent;
    if (!id) {
        const bool isNew = this->progress == RunProgress::Beyond;
        this->passedWithoutId = this->passedWithoutId || (isNew && isEvent);
        return isNew;
    }
    if (this->lastEventId && *id <= *this->lastEventId) {
        if (*id == *this->lastEventId)
            this->progress = std::max(this->progress, RunProgress::Reached);
        return false;
    }
    this->lastEventId = id;
    this->progress = RunProgress::Beyond;
    return true;
}

} // namespace lavenderthread::coordination::relay
