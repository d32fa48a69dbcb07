// Client side of HTTP with the library's stream timeouts; every wait is bounded.
#include "transport/HttpClient.h"

#include "transport/BeastConversion.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <limits>
#include <utility>

namespace lavenderthread::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t readPieceBytes = 64U << 10U;

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

http::request<http::string_body> toBeastRequest(protocol::HttpRequest request,
                                                const state::Address &peer)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(httpVersion);
    addHeaders(message, request.headers);
    message.set(http::field::host, peer.toString());
    message.keep_alive(false);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

} // namespace

struct HttpAnswerStream::State
{
    State(asio::any_io_executor executor, state::Address peer)
        : stream(std::move(executor))
        , peer(std::move(peer))
    {
        this->parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        // Take all that has arrived in one go: tokens come as many small chunks.
        this->parser.eager(true);
    }

    beast::tcp_stream stream;
    state::Address peer;
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    std::string piece = std::string(readPieceBytes, '\0');
};

HttpAnswerStream::HttpAnswerStream(std::unique_ptr<State> state)
    : state(std::move(state))
{}

HttpAnswerStream::HttpAnswerStream(HttpAnswerStream &&) noexcept = default;
HttpAnswerStream &HttpAnswerStream::operator=(HttpAnswerStream &&) noexcept = default;
HttpAnswerStream::~HttpAnswerStream() = default;

unsigned HttpAnswerStream::status() const
{
    return this->state->parser.get().result_int();
}

protocol::HttpHeaders HttpAnswerStream::headers() const
{
    return toHeaders(this->state->parser.get());
}

asio::awaitable<state::Result<std::optional<std::string>>>
HttpAnswerStream::read(std::chrono::milliseconds timeout)
{
    State &my = *this->state;
    my.stream.expires_after(timeout);
    while (!my.parser.is_done()) {
        auto &body = my.parser.get().body();
        body.data = my.piece.data();
        body.size = my.piece.size();
        auto [problem, bytes] = co_await http::async_read_some(my.stream, my.buffer, my.parser,
                                                               asio::as_tuple(asio::use_awaitable));
        const std::size_t got = my.piece.size() - body.size;
        if (problem && problem != http::error::need_buffer)
            co_return callError(problem, receiveStep, my.peer);
        if (got > 0)
            co_return std::optional<std::string>(my.piece.substr(0, got));
    }
    co_return std::optional<std::string>();
}

void HttpAnswerStream::close()
{
    this->state->stream.close();
}

asio::awaitable<state::Result<HttpAnswerStream>>
openHttpStream(asio::any_io_executor executor, state::Address peer, protocol::HttpRequest request,
               HttpCallLimits limits, BeforeSend beforeSend)
{
    auto call = std::make_unique<HttpAnswerStream::State>(std::move(executor), peer);
    beast::error_code addressProblem;
    const auto ip = asio::ip::make_address(peer.ip, addressProblem);
    if (addressProblem)
        co_return callError(addressProblem, connectStep, peer);

    call->stream.expires_after(limits.connectTimeout);
    auto [connectProblem] = co_await call->stream.async_connect(
            tcp::endpoint(ip, peer.port), asio::as_tuple(asio::use_awaitable));
    if (connectProblem)
        co_return callError(connectProblem, connectStep, peer);
    beast::error_code ignored;
    call->stream.socket().set_option(tcp::no_delay(true), ignored);

    if (beforeSend) {
        call->stream.expires_never();
        const bool go = co_await beforeSend();
        if (!go)
            co_return state::makeError(state::ErrorCode::Cancelled, std::string(beforeSendStep),
                                       "the call was withdrawn", peer.toString());
    }
    const http::request<http::string_body> message = toBeastRequest(std::move(request), peer);
    call->stream.expires_after(limits.timeout);
    auto [sendProblem, sentBytes] =
            co_await http::async_write(call->stream, message, asio::as_tuple(asio::use_awaitable));
    // A peer may refuse a large request before it has read it all; its answer is still there.
    auto [headProblem, headBytes] = co_await http::async_read_header(
            call->stream, call->buffer, call->parser, asio::as_tuple(asio::use_awaitable));
    if (headProblem)
        co_return callError(sendProblem ? sendProblem : headProblem,
                            sendProblem ? sendStep : receiveStep, peer);
    co_return HttpAnswerStream(std::move(call));
}

asio::awaitable<state::Result<protocol::HttpResponse>>
httpCall(asio::any_io_executor executor, state::Address peer, protocol::HttpRequest request,
         HttpCallLimits limits, BeforeSend beforeSend)
{
    state::Result<HttpAnswerStream> opened = co_await openHttpStream(
            std::move(executor), peer, std::move(request), limits, std::move(beforeSend));
    if (!opened)
        co_return opened.error();
    HttpAnswerStream &stream = opened.value();
    protocol::HttpResponse response{stream.status(), stream.headers(), {}};
    while (true) {
        state::Result<std::optional<std::string>> piece = co_await stream.read(limits.timeout);
        if (!piece)
            co_return piece.error();
        if (!piece.value())
            co_return response;
        response.body += *piece.value();
        if (response.body.size() > limits.bodyBytes)
            co_return state::makeError(state::ErrorCode::Corrupt, std::string(receiveStep),
                                       "the answer is larger than allowed", peer.toString());
    }
}

} // namespace lavenderthread::transport
