// Parses completion requests and engine stream lines, and formats the responses to callers.
#include "protocol/Completion.h"

#include "coordination/routing/PrefixIndex.h"
#include "state/BoundedJson.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace lavenderthread::protocol {

namespace json = boost::json;

namespace {

state::Error bodyError(const std::string &cause)
{
    return state::makeError(state::ErrorCode::InvalidArgument, "completion.parse", cause);
}

// Concatenates all `content` members of a chat; the engine counts tokens the same way.
state::Result<std::string> chatPrompt(const json::object &object)
{
    const json::value *messages = object.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty())
        return bodyError("messages: expected a list that is not empty");
    std::string prompt;
    for (const json::value &message : messages->get_array()) {
        const json::value *content =
                message.is_object() ? message.get_object().if_contains("content") : nullptr;
        if (content == nullptr || !content->is_string())
            return bodyError("messages[].content: expected text");
        prompt += content->get_string();
    }
    return prompt;
}

state::Result<std::string> textPrompt(const json::object &object)
{
    const json::value *prompt = object.if_contains("prompt");
    if (prompt == nullptr || !prompt->is_string())
        return bodyError("prompt: expected text");
    return std::string(prompt->get_string());
}

state::Result<std::uint32_t> outputTokens(const json::object &object)
{
    const json::value *value = object.if_contains("max_tokens");
    if (value == nullptr)
        return defaultOutputTokens;
    if (!value->is_int64() || value->get_int64() < 1 || value->get_int64() > maximumOutputTokens)
        return bodyError("max_tokens: expected an integer from 1 to "
                         + std::to_string(maximumOutputTokens));
    return static_cast<std::uint32_t>(value->get_int64());
}

json::object choice(CompletionKind kind, std::string_view text, bool whole)
{
    if (kind == CompletionKind::Text)
        return {{"index", 0}, {"text", text}};
    const json::object content =
            text.empty() && !whole ? json::object() : json::object{{"content", text}};
    return {{"index", 0}, {whole ? "message" : "delta", content}};
}

std::string_view objectName(CompletionKind kind, bool whole)
{
    if (kind == CompletionKind::Text)
        return "text_completion";
    return whole ? "chat.completion" : "chat.completion.chunk";
}

} // namespace

state::Result<CompletionBody> parseCompletion(CompletionKind kind, std::string_view text)
{
    boost::system::error_code problem;
    const json::value root = state::parseJson(text, problem);
    if (problem || !root.is_object())
        return bodyError("the body must be a JSON object");
    const json::object &object = root.get_object();
    const json::value *model = object.if_contains("model");
    if (model == nullptr || !model->is_string() || model->get_string().empty())
        return bodyError("model: expected text");
    BOOST_OUTCOME_TRY(const std::string prompt,
                      kind == CompletionKind::Chat ? chatPrompt(object) : textPrompt(object));

    CompletionBody body;
    body.kind = kind;
    body.model = state::ModelName(std::string(model->get_string()));
    const std::size_t tokens = (prompt.size() + bytesPerToken - 1) / bytesPerToken;
    if (tokens > maximumPromptTokens)
        return bodyError("prompt: more than " + std::to_string(maximumPromptTokens) + " tokens");
    body.promptTokens = static_cast<std::uint32_t>(tokens);
    BOOST_OUTCOME_TRY(body.outputTokens, outputTokens(object));
    if (const json::value *stream = object.if_contains("stream")) {
        if (!stream->is_bool())
            return bodyError("stream: expected true or false");
        body.stream = stream->get_bool();
    }
    body.prefixBlocks = coordination::routing::hashPrefixBlocks(prompt, prefixBlockTokens);
    return body;
}

std::string completionChunk(CompletionKind kind, const std::string &id, const std::string &model,
                            std::uint64_t offset, std::string_view text)
{
    json::object one = choice(kind, text, false);
    one["finish_reason"] = nullptr;
    return json::serialize(json::object{{"id", id},
                                        {"object", objectName(kind, false)},
                                        {"model", model},
                                        {"offset", offset},
                                        {"choices", json::array{std::move(one)}}});
}

std::string completionEnd(CompletionKind kind, const std::string &id, const std::string &model,
                          std::uint64_t total, std::string_view finishReason)
{
    json::object one = choice(kind, "", false);
    one["finish_reason"] = finishReason;
    return json::serialize(json::object{{"id", id},
                                        {"object", objectName(kind, false)},
                                        {"model", model},
                                        {"choices", json::array{std::move(one)}},
                                        {"usage", {{"completion_tokens", total}}}});
}

std::string completionAnswer(const CompletionBody &body, const std::string &id,
                             std::string_view text, std::uint64_t total,
                             std::string_view finishReason)
{
    json::object one = choice(body.kind, text, true);
    one["finish_reason"] = finishReason;
    return json::serialize(json::object{{"id", id},
                                        {"object", objectName(body.kind, true)},
                                        {"model", body.model.value()},
                                        {"choices", json::array{std::move(one)}},
                                        {"usage",
                                         {{"prompt_tokens", body.promptTokens},
                                          {"completion_tokens", total},
                                          {"total_tokens", body.promptTokens + total}}}});
}

state::Result<EngineLine> parseEngineLine(std::string_view text)
{
    const auto fail = [](const char *cause) {
        return state::makeError(state::ErrorCode::Corrupt, "engine.line", cause);
    };
    boost::system::error_code problem;
    const json::value root = state::parseJson(text, problem);
    if (problem || !root.is_object())
        return fail("not a JSON object");
    const json::object &object = root.get_object();
    const json::value *done = object.if_contains("done");
    const bool last = done != nullptr && done->is_bool() && done->get_bool();
    const json::value *number = object.if_contains(last ? "total" : "offset");
    const json::value *word = object.if_contains(last ? "finish_reason" : "token");
    if (number == nullptr || !number->is_int64() || number->get_int64() < 0 || word == nullptr
        || !word->is_string())
        return fail("a member is missing or of the wrong type");
    EngineLine line;
    line.done = last;
    (last ? line.total : line.offset) = static_cast<std::uint64_t>(number->get_int64());
    (last ? line.finishReason : line.token) = std::string(word->get_string());
    return line;
}

} // namespace lavenderthread::protocol
