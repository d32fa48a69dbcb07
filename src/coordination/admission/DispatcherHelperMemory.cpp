// KV memory at helpers for a prompt that its engine can't hold. All of it is reserved before the
// prompt is dispatched, renewed while in use, and released however the request ends. Leases are
// short, so that the memory held by a crashed entry is free again within seconds.
#include "coordination/admission/Dispatcher.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace lavenderthread::coordination::admission {

namespace {

constexpr int renewalsPerTtl = 3; // two may be lost before the lease expires
constexpr state::Duration retryWhenReserved = std::chrono::milliseconds(500);

// Unique for each attempt: a reservation carried out late must not match one of a later attempt.
std::string leaseName(std::uint64_t work, std::uint32_t attempt, std::size_t index)
{
    std::array<char, 48> name{};
    std::snprintf(name.data(), name.size(), "%016llx-%u-%zu", static_cast<unsigned long long>(work),
                  attempt, index);
    return name.data();
}

} // namespace

void Dispatcher::reserveHelperMemory(ActiveRequest &active,
                                     const std::vector<routing::MemoryShare> &memory)
{
    active.phase = Phase::Reserving;
    active.renewAt = this->now + this->policy.reservationTtl / renewalsPerTtl;
    for (const routing::MemoryShare &share : memory) {
        const std::string lease =
                leaseName(active.requestHash, active.attempt, active.helperReservations.size());
        active.helperReservations.push_back({share, lease, false});
        this->actions.emplace_back(Reserve{active.request.id, share.engine, lease, share.tokens,
                                           this->policy.reservationTtl});
    }
    this->reservationHolders.insert(active.request.id);
}

void Dispatcher::handleHelperReservationAnswer(ActiveRequest &active,
                                               const ReservationAnswered &event)
{
    const auto reservation = std::ranges::find(active.helperReservations, event.lease,
                                               &ActiveRequest::HelperReservation::lease);
    if (reservation == active.helperReservations.end()) {
        // It belongs to an earlier attempt; nobody needs its memory.
        if (event.granted)
            this->actions.emplace_back(Release{event.id, event.engine, event.lease});
        return;
    }
    // Answers to renewals are ignored: if a lease is lost, the stream fails.
    if (active.phase != Phase::Reserving)
        return;
    if (event.granted) {
        reservation->granted = true;
        if (std::ranges::all_of(active.helperReservations,
                                &ActiveRequest::HelperReservation::granted))
            this->dispatchNext(active);
        return;
    }
    // All or nothing: holding a part while waiting for the rest would starve other requests.
    this->releaseHelperMemory(active);
    active.plan = {};
    active.helpers.clear();
    const state::Duration maximumWait =
            this->maximumWaitOf(active, active.request.firstEventTarget);
    if (this->now - active.request.arrival > maximumWait) {
        this->refuse(active.request.id, RefusalReason::Overload, retryWhenReserved);
    } else {
        active.notBefore = this->now + this->policy.reservationRetry;
        this->enqueue(active, true);
    }
    this->placeWaiting();
}

// Also releases reservations without an answer: they may still be granted.
void Dispatcher::releaseHelperMemory(ActiveRequest &active)
{
    for (const ActiveRequest::HelperReservation &reservation : active.helperReservations)
        this->actions.emplace_back(
                Release{active.request.id, reservation.share.engine, reservation.lease});
    if (!active.helperReservations.empty())
        this->reservationHolders.erase(active.request.id);
    active.helperReservations.clear();
}

} // namespace lavenderthread::coordination::admission
