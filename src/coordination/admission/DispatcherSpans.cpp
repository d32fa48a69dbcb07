// Prompts over one engine's memory: all ranges are reserved before the first one starts, in the
// order of engine ids, and given back on every way out. What a crash of this entry leaves behind
// ends with the leases.
#include "coordination/admission/Dispatcher.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace lavenderthread::coordination::admission {

namespace {

constexpr int renewalsPerTtl = 3; // two renewals may be lost before a lease ends

} // namespace

bool Dispatcher::placeSpan(Flight &flight)
{
    const CompletionRequest &request = flight.request;
    // The largest prompts find the least often what they need. One that has waited for long may
    // take the memory that is otherwise left to shorter prompts, and engines that are theirs.
    routing::PolicySettings terms = this->policy;
    const double waited = std::chrono::duration<double>(this->now - request.arrival).count();
    if (waited > this->policy.spanPatience * this->idealSeconds(request)) {
        terms.spanSpareShare = this->policy.spanLateSpareShare;
        terms.spanPartShare = 1 - this->policy.spanLateSpareShare;
    }
    auto plan = routing::planSpan(this->engines, request.model, request.promptTokens,
                                  request.maximumOutputTokens, terms, this->now);
    if (!plan)
        return false;
    this->queue.remove(this->queuedOf(flight));
    flight.plan = std::move(*plan);
    flight.phase = Phase::Reserving;
    ++flight.attempt;
    this->spans.insert(request.id);
    this->reserveNext(flight);
    return true;
}

void Dispatcher::reserveNext(Flight &flight)
{
    const std::optional<std::size_t> next = flight.plan.nextToReserve();
    if (!next) {
        this->dispatchNext(flight);
        return;
    }
    flight.renewAt = this->now + this->policy.reservationTtl / renewalsPerTtl;
    this->actions.emplace_back(Reserve{
            flight.request.id, flight.plan.parts[*next].engine, this->leaseOf(flight, *next),
            this->partMemory(flight, *next), this->policy.reservationTtl});
}

void Dispatcher::on(const ReservationAnswered &event)
{
    const auto found = this->flights.find(event.id);
    Flight *flight = found == this->flights.end() ? nullptr : &found->second;
    if (flight != nullptr && !flight->tickets.empty()) {
        this->ticketAnswered(*flight, event);
        return;
    }
    std::optional<std::size_t> part;
    for (std::size_t each = 0; flight != nullptr && each < flight->plan.parts.size(); ++each) {
        if (this->leaseOf(*flight, each) == event.lease)
            part = each;
    }
    // Granted to a request that has ended or was planned anew meanwhile: memory that nobody would
    // give back before the lease ends.
    if (!part) {
        if (event.granted)
            this->actions.emplace_back(Release{event.id, event.engine, event.lease});
        return;
    }
    if (event.granted) {
        const bool news = !flight->plan.parts[*part].reserved;
        flight->plan.parts[*part].reserved = true;
        if (news)
            this->tell(*flight, *part, routing::WorkStage::Dispatched);
        if (news && flight->phase == Phase::Reserving)
            this->reserveNext(*flight);
        return;
    }
    if (flight->phase != Phase::Reserving) {
        // A renewal was refused: the engine no longer holds that range.
        this->attemptLost(*flight, event.engine, false, false);
        this->pump();
        return;
    }
    // All or nothing: holding a part while waiting for the rest would starve other plans.
    this->giveBack(*flight);
    flight->plan = {};
    flight->span = this->needsSpan(flight->request);
    flight->notBefore = this->now + this->policy.reservationRetry;
    this->enqueue(*flight, true);
    this->pump();
}

void Dispatcher::giveBack(Flight &flight)
{
    this->releaseTickets(flight);
    if (this->spans.erase(flight.request.id) == 0)
        return;
    // Also what was asked for and not answered yet: its grant may be under way.
    for (std::size_t each = 0; each < flight.plan.parts.size(); ++each) {
        if (flight.plan.parts[each].reserved)
            this->tell(flight, each, routing::WorkStage::Ended);
        this->actions.emplace_back(Release{flight.request.id, flight.plan.parts[each].engine,
                                           this->leaseOf(flight, each)});
    }
}

void Dispatcher::renew(Flight &flight)
{
    flight.renewAt = this->now + this->policy.reservationTtl / renewalsPerTtl;
    for (const Flight::Ticket &ticket : flight.tickets) {
        this->actions.emplace_back(Reserve{flight.request.id, ticket.share.engine, ticket.lease,
                                           ticket.share.tokens, this->policy.reservationTtl});
    }
    for (std::size_t each = 0; each < flight.plan.parts.size(); ++each) {
        if (!flight.plan.parts[each].reserved)
            continue;
        this->actions.emplace_back(Reserve{
                flight.request.id, flight.plan.parts[each].engine, this->leaseOf(flight, each),
                this->partMemory(flight, each), this->policy.reservationTtl});
    }
}

std::uint32_t Dispatcher::partMemory(const Flight &flight, std::size_t part) const
{
    const routing::SpanPart &range = flight.plan.parts[part];
    const bool decodes = part + 1 == flight.plan.parts.size();
    return range.to - range.from + (decodes ? flight.request.maximumOutputTokens : 0);
}

std::string Dispatcher::leaseOf(const Flight &flight, std::size_t part) const
{
    const std::string &engine = flight.plan.parts[part].engine.value();
    std::array<char, 64> name{};
    std::snprintf(name.data(), name.size(), "%016llx.%zu.%016llx",
                  static_cast<unsigned long long>(flight.work), part,
                  static_cast<unsigned long long>(XXH3_64bits(engine.data(), engine.size())));
    return name.data();
}

} // namespace lavenderthread::coordination::admission
