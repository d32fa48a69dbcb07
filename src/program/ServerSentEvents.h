// Cuts a byte stream into server-sent events.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::program {

struct ServerSentEvent
{
    std::string id;
    std::string event; // empty for the default kind
    std::string data;

    auto operator<=>(const ServerSentEvent &) const = default;
};

class ServerSentEventReader
{
public:
    // The events that `piece` completes.
    std::vector<ServerSentEvent> feed(std::string_view piece);

private:
    std::string partial; // bytes after the last whole event
};

} // namespace lavenderthread::program
