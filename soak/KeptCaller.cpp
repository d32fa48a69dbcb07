#include "KeptCaller.h"

#include "program/Clock.h"
#include "transport/BeastConversion.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cmath>
#include <string>
#include <utility>

namespace lavenderthread::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds connectTimeout{500};

http::request<http::string_body> toMessage(const protocol::HttpRequest &request, bool inChunks)
{
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target,
                                             transport::httpVersion);
    transport::addHeaders(message, request.headers);
    message.body() = request.body;
    message.keep_alive(true);
    if (inChunks)
        message.chunked(true);
    else
        message.prepare_payload();
    return message;
}

bool isOutOfProtocol(const beast::error_code &problem)
{
    return problem.category() == http::make_error_code(http::error::bad_chunk).category()
           && problem != http::error::end_of_stream && problem != http::error::partial_message;
}

milliseconds retryAfterOf(const http::response<http::string_body> &answer)
{
    constexpr double msPerSecond = 1'000;
    const std::string text(answer[http::field::retry_after]);
    return milliseconds(text.empty() ? 0 : std::lround(std::stod(text) * msPerSecond));
}

} // namespace

std::string_view toString(CallEnd end)
{
    switch (end) {
    case CallEnd::NotSent:
        return "not-sent";
    case CallEnd::Answered:
        return "answered";
    case CallEnd::Closed:
        return "closed";
    case CallEnd::ClosedMidway:
        return "closed-midway";
    case CallEnd::NoAnswer:
        return "no-answer";
    case CallEnd::OutOfPatience:
        return "out-of-patience";
    }
    return "";
}

struct KeptCaller::Connection
{
    explicit Connection(asio::io_context &context)
        : stream(context)
    {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

KeptCaller::KeptCaller(asio::io_context &context)
    : context(context)
{}

KeptCaller::~KeptCaller() = default;

asio::awaitable<bool> KeptCaller::connect(state::Address entry)
{
    this->connection = std::make_unique<Connection>(this->context);
    this->connection->stream.expires_after(connectTimeout);
    const asio::ip::tcp::endpoint to(asio::ip::make_address(entry.ip), entry.port);
    const auto [problem] = co_await this->connection->stream.async_connect(
            to, asio::as_tuple(asio::use_awaitable));
    if (problem)
        this->connection.reset();
    co_return !problem;
}

asio::awaitable<KeptCallResult> KeptCaller::call(state::Address entry,
                                                 protocol::HttpRequest request, bool inChunks,
                                                 milliseconds patience)
{
    KeptCallResult result;
    bool connected = this->connection != nullptr;
    if (!connected)
        connected = co_await this->connect(std::move(entry));
    if (!connected)
        co_return result;
    beast::tcp_stream &stream = this->connection->stream;
    stream.expires_after(patience);
    const auto message = toMessage(request, inChunks);
    const auto [sendProblem, sent] =
            co_await http::async_write(stream, message, asio::as_tuple(asio::use_awaitable));
    result.sentAt = program::monotonicNow();
    http::response_parser<http::string_body> parser;
    beast::error_code problem = sendProblem;
    if (!problem) {
        const auto [readProblem, read] = co_await http::async_read(
                stream, this->connection->buffer, parser, asio::as_tuple(asio::use_awaitable));
        problem = readProblem;
    }
    result.endedAt = program::monotonicNow();
    if (parser.is_header_done())
        result.status = parser.get().result_int();
    if (sendProblem)
        result.end = CallEnd::NotSent;
    else if (problem == beast::error::timeout)
        result.end = CallEnd::OutOfPatience;
    else if (problem && isOutOfProtocol(problem))
        result.end = CallEnd::NoAnswer;
    else if (problem)
        result.end = parser.is_header_done() ? CallEnd::ClosedMidway : CallEnd::Closed;
    else
        result.end = CallEnd::Answered;
    const bool isKept = !problem && parser.keep_alive();
    if (result.end == CallEnd::Answered) {
        result.unaskedBytes = this->connection->buffer.size();
        http::response<http::string_body> answer = parser.release();
        result.retryAfter = retryAfterOf(answer);
        result.answers = std::string(answer["Request-Id"]);
        result.sealed = answer.find("Response-Seal") != answer.end();
        result.body = std::move(answer.body());
    }
    if (!isKept)
        this->connection.reset();
    co_return result;
}

} // namespace lavenderthread::soak
