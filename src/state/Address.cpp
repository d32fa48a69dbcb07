// Text form of addresses. Only the overall form is checked here; the transport that binds or
// connects the address checks that the IP address is valid.
#include "state/Address.h"

#include <charconv>

namespace lavenderthread::state {

Result<Address> Address::parse(std::string_view text)
{
    const auto fail = [&](const char *cause) {
        return makeError(ErrorCode::InvalidArgument, "address.parse", cause, std::string(text));
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return fail("expected IP:PORT");
    std::string_view ip = text.substr(0, colon);
    const std::string_view portText = text.substr(colon + 1);
    if (ip.front() == '[') {
        if (ip.size() < 3 || ip.back() != ']')
            return fail("unbalanced bracket");
        ip = ip.substr(1, ip.size() - 2);
    }
    if (ip.find_first_not_of("0123456789abcdefABCDEF.:") != std::string_view::npos)
        return fail("the address must be an IP number, not a name");
    std::uint16_t port = 0;
    const auto [end, problem] =
            std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (problem != std::errc() || end != portText.data() + portText.size())
        return fail("port must be 0 to 65535");
    return Address{std::string(ip), port};
}

std::string Address::toString() const
{
    if (this->ip.find(':') != std::string::npos)
        return "[" + this->ip + "]:" + std::to_string(this->port);
    return this->ip + ":" + std::to_string(this->port);
}

} // namespace lavenderthread::state
