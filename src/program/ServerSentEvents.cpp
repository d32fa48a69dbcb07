// An event ends with an empty line. Lines other than `id`, `event` and `data` are ignored.
#include "program/ServerSentEvents.h"

namespace lavenderthread::program {

namespace {

std::string_view valueOf(std::string_view line, std::size_t nameSize)
{
    line.remove_prefix(nameSize + 1);
    return line.starts_with(' ') ? line.substr(1) : line;
}

ServerSentEvent parseEvent(std::string_view block)
{
    ServerSentEvent event;
    while (!block.empty()) {
        const std::string_view line = block.substr(0, block.find('\n'));
        block.remove_prefix(std::min(block.size(), line.size() + 1));
        if (line.starts_with("id:"))
            event.id = valueOf(line, 2);
        else if (line.starts_with("event:"))
            event.event = valueOf(line, 5);
        else if (line.starts_with("data:"))
            event.data += valueOf(line, 4);
    }
    return event;
}

} // namespace

std::vector<ServerSentEvent> ServerSentEventParser::feed(std::string_view piece)
{
    this->partial += piece;
    std::vector<ServerSentEvent> events;
    std::size_t begin = 0;
    for (std::size_t end = this->partial.find("\n\n"); end != std::string::npos;
         end = this->partial.find("\n\n", begin)) {
        events.push_back(parseEvent(std::string_view(this->partial).substr(begin, end - begin)));
        begin = end + 2;
    }
    this->partial.erase(0, begin);
    return events;
}

} // namespace lavenderthread::program
