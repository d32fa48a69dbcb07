// Memory at helpers for a prompt that its engine can't hold: all of it is reserved before the
// prompt goes out, renewed while it is used, and given back on every way out. Leases are short, so
// that what a crashed entry leaves behind is free again within seconds.
#include "coordination/admission/Dispatcher.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace lavenderthread::coordination::admission {

namespace {

constexpr int renewalsPerTtl = 3; // two may be lost before the lease ends
constexpr state::Duration retryWhenReserved = std::chrono::milliseconds(500);

// Never used twice: a reservation that is carried out late must not look like a later one.
std::string leaseName(std::uint64_t work, std::uint32_t attempt, std::size_t index)
{
    std::array<char, 48> name{};
    std::snprintf(name.data(), name.size(), "%016llx-%u-%zu", static_cast<unsigned long long>(work),
                  attempt, index);
    return name.data();
}

} // namespace

void Dispatcher::reserveTickets(Flight &flight, const std::vector<routing::MemoryShare> &memory)
{
    flight.phase = Phase::Reserving;
    flight.renewAt = this->now + this->policy.reservationTtl / renewalsPerTtl;
    for (const routing::MemoryShare &share : memory) {
        const std::string lease = leaseName(flight.work, flight.attempt, flight.tickets.size());
        flight.tickets.push_back({share, lease, false});
        this->actions.emplace_back(Reserve{flight.request.id, share.engine, lease, share.tokens,
                                           this->policy.reservationTtl});
    }
    this->spans.insert(flight.request.id);
}

void Dispatcher::ticketAnswered(Flight &flight, const ReservationAnswered &event)
{
    const auto ticket = std::ranges::find(flight.tickets, event.lease, &Flight::Ticket::lease);
    if (ticket == flight.tickets.end()) {
        // Of an earlier attempt: its memory is wanted by nobody.
        if (event.granted)
            this->actions.emplace_back(Release{event.id, event.engine, event.lease});
        return;
    }
    // Answers to renewals decide nothing: a lease that is lost shows in the stream.
    if (flight.phase != Phase::Reserving)
        return;
    if (event.granted) {
        ticket->granted = true;
        if (std::ranges::all_of(flight.tickets, &Flight::Ticket::granted))
            this->dispatchNext(flight);
        return;
    }
    // All or nothing: holding a part while waiting for the rest would starve others.
    this->releaseTickets(flight);
    flight.plan = {};
    flight.helpers.clear();
    const state::Duration patience = this->waitingPatience(flight, flight.request.firstTarget);
    if (this->now - flight.request.arrival > patience) {
        this->refuse(flight.request.id, RefusalReason::Overload, retryWhenReserved);
    } else {
        flight.notBefore = this->now + this->policy.reservationRetry;
        this->enqueue(flight, true);
    }
    this->pump();
}

// Also what was asked for and not answered: it may be granted yet.
void Dispatcher::releaseTickets(Flight &flight)
{
    for (const Flight::Ticket &ticket : flight.tickets)
        this->actions.emplace_back(Release{flight.request.id, ticket.share.engine, ticket.lease});
    if (!flight.tickets.empty())
        this->spans.erase(flight.request.id);
    flight.tickets.clear();
}

} // namespace lavenderthread::coordination::admission
