// HTTP requests and responses as plain values, so that only the transport depends on the HTTP
// library.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lavenderthread::protocol {

// Header fields in order of arrival; names are case-insensitive.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<std::pair<std::string, std::string>> fields);

    void add(std::string name, std::string value);
    std::optional<std::string_view> find(std::string_view name) const;
    const std::vector<std::pair<std::string, std::string>> &fields() const { return this->all; }
    bool operator==(const HttpHeaders &) const = default;

private:
    std::vector<std::pair<std::string, std::string>> all;
};

struct HttpRequest
{
    std::string method; // upper case
    std::string target; // path with query, as on the request line
    HttpHeaders headers;
    std::string body;

    std::string_view path() const;                                 // without the query
    std::optional<std::string> query(std::string_view name) const; // percent-decoded
    bool operator==(const HttpRequest &) const = default;
};

struct HttpResponse
{
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;

    bool operator==(const HttpResponse &) const = default;
};

// A 2xx status.
constexpr bool isSuccess(unsigned status)
{
    constexpr unsigned firstSuccess = 200;
    constexpr unsigned firstRedirection = 300;
    return status >= firstSuccess && status < firstRedirection;
}

// Decodes percent-encoding; malformed escapes are left unchanged.
std::string percentDecode(std::string_view text);

} // namespace lavenderthread::protocol
