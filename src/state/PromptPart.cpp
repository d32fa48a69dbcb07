#include "state/PromptPart.h"

#include <array>
#include <charconv>

namespace lavenderthread::state {

std::string formatPromptParts(const std::vector<PromptPart> &parts)
{
    constexpr int hexadecimal = 16;
    std::string text;
    for (const PromptPart part : parts) {
        std::array<char, 2 * sizeof(PromptPart)> digits{};
        const auto [end, problem] =
                std::to_chars(digits.data(), digits.data() + digits.size(), part, hexadecimal);
        text += text.empty() ? "" : ",";
        text.append(digits.data(), end);
    }
    return text;
}

} // namespace lavenderthread::state
