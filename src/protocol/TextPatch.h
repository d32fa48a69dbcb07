// Compresses texts, either alone or as a patch against a text that the receiver already has.
#pragma once

#include "state/Error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace lavenderthread::protocol {

// If `base` is empty, the text is only compressed.
std::string makeTextPatch(std::string_view base, std::string_view text);

// Restores the text. Error: Corrupt, step "patch.apply", if the bytes are not a patch, were made
// from another base, or decompress to more than `maxBytes`.
state::Result<std::string> applyTextPatch(std::string_view base, std::string_view patch,
                                          std::size_t maxBytes);

} // namespace lavenderthread::protocol
