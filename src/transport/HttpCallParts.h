// Steps that all HTTP calls to peers share.
#pragma once

#include "transport/HttpClient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <string_view>

namespace lavenderthread::transport {

state::Error callError(const boost::beast::error_code &problem, std::string_view step,
                       const state::Address &peer);

state::Error answerTooLarge(const state::Address &peer);

// Without keep-alive. Error: InvalidArgument, step encodeStep, for a head that would be read as
// another one.
state::Result<boost::beast::http::request<boost::beast::http::string_body>>
toBeastRequest(protocol::HttpRequest request, const state::Address &peer);

// Connects and sets the socket's options. Errors: step connectStep.
boost::asio::awaitable<state::Result<void>>
connectStream(boost::beast::tcp_stream &stream, state::Address peer, HttpCallLimits limits);

constexpr unsigned firstFinalStatus = 200; // below it are interim answers, 1xx
constexpr int maximumInterimAnswers = 16;

// Reads up to the head of the final answer; `renewParser` makes a parser for each head.
template <typename Body>
boost::asio::awaitable<boost::beast::error_code>
readFinalHead(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer,
              std::function<boost::beast::http::response_parser<Body> &()> renewParser)
{
    for (int interim = 0; interim <= maximumInterimAnswers; ++interim) {
        boost::beast::http::response_parser<Body> &parser = renewParser();
        auto [problem, bytes] = co_await boost::beast::http::async_read_header(
                stream, buffer, parser, boost::asio::as_tuple(boost::asio::use_awaitable));
        if (problem || parser.get().result_int() >= firstFinalStatus)
            co_return problem;
    }
    co_return boost::beast::http::error::header_limit;
}

} // namespace lavenderthread::transport
