// What the head of an answer tells about the stream that it begins. An answer goes on with a stream
// only if it could have begun it: the caller has been given the head of the first one.
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderthread::coordination::relay {

struct StreamHead
{
    unsigned status = 0;
    std::string mediaType; // in lower case, without parameters; empty: none is named

    // `contentType`: the value of the header field, if there is one.
    static StreamHead of(unsigned status, std::optional<std::string_view> contentType);

    auto operator<=>(const StreamHead &) const = default;
};

} // namespace lavenderthread::coordination::relay
