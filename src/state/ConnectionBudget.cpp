#include "state/ConnectionBudget.h"

#include <utility>

namespace lavenderthread::state {

namespace {

double byteSeconds(std::size_t bytes, Duration age)
{
    return double(bytes) * std::chrono::duration<double>(age).count();
}

} // namespace

ConnectionBudget::Admission ConnectionBudget::admit(Listener listener, std::size_t most,
                                                    Instant now)
{
    Admission admission;
    std::size_t &here = this->held[listener];
    const bool listenerIsFull = here >= most;
    const bool allAreFull = this->connections.size() >= this->settings.connections;
    if (listenerIsFull || (allAreFull && here >= this->settings.reserved)) {
        const auto victim =
                this->longestWaiting(listenerIsFull ? std::optional(listener) : std::nullopt, now);
        if (victim == this->connections.end()) {
            ++this->totals.refusedConnections;
            return admission;
        }
        admission.closed = victim->first;
        ++this->totals.closedForConnections;
        this->erase(victim);
    }
    Connection connection;
    connection.listener = listener;
    connection.since = now;
    admission.admitted = ++this->lastId;
    this->connections.emplace(this->lastId, connection);
    ++here;
    this->totals.connections = this->connections.size();
    return admission;
}

bool ConnectionBudget::enter(Id connection, ConnectionPhase phase, Instant now)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end())
        return false;
    found->second.phase = phase;
    found->second.since = now;
    return true;
}

bool ConnectionBudget::resize(Id connection, std::size_t bytes, Instant now,
                              std::vector<Id> &closed)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end())
        return false;
    Connection &own = found->second;
    const std::size_t wanted =
            bytes > this->settings.uncounted ? bytes - this->settings.uncounted : 0;
    if (wanted > own.counted && !this->hasRoomFor(wanted - own.counted, own)
        && !this->canFree(wanted - own.counted, connection, now)) {
        ++this->totals.refusedBytes;
        return false;
    }
    while (wanted > own.counted && !this->hasRoomFor(wanted - own.counted, own)) {
        const auto victim = this->largestWaiting(connection, now);
        closed.push_back(victim->first);
        ++this->totals.closedForBytes;
        this->erase(victim);
    }
    this->totals.bytes = this->totals.bytes - own.counted + wanted;
    own.counted = wanted;
    return true;
}

void ConnectionBudget::setAnswerBytes(Id connection, std::size_t bytes)
{
    const auto found = this->connections.find(connection);
    if (found != this->connections.end())
        found->second.answerBytes = bytes;
}

std::optional<ConnectionBudget::Id> ConnectionBudget::closeSlowestReader(Instant now)
{
    auto slowest = this->connections.end();
    double most = 0;
    for (auto each = this->connections.begin(); each != this->connections.end(); ++each) {
        const Connection &connection = each->second;
        if (connection.phase != ConnectionPhase::Sending || !this->isWaiting(connection, now))
            continue;
        const double held = byteSeconds(connection.answerBytes, now - connection.since);
        if (held > most) {
            most = held;
            slowest = each;
        }
    }
    if (slowest == this->connections.end())
        return std::nullopt;
    const Id closed = slowest->first;
    ++this->totals.closedForBytes;
    this->erase(slowest);
    return closed;
}

void ConnectionBudget::leave(Id connection)
{
    const auto found = this->connections.find(connection);
    if (found != this->connections.end())
        this->erase(found);
}

bool ConnectionBudget::hasRoomFor(std::size_t more, const Connection &connection) const
{
    return this->totals.bytes + more <= this->settings.bytes
           || this->totals.bytes == connection.counted;
}

bool ConnectionBudget::isWaiting(const Connection &connection, Instant now) const
{
    return connection.phase != ConnectionPhase::Handling
           && now - connection.since >= this->settings.patience;
}

// Whether closing all that wait would leave room, if nothing else is held then.
bool ConnectionBudget::canFree(std::size_t bytes, Id except, Instant now) const
{
    std::size_t kept = 0;
    std::size_t own = 0;
    for (const auto &[id, connection] : this->connections) {
        if (id == except)
            own = connection.counted;
        else if (!this->isWaiting(connection, now))
            kept += connection.counted;
    }
    return kept == 0 || kept + own + bytes <= this->settings.bytes;
}

// What has lasted too long for a caller that behaves goes first, then idle connections, whose
// callers lose nothing but a connection, then the others.
bool ConnectionBudget::makesRoomBefore(const Connection &one, const Connection &other,
                                       Instant now) const
{
    const auto rank = [this, now](const Connection &connection) {
        if (connection.phase == ConnectionPhase::Idle)
            return 1;
        return now - connection.since >= this->settings.longPatience ? 0 : 2;
    };
    return std::pair(rank(one), one.since) < std::pair(rank(other), other.since);
}

ConnectionBudget::Connections::iterator
ConnectionBudget::longestWaiting(std::optional<Listener> listener, Instant now)
{
    auto longest = this->connections.end();
    std::size_t candidates = 0;
    std::size_t justBegun = 0;
    for (auto each = this->connections.begin(); each != this->connections.end(); ++each) {
        const Connection &connection = each->second;
        if ((listener && connection.listener != *listener)
            || (!listener && this->held[connection.listener] <= this->settings.reserved))
            continue;
        const bool waits = this->isWaiting(connection, now);
        justBegun += connection.phase == ConnectionPhase::Receiving && !waits ? 1 : 0;
        ++candidates;
        if (waits
            && (longest == this->connections.end()
                || this->makesRoomBefore(connection, longest->second, now)))
            longest = each;
    }
    // In a burst of new connections, those that have behaved don't make room for the next ones.
    const bool isBurst = justBegun * 2 > candidates;
    if (longest != this->connections.end() && isBurst
        && longest->second.phase == ConnectionPhase::Idle)
        return this->connections.end();
    return longest;
}

// The one that holds most for longest.
ConnectionBudget::Connections::iterator ConnectionBudget::largestWaiting(Id except, Instant now)
{
    auto largest = this->connections.end();
    double most = 0;
    for (auto each = this->connections.begin(); each != this->connections.end(); ++each) {
        const Connection &connection = each->second;
        if (each->first == except || !this->isWaiting(connection, now))
            continue;
        const double held = byteSeconds(connection.counted, now - connection.since);
        if (held > most) {
            most = held;
            largest = each;
        }
    }
    return largest;
}

void ConnectionBudget::erase(Connections::iterator position)
{
    --this->held[position->second.listener];
    this->totals.bytes -= position->second.counted;
    this->connections.erase(position);
    this->totals.connections = this->connections.size();
}

} // namespace lavenderthread::state
