// Waits for one call by running a private io_context for as long as the call may take.
#include "fakes/HttpClient.h"

#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace lavenderthread::fakes {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using state::ErrorCode;

namespace {

Request makeRequest(const state::Address &peer, const Call &call)
{
    Request request(call.method, call.target, 11);
    request.set(http::field::host, peer.toString());
    request.set(http::field::content_type, "application/json");
    for (const auto &[name, value] : call.headers)
        request.set(name, value);
    request.body() = call.body;
    request.keep_alive(false);
    request.prepare_payload();
    return request;
}

} // namespace

state::Result<Response> call(const state::Address &peer, const Call &call,
                             std::chrono::milliseconds timeout)
{
    const auto fail = [&](ErrorCode code, const std::string &cause) {
        return state::makeError(code, "fake.call", cause, peer.toString());
    };
    const Request request = makeRequest(peer, call);
    error_code outcome;
    bool finished = false;
    const auto finish = [&](error_code error) {
        outcome = error;
        finished = true;
    };
    asio::io_context context(1);
    boost::beast::tcp_stream stream(context);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maximumBodyBytes);

    error_code badAddress;
    const auto ip = asio::ip::make_address(peer.ip, badAddress);
    if (badAddress)
        return fail(ErrorCode::InvalidArgument, badAddress.message());
    stream.async_connect(asio::ip::tcp::endpoint(ip, peer.port), [&](error_code error) {
        if (error)
            return finish(error);
        http::async_write(stream, request, [&](error_code writeError, std::size_t) {
            if (writeError)
                return finish(writeError);
            http::async_read(stream, buffer, parser,
                             [&](error_code readError, std::size_t) { finish(readError); });
        });
    });
    context.run_for(timeout);
    if (!finished)
        return fail(ErrorCode::Timeout, "no whole answer in time");
    if (outcome == http::error::partial_message || outcome == http::error::end_of_stream)
        return fail(ErrorCode::Corrupt, outcome.message());
    if (outcome)
        return fail(ErrorCode::Unavailable, outcome.message());
    return parser.release();
}

} // namespace lavenderthread::fakes
