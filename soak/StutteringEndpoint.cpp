#include "StutteringEndpoint.h"

#include "transport/Await.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <fcntl.h>

#include <array>
#include <sstream>
#include <utility>

namespace lavenderthread::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t events = 8; // of every stream
constexpr milliseconds workTime{5};
constexpr milliseconds partPause{2};
// The entry has read what was sent by then.
constexpr milliseconds beforeReset{60};
constexpr std::array secondAnswerDelays{milliseconds(0), milliseconds(50), milliseconds(200)};
constexpr std::array unnamedStatuses{400U, 404U, 421U, 500U};
// Successes and others without events, which could be taken for the rest of a stream.
constexpr std::array likelyResumes{200U, 201U, 204U, 205U, 206U, 304U};
constexpr unsigned leastFinalStatus = 200;
constexpr unsigned finalStatuses = 400; // 200 to 599
constexpr std::array<std::string_view, 3> resumeTypes{"Content-Type: text/event-stream\r\n",
                                                      "Content-Type: application/json\r\n", ""};
constexpr std::string_view errorText = "an error of the endpoint";
constexpr std::uint64_t largestRequest = 64U << 20U;

template <std::size_t size, typename Value>
Value drawFrom(const std::array<Value, size> &values, std::mt19937_64 &random)
{
    return values[random() % size];
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

std::string join(const std::vector<std::string> &parts)
{
    std::string all;
    for (const std::string &part : parts)
        all += part;
    return all;
}

// Two thirds of the body: of the events, or of the only part.
std::vector<std::string> brokenOff(std::vector<std::string> parts)
{
    if (parts.size() > 2)
        parts.resize(parts.size() * 2 / 3);
    else
        parts.back().resize(parts.back().size() * 2 / 3);
    return parts;
}

// The same, or inside the last part of that.
std::vector<std::string> brokenOffAnywhere(std::vector<std::string> parts, std::mt19937_64 &random)
{
    parts = brokenOff(std::move(parts));
    if (random() % 2 == 0 && parts.size() > 2)
        parts.back().resize(random() % parts.back().size());
    return parts;
}

// False: the connection has ended.
asio::awaitable<bool> send(tcp::socket &socket, std::string bytes)
{
    const auto [problem, sent] = co_await asio::async_write(socket, asio::buffer(bytes),
                                                            asio::as_tuple(asio::use_awaitable));
    co_return !problem;
}

asio::awaitable<bool> sendParts(tcp::socket &socket, std::vector<std::string> parts)
{
    for (const std::string &part : parts) {
        const bool sent = co_await send(socket, part);
        if (!sent)
            co_return false;
        co_await transport::pause(partPause);
    }
    co_return true;
}

asio::awaitable<void> reset(tcp::socket &socket)
{
    co_await transport::pause(beforeReset);
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

state::Address addressOf(const tcp::endpoint &endpoint)
{
    return {endpoint.address().to_string(), endpoint.port()};
}

} // namespace

std::string_view toString(AnswerFault fault)
{
    switch (fault) {
    case AnswerFault::None:
        return "sound";
    case AnswerFault::SecondAnswer:
        return "second-answer";
    case AnswerFault::OtherFirst:
        return "other-first";
    case AnswerFault::FailureFirst:
        return "failure-first";
    case AnswerFault::InterimOfOther:
        return "interim-of-other";
    case AnswerFault::Reset:
        return "reset";
    case AnswerFault::ResetEarly:
        return "reset-early";
    case AnswerFault::UnnamedFailure:
        return "unnamed-failure";
    case AnswerFault::AnsweredAgain:
        return "answered-again";
    case AnswerFault::FailsMidway:
        return "fails-midway";
    case AnswerFault::FailedResume:
        return "failed-resume";
    }
    return "";
}

std::string_view toString(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunks:
        return "chunks";
    case BodyFraming::Connection:
        return "connection";
    }
    return "";
}

struct StutteringEndpoint::Call
{
    std::string id;
    std::uint64_t firstEvent = 1;
    AnswerFault fault = AnswerFault::None;
    BodyFraming framing = BodyFraming::Length;
};

