// The message on the wire is a struct of its own, with plain numbers that are checked when read.
#include "protocol/RelayedRequest.h"

#include "protocol/Envelope.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace lavenderthread::protocol {

namespace {

constexpr std::string_view requestContext = "relayed-request";
constexpr std::string_view peerRetryHeader = "Relay-Retry-Ms";
constexpr unsigned firstClientError = 400;
constexpr unsigned firstServerError = 500;

constexpr std::array resultNames = {
        std::pair{PeerResult::Answer, std::string_view("answer")},
        std::pair{PeerResult::NotRun, std::string_view("not-run")},
        std::pair{PeerResult::Elsewhere, std::string_view("elsewhere")},
        std::pair{PeerResult::Unknown, std::string_view("unknown")},
};

struct Wire
{
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string route;
    std::uint8_t kind = 0;
    bool resumable = false;
    std::uint64_t firstAnswerTargetMs = 0;
    std::uint64_t pauseTargetMs = 0;
    state::ServiceName service;
    state::ClientAccountId account;
    std::uint64_t ageMs = 0;
    std::uint64_t timeLeftMs = 0;
    std::optional<std::uint64_t> resumeAfter;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->method, this->target, this->headers, this->body, this->route, this->kind,
                this->resumable, this->firstAnswerTargetMs, this->pauseTargetMs, this->service,
                this->account, this->ageMs, this->timeLeftMs, this->resumeAfter);
    }
};

std::uint64_t toWire(std::chrono::milliseconds time)
{
    return std::uint64_t(std::max<std::int64_t>(time.count(), 0));
}

// Durations of a request are far below a day; a larger number would overflow when added to a time.
std::optional<std::chrono::milliseconds> fromWire(std::uint64_t ms)
{
    constexpr std::uint64_t longestMs = 86'400'000;
    if (ms > longestMs)
        return std::nullopt;
    return std::chrono::milliseconds(ms);
}

} // namespace

std::string_view toString(PeerResult result)
{
    for (const auto &[value, name] : resultNames) {
        if (value == result)
            return name;
    }
    return "unknown";
}

std::optional<PeerResult> parsePeerResult(std::string_view text)
{
    for (const auto &[value, name] : resultNames) {
        if (name == text)
            return value;
    }
    return std::nullopt;
}

PeerAnswerHead readPeerAnswer(unsigned status, const HttpHeaders &headers)
{
    PeerAnswerHead head;
    // Without the header, the peer's listener has refused the message before its relay read it.
    const auto result = headers.find(peerResultHeader);
    if (result)
        head.result = parsePeerResult(*result).value_or(PeerResult::Unknown);
    else if (status >= firstClientError && status < firstServerError)
        head.result = PeerResult::Elsewhere;
    if (const auto after = headers.find(peerRetryHeader)) {
        std::uint64_t ms = 0;
        std::from_chars(after->data(), after->data() + after->size(), ms);
        head.retryAfter = fromWire(ms);
    }
    for (const auto &[name, value] : headers.fields()) {
        if (name != peerResultHeader && name != peerRetryHeader)
            head.headers.add(name, value);
    }
    return head;
}

HttpHeaders withPeerResult(const HttpHeaders &headers, PeerResult result,
                           std::optional<std::chrono::milliseconds> retryAfter)
{
    HttpHeaders all;
    all.add(std::string(peerResultHeader), std::string(toString(result)));
    if (retryAfter)
        all.add(std::string(peerRetryHeader), std::to_string(retryAfter->count()));
    for (const auto &[name, value] : headers.fields()) {
        if (name != peerResultHeader && name != peerRetryHeader)
            all.add(name, value);
    }
    return all;
}

std::string sealRelayedRequest(const SealKeys &keys, const RelayedRequest &relayed)
{
    Wire wire;
    wire.method = relayed.request.method;
    wire.target = relayed.request.target;
    wire.headers = relayed.request.headers.fields();
    wire.body = relayed.request.body;
    wire.route = relayed.route;
    wire.kind = static_cast<std::uint8_t>(relayed.kind);
    wire.resumable = relayed.resumable;
    wire.firstAnswerTargetMs = toWire(relayed.firstAnswerTarget);
    wire.pauseTargetMs = toWire(relayed.pauseTarget);
    wire.service = relayed.service;
    wire.account = relayed.account;
    wire.ageMs = toWire(relayed.age);
    wire.timeLeftMs = toWire(relayed.timeLeft);
    wire.resumeAfter = relayed.resumeAfter;
    return seal(keys, requestContext, encode(wire));
}

HttpRequest toPeerRequest(const SealKeys &keys, const RelayedRequest &relayed)
{
    HttpRequest request;
    request.method = "POST";
    request.target = std::string(peerRelayPath);
    request.headers.add("Content-Type", "application/octet-stream");
    request.body = sealRelayedRequest(keys, relayed);
    return request;
}

state::Result<RelayedRequest> unsealRelayedRequest(const SealKeys &keys, std::string_view bytes)
{
    BOOST_OUTCOME_TRY(const std::string opened, unseal(keys, requestContext, bytes));
    BOOST_OUTCOME_TRY(Wire wire, decode<Wire>(opened));
    const auto firstAnswerTarget = fromWire(wire.firstAnswerTargetMs);
    const auto pauseTarget = fromWire(wire.pauseTargetMs);
    const auto age = fromWire(wire.ageMs);
    const auto timeLeft = fromWire(wire.timeLeftMs);
    const bool valid = wire.kind <= static_cast<std::uint8_t>(state::routes::CallKind::Stream)
                       && firstAnswerTarget && pauseTarget && age && timeLeft;
    if (!valid)
        return state::makeError(state::ErrorCode::Corrupt, "message.decode", "value out of range");
    RelayedRequest relayed;
    relayed.request.method = std::move(wire.method);
    relayed.request.target = std::move(wire.target);
    for (auto &[name, value] : wire.headers)
        relayed.request.headers.add(std::move(name), std::move(value));
    relayed.request.body = std::move(wire.body);
    relayed.route = std::move(wire.route);
    relayed.kind = static_cast<state::routes::CallKind>(wire.kind);
    relayed.resumable = wire.resumable;
    relayed.firstAnswerTarget = *firstAnswerTarget;
    relayed.pauseTarget = *pauseTarget;
    relayed.service = std::move(wire.service);
    relayed.account = std::move(wire.account);
    relayed.age = *age;
    relayed.timeLeft = *timeLeft;
    relayed.resumeAfter = wire.resumeAfter;
    return relayed;
}

} // namespace lavenderthread::protocol
