// The answer that a fake engine gives to a prompt, worked out from the prompt alone, so that any
// test can check a whole answer by its content. Also how prompts are counted and cut into blocks.
#pragma once

#include <xxhash.h>

#include <boost/json/value.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::fakes {

constexpr std::uint64_t bytesPerToken = 4;
constexpr std::uint64_t blockTokens = 256; // unit of the prefix cache
constexpr std::uint64_t blockBytes = blockTokens * bytesPerToken;

inline std::uint64_t countTokens(std::string_view prompt)
{
    return (prompt.size() + bytesPerToken - 1) / bytesPerToken;
}

// Output token `index` of a prompt: "w", four hex digits, a space.
class ExpectedAnswer
{
public:
    explicit ExpectedAnswer(std::string_view prompt)
        : promptHash(XXH64(prompt.data(), prompt.size(), 0))
    {}

    std::string token(std::uint64_t index) const
    {
        char text[8] = {};
        const auto hash = XXH64(&index, sizeof index, this->promptHash);
        std::snprintf(text, sizeof text, "w%04x ", static_cast<unsigned>(hash & 0xffffU));
        return text;
    }

    // Tokens `first` up to, not including, `last`.
    std::string text(std::uint64_t first, std::uint64_t last) const
    {
        std::string all;
        for (std::uint64_t index = first; index < last; ++index)
            all += this->token(index);
        return all;
    }

private:
    std::uint64_t promptHash;
};

// Hashes of the whole blocks of a prompt, each chained to the one before: XXH64 over the block's
// bytes, seeded with the previous block's hash (0 for the first).
inline std::vector<std::uint64_t> blockHashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    for (std::size_t at = 0; at + blockBytes <= prompt.size(); at += blockBytes) {
        previous = XXH64(prompt.data() + at, blockBytes, previous);
        hashes.push_back(previous);
    }
    return hashes;
}

// `prompt`, or every `content` of `messages` one after the other. Throws if neither is there.
inline std::string promptOf(const boost::json::value &body)
{
    if (const auto *prompt = body.as_object().if_contains("prompt"))
        return std::string(prompt->as_string());
    std::string all;
    for (const auto &message : body.at("messages").as_array())
        all += std::string_view(message.at("content").as_string());
    return all;
}

} // namespace lavenderthread::fakes
