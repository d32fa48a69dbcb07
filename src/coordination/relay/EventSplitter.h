// Cuts a stream of server-sent events into whole events, so that none is passed on torn and a
// second endpoint can go on behind the last one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderthread::coordination::relay {

class EventSplitter
{
public:
    // Adds bytes; gives the whole events that are new to the caller, as they came. Events up to the
    // last id that was passed on are left out: an endpoint that resumes may repeat some.
    std::string take(std::string_view bytes);

    // Bytes of an event that has not ended.
    bool hasRest() const { return !this->rest.empty(); }
    // Another endpoint goes on: what the former one left unfinished is dropped.
    void dropRest() { this->rest.clear(); }

    const std::optional<std::uint64_t> &lastId() const { return this->last; }
    // The caller resumes a stream that it has up to here.
    void resumeBehind(std::uint64_t id) { this->last = id; }
    std::uint64_t passed() const { return this->events; }

private:
    bool isNew(std::string_view event);

    std::string rest;
    std::optional<std::uint64_t> last; // never goes down
    std::uint64_t events = 0;
};

} // namespace lavenderthread::coordination::relay
