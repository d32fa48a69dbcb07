// What an entry tells the peers that route to the same engine, so that all of them count the same
// work there. Losing a note costs speed only: reports and expiry correct the view.
#pragma once

#include "coordination/routing/EngineKey.h"
#include "state/TableRow.h"
#include "state/Time.h"

#include <cereal/cereal.hpp>

#include <algorithm>
#include <compare>
#include <cstdint>
#include <limits>
#include <string>
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

    // Of work that was dispatched, until it ends.
    EngineKey engine;
    bool hasHelpers = false; // other engines prefill a part of it, or hold memory for it

    // Of work that waits.
    state::Duration age{0};        // since its arrival
    state::Duration engineTime{0}; // to prefill it

    // When it is dispatched; the later stages leave these out, since receivers know them.
    state::TableKey key;             // whom the tokens are charged to
    std::uint32_t promptTokens = 0;  // whole prompt; tells the length class
    std::uint32_t prefillTokens = 0; // left to prefill on this engine, after its cached prefix
    std::uint32_t outputTokens = 0;  // expected
    std::uint32_t memoryTokens = 0;  // claimed on this engine
    std::uint32_t chargedTokens = 0; // service charged to the key by this note
    std::uint8_t priority = 0;       // as sent to the engine, 0 goes first
    state::Duration lifetime{0};     // until its deadline, after which receivers forget it
    state::Duration pause{0};        // that its caller bears between two events; 0: not known
    std::vector<EngineKey> helpers;  // engines that prefill as much of the prompt, each
    std::vector<std::uint32_t> helperMemory; // tokens reserved at the first helpers, in their order

    auto operator<=>(const WorkNote &) const = default;

    // Each request takes three notes to every peer, which are nearly all bytes between the failure
    // domains of a large fleet; so a stage is sent with what it needs only.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->stage, this->work);
        if (this->stage == WorkStage::Waiting) {
            shortTime(archive, this->age);
            shortTime(archive, this->engineTime);
            return;
        }
        archive(this->engine.value, this->hasHelpers);
        if (this->stage == WorkStage::Dispatched)
            this->serializeDispatched(archive);
    }

private:
    template <typename Archive>
    void serializeDispatched(Archive &archive)
    {
        this->key.account = state::ClientAccountId(shortText(archive, this->key.account.value()));
        this->key.workClass = state::WorkClass(shortText(archive, this->key.workClass.value()));
        archive(this->promptTokens, this->prefillTokens, this->outputTokens, this->memoryTokens,
                this->chargedTokens, this->priority);
        shortTime(archive, this->lifetime);
        shortTime(archive, this->pause);
        shortList(archive, this->helpers, [&archive](EngineKey &each) { archive(each.value); });
        shortList(archive, this->helperMemory, [&archive](std::uint32_t &each) { archive(each); });
    }

    // In microseconds, up to an hour.
    template <typename Archive>
    static void shortTime(Archive &archive, state::Duration &time)
    {
        constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
        auto us = static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, most));
        archive(us);
        time = state::Duration(us);
    }

    // Of at most 65,535 bytes, more than any name may have.
    template <typename Archive>
    static std::string shortText(Archive &archive, std::string text)
    {
        auto size = static_cast<std::uint16_t>(text.size());
        archive(size);
        text.resize(size);
        archive(cereal::binary_data(text.data(), text.size()));
        return text;
    }

    // Of at most 255 elements; engines take up to 16 helpers.
    template <typename Archive, typename Element, typename Each>
    static void shortList(Archive &archive, std::vector<Element> &list, const Each &each)
    {
        auto count = static_cast<std::uint8_t>(list.size());
        archive(count);
        list.resize(count);
        for (Element &element : list)
            each(element);
    }
};

} // namespace lavenderthread::coordination::routing
