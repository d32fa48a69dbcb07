// Case-insensitive lookup of headers and lookup of percent-decoded query parameters.
#include "protocol/HttpMessage.h"

#include <algorithm>
#include <cctype>

namespace lavenderthread::protocol {

namespace {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a))
               == std::tolower(static_cast<unsigned char>(b));
    });
}

int hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    const int lower = std::tolower(static_cast<unsigned char>(digit));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

HttpHeaders::HttpHeaders(std::initializer_list<std::pair<std::string, std::string>> fields)
    : all(fields)
{}

void HttpHeaders::add(std::string name, std::string value)
{
    this->all.emplace_back(std::move(name), std::move(value));
}

std::optional<std::string_view> HttpHeaders::find(std::string_view name) const
{
    for (const auto &[fieldName, value] : this->all) {
        if (equalsIgnoringCase(fieldName, name))
            return value;
    }
    return std::nullopt;
}

std::string_view HttpRequest::path() const
{
    return std::string_view(this->target).substr(0, this->target.find('?'));
}

std::optional<std::string> HttpRequest::query(std::string_view name) const
{
    const auto mark = this->target.find('?');
    if (mark == std::string::npos)
        return std::nullopt;
    std::string_view rest = std::string_view(this->target).substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view member = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), member.size() + 1));
        const auto equals = member.find('=');
        if (percentDecode(member.substr(0, equals)) == name)
            return equals == std::string_view::npos ? std::string()
                                                    : percentDecode(member.substr(equals + 1));
    }
    return std::nullopt;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t at = 0; at < text.size(); ++at) {
        const bool escape = text[at] == '%' && at + 2 < text.size();
        const int high = escape ? hexDigit(text[at + 1]) : -1;
        const int low = escape ? hexDigit(text[at + 2]) : -1;
        if (high >= 0 && low >= 0) {
            decoded.push_back(static_cast<char>(high * 16 + low));
            at += 2;
        } else {
            decoded.push_back(text[at]);
        }
    }
    return decoded;
}

} // namespace lavenderthread::protocol
