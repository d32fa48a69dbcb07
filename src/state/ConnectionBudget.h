// Bounds what the connections of all listeners of a process hold together: descriptors, and bytes
// that others have sent or don't read. Decides which connections make room for others; closing them
// is up to the caller.
#pragma once

#include "state/Time.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lavenderthread::state {

enum class ConnectionPhase : std::uint8_t {
    Idle,      // between requests
    Receiving, // a request, or the first one is awaited
    Handling,  // a request; such a connection is never closed to make room
    Sending,   // an answer, or a part of it
};

class ConnectionBudget
{
public:
    using Id = std::uint64_t;
    using Listener = std::uint32_t;

    struct Settings
    {
        std::size_t connections = 10'000; // of all listeners
        // Each listener may hold so many, whatever the others hold.
        std::size_t reserved = 16;
        std::size_t bytes = 256U << 20U; // of all connections, without the next
        // The first bytes of a connection don't count: small requests are served beside large ones.
        std::size_t uncounted = 16U << 10U;
        // A connection that has been in its phase for less is not closed.
        std::chrono::milliseconds patience{500};
        // Unfinished requests and answers that last for longer make room before idle connections.
        std::chrono::milliseconds longPatience{2'000};
    };

    struct Counts
    {
        std::size_t connections = 0;
        std::size_t bytes = 0;
        std::uint64_t closedForConnections = 0;
        std::uint64_t closedForBytes = 0;
        std::uint64_t refusedConnections = 0;
        std::uint64_t refusedBytes = 0;

        auto operator<=>(const Counts &) const = default;
    };

    struct Admission
    {
        std::optional<Id> admitted; // nothing: there is no room
        std::optional<Id> closed;   // makes room; to be closed, and counted no more

        auto operator<=>(const Admission &) const = default;
    };

    explicit ConnectionBudget(Settings chosen)
        : settings(chosen)
    {}

    // A new connection, which is Receiving. `most`: that this listener may hold.
    Admission admit(Listener listener, std::size_t most, Instant now);
    // A connection that has been closed to make room is not known any more: the calls below do
    // nothing then, and enter() and resize() return false. Each call begins the phase anew.
    bool enter(Id connection, ConnectionPhase phase, Instant now);
    // So many bytes are held for the connection now. False, with its count as it was, if there is
    // no room, after the connections in `closed` have been closed. A single connection may hold
    // any number.
    bool resize(Id connection, std::size_t bytes, Instant now, std::vector<Id> &closed);
    // What a connection holds beside that, which counts only in the choice of the one to be closed.
    void setAnswerBytes(Id connection, std::size_t bytes);
    // Closes the connection that reads its answer most slowly, if one does.
    std::optional<Id> closeSlowestReader(Instant now);
    void leave(Id connection);

    const Counts &counts() const { return this->totals; }

private:
    struct Connection
    {
        Listener listener = 0;
        ConnectionPhase phase = ConnectionPhase::Receiving;
        Instant since; // of the phase
        std::size_t counted = 0;
        std::size_t answerBytes = 0;
    };
    using Connections = std::map<Id, Connection>;

    bool hasRoomFor(std::size_t more, const Connection &connection) const;
    // `listener`: only of this one.
    Connections::iterator longestWaiting(std::optional<Listener> listener, Instant now);
    bool makesRoomBefore(const Connection &one, const Connection &other, Instant now) const;
    Connections::iterator largestWaiting(Id except, Instant now);
    bool canFree(std::size_t bytes, Id except, Instant now) const;
    bool isWaiting(const Connection &connection, Instant now) const;
    void erase(Connections::iterator position);

    const Settings settings;
    Connections connections;
    std::map<Listener, std::size_t> held; // connections of each listener
    Id lastId = 0;
    Counts totals; // `bytes` is the sum of `counted`
};

} // namespace lavenderthread::state
