// Steps that all HTTP calls to peers share.
#pragma once

#include "transport/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <string_view>

namespace lavenderthread::transport {

state::Error callError(const boost::beast::error_code &problem, std::string_view step,
                       const state::Address &peer);

state::Error answerTooLarge(const state::Address &peer);

// Without keep-alive.
boost::beast::http::request<boost::beast::http::string_body>
toBeastRequest(protocol::HttpRequest request, const state::Address &peer);

// Connects and sets the socket's options. Errors: step connectStep.
boost::asio::awaitable<state::Result<void>>
connectStream(boost::beast::tcp_stream &stream, state::Address peer, HttpCallLimits limits);

} // namespace lavenderthread::transport
