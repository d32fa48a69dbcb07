// Graceful end of an entry: callers that hold an answer naming it are served until that answer has
// aged out, and nothing in flight is cut.
#pragma once

#include "state/Time.h"

#include <cstddef>
#include <cstdint>

namespace lavenderthread::coordination::directory {

enum class ShutdownStage : std::uint8_t {
    Serving,   // named to callers
    Announced, // no entry names it any more; it still accepts from holders of old answers
    Refusing,  // new requests get "not run" and other addresses; those in flight go on
    Finished,  // nothing in flight: release leases, say Left, exit
};

class EntryShutdown
{
public:
    // `newsTime`: until every other entry has stopped naming this one. `timeToLive`: of answers.
    EntryShutdown(state::Duration newsTime, state::Duration timeToLive)
        : acceptFor(newsTime + timeToLive)
    {}

    void begin(state::Instant now);
    ShutdownStage tick(std::size_t requestsInFlight, state::Instant now);
    ShutdownStage stage() const { return this->current; }

private:
    // An answer made just before the news arrived is the last one that names this entry, so
    // accepting for news time and time to live serves every holder of an answer.
    state::Duration acceptFor;
    state::Instant beganAt;
    ShutdownStage current = ShutdownStage::Serving; // only moves forward
};

} // namespace lavenderthread::coordination::directory
