// What became of a relayed request and of its attempts, for logs and metrics.
#pragma once

#include "state/Address.h"
#include "state/Ids.h"
#include "state/RequestPart.h"
#include "state/Time.h"
#include "transport/AnswerReport.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lavenderthread::program {

// Result of a relayed request, for the log and the metrics.
struct RelayOutcome
{
    state::RequestId id;
    std::string route;
    state::ClientAccountId account;
    state::ServiceName service;
    state::EndpointId endpoint;      // of the last attempt
    std::uint64_t configuration = 0; // version of the routes that were used
    std::uint32_t promptTokens = 0;
    std::vector<state::RequestPart> promptParts; // as in RelayRequest
    unsigned status = 0;                         // 0: the caller had disconnected
    unsigned attempts = 0;
    state::Address address;              // of the last attempt's endpoint
    std::vector<state::Address> helpers; // of the last attempt
    state::Address via;                  // peer that the last attempt went through; port 0: none
    std::string forPeer;                 // peer that handed the request over; empty: none
    bool whole = false;
    bool resumed = false;
    std::string reason; // of a failure or refusal
    state::Duration firstAnswer{};
    state::Duration predictedFirst{}; // as estimated by the last placement
    state::Duration longestPause{};   // between two writes of a stream to the caller
    state::Duration total{};
    transport::AnswerReport answer; // of the last attempt
    unsigned answerStatus = 0;      // of that answer; 0: none
    std::uint64_t passedEvents = 0; // of a stream, by all attempts together
    bool answerNamesRequest = true; // by its id; of the last attempt at an endpoint
};

// What an attempt has brought so far.
struct AttemptProgress
{
    state::Instant sentAt;       // when it began to connect
    state::Instant firstEventAt; // Instant{}: no event yet
    std::uint64_t events = 0;    // reads that brought complete events
    // The endpoint or the network has ended the connection, before the end of the answer.
    bool connectionEnded = false;
};

} // namespace lavenderthread::program
