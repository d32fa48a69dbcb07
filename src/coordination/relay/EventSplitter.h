// Splits a stream of server-sent events into complete events, so that no partial event is passed on
// and another endpoint can continue after the last one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderthread::coordination::relay {

class EventSplitter
{
public:
    // Appends bytes and returns, unchanged, the complete events that are new to the caller. Events
    // up to the last id passed on are left out, as an endpoint that resumes may repeat some.
    std::string take(std::string_view bytes);

    // Whether bytes of an incomplete event are buffered.
    bool hasRest() const { return !this->rest.empty(); }
    // Drops the event that an endpoint left incomplete, before another one continues the stream.
    void dropRest() { this->rest.clear(); }

    const std::optional<std::uint64_t> &lastId() const { return this->last; }
    // The caller resumes a stream of which it has all events up to `id`.
    void resumeBehind(std::uint64_t id) { this->last = id; }
    // Number of events passed on.
    std::uint64_t passed() const { return this->events; }

private:
    bool isNew(std::string_view event);

    std::string rest;
    std::optional<std::uint64_t> last; // highest event id that the caller has; never decreases
    std::uint64_t events = 0;
};

} // namespace lavenderthread::coordination::relay
