// Message by which an entry tells the peers that route to the same engine about its work there, so
// that all of them count the same load. A lost note costs only speed, since load reports
// and expiry correct the estimate.
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
    Dispatched, // sent to the engine, whole or its next slice
    Decoding,   // the first token arrived
    Ended,      // finished, cancelled or lost
    Waiting,    // long prompt that is queued at its entry; repeated while it waits
};

// Immutable. Sent when a stage begins; a later stage of the same request replaces the earlier one.
struct WorkNote
{
    WorkStage stage = WorkStage::Dispatched;
    std::uint64_t requestHash = 0; // hash of the request's id; unique in practice

    // For dispatched work, until it ends.
    EngineKey engine;
    bool hasHelpers = false; // other engines prefill a part of the prompt or hold memory for it

    // For waiting work; promptTokens as well.
    std::uint64_t modelHash = 0;
    state::Duration age{0};              // since arrival
    state::Duration prefillTime{0};      // needed for its prefill
    state::Duration rankDelay{0};        // how far it lets later prompts pass; see LongPromptQueue
    state::Duration firstEventTarget{0}; // 0: none

    // For Dispatched only: in later stages the receivers know them already.
    state::TableKey key;             // account and work class that the tokens are charged to
    std::uint32_t promptTokens = 0;  // whole prompt; determines the length class
    std::uint32_t prefillTokens = 0; // to prefill on this engine, without its cached prefix
    std::uint32_t outputTokens = 0;  // expected
    std::uint32_t memoryTokens = 0;  // claimed on this engine
    std::uint32_t chargedTokens = 0; // charged to the key by this note
    std::uint8_t priority = 0;       // as sent to the engine; 0 is the most urgent
    state::Duration lifetime{0};     // until the deadline, after which receivers drop the work
    state::Duration toleratedPause{
            0};                     // the caller's longest tolerated gap between events; 0: unknown
    std::vector<EngineKey> helpers; // each of them also prefills prefillTokens of the prompt
    std::vector<std::uint32_t> helperMemory; // tokens reserved at the first helpers, in order

    auto operator<=>(const WorkNote &) const = default;

    // Tokens reserved at that helper.
    std::uint32_t memoryOf(EngineKey helper) const
    {
        const auto found = std::ranges::find(this->helpers, helper);
        const auto index = std::size_t(found - this->helpers.begin());
        return index < this->helperMemory.size() ? this->helperMemory[index] : 0;
    }

    // Writes only the fields that the stage needs: each request sends three notes to every peer,
    // and these are nearly all the traffic between the failure domains of a large fleet.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->stage, this->requestHash);
        if (this->stage == WorkStage::Waiting) {
            shortTime(archive, this->age);
            shortTime(archive, this->prefillTime);
            shortTime(archive, this->rankDelay);
            shortTime(archive, this->firstEventTarget);
            archive(this->modelHash, this->promptTokens);
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
        shortTime(archive, this->toleratedPause);
        shortList(archive, this->helpers, [&archive](EngineKey &each) { archive(each.value); });
        shortList(archive, this->helperMemory, [&archive](std::uint32_t &each) { archive(each); });
    }

    // 32 bits of microseconds, somewhat more than an hour; other values are clamped.
    template <typename Archive>
    static void shortTime(Archive &archive, state::Duration &time)
    {
        constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
        auto us = static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, most));
        archive(us);
        time = state::Duration(us);
    }

    // At most 65,535 bytes, more than any name may have.
    template <typename Archive>
    static std::string shortText(Archive &archive, std::string text)
    {
        auto size = static_cast<std::uint16_t>(text.size());
        archive(size);
        text.resize(size);
        archive(cereal::binary_data(text.data(), text.size()));
        return text;
    }

    // At most 255 elements; engines accept up to 16 helpers.
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
