// Parses the fields of completion requests that scheduling needs, and formats whole and streamed
// responses, in the JSON of the usual completion APIs.
#pragma once

#include "state/Error.h"
#include "state/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::protocol {

enum class CompletionKind { Text, Chat };

// Prompt tokens are estimated as one per four bytes of text, rounded up
// (docs/contracts/endpoint.md).
constexpr std::size_t bytesPerToken = 4;
// Number of tokens in a block, the unit in which prefixes are compared.
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
    // Chained hash of each complete block, as the endpoint contract defines it.
    std::vector<std::uint64_t> prefixBlocks;

    bool operator==(const CompletionBody &) const = default;
};

// Error: InvalidArgument, step "completion.parse", the cause names the JSON member.
state::Result<CompletionBody> parseCompletion(CompletionKind kind, std::string_view json);

// The data of one server-sent event, which carries token `offset` of the answer.
std::string completionChunk(CompletionKind kind, const std::string &id, const std::string &model,
                            std::uint64_t offset, std::string_view text);
// The data of the last event before [DONE].
std::string completionEnd(CompletionKind kind, const std::string &id, const std::string &model,
                          std::uint64_t total, std::string_view finishReason);
// The body of an answer that is not streamed.
std::string completionAnswer(const CompletionBody &body, const std::string &id,
                             std::string_view text, std::uint64_t total,
                             std::string_view finishReason);

// One line of an engine's stream.
struct EngineLine
{
    bool done = false;
    std::uint64_t offset = 0; // of a token line: position of the token
    std::string token;
    std::uint64_t total = 0; // of the done line: number of tokens
    std::string finishReason;

    bool operator==(const EngineLine &) const = default;
};

// Error: Corrupt, step "engine.line".
state::Result<EngineLine> parseEngineLine(std::string_view line);

} // namespace lavenderthread::protocol
