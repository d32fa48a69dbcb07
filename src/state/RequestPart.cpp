#include "state/RequestPart.h"

#include <array>
#include <charconv>

namespace lavenderthread::state {

std::string formatRequestParts(const std::vector<RequestPart> &parts)
{
    constexpr int hexadecimal = 16;
    std::string text;
    for (const RequestPart part : parts) {
        std::array<char, 2 * sizeof(RequestPart)> digits{};
        const auto [end, problem] =
                std::to_chars(digits.data(), digits.data() + digits.size(), part, hexadecimal);
        text += text.empty() ? "" : ",";
        text.append(digits.data(), end);
    }
    return text;
}

} // namespace lavenderthread::state
