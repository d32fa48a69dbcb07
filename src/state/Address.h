// IP address and port. Processes address each other by these, never by host names.
#pragma once

#include "state/Error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace lavenderthread::state {

struct Address
{
    std::string ip; // dotted IPv4 or IPv6 without brackets
    std::uint16_t port = 0;

    // Accepts "10.0.0.1:80" and "[::1]:80". Error: InvalidArgument, step "address.parse".
    static Result<Address> parse(std::string_view text);

    std::string toString() const;
    auto operator<=>(const Address &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->ip, this->port);
    }
};

} // namespace lavenderthread::state
