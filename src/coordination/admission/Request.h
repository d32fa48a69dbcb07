// A completion request as admission sees it: account, size and deadline.
#pragma once

#include "state/Ids.h"
#include "state/TableRow.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace lavenderthread::coordination::admission {

// Immutable. Built by the entry after it has read the body.
struct CompletionRequest
{
    state::RequestId id; // unique across all entries
    state::ClientAccountId account;
    state::WorkClass workClass;
    state::ModelName model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maximumOutputTokens = 0;
    std::vector<std::uint64_t> prefixBlocks; // routing::hashPrefixBlocks of the prompt
    state::Instant arrival;
    state::Instant deadline;
    bool idempotent = true;
    state::Duration firstEventTarget{0}; // from arrival to the first event, as requested; 0: none
    state::Duration toleratedPause{
            0};            // longest that the caller tolerates between events; 0: not known
    std::uint8_t rank = 0; // priority within its service, 0 is the most urgent; see OverloadControl
    std::uint32_t attemptLimit = 0; // engines that it may run on; 0: the limit of the policy

    auto operator<=>(const CompletionRequest &) const = default;

    state::TableKey tableKey() const { return {this->account, this->workClass}; }
};

} // namespace lavenderthread::coordination::admission
