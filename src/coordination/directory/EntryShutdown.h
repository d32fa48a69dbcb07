// Graceful shutdown of an entry: callers that hold a directory answer with its address are
// served until that answer expires, and no request in flight is aborted.
#pragma once

#include "state/Time.h"

#include <cstddef>
#include <cstdint>

namespace lavenderthread::coordination::directory {

enum class ShutdownStage : std::uint8_t {
    Serving,   // listed in directory answers
    Announced, // not listed in new answers; still accepts from holders of old ones
    Refusing,  // new requests get "not run" and other addresses; those in flight continue
    Finished,  // nothing in flight: release leases, publish Left, exit
};

// Tracks the shutdown stage, which only moves forward.
class EntryShutdown
{
public:
    // `propagationTime`: until every other entry has stopped listing this one. `timeToLive`:
    // of directory answers.
    EntryShutdown(state::Duration propagationTime, state::Duration timeToLive)
        : acceptDuration(propagationTime + timeToLive)
    {}

    void begin(state::Instant now);
    ShutdownStage tick(std::size_t requestsInFlight, state::Instant now);
    ShutdownStage stage() const { return this->currentStage; }

private:
    // The last answer that lists this entry is made just before the update arrives, so
    // accepting for propagation time plus time to live serves every holder of an answer.
    state::Duration acceptDuration;
    state::Instant beganAt;
    ShutdownStage currentStage = ShutdownStage::Serving; // only moves forward
};

} // namespace lavenderthread::coordination::directory
