// Carries one completion from the caller to an engine and the answer back: whole, in order, once,
// and ended at the deadline. Goes on at another engine when one is lost.
#pragma once

#include "program/Scheduler.h"
#include "program/Settings.h"
#include "protocol/EventId.h"
#include "transport/HttpServer.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace lavenderthread::program {

// How one request went, for metrics, logs and the burn report.
struct CompletionOutcome
{
    state::RequestId id;
    state::ClientAccountId account;
    state::WorkClass workClass;
    std::uint32_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // handed to the caller
    unsigned status = 0;            // of the answer's head; 0 if the caller went away before it
    protocol::Ran ran = protocol::Ran::No;
    bool whole = false; // the caller got all of the answer
    unsigned attempts = 0;
    state::Duration firstToken{}; // from arrival; 0 if none
    state::Duration total{};

    auto operator<=>(const CompletionOutcome &) const = default;
};

class CompletionRelay
{
public:
    struct Hooks
    {
        Scheduler scheduler;
        std::function<state::RequestId()> nextRequestId;
        std::function<void(const CompletionOutcome &)> finished;
    };

    CompletionRelay(const Settings &settings, Hooks hooks);

    // Answers the exchange in every case. `account` has been authenticated.
    boost::asio::awaitable<void> run(transport::HttpExchange &exchange,
                                     protocol::CompletionKind kind,
                                     const AccountSetting &account) const;

private:
    const Settings &settings;
    Hooks hooks;
};

} // namespace lavenderthread::program
