// Passes calls through to plain services. Calls that may not be repeated go through a claim and run
// at most once; others are tried again elsewhere when a replica is lost.
#pragma once

#include "program/Claims.h"
#include "program/EndpointRegistry.h"
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

struct ServiceOutcome
{
    state::RequestId id;
    state::ClientAccountId account;
    state::ServiceName service;
    unsigned status = 0;
    protocol::Ran ran = protocol::Ran::No;
    state::Duration total{};
};

// How a call may be treated when its fate is unclear.
enum class Repeatability {
    Idempotent,    // safe to send again
    Claimed,       // needs an Idempotency-Key; at most one dispatch per key
    NeverRepeated, // no rule of the operators; sent at most once per request
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
        std::function<state::RequestId()> nextRequestId;
        std::function<void(const ServiceOutcome &)> finished;
    };

    ServiceRelay(const Settings &settings, Hooks hooks);

    // Answers the exchange in every case.
    boost::asio::awaitable<void> run(transport::HttpExchange &exchange,
                                     const AccountSetting &account) const;

private:
    const Settings &settings;
    Hooks hooks;
};

} // namespace lavenderthread::program
