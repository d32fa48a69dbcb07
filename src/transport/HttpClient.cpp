// Client side of HTTP with the library's stream timeouts; every wait is bounded.
#include "transport/HttpClient.h"

#include "transport/AnswerComparison.h"
#include "transport/BeastConversion.h"
#include "transport/HttpCallParts.h"
#include "transport/MonotonicClock.h"

#include "state/FieldText.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <memory>
#include <utility>

namespace lavenderthread::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t readPieceBytes = 64U << 10U;
constexpr std::chrono::milliseconds receivedCheckInterval{2};
// A next answer that was made already comes within a few round trips.
constexpr std::chrono::milliseconds comparisonTimeout{500};

state::Error cancelledBefore(std::string_view step, const state::Address &peer)
{
    return state::makeError(state::ErrorCode::Cancelled, std::string(step),
                            "the call was withdrawn", peer.toString());
}

state::Error endedWhileSending(const beast::error_code &sendProblem, const state::Address &peer)
{
    const std::string text = "the answer ended while the request was being sent";
    if (!sendProblem)
        return state::makeError(state::ErrorCode::Unavailable, std::string(receiveStep), text,
                                peer.toString());
    return state::makeError(callError(sendProblem, receiveStep, peer).code,
                            std::string(receiveStep), text + ": " + sendProblem.message(),
                            peer.toString());
}

// Whether something that was written has not reached the peer's system.
bool hasUnreceivedBytes(tcp::socket &socket)
{
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

beast::error_code takeError(tcp::socket &socket)
{
    int problem = 0;
    socklen_t size = sizeof(problem);
    if (::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &problem, &size) != 0)
        problem = 0;
    return {problem, boost::system::system_category()};
}

using UnacknowledgedTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

bool isUnseen(const state::Error &error)
{
    return error.step == encodeStep || error.step == connectStep || error.step == beforeSendStep;
}

state::Error callError(const beast::error_code &problem, std::string_view step,
                       const state::Address &peer)
{
    state::ErrorCode code = state::ErrorCode::Unavailable;
    if (problem == beast::error::timeout)
        code = state::ErrorCode::Timeout;
    else if (problem == asio::error::operation_aborted)
        code = state::ErrorCode::Cancelled;
    return state::makeError(code, std::string(step), problem.message(), peer.toString());
}

state::Error answerTooLarge(const state::Address &peer)
{
    return state::makeError(state::ErrorCode::Corrupt, std::string(receiveStep),
                            "the answer is larger than allowed", peer.toString());
}

