// What a deployment's wire supplies to the product: how relayed requests, endpoints' answers,
// configurations and the side doors look there. Implemented outside src/; the product decides on
// these types and never sees the wire's names.
#pragma once

#include "coordination/routing/ReplicaChooser.h"
#include "program/Scheduler.h"
#include "protocol/HttpMessage.h"
#include "state/Endpoint.h"
#include "state/control/ControlView.h"
#include "state/routes/RouteTable.h"
#include "transport/HttpServer.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lavenderthread::program {

// What a caller's request says of itself.
struct RelayRequest
{
    state::RequestId id;                                // of one attempt of the caller
    std::string host;                                   // without a port
    std::string accountKey;                             // empty: none was sent
    std::optional<std::chrono::milliseconds> timeLimit; // that the caller waits
    std::optional<std::uint64_t> resumeBehind;          // id of the last event that it has
    state::ModelName model;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; // at most
};

// How a request is handed to one endpoint.
struct ForwardTerms
{
    std::chrono::milliseconds timeLeft{};
    state::EndpointId endpoint;        // any other one refuses it
    state::ClientAccountId account;    // empty: none
    std::optional<unsigned> priority;  // 0 first, 9 last
    std::vector<HelperTarget> helpers; // engines that prefill a part each
    std::optional<std::uint64_t> resumeBehind;
};

// What the head of an endpoint's answer tells.
struct EndpointHead
{
    bool genuine = true; // it answers this request, and a success is sealed
    bool notRun = false; // the endpoint promises that it has not run it
    std::optional<coordination::routing::ReplicaLoad> load;
    std::optional<state::Address> faulty; // another endpoint, whose failure caused the refusal
};

struct RelayRefusal
{
    unsigned status = 503;
    std::string detail;                                  // for a person
    std::optional<std::chrono::milliseconds> retryAfter; // when to come back
};

// Reservations of engine memory on this wire.
struct MemoryOrders
{
    std::function<protocol::HttpRequest(const std::string &lease, std::uint32_t tokens,
                                        std::chrono::milliseconds ttl)>
            reserve; // also renews
    std::function<protocol::HttpRequest(const std::string &lease)> release;
    std::function<bool(unsigned status)> granted;
};

struct RelayCodec
{
    // Error: InvalidArgument, for what can't be told from the request.
    std::function<state::Result<RelayRequest>(const protocol::HttpRequest &)> decode;
    std::function<protocol::HttpRequest(const protocol::HttpRequest &, const ForwardTerms &)>
            forward;
    std::function<EndpointHead(unsigned status, const protocol::HttpHeaders &,
                               const state::RequestId &)>
            readHead;
    std::function<protocol::HttpResponse(const RelayRefusal &)> refuse;
    MemoryOrders memory;
};

// What the operators' and endpoints' door asks of the product.
struct OperatorFace
{
    // The version in force once the document is committed. Error: Timeout, not known whether it
    // was.
    std::function<boost::asio::awaitable<state::Result<std::uint64_t>>(
            state::control::ConfigurationDocument)>
            replaceConfiguration;
    // Error: Timeout, nobody can be sure which is the newest.
    std::function<boost::asio::awaitable<state::Result<state::control::ConfigurationDocument>>()>
            newestConfiguration;
    // Errors: InvalidArgument; Conflict for news of a former life.
    std::function<boost::asio::awaitable<state::Result<void>>(state::EndpointDescription)> announce;
    // The endpoint gets no new work; answered when the news is on its way to the other nodes.
    std::function<boost::asio::awaitable<state::Result<void>>(state::EndpointDescription)> drain;
    // The same for one that only says its name; without incarnation the one that is known.
    std::function<boost::asio::awaitable<state::Result<void>>(
            state::EndpointId, std::optional<std::uint64_t> incarnation)>
            leave;
};

struct DirectoryFace
{
    // Where a caller of that failure domain should connect; empty if no node is ready.
    std::function<std::vector<state::Address>(const state::FailureDomain &)> entries;
    std::chrono::milliseconds timeToLive{};
};

struct Deployment
{
    RelayCodec relay;
    // Error: InvalidArgument, for what can't be read whole or breaks a rule of RouteTable.
    std::function<state::Result<state::routes::RouteTable>(std::string_view)> decodeConfiguration;
    std::function<boost::asio::awaitable<void>(transport::HttpExchange &, const OperatorFace &)>
            answerOperator;
    std::function<boost::asio::awaitable<void>(transport::HttpExchange &, const DirectoryFace &)>
            answerDirectory;
    std::function<boost::asio::awaitable<void>(transport::HttpExchange &, bool ready)>
            answerReadiness;
};

} // namespace lavenderthread::program
