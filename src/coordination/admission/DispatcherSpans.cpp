// Spans: prompts that exceed the memory of one engine and are split into parts on several engines.
// All parts are reserved, in the order of engine ids, before the first one starts, and released
// however the request ends. If this entry crashes, its reservations end with their leases.
#include "coordination/admission/Dispatcher.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace lavenderthread::coordination::admission {

namespace {

constexpr int renewalsPerTtl = 3; // two may be lost before the lease expires

} // namespace

bool Dispatcher::placeSpan(ActiveRequest &active)
{
    const CompletionRequest &request = active.request;
    // The largest prompts rarely find enough free memory. One that has waited long may also take
    // the memory, and the engines, that are otherwise kept for shorter prompts.
    routing::PolicySettings spanPolicy = this->policy;
    const double waited = std::chrono::duration<double>(this->now - request.arrival).count();
    if (waited > this->policy.spanPatience * this->idealSeconds(request)) {
        spanPolicy.spanSpareShare = this->policy.spanLateSpareShare;
        spanPolicy.spanPartShare = 1 - this->policy.spanLateSpareShare;
    }
    auto plan = routing::planSpan(this->engines, request.model, request.promptTokens,
                                  request.maximumOutputTokens, spanPolicy, this->now);
    if (!plan)
        return false;
    this->queue.remove(this->queuedRequestOf(active));
    active.plan = std::move(*plan);
    active.phase = Phase::Reserving;
    ++active.attempt;
    this->reservationHolders.insert(request.id);
    this->reserveNext(active);
    return true;
}

void Dispatcher::reserveNext(ActiveRequest &active)
{
    const std::optional<std::size_t> next = active.plan.nextToReserve();
    if (!next) {
        this->dispatchNext(active);
        return;
    }
    active.renewAt = this->now + this->policy.reservationTtl / renewalsPerTtl;
    this->actions.emplace_back(Reserve{
            active.request.id, active.plan.parts[*next].engine, this->leaseOf(active, *next),
            this->partMemoryTokens(active, *next), this->policy.reservationTtl});
}

void Dispatcher::on(const ReservationAnswered &event)
{
    const auto found = this->activeRequests.find(event.id);
    ActiveRequest *active = found == this->activeRequests.end() ? nullptr : &found->second;
    if (active != nullptr && !active->helperReservations.empty()) {
        this->handleHelperReservationAnswer(*active, event);
        return;
    }
    std::optional<std::size_t> part;
    for (std::size_t each = 0; active != nullptr && each < active->plan.parts.size(); ++each) {
        if (this->leaseOf(*active, each) == event.lease)
            part = each;
    }
    // The request has ended or has a new plan: without a release the memory would stay reserved
    // until the lease expires.
    if (!part) {
        if (event.granted)
            this->actions.emplace_back(Release{event.id, event.engine, event.lease});
        return;
    }
    if (event.granted) {
        const bool newlyReserved = !active->plan.parts[*part].reserved;
        active->plan.parts[*part].reserved = true;
        if (newlyReserved)
            this->shareWorkNote(*active, *part, routing::WorkStage::Dispatched);
        if (newlyReserved && active->phase == Phase::Reserving)
            this->reserveNext(*active);
        return;
    }
    if (active->phase != Phase::Reserving) {
        // A renewal was refused: the engine no longer holds that part.
        this->handleAttemptLoss(*active, event.engine, false, false);
        this->placeWaiting();
        return;
    }
    // All or nothing: holding a part while waiting for the rest would starve other plans.
    this->releaseReservations(*active);
    active->plan = {};
    active->usesSpan = this->needsSpan(active->request);
    active->notBefore = this->now + this->policy.reservationRetry;
    this->enqueue(*active, true);
    this->placeWaiting();
}

void Dispatcher::releaseReservations(ActiveRequest &active)
{
    this->releaseHelperMemory(active);
    if (this->reservationHolders.erase(active.request.id) == 0)
        return;
    // Also releases reservations without an answer: the grant may be on its way.
    for (std::size_t each = 0; each < active.plan.parts.size(); ++each) {
        if (active.plan.parts[each].reserved)
            this->shareWorkNote(active, each, routing::WorkStage::Ended);
        this->actions.emplace_back(Release{active.request.id, active.plan.parts[each].engine,
                                           this->leaseOf(active, each)});
    }
}

void Dispatcher::renewReservations(ActiveRequest &active)
{
    active.renewAt = this->now + this->policy.reservationTtl / renewalsPerTtl;
    for (const ActiveRequest::HelperReservation &reservation : active.helperReservations) {
        this->actions.emplace_back(Reserve{active.request.id, reservation.share.engine,
                                           reservation.lease, reservation.share.tokens,
                                           this->policy.reservationTtl});
    }
    for (std::size_t each = 0; each < active.plan.parts.size(); ++each) {
        if (!active.plan.parts[each].reserved)
            continue;
        this->actions.emplace_back(Reserve{
                active.request.id, active.plan.parts[each].engine, this->leaseOf(active, each),
                this->partMemoryTokens(active, each), this->policy.reservationTtl});
    }
}

std::uint32_t Dispatcher::partMemoryTokens(const ActiveRequest &active, std::size_t part) const
{
    const routing::SpanPart &spanPart = active.plan.parts[part];
    const bool decodes = part + 1 == active.plan.parts.size();
    return spanPart.to - spanPart.from + (decodes ? active.request.maximumOutputTokens : 0);
}

std::string Dispatcher::leaseOf(const ActiveRequest &active, std::size_t part) const
{
    const std::string &engine = active.plan.parts[part].engine.value();
    std::array<char, 64> name{};
    std::snprintf(name.data(), name.size(), "%016llx.%zu.%016llx",
                  static_cast<unsigned long long>(active.requestHash), part,
                  static_cast<unsigned long long>(XXH3_64bits(engine.data(), engine.size())));
    return name.data();
}

} // namespace lavenderthread::coordination::admission
