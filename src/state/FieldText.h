// Which texts stand unchanged in the head of an HTTP/1.1 message. Any other text would make another
// head than the one that was meant, or another message behind it.
#pragma once

#include <string_view>

namespace lavenderthread::state {

// A method or the name of a field (RFC 9110, 5.6.2).
bool isToken(std::string_view text);

// A request target: no whitespace and no control characters.
bool isRequestTarget(std::string_view text);

// The value of a field: no control characters but tabs, and no whitespace at its ends, which
// readers remove (RFC 9110, 5.5). May be empty.
bool isFieldValue(std::string_view text);

} // namespace lavenderthread::state
