// Commands as the product sends them: table edits by operators, claims of postings.
#pragma once

#include "protocol/ControlCommands.h"
#include "state/control/ControlState.h"
#include "state/log/LogEntry.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace lavenderthread::bench {

inline double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline state::ClientAccountId accountOf(std::size_t number)
{
    return state::ClientAccountId("account-" + std::to_string(number));
}

inline state::control::ClaimId claimOf(std::size_t number)
{
    return state::control::ClaimId::of(accountOf(number % 10),
                                       "8f14e45f-ceea-467f-a8d9-" + std::to_string(number));
}

inline state::control::ClaimHolder holderOf(std::size_t number)
{
    return {state::VmId("entry-" + std::to_string(number % 18)), 1,
            state::RequestId("request-" + std::to_string(number))};
}

inline state::control::TakeClaim takeOf(std::size_t number)
{
    return {claimOf(number),
            accountOf(number % 10),
            {number, number},
            holderOf(number),
            std::chrono::seconds(30)};
}

inline state::control::FinishClaim finishOf(std::size_t number)
{
    return {claimOf(number), holderOf(number),
            state::control::ClaimResult{201, "application/json",
                                        "{\"posting\":\"" + std::to_string(number)
                                                + "\",\"hours\":0.3,\"status\":\"recorded\"}",
                                        true}};
}

// An edit that moves the row's weight; creates the account first if the state lacks it.
class Operator
{
public:
    explicit Operator(state::control::ControlState &controlState)
        : state(controlState)
    {}

    state::control::Command addAccount(std::size_t number)
    {
        return this->stamp(
                state::control::PutAccount{{accountOf(number), "Account " + std::to_string(number),
                                            state::table::bearerKeyHash(std::to_string(number)), 0},
                                           0});
    }

    state::control::Command edit(std::size_t account, const char *workClass)
    {
        const state::TableKey key{accountOf(account), state::WorkClass(workClass)};
        const state::table::StoredRow *known = this->state.view().table.find(key);
        state::TableRow row = known ? known->row : state::TableRow{.key = key};
        row.weight = 1 + row.weight % 10'000;
        return this->stamp(
                state::control::EditRows{{{row, known ? known->row.version : 0, false}}});
    }

private:
    state::control::Command stamp(state::control::OperatorAction action)
    {
        ++this->requests;
        return protocol::makeOperatorCommand(
                state::OperatorId("operator-1"), "request-" + std::to_string(this->requests),
                state::WallTime(std::chrono::milliseconds(1)), std::move(action));
    }

    state::control::ControlState &state;
    std::uint64_t requests = 0;
};

inline state::log::LogEntry entryOf(std::uint64_t index, const state::control::Command &command)
{
    return {{1, index}, state::log::LogEntryKind::Command, protocol::encodeCommand(command)};
}

} // namespace lavenderthread::bench