state::Result<http::request<http::string_body>> toBeastRequest(protocol::HttpRequest request,
                                                               const state::Address &peer)
{
    // The library writes texts as they are.
    const std::string_view wrong = !state::isToken(request.method)           ? "the method"
                                   : !state::isRequestTarget(request.target) ? "the target"
                                   : !hasWritableFields(request.headers)     ? "a header field"
                                                                             : "";
    if (!wrong.empty())
        return state::makeError(state::ErrorCode::InvalidArgument, std::string(encodeStep),
                                std::string(wrong) + " has characters that can't stand there",
                                peer.toString());
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(httpVersion);
    addHeaders(message, request.headers);
    if (message.find(http::field::host) == message.end())
        message.set(http::field::host, peer.toString());
    message.keep_alive(false);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

asio::awaitable<state::Result<void>> connectStream(beast::tcp_stream &stream, state::Address peer,
                                                   HttpCallLimits limits)
{
    beast::error_code addressProblem;
    const auto ip = asio::ip::make_address(peer.ip, addressProblem);
    if (addressProblem)
        co_return callError(addressProblem, connectStep, peer);
    stream.expires_after(limits.connectTimeout);
    auto [connectProblem] = co_await stream.async_connect(tcp::endpoint(ip, peer.port),
                                                          asio::as_tuple(asio::use_awaitable));
    if (connectProblem)
        co_return callError(connectProblem, connectStep, peer);
    beast::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    if (limits.unacknowledgedTimeout.count() > 0) {
        const int ms = static_cast<int>(limits.unacknowledgedTimeout.count());
        stream.socket().set_option(UnacknowledgedTimeout(ms), ignored);
    }
    co_return state::outcome::success();
}

// Lets the call, and nobody else, set what cancel() closes.
struct HttpCallAccess
{
    static void attach(HttpCallHandle &handle, std::function<void()> close)
    {
        handle.close = std::move(close);
    }
};

void HttpCallHandle::cancel()
{
    this->cancelled = true;
    if (const auto closing = std::exchange(this->close, {}))
        closing();
}

struct HttpAnswerStream::State
{
    using Parser = http::response_parser<http::buffer_body>;

    State(const asio::any_io_executor &executor, state::Address peer, ClassifyHead classifyHead)
        : stream(executor)
        , written(executor)
        , peer(std::move(peer))
        , classifyHead(std::move(classifyHead))
        , nextAnswer([this](const protocol::HttpHeaders &headers) {
            return this->classifyNext(headers);
        })
    {
        this->renewParser();
    }

    // A document with a length or chunks may quote answers to other requests: its framing tells
    // where it ends.
    std::optional<NextAnswer> classifyNext(const protocol::HttpHeaders &headers) const
    {
        const auto next = this->classifyHead(headers);
        const bool quoted = next == NextAnswer::OtherRequest && !this->parser->need_eof();
        return quoted ? std::nullopt : next;
    }

    Parser &renewParser()
    {
        this->parser = std::make_unique<Parser>();
        this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        // Take all that has arrived in one go: tokens come as many small chunks.
        this->parser->eager(true);
        this->parser->skip(this->isHead());
        return *this->parser;
    }

    bool isHead() const { return this->message.method() == http::verb::head; }

    // Whatever length the answer names.
    bool isWithoutBody() const
    {
        const http::status status = this->parser->get().result();
        return this->isHead() || status == http::status::no_content
               || status == http::status::not_modified;
    }

    // Bytes of the body, as many as have arrived; none at its end.
    asio::awaitable<state::Result<std::string>> receive()
    {
        auto &body = this->parser->get().body();
        body.data = this->piece.data();
        body.size = this->piece.size();
        auto [problem, bytes] = co_await http::async_read_some(
                this->stream, this->buffer, *this->parser, asio::as_tuple(asio::use_awaitable));
        if (problem && problem != http::error::need_buffer)
            co_return callError(problem, receiveStep, this->peer);
        co_return this->piece.substr(0, this->piece.size() - body.size);
    }

    AnswerComparison &comparisonOfAnswers()
    {
        if (!this->comparison)
            this->comparison.emplace(this->parser->get().result_int());
        return *this->comparison;
    }

    // Reads on in the next answer until it shows whether the first one broke off.
    asio::awaitable<void> compareWithNextAnswer(std::chrono::milliseconds timeout)
    {
        AnswerComparison &answers = this->comparisonOfAnswers();
        answers.addNext(this->nextAnswer.takeNextAnswer());
        const state::Instant end = monotonicNow() + std::min(timeout, comparisonTimeout);
        while (!answers.isDecided() && !this->parser->is_done()) {
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - monotonicNow());
            if (left.count() <= 0)
                break;
            this->stream.expires_after(left);
            const state::Result<std::string> bytes = co_await this->receive();
            if (!bytes)
                break;
            answers.addNext(bytes.value());
        }
    }

    // Until the whole request has reached the peer's system, or can't: what only waits in this one
    // is lost if the peer has closed the connection.
    asio::awaitable<void> waitUntilReceived(std::chrono::milliseconds timeout)
    {
        const auto end = std::chrono::steady_clock::now() + timeout;
        this->written.expires_at(end);
        if (!this->sent && !this->sendProblem)
            co_await this->written.async_wait(asio::as_tuple(asio::use_awaitable));
        while (this->sent && hasUnreceivedBytes(this->stream.socket())
               && std::chrono::steady_clock::now() < end) {
            this->sendProblem = takeError(this->stream.socket());
            if (this->sendProblem)
                break;
            this->written.expires_after(receivedCheckInterval);
            co_await this->written.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        if (this->sent && !this->sendProblem)
            this->sendProblem = takeError(this->stream.socket());
    }

    beast::tcp_stream stream;
    asio::steady_timer written; // cancelled once the write of the request has ended
    state::Address peer;
    beast::flat_buffer buffer{readAheadBytes};
    std::unique_ptr<Parser> parser; // never null
    std::string piece = std::string(readPieceBytes, '\0');
    http::request<http::string_body> message;
    std::shared_ptr<HttpCallHandle> handle;
    ClassifyHead classifyHead;
    NextAnswerDetector nextAnswer;
    std::optional<AnswerComparison> comparison; // of a body with neither a length nor chunks
    std::uint64_t bodyBytes = 0;                // read so far
    AnswerEnd end = AnswerEnd::Open;
    std::optional<state::Error> failure; // of an earlier read
    bool sent = false;                   // the whole request
    beast::error_code sendProblem;
};

HttpAnswerStream::HttpAnswerStream(std::shared_ptr<State> state)
    : state(std::move(state))
{}

HttpAnswerStream::HttpAnswerStream(HttpAnswerStream &&) noexcept = default;
HttpAnswerStream &HttpAnswerStream::operator=(HttpAnswerStream &&) noexcept = default;
HttpAnswerStream::~HttpAnswerStream()
{
    if (!this->state)
        return;
    if (this->state->handle)
        HttpCallAccess::attach(*this->state->handle, {});
    this->state->stream.close(); // ends a write that the peer has not read
}

unsigned HttpAnswerStream::status() const
{
    return this->state->parser->get().result_int();
}

protocol::HttpHeaders HttpAnswerStream::headers() const
{
    return toHeaders(this->state->parser->get());
}

bool HttpAnswerStream::endsWithConnection() const
{
    return this->state->parser->need_eof();
}

std::optional<std::uint64_t> HttpAnswerStream::declaredLength() const
{
    const auto length = this->state->parser->content_length();
    return length && !this->state->isWithoutBody() ? std::optional<std::uint64_t>(*length)
                                                   : std::nullopt;
}

AnswerReport HttpAnswerStream::report() const
{
    const State &my = *this->state;
    AnswerReport report;
    if (my.parser->is_header_done()) {
        report.framing = my.isWithoutBody()           ? AnswerFraming::NoBody
                         : my.parser->chunked()       ? AnswerFraming::Chunks
                         : this->declaredLength()     ? AnswerFraming::Length
                         : this->endsWithConnection() ? AnswerFraming::Connection
                                                      : AnswerFraming::NoBody;
        report.declaredBytes = this->declaredLength();
    }
    report.bodyBytes = my.bodyBytes;
    report.end = my.end;
    report.requestSent = my.sent;
    report.nextAnswer = my.nextAnswer.found().has_value();
    return report;
}

asio::awaitable<state::Result<std::optional<std::string>>>
HttpAnswerStream::read(std::chrono::milliseconds timeout)
{
    State &my = *this->state;
    // A later read on a connection that was reset would see an orderly end.
    if (my.failure)
        co_return *my.failure;
    my.stream.expires_after(timeout);
    const bool isUnframed = this->endsWithConnection();
    while (!my.parser->is_done() && !my.nextAnswer.found()) {
        const state::Result<std::string> received = co_await my.receive();
        if (!received) {
            my.end = AnswerEnd::Broken;
            my.failure = received.error();
            co_return *my.failure;
        }
        std::string piece = my.nextAnswer.append(received.value());
        my.bodyBytes += piece.size();
        if (isUnframed)
            my.comparisonOfAnswers().addFirst(piece);
        if (!piece.empty())
            co_return std::optional<std::string>(std::move(piece));
    }
    if (isUnframed)
        co_await my.waitUntilReceived(timeout);
    if (isUnframed && my.nextAnswer.found() == NextAnswer::SameRequest)
        co_await my.compareWithNextAnswer(timeout);
    state::Result<std::optional<std::string>> last =
            isUnframed ? this->readEndOfConnection() : this->readEndOfFrame();
    if (!last)
        my.failure = last.error();
    co_return last;
}

state::Result<std::optional<std::string>> HttpAnswerStream::readEndOfFrame()
{
    State &my = *this->state;
    const auto behind = my.buffer.data();
    std::string rest =
            my.nextAnswer.finishFramed({static_cast<const char *>(behind.data()), behind.size()});
    if (my.nextAnswer.found())
        return this->brokenOff("the answer broke off: the next one begins in its body");
    my.end = AnswerEnd::Framed;
    return this->lastPiece(std::move(rest));
}

state::Result<std::optional<std::string>> HttpAnswerStream::readEndOfConnection()
{
    State &my = *this->state;
    my.end = AnswerEnd::Broken;
    // A socket reports a reset once, and later reads see an orderly end. While the request is being
    // sent, that report goes to the write.
    if (!my.sent || my.sendProblem || hasUnreceivedBytes(my.stream.socket()))
        return endedWhileSending(my.sendProblem, my.peer);
    std::string rest = my.nextAnswer.finish();
    if (my.nextAnswer.found() == NextAnswer::OtherRequest)
        return this->brokenOff("another answer begins in the body");
    if (my.comparison && my.comparison->firstBrokeOff())
        return this->brokenOff("the answer broke off: the next one goes on, or reports a failure");
    my.end = my.nextAnswer.found() ? AnswerEnd::Repeated : AnswerEnd::Closed;
    return this->lastPiece(std::move(rest));
}

state::Error HttpAnswerStream::brokenOff(const char *how)
{
    this->state->end = AnswerEnd::Broken;
    return state::makeError(state::ErrorCode::Corrupt, std::string(receiveStep), how,
                            this->state->peer.toString());
}

std::optional<std::string> HttpAnswerStream::lastPiece(std::string rest)
{
    this->state->bodyBytes += rest.size();
    return rest.empty() ? std::nullopt : std::optional<std::string>(std::move(rest));
}

void HttpAnswerStream::close()
{
    this->state->stream.close();
}

asio::awaitable<state::Result<HttpAnswerStream>>
openHttpStream(asio::any_io_executor executor, state::Address peer, protocol::HttpRequest request,
               HttpCallLimits limits, BeforeSend beforeSend, std::shared_ptr<HttpCallHandle> handle)
{
    auto call = std::make_shared<HttpAnswerStream::State>(std::move(executor), peer,
                                                          limits.classifyHead);
    HttpAnswerStream answer(call); // closes the connection on every way out
    if (handle && handle->isCancelled())
        co_return cancelledBefore(connectStep, peer);
    auto message = toBeastRequest(std::move(request), peer);
    if (!message)
        co_return message.error();
    call->message = std::move(message.value());
    if (handle) {
        call->handle = handle;
        HttpCallAccess::attach(*handle, [weak = std::weak_ptr(call)] {
            if (const auto open = weak.lock())
                open->stream.close();
        });
    }
    const state::Result<void> connected = co_await connectStream(call->stream, peer, limits);
    if (!connected)
        co_return connected.error();
    if (handle && handle->isCancelled())
        co_return cancelledBefore(connectStep, peer);

    if (beforeSend) {
        call->stream.expires_never();
        const bool go = co_await beforeSend();
        if (!go)
            co_return cancelledBefore(beforeSendStep, peer);
    }
    call->stream.expires_after(limits.timeout);
    // Reading begins at once: a peer may answer a large request before it has read it all, and
    // would otherwise wait for this side to read while this side waits for it to read.
    http::async_write(call->stream, call->message,
                      [call](const beast::error_code &problem, std::size_t) {
                          call->sent = !problem;
                          call->sendProblem = problem;
                          call->written.cancel();
                      });
    const std::function<HttpAnswerStream::State::Parser &()> renewParser =
            std::bind_front(&HttpAnswerStream::State::renewParser, call);
    const beast::error_code headProblem =
            co_await readFinalHead(call->stream, call->buffer, renewParser);
    if (headProblem) {
        const bool sending =
                call->sendProblem && call->sendProblem != asio::error::operation_aborted;
        co_return callError(sending ? call->sendProblem : headProblem,
                            sending ? sendStep : receiveStep, peer);
    }
    co_return std::move(answer);
}

asio::awaitable<state::Result<protocol::HttpResponse>>
httpCall(asio::any_io_executor executor, state::Address peer, protocol::HttpRequest request,
         HttpCallLimits limits, BeforeSend beforeSend, std::shared_ptr<HttpCallHandle> handle)
{
    state::Result<HttpAnswerStream> opened =
            co_await openHttpStream(std::move(executor), peer, std::move(request), limits,
                                    std::move(beforeSend), std::move(handle));
    if (!opened)
        co_return opened.error();
    HttpAnswerStream &stream = opened.value();
    protocol::HttpResponse response{stream.status(), stream.headers(), {}};
    const std::uint64_t declared = stream.declaredLength().value_or(0);
    if (declared > limits.bodyBytes || !limits.mayKeep(declared))
        co_return answerTooLarge(peer);
    const state::Instant end = monotonicNow() + limits.timeout;
    while (true) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - monotonicNow());
        if (left.count() <= 0)
            co_return state::makeError(state::ErrorCode::Timeout, std::string(receiveStep),
                                       "the answer did not end in time", peer.toString());
        state::Result<std::optional<std::string>> piece = co_await stream.read(left);
        if (!piece)
            co_return piece.error();
        if (!piece.value())
            co_return response;
        response.body += *piece.value();
        if (response.body.size() > limits.bodyBytes || !limits.mayKeep(response.body.size()))
            co_return answerTooLarge(peer);
    }
}

} // namespace lavenderthread::transport
