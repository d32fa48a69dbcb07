#include "state/FieldText.h"

#include <algorithm>

namespace lavenderthread::state {

namespace {

constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char deleteCharacter = 0x7f;
constexpr std::string_view whitespace = " \t";

bool isControl(char letter)
{
    const auto byte = static_cast<unsigned char>(letter);
    return byte < firstPrintable || byte == deleteCharacter;
}

bool isTokenLetter(char letter)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return (letter >= '0' && letter <= '9') || (letter >= 'A' && letter <= 'Z')
           || (letter >= 'a' && letter <= 'z') || marks.find(letter) != std::string_view::npos;
}

bool isWhitespace(char letter)
{
    return whitespace.find(letter) != std::string_view::npos;
}

} // namespace

bool isToken(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, isTokenLetter);
}

bool isRequestTarget(std::string_view text)
{
    return !text.empty() && std::ranges::none_of(text, [](char letter) {
        return isControl(letter) || letter == ' ';
    });
}

bool isFieldValue(std::string_view text)
{
    if (text.empty())
        return true;
    const bool hasControls = std::ranges::any_of(
            text, [](char letter) { return isControl(letter) && letter != '\t'; });
    return !hasControls && !isWhitespace(text.front()) && !isWhitespace(text.back());
}

} // namespace lavenderthread::state
