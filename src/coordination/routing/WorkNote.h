// What an entry tells the peers that route to the same engine, so that all of them count the same
// work there. Losing a note costs speed only: reports and expiry correct the view.
#pragma once

#include "state/Ids.h"
#include "state/TableRow.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace lavenderthread::coordination::routing {

enum class WorkStage : std::uint8_t {
    Dispatched, // handed to the engine, or the next slice of it
    Decoding,   // the first token came
    Ended,      // finished, cancelled or lost
    Waiting,    // a long prompt that is held back at its entry; said again while it waits
};

// Immutable. Sent when the stage begins; a later stage of the same work replaces the earlier one.
struct WorkNote
{
    WorkStage stage = WorkStage::Dispatched;
    std::uint64_t work = 0; // hash of the request's id; unique in practice
    state::EndpointId engine;
    state::TableKey key;             // whom the tokens are charged to
    std::uint32_t promptTokens = 0;  // whole prompt; tells the length class
    std::uint32_t prefillTokens = 0; // left to prefill on this engine, after its cached prefix
    std::uint32_t outputTokens = 0;  // expected
    std::uint32_t memoryTokens = 0;  // claimed on this engine
    std::uint32_t chargedTokens = 0; // service charged to the key by this note
    std::uint8_t priority = 0;       // as sent to the engine, 0 goes first
    state::Duration lifetime{0};     // until its deadline, after which receivers forget it
    state::Duration pause{0};        // that its caller bears between two events; 0: not known
    state::Duration age{0};          // since its arrival, of one that waits
    state::Duration engineTime{0};   // to prefill it, of one that waits
    std::vector<state::EndpointId> helpers;  // engines that prefill as much of the prompt, each
    std::vector<std::uint32_t> helperMemory; // tokens reserved at the first helpers, in their order

    auto operator<=>(const WorkNote &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        std::int64_t lifetimeUs = this->lifetime.count();
        std::int64_t pauseUs = this->pause.count();
        std::int64_t ageUs = this->age.count();
        std::int64_t engineTimeUs = this->engineTime.count();
        archive(this->stage, this->work, this->engine, this->key, this->promptTokens,
                this->prefillTokens, this->outputTokens, this->memoryTokens, this->chargedTokens,
                this->priority, lifetimeUs, pauseUs, ageUs, engineTimeUs, this->helpers,
                this->helperMemory);
        this->lifetime = state::Duration(lifetimeUs);
        this->pause = state::Duration(pauseUs);
        this->age = state::Duration(ageUs);
        this->engineTime = state::Duration(engineTimeUs);
    }
};

} // namespace lavenderthread::coordination::routing
