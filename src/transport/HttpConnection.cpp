#include "transport/HttpConnection.h"

#include "transport/BeastConversion.h"
#include "transport/HttpCallParts.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <optional>
#include <utility>

namespace lavenderthread::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

struct HttpConnection::Stream
{
    Stream(asio::any_io_executor executor, state::Address peer)
        : stream(std::move(executor))
        , peer(std::move(peer))
    {}

    // Between two calls: the peer has answered once more.
    bool hasUnaskedBytes()
    {
        beast::error_code problem;
        return this->buffer.size() > 0 || this->stream.socket().available(problem) > 0 || problem;
    }

    beast::tcp_stream stream;
    state::Address peer;
    beast::flat_buffer buffer{readAheadBytes};
};

HttpConnection::HttpConnection() = default;
HttpConnection::~HttpConnection() = default;

asio::awaitable<state::Result<protocol::HttpResponse>>
HttpConnection::call(asio::any_io_executor executor, state::Address peer,
                     protocol::HttpRequest request, HttpCallLimits limits)
{
    if (this->stream && this->stream->hasUnaskedBytes())
        this->stream.reset();
    if (this->stream && this->stream->peer == peer) {
        state::Result<protocol::HttpResponse> answer = co_await this->exchange(request, limits);
        // A peer that is silent, or whose answer is too large, would do the same again.
        if (answer || answer.error().code != state::ErrorCode::Unavailable)
            co_return answer;
    }
    const state::Result<void> connected =
            co_await this->connect(std::move(executor), std::move(peer), limits);
    if (!connected)
        co_return connected.error();
    co_return co_await this->exchange(std::move(request), limits);
}

asio::awaitable<state::Result<void>>
HttpConnection::connect(asio::any_io_executor executor, state::Address peer, HttpCallLimits limits)
{
    this->stream.reset();
    auto opened = std::make_unique<Stream>(std::move(executor), peer);
    const state::Result<void> connected = co_await connectStream(opened->stream, peer, limits);
    if (connected)
        this->stream = std::move(opened);
    co_return connected;
}

asio::awaitable<state::Result<protocol::HttpResponse>>
HttpConnection::exchange(protocol::HttpRequest request, HttpCallLimits limits)
{
    // Owned here until the exchange is over: it is kept only after a whole answer.
    std::unique_ptr<Stream> used = std::move(this->stream);
    auto encoded = toBeastRequest(std::move(request), used->peer);
    if (!encoded)
        co_return encoded.error();
    http::request<http::string_body> &message = encoded.value();
    message.keep_alive(true);
    used->stream.expires_after(limits.timeout);
    auto [sendProblem, sent] =
            co_await http::async_write(used->stream, message, asio::as_tuple(asio::use_awaitable));
    if (sendProblem)
        co_return callError(sendProblem, sendStep, used->peer);
    using Parser = http::response_parser<http::string_body>;
    std::optional<Parser> parser;
    const std::function<Parser &()> renewParser = [&]() -> Parser & {
        parser.emplace().body_limit(limits.bodyBytes);
        return *parser;
    };
    beast::error_code problem = co_await readFinalHead(used->stream, used->buffer, renewParser);
    if (!problem) {
        const auto [readProblem, received] = co_await http::async_read(
                used->stream, used->buffer, *parser, asio::as_tuple(asio::use_awaitable));
        problem = readProblem;
    }
    if (problem == http::error::body_limit)
        co_return answerTooLarge(used->peer);
    if (problem)
        co_return callError(problem, receiveStep, used->peer);
    http::response<http::string_body> answer = parser->release();
    const bool kept = answer.keep_alive();
    protocol::HttpResponse response{answer.result_int(), toHeaders(answer),
                                    std::move(answer.body())};
    if (kept) {
        used->stream.expires_never();
        this->stream = std::move(used);
    }
    co_return response;
}

} // namespace lavenderthread::transport
