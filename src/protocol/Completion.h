// The callers' completion requests and answers in the customary JSON: what of them the system needs
// to know, and the pieces of a streamed answer.
#pragma once

#include "state/Error.h"
#include "state/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::protocol {

enum class CompletionKind { Text, Chat };

// One token is counted for every four bytes of prompt text, rounded up
// (docs/contracts/endpoint.md).
constexpr std::size_t bytesPerToken = 4;
// Prefixes are compared by blocks of this many tokens.
constexpr std::uint32_t prefixBlockTokens = 256;
constexpr std::uint32_t defaultOutputTokens = 16;
constexpr std::uint32_t maximumPromptTokens = 4'000'000;
constexpr std::uint32_t maximumOutputTokens = 1'000'000;

struct CompletionBody
{
    CompletionKind kind = CompletionKind::Text;
    state::ModelName model;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = defaultOutputTokens;
    bool stream = false;
    // Chained hash of each whole block, as the endpoint contract defines it.
    std::vector<std::uint64_t> prefixBlocks;

    bool operator==(const CompletionBody &) const = default;
};

// Error: InvalidArgument, step "completion.parse", cause names the member.
state::Result<CompletionBody> parseCompletion(CompletionKind kind, std::string_view json);

// The data of one server-sent event: token `offset` of the answer.
std::string completionChunk(CompletionKind kind, const std::string &id, const std::string &model,
                            std::uint64_t offset, std::string_view text);
// The last event before [DONE].
std::string completionEnd(CompletionKind kind, const std::string &id, const std::string &model,
                          std::uint64_t total, std::string_view finishReason);
// The whole answer at once.
std::string completionAnswer(const CompletionBody &body, const std::string &id,
                             std::string_view text, std::uint64_t total,
                             std::string_view finishReason);

// One line of an engine's stream.
struct EngineLine
{
    bool done = false;
    std::uint64_t offset = 0; // of a token line
    std::string token;
    std::uint64_t total = 0; // of the done line
    std::string finishReason;

    bool operator==(const EngineLine &) const = default;
};

// Error: Corrupt, step "engine.line".
state::Result<EngineLine> parseEngineLine(std::string_view line);

} // namespace lavenderthread::protocol
