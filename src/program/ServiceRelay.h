// Relays calls to plain services. A non-idempotent call takes a claim and runs at most once; an
// idempotent call is retried at another replica when one is lost.
#pragma once

#include "program/AnswerBuffers.h"
#include "program/Claims.h"
#include "program/EndpointRegistry.h"
#include "program/OpenRequests.h"
#include "program/RequestGuard.h"
#include "program/Settings.h"
#include "protocol/Problem.h"
#include "transport/HttpServer.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lavenderthread::program {

// Result of one call, for metrics and logs.
struct ServiceOutcome
{
    state::RequestId id;
    state::ClientAccountId account;
    state::ServiceName service;
    unsigned status = 0;
    protocol::Ran ran = protocol::Ran::No;
    state::Duration total{};
};

// Whether a call may be sent again when it is unknown whether it ran.
enum class Repeatability {
    Idempotent,    // safe to send again
    Claimed,       // needs an Idempotency-Key; at most one dispatch per key
    NeverRepeated, // not covered by the operators' rules; sent at most once per request
};

Repeatability repeatabilityOf(const ServiceSetting *service, const std::string &method,
                              const std::string &path);

class ServiceRelay
{
public:
    struct Hooks
    {
        std::function<state::SnapshotView<EndpointTable>()> endpoints;
        ClaimGate claims;
        std::shared_ptr<RequestGuard> guard;
        std::function<state::RequestId()> nextRequestId;
        std::function<void(const ServiceOutcome &)> finished;
        std::shared_ptr<OpenRequests> openRequests = OpenRequests::create();
        std::shared_ptr<AnswerBuffers> answerBuffers = std::make_shared<AnswerBuffers>();
    };

    ServiceRelay(const Settings &settings, Hooks hooks);

    // Always answers the exchange.
    boost::asio::awaitable<void> run(transport::HttpExchange &exchange,
                                     const AccountSetting &account) const;

private:
    const Settings &settings;
    Hooks hooks;
};

} // namespace lavenderthread::program
