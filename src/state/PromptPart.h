// A part of a prompt, such as a document that many requests share, named by its id.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lavenderthread::state {

using PromptPart = std::uint64_t;

// Hexadecimal ids, joined by commas.
std::string formatPromptParts(const std::vector<PromptPart> &parts);

} // namespace lavenderthread::state
