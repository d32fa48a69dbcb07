// A caller's request that one entry hands to another because it has no path of its own to the
// service: a sealed cereal message, sent with POST to peerRelayPath at the peer's entry address.
// The answer is the endpoint's, with one header more that tells how the attempt ended.
#pragma once

#include "protocol/HttpMessage.h"
#include "protocol/Seal.h"
#include "state/Error.h"
#include "state/Ids.h"
#include "state/routes/Route.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderthread::protocol {

constexpr std::string_view peerRelayPath = "/v1/peer/relay";
// Header of the peer's answer, with one of the values below.
constexpr std::string_view peerResultHeader = "Relay-Result";

enum class PeerResult : std::uint8_t {
    Answer,    // the endpoint's answer follows unchanged
    NotRun,    // no endpoint has run the request, and other peers would refuse it too
    Elsewhere, // the same, but another peer may be able to serve it
    Unknown,   // an endpoint may have run it
};

std::string_view toString(PeerResult result);
std::optional<PeerResult> parsePeerResult(std::string_view text);

// The decisions of the entry that took the request are part of the message, so that it is handled
// under one configuration. The peer only chooses the endpoint.
struct RelayedRequest
{
    HttpRequest request; // as the caller sent it
    std::string route;
    state::routes::CallKind kind = state::routes::CallKind::NonIdempotent;
    bool resumable = false;
    std::chrono::milliseconds firstAnswerTarget{};
    std::chrono::milliseconds pauseTarget{};
    state::ServiceName service;
    state::ClientAccountId account;           // empty: none
    std::chrono::milliseconds age{};          // since it arrived at the entry
    std::chrono::milliseconds timeLeft{};     // until its deadline
    std::optional<std::uint64_t> resumeAfter; // last event that the caller has

    bool operator==(const RelayedRequest &) const = default;
};

// The head of a peer's answer, decoded.
struct PeerAnswerHead
{
    PeerResult result = PeerResult::Unknown;
    HttpHeaders headers;                                 // those for the caller
    std::optional<std::chrono::milliseconds> retryAfter; // of a refusal
};

PeerAnswerHead readPeerAnswer(unsigned status, const HttpHeaders &headers);
// The headers of a peer's answer: those given, after its own, whatever an endpoint has sent.
HttpHeaders withPeerResult(const HttpHeaders &headers, PeerResult result,
                           std::optional<std::chrono::milliseconds> retryAfter);

std::string sealRelayedRequest(const SealKeys &keys, const RelayedRequest &relayed);
// As a peer's listener takes it.
HttpRequest toPeerRequest(const SealKeys &keys, const RelayedRequest &relayed);
// Errors: Unauthorized, Unsupported, Corrupt.
state::Result<RelayedRequest> unsealRelayedRequest(const SealKeys &keys, std::string_view bytes);

} // namespace lavenderthread::protocol
