#include "state/ConnectionBudget.h"

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

void ConnectionBudget::enter(Id connection, ConnectionPhase phase, Instant now)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end() || found->second.phase == phase)
        return;
    found->second.phase = phase;
    found->second.since = now;
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
    while (wanted > own.counted && !this->hasRoomFor(wanted - own.counted, own)) {
        const auto victim = this->largestWaiting(connection, now);
        if (victim == this->connections.end()) {
            ++this->totals.refusedBytes;
            return false;
        }
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
        if (connection.phase != ConnectionPhase::Sending || this->isPatientWith(connection, now))
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

bool ConnectionBudget::isPatientWith(const Connection &connection, Instant now) const
{
    return now - connection.since < this->settings.patience;
}

// Requests and answers that have made no end for long go before connections that are idle: these
// have behaved so far.
ConnectionBudget::Connections::iterator
ConnectionBudget::longestWaiting(std::optional<Listener> listener, Instant now)
{
    auto longest = this->connections.end();
    for (auto each = this->connections.begin(); each != this->connections.end(); ++each) {
        const Connection &connection = each->second;
        if (connection.phase == ConnectionPhase::Handling || this->isPatientWith(connection, now)
            || (listener && connection.listener != *listener)
            || (!listener && this->held[connection.listener] <= this->settings.reserved))
            continue;
        if (longest == this->connections.end()) {
            longest = each;
            continue;
        }
        const bool isIdle = connection.phase == ConnectionPhase::Idle;
        const bool longestIsIdle = longest->second.phase == ConnectionPhase::Idle;
        if (isIdle != longestIsIdle ? longestIsIdle : connection.since < longest->second.since)
            longest = each;
    }
    return longest;
}

// The one that holds most for longest.
ConnectionBudget::Connections::iterator ConnectionBudget::largestWaiting(Id except, Instant now)
{
    auto largest = this->connections.end();
    double most = 0;
    for (auto each = this->connections.begin(); each != this->connections.end(); ++each) {
        const Connection &connection = each->second;
        if (connection.phase == ConnectionPhase::Handling || each->first == except
            || this->isPatientWith(connection, now))
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
