// Requests of one account that run at this entry, fitted to the slots that it owns and borrowed.
#pragma once

#include "coordination/quota/PartLedger.h"
#include "state/Time.h"

#include <cstdint>
#include <vector>

namespace lavenderthread::coordination::quota {

class SlotPool
{
public:
    // False if no slot is free for that long. Requests with the latest deadlines are counted on
    // own slots; each of the others needs a borrowed slot that outlasts its deadline.
    bool start(state::Instant deadline, const PartLedger &ledger, state::Instant now);
    void startUnlimited(state::Instant deadline) { this->insert(deadline); }
    void finish(state::Instant deadline);

    std::uint64_t running() const { return this->deadlines.size(); }
    // The latest deadline among requests that don't fit on `own` slots; `now` if all do.
    state::Instant latestOnBorrowed(std::uint64_t own, state::Instant now) const;

private:
    void insert(state::Instant deadline);

    std::vector<state::Instant> deadlines; // latest first
};

} // namespace lavenderthread::coordination::quota
