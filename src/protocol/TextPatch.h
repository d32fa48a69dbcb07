// Compressed texts, alone or as the difference from a text that the reader already has.
#pragma once

#include "state/Error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace lavenderthread::protocol {

// `base` may be empty; the text is then only compressed.
std::string makeTextPatch(std::string_view base, std::string_view text);

// The text again. Error: Corrupt, step "patch.apply", if the bytes are no patch, were made from
// another base, or give more than `mostBytes`.
state::Result<std::string> applyTextPatch(std::string_view base, std::string_view patch,
                                          std::size_t mostBytes);

} // namespace lavenderthread::protocol
