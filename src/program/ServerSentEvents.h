// Splits a byte stream into server-sent events.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::program {

struct ServerSentEvent
{
    std::string id;
    std::string event; // event type; empty for the default type
    std::string data;

    auto operator<=>(const ServerSentEvent &) const = default;
};

// Incremental parser; keeps an incomplete event until the rest arrives.
class ServerSentEventParser
{
public:
    // Appends `piece` and returns the events that it completes.
    std::vector<ServerSentEvent> feed(std::string_view piece);

private:
    std::string partial; // bytes after the last complete event
};

} // namespace lavenderthread::program
