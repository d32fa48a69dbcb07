// What a deployment's protocol supplies to the product: the formats of relayed requests, endpoints'
// answers, configurations, and the operator, directory and readiness interfaces. Implemented
// outside src/; the product works on these types and never sees the names used on the wire.
#pragma once

#include "coordination/routing/ReplicaChooser.h"
#include "program/Scheduler.h"
#include "protocol/HttpMessage.h"
#include "state/Endpoint.h"
#include "state/RequestPart.h"
#include "state/control/ControlView.h"
#include "state/routes/RouteTable.h"
#include "transport/HttpServer.h"
#include "transport/NextAnswerDetector.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lavenderthread::program {

// A caller's request, decoded.
struct RelayRequest
{
    state::RequestId id;                                // differs for each attempt of the caller
    std::string host;                                   // without a port
    std::string accountKey;                             // empty: no key was sent
    std::optional<std::chrono::milliseconds> timeLimit; // how long the caller waits
    std::optional<std::uint64_t> resumeAfter;           // id of the last event that the caller has
    state::ModelName model;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; // upper limit
    // Ids of the prompt's parts, in order; other requests may share all but the last.
    std::vector<state::RequestPart> promptParts;
    // The caller excludes some endpoints, which refuse the request as if another one were meant.
    bool restrictsEndpoints = false;
};

// Parameters for forwarding a request to one endpoint.
struct ForwardParameters
{
    std::chrono::milliseconds timeLeft{};
    state::EndpointId endpoint;        // any other endpoint refuses the request
    state::ClientAccountId account;    // empty: none
    std::optional<unsigned> priority;  // 0 (highest) to 9 (lowest)
    std::vector<HelperTarget> helpers; // engines that each prefill a part of the prompt
    std::optional<std::uint64_t> resumeAfter;
};

// The head of an endpoint's answer, decoded.
struct EndpointAnswerHead
{
    bool genuine = true;        // it answers this request; a success has a valid seal
    bool namesRequest = false;  // it has this request's id
    bool notRun = false;        // the endpoint guarantees that it has not run the request
    bool otherEndpoint = false; // refused because another endpoint was meant
    std::optional<coordination::routing::ReplicaLoad> load;
    // Requests a second that the endpoint accepts from all entries; nothing: any rate.
    std::optional<double> acceptedPerSecond;
    // With a refusal: the endpoint wants no request from this entry for so long.
    std::optional<std::chrono::milliseconds> rest;
    bool leaving = false;                 // the endpoint wants no new work, whatever it announces
    std::optional<state::Address> faulty; // another endpoint, whose failure caused the refusal
};

struct RelayRefusal
{
    unsigned status = 503;
    std::string detail;                                  // human-readable
    std::optional<std::chrono::milliseconds> retryAfter; // how long to wait before a retry
};

// Reservations of engine memory in this protocol.
struct MemoryReservationCodec
{
    std::function<protocol::HttpRequest(const std::string &lease, std::uint32_t tokens,
                                        std::chrono::milliseconds ttl)>
            reserve; // also renews an existing reservation
    std::function<protocol::HttpRequest(const std::string &lease)> release;
    std::function<bool(unsigned status)> granted;
};

// What an answer to a probe says.
struct ProbeAnswer
{
    std::optional<state::Duration> coldLeft; // how long the endpoint stays cold, if it is
    bool coldLeftIgnored = false;            // it names a time that can't be right

    auto operator<=>(const ProbeAnswer &) const = default;
};

// Converts relayed requests and their answers.
struct RelayCodec
{
    // Error: InvalidArgument if the request lacks a value or has an invalid one.
    std::function<state::Result<RelayRequest>(const protocol::HttpRequest &)> decode;
    std::function<protocol::HttpRequest(const protocol::HttpRequest &, const ForwardParameters &)>
            forward;
    std::function<EndpointAnswerHead(unsigned status, const protocol::HttpHeaders &,
                                     const state::RequestId &)>
            readHead;
    // What a head in the body of an answer to this request is.
    std::function<std::optional<transport::NextAnswer>(const protocol::HttpHeaders &,
                                                       const state::RequestId &)>
            classifyHead;
    std::function<protocol::HttpResponse(const RelayRefusal &)> refuse;
    // A request that an endpoint of the service answers without delay and without running anything.
    std::function<protocol::HttpRequest(const state::routes::ServiceProfile &)> probe;
    std::function<ProbeAnswer(const protocol::HttpHeaders &)> readProbe;
    MemoryReservationCodec memory;
};

// The calls that operators and endpoints can make.
struct OperatorApi
{
    // Returns the version in force once the document is committed. Error: Timeout if it is unknown
    // whether the document was committed.
    std::function<boost::asio::awaitable<state::Result<std::uint64_t>>(
            state::control::ConfigurationDocument)>
            replaceConfiguration;
    // Error: Timeout if the newest configuration could not be determined with certainty.
    std::function<boost::asio::awaitable<state::Result<state::control::ConfigurationDocument>>()>
            newestConfiguration;
    // Keeps new work away from the endpoints of a failure domain, or ends that. Returns once the
    // order is committed. Errors: NotFound: no such failure domain; Conflict: another order for it
    // came first; Unavailable or Timeout: it is unknown whether the order was committed.
    std::function<boost::asio::awaitable<state::Result<void>>(state::FailureDomain, bool evacuated,
                                                              std::string requestedBy)>
            setEvacuation;
    // Errors: InvalidArgument; Conflict if the announcement is from an earlier incarnation.
    // `coldLeft`: how long the endpoint stays cold, if it is.
    std::function<boost::asio::awaitable<state::Result<void>>(
            state::EndpointDescription, std::optional<state::Duration> coldLeft)>
            announce;
    // Gives the endpoint no new work. Returns once the change is being sent to the other nodes.
    std::function<boost::asio::awaitable<state::Result<void>>(state::EndpointDescription)> drain;
    // The same for an endpoint that only gives its id; applies to the known incarnation by default.
    std::function<boost::asio::awaitable<state::Result<void>>(
            state::EndpointId, std::optional<std::uint64_t> incarnation)>
            leave;
};

// What the directory interface needs of the product.
struct DirectoryApi
{
    // Addresses for a caller of that failure domain to connect to; empty if no node is ready.
    std::function<std::vector<state::Address>(const state::FailureDomain &)> entries;
    std::chrono::milliseconds timeToLive{};
};

// A deployment's protocol: all formats and interfaces.
struct Deployment
{
    RelayCodec relay;
    // Error: InvalidArgument if the text can't be parsed completely or breaks a rule of RouteTable.
    std::function<state::Result<state::routes::RouteTable>(std::string_view)> decodeConfiguration;
    std::function<boost::asio::awaitable<void>(transport::HttpExchange &, const OperatorApi &)>
            answerOperator;
    std::function<boost::asio::awaitable<void>(transport::HttpExchange &, const DirectoryApi &)>
            answerDirectory;
    std::function<boost::asio::awaitable<void>(transport::HttpExchange &, bool ready)>
            answerReadiness;
};

} // namespace lavenderthread::program
