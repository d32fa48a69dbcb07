// Relays a completion request to an engine and the answer back: complete, in order, each token
// once, and ended at the deadline. Continues at another engine when one is lost.
#pragma once

#include "program/AnswerBuffers.h"
#include "program/OpenRequests.h"
#include "program/RequestGuard.h"
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

// Result of one request, for metrics, logs and the burn report.
struct CompletionOutcome
{
    state::RequestId id;
    state::ClientAccountId account;
    state::WorkClass workClass;
    std::uint32_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // sent to the caller
    unsigned status = 0;            // of the answer's head; 0 if the caller disconnected before it
    protocol::Ran ran = protocol::Ran::No;
    bool whole = false; // the caller received the complete answer
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
        std::shared_ptr<RequestGuard> guard;
        std::function<state::RequestId()> nextRequestId;
        std::function<void(const CompletionOutcome &)> finished;
        std::shared_ptr<OpenRequests> openRequests = OpenRequests::create();
        std::shared_ptr<AnswerBuffers> answerBuffers = std::make_shared<AnswerBuffers>();
    };

    CompletionRelay(const Settings &settings, Hooks hooks);

    // Always answers the exchange. `account` is already authenticated.
    boost::asio::awaitable<void> run(transport::HttpExchange &exchange,
                                     protocol::CompletionKind kind,
                                     const AccountSetting &account) const;

private:
    const Settings &settings;
    Hooks hooks;
};

} // namespace lavenderthread::program
