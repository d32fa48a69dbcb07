// Assigns the running requests of one account to the own and borrowed slots of this entry.
#pragma once

#include "coordination/quota/PartLedger.h"
#include "state/Time.h"

#include <cstdint>
#include <vector>

namespace lavenderthread::coordination::quota {

class SlotPool
{
public:
    // Returns false if no slot is free until `deadline`. Requests with the latest deadlines use own
    // slots; each of the others needs a borrowed slot that outlasts its deadline.
    bool start(state::Instant deadline, const PartLedger &ledger, state::Instant now);
    void startUnlimited(state::Instant deadline) { this->insert(deadline); }
    void finish(state::Instant deadline);

    std::uint64_t running() const { return this->deadlines.size(); }
    // The latest deadline of the requests that exceed the `own` slots; `now` if none does.
    state::Instant latestDeadlineOnBorrowed(std::uint64_t own, state::Instant now) const;

private:
    void insert(state::Instant deadline);

    std::vector<state::Instant> deadlines; // latest first
};

} // namespace lavenderthread::coordination::quota