StutteringEndpoint::StutteringEndpoint(asio::io_context &context, Settings chosen, Hooks hooks,
                                       Ledger &ledger)
    : context(context)
    , settings(std::move(chosen))
    , hooks(std::move(hooks))
    , ledger(ledger)
    , random(this->settings.seed)
    , acceptor(context,
               {asio::ip::make_address(this->settings.listen.ip), this->settings.listen.port})
{
    ::fcntl(this->acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
}

void StutteringEndpoint::start()
{
    asio::co_spawn(this->context, this->acceptAll(), asio::detached);
}

asio::awaitable<void> StutteringEndpoint::acceptAll()
{
    const auto self = this->shared_from_this();
    while (true) {
        auto [problem, socket] =
                co_await this->acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (problem)
            co_return;
        boost::system::error_code gone;
        const tcp::endpoint from = socket.remote_endpoint(gone);
        if (!gone && !this->hooks.refuses(addressOf(from), this->settings.listen))
            asio::co_spawn(this->context, this->serve(std::move(socket)), asio::detached);
    }
}

AnswerFault StutteringEndpoint::drawFault(bool isLong, bool isResumed)
{
    if (std::uniform_real_distribution<double>(0, 1)(this->random) >= this->settings.spoiledShare)
        return AnswerFault::None;
    if (isLong)
        return AnswerFault::ResetEarly;
    if (isResumed && this->random() % 2 == 0)
        return AnswerFault::FailedResume;
    constexpr std::array faults{AnswerFault::SecondAnswer,   AnswerFault::SecondAnswer,
                                AnswerFault::OtherFirst,     AnswerFault::FailureFirst,
                                AnswerFault::InterimOfOther, AnswerFault::Reset,
                                AnswerFault::UnnamedFailure, AnswerFault::AnsweredAgain,
                                AnswerFault::AnsweredAgain,  AnswerFault::FailsMidway};
    return drawFrom(faults, this->random);
}

BodyFraming StutteringEndpoint::drawFraming()
{
    constexpr std::array framings{BodyFraming::Length, BodyFraming::Chunks,
                                  BodyFraming::Connection};
    return drawFrom(framings, this->random);
}

// The second answer may also be one more to the same request.
std::string StutteringEndpoint::drawOtherId(const Call &call)
{
    return this->random() % 2 == 0 ? call.id : "0-another-" + std::to_string(this->random());
}

// The head, the parts of the body, and its end, as they are sent.
std::vector<std::string> StutteringEndpoint::answerParts(const Call &call, const std::string &id,
                                                         unsigned status)
{
    std::vector<std::string> body;
    if (this->settings.engine && status == 200) {
        for (std::uint64_t event = call.firstEvent; event <= events; ++event)
            body.push_back(expectedEvent(id, event));
    } else {
        body.push_back(expectedBody(id));
    }
    std::string head = "HTTP/1.1 " + std::to_string(status) + " Some Reason\r\nRequest-Id: " + id
                       + "\r\nResponse-Seal: seal\r\nContent-Type: "
                       + (this->settings.engine ? "text/event-stream" : "application/json");
    std::vector<std::string> parts;
    switch (call.framing) {
    case BodyFraming::Length:
        head += "\r\nContent-Length: " + std::to_string(join(body).size());
        break;
    case BodyFraming::Chunks:
        head += "\r\nTransfer-Encoding: chunked";
        for (std::string &part : body)
            part = chunk(part);
        body.emplace_back("0\r\n\r\n");
        break;
    case BodyFraming::Connection:
        head += "\r\nConnection: close";
        break;
    }
    parts.push_back(head + "\r\n\r\n");
    parts.insert(parts.end(), body.begin(), body.end());
    return parts;
}

// Any status, framing and type, with no events that follow unless status or type tell that they
// belong to no stream.
std::string StutteringEndpoint::drawWrongResume(const Call &call)
{
    const unsigned status = this->random() % 2 == 0
                                    ? drawFrom(likelyResumes, this->random)
                                    : leastFinalStatus + this->random() % finalStatuses;
    const std::size_t type = this->random() % resumeTypes.size();
    const bool isStream = status == 200 && type == 0;
    std::string body;
    switch (this->random() % 4) {
    case 0:
        break;
    case 1:
        body = errorText;
        break;
    case 2:
        body = std::string(errorText) + "\n\n";
        break;
    default: {
        const std::uint64_t last = isStream ? call.firstEvent - 2 : events;
        for (std::uint64_t event = 1; event <= last; ++event)
            body += expectedEvent(call.id, event);
    }
    }
    if (isStream && body.empty() && call.framing == BodyFraming::Chunks)
        body = std::string(errorText) + "\n\n"; // empty, it would say that nothing is left
    std::string head = "HTTP/1.1 " + std::to_string(status)
                       + " Some Reason\r\nRequest-Id: " + call.id + "\r\nResponse-Seal: seal\r\n"
                       + std::string(resumeTypes.at(type));
    switch (call.framing) {
    case BodyFraming::Length:
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    case BodyFraming::Chunks:
        return head + "Transfer-Encoding: chunked\r\n\r\n"
               + (body.empty() ? std::string() : chunk(body)) + "0\r\n\r\n";
    case BodyFraming::Connection:
        break;
    }
    return head + "Connection: close\r\n\r\n" + body;
}

asio::awaitable<void> StutteringEndpoint::serve(tcp::socket socket)
{
    const auto self = this->shared_from_this();
    boost::beast::flat_buffer buffer;
    http::request_parser<http::string_body> parser;
    parser.body_limit(largestRequest);
    const auto [headProblem, headBytes] = co_await http::async_read_header(
            socket, buffer, parser, asio::as_tuple(asio::use_awaitable));
    if (headProblem)
        co_return;
    const auto &head = parser.get();
    Call call;
    call.id = std::string(head["Request-Id"]);
    if (call.id.empty()) { // a probe or an order
        co_await send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        co_return;
    }
    if (!head["Last-Event-Id"].empty())
        call.firstEvent = std::stoull(std::string(head["Last-Event-Id"])) + 1;
    if (head["Expect-Instance"] != this->hooks.instance()) {
        co_await send(socket, "HTTP/1.1 421 Misdirected\r\nRequest-Id: " + call.id
                                      + "\r\nContent-Length: 0\r\n\r\n");
        co_return;
    }
    const std::string target(head.target());
    const bool isLong = parser.content_length().value_or(0) > longRequest;
    call.fault = this->drawFault(isLong, call.firstEvent > 1);
    call.framing =
            call.fault == AnswerFault::ResetEarly ? BodyFraming::Connection : this->drawFraming();
    if (call.fault != AnswerFault::ResetEarly) {
        const auto [bodyProblem, bodyBytes] = co_await http::async_read(
                socket, buffer, parser, asio::as_tuple(asio::use_awaitable));
        if (bodyProblem)
            co_return;
    }
    this->ledger.ran(call.id, !target.starts_with("/post/"));
    this->hooks.answered(call.id, call.fault, call.framing);
    co_await transport::pause(workTime);
    co_await this->spoil(socket, call);
}

asio::awaitable<void> StutteringEndpoint::spoil(tcp::socket &socket, const Call &call)
{
    std::vector<std::string> own = this->answerParts(call, call.id, 200);
    const std::string otherId = this->drawOtherId(call);
    const std::vector<std::string> other = this->answerParts(call, otherId, 200);
    switch (call.fault) {
    case AnswerFault::None:
        co_await sendParts(socket, std::move(own));
        break;
    case AnswerFault::SecondAnswer: {
        const bool sent = co_await sendParts(socket, std::move(own));
        if (!sent)
            break;
        co_await transport::pause(drawFrom(secondAnswerDelays, this->random));
        co_await sendParts(socket, other);
        break;
    }
    case AnswerFault::OtherFirst: {
        std::vector<std::string> parts = this->answerParts(call, call.id + "0", 200);
        parts.insert(parts.end(), own.begin(), own.end());
        co_await sendParts(socket, std::move(parts));
        break;
    }
    case AnswerFault::FailureFirst: {
        std::vector<std::string> parts = this->answerParts(call, call.id, 500);
        parts.insert(parts.end(), own.begin(), own.end());
        co_await sendParts(socket, std::move(parts));
        break;
    }
    case AnswerFault::InterimOfOther:
        own.front().insert(0, "HTTP/1.1 103 Early Hints\r\nRequest-Id: 0-another\r\n\r\n");
        co_await sendParts(socket, std::move(own));
        break;
    case AnswerFault::Reset:
    case AnswerFault::ResetEarly: {
        co_await sendParts(socket, brokenOff(std::move(own)));
        co_await reset(socket);
        break;
    }
    case AnswerFault::AnsweredAgain:
    case AnswerFault::FailsMidway: {
        std::vector<std::string> next = call.fault == AnswerFault::FailsMidway
                                                ? this->answerParts(call, call.id, 500)
                                                : own;
        const bool sent = co_await sendParts(socket, brokenOffAnywhere(own, this->random));
        if (!sent)
            break;
        co_await transport::pause(drawFrom(secondAnswerDelays, this->random));
        co_await sendParts(socket, std::move(next));
        break;
    }
    case AnswerFault::FailedResume: {
        co_await send(socket, this->drawWrongResume(call));
        break;
    }
    case AnswerFault::UnnamedFailure: {
        const unsigned status = drawFrom(unnamedStatuses, this->random);
        co_await send(socket, "HTTP/1.1 " + std::to_string(status)
                                      + " Some Reason\r\nContent-Length: "
                                      + std::to_string(failureOfAnother.size()) + "\r\n\r\n"
                                      + std::string(failureOfAnother));
        break;
    }
    }
}

} // namespace lavenderthread::soak
