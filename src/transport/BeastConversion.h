// Between the library's HTTP messages and the project's values.
#pragma once

#include "protocol/HttpMessage.h"
#include "state/FieldText.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

namespace lavenderthread::transport {

constexpr unsigned httpVersion = 11; // 1.1, in the library's notation
// What is read ahead of a parser. It grows while a chunk header or trailer has no end.
constexpr std::size_t readAheadBytes = 256U << 10U;

template <typename Fields>
protocol::HttpHeaders toHeaders(const Fields &fields)
{
    protocol::HttpHeaders headers;
    for (const auto &field : fields)
        headers.add(std::string(field.name_string()), std::string(field.value()));
    return headers;
}

inline protocol::HttpRequest
toHttpRequest(boost::beast::http::request<boost::beast::http::string_body> message)
{
    protocol::HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = toHeaders(message);
    request.body = std::move(message.body());
    return request;
}

// Framing headers are the transport's own business and are not taken from the value.
inline bool isFramingHeader(boost::beast::http::field name)
{
    using boost::beast::http::field;
    return name == field::content_length || name == field::transfer_encoding
           || name == field::connection || name == field::keep_alive;
}

inline bool hasWritableFields(const protocol::HttpHeaders &headers)
{
    return std::ranges::all_of(headers.fields(), [](const auto &field) {
        return state::isToken(field.first) && state::isFieldValue(field.second);
    });
}

template <typename Message>
void addHeaders(Message &message, const protocol::HttpHeaders &headers)
{
    for (const auto &[name, value] : headers.fields()) {
        if (!isFramingHeader(boost::beast::http::string_to_field(name)))
            message.insert(name, value);
    }
}

// An answer whose head would be read as another one is replaced by a bare 500.
inline boost::beast::http::response<boost::beast::http::string_body>
toBeast(protocol::HttpResponse response)
{
    if (!hasWritableFields(response.headers))
        response = {static_cast<unsigned>(boost::beast::http::status::internal_server_error)};
    boost::beast::http::response<boost::beast::http::string_body> message(
            static_cast<boost::beast::http::status>(response.status), httpVersion);
    addHeaders(message, response.headers);
    message.body() = std::move(response.body);
    return message;
}

} // namespace lavenderthread::transport
