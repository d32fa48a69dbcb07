// A completion as admission sees it: who asks, how much, and until when.
#pragma once

#include "state/Ids.h"
#include "state/TableRow.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace lavenderthread::coordination::admission {

// Immutable. Built by the entry once the body has been read.
struct CompletionRequest
{
    state::RequestId id; // unique over all entries
    state::ClientAccountId account;
    state::WorkClass workClass;
    state::ModelName model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maximumOutputTokens = 0;
    std::vector<std::uint64_t> prefixBlocks; // routing::chainPrefixBlocks of the prompt
    state::Instant arrival;
    state::Instant deadline;
    bool idempotent = true;
    state::Duration firstTarget{0}; // from arrival to the first event, as asked; 0: none is set
    state::Duration pause{0};       // between events that the caller bears; 0: not known
    std::uint32_t attempts = 0;     // engines that it may run on; 0: as the policy has it

    auto operator<=>(const CompletionRequest &) const = default;

    state::TableKey tableKey() const { return {this->account, this->workClass}; }
};

} // namespace lavenderthread::coordination::admission
