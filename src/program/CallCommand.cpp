// The subcommands call, for callers, and status, for operators.
#include "program/Caller.h"
#include "program/Commands.h"
#include "program/RunToEnd.h"
#include "transport/HttpClient.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace lavenderthread::program {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr double microsecondsPerMillisecond = 1'000;
constexpr std::size_t bytesPerToken = 4;

state::Result<std::vector<state::Address>> parseEntries(const std::vector<std::string> &texts)
{
    std::vector<state::Address> entries;
    for (const std::string &text : texts) {
        BOOST_OUTCOME_TRY(const state::Address address, state::Address::parse(text));
        entries.push_back(address);
    }
    return entries;
}

// Generates a text of `tokens` tokens, the same text for the same number.
std::string generatedPrompt(std::uint64_t tokens)
{
    std::string text;
    text.reserve(tokens * bytesPerToken);
    for (std::uint64_t token = 0; token < tokens; ++token) {
        const std::string word = std::to_string((token * 7919 + tokens) % 900 + 100);
        text += word + ' ';
    }
    return text;
}

state::Result<std::string> promptOf(const CallOptions &options)
{
    if (!options.prompt.empty())
        return options.prompt;
    if (options.promptFile.empty())
        return generatedPrompt(options.promptTokens);
    std::ifstream input(options.promptFile, std::ios::binary);
    if (!input)
        return state::makeError(state::ErrorCode::NotFound, "call.prompt", "can't open the file",
                                options.promptFile);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

protocol::HttpRequest completionRequest(const CallOptions &options, const std::string &prompt)
{
    protocol::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers.add("Content-Type", "application/json");
    if (!options.workClass.empty())
        request.headers.add("Work-Class", options.workClass);
    request.body = json::serialize(json::object{{"model", options.model},
                                                {"prompt", prompt},
                                                {"max_tokens", options.maxTokens},
                                                {"stream", true}});
    return request;
}

protocol::HttpRequest serviceRequest(const CallOptions &options)
{
    protocol::HttpRequest request;
    request.method = options.method;
    request.target = "/services/" + options.service + options.path;
    request.body = options.body;
    if (!options.body.empty())
        request.headers.add("Content-Type", "application/json");
    if (!options.idempotencyKey.empty())
        request.headers.add("Idempotency-Key", options.idempotencyKey);
    return request;
}

void print(const CallResult &result, bool asJson)
{
    const auto milliseconds = [](state::Duration time) {
        return static_cast<double>(time.count()) / microsecondsPerMillisecond;
    };
    if (asJson) {
        std::cout << json::serialize(
                json::object{{"status", result.status},
                             {"ran", result.ran},
                             {"whole", result.whole},
                             {"tokens", result.tokens},
                             {"connections", result.connections},
                             {"first_token_ms", milliseconds(result.firstToken)},
                             {"total_ms", milliseconds(result.total)},
                             {"problem", result.problem},
                             {"text", result.text}})
                  << '\n';
        return;
    }
    if (!result.text.empty())
        std::cout << result.text << '\n';
    if (!result.whole)
        std::cerr << "failed: " << result.problem << " (ran: " << result.ran << ")\n";
}

int exitCodeOf(const CallResult &result)
{
    if (result.whole)
        return exitOk;
    if (result.status == 0 && result.connections == 0 && result.ran != "unknown")
        return exitUnreachable;
    if (result.ran == "no")
        return exitNotRun;
    return result.ran == "unknown" ? exitUnknown : exitFailed;
}

} // namespace

int runCall(const CallOptions &options)
{
    const auto entries = parseEntries(options.entries);
    const auto prompt = promptOf(options);
    if (!entries || !prompt) {
        std::cerr << (entries ? prompt.error() : entries.error()).describe() << '\n';
        return exitUsage;
    }
    CallerSettings settings;
    settings.knownEntries = entries.value();
    settings.account = options.account;
    settings.key = options.key;
    settings.deadline = std::chrono::milliseconds(options.deadlineMs);
    Caller caller(settings);
    const CallResult result =
            options.service.empty()
                    ? runToEnd(caller.complete(completionRequest(options, prompt.value())))
                    : runToEnd(caller.call(serviceRequest(options),
                                           !options.idempotencyKey.empty()
                                                   || options.method == "GET"));
    print(result, options.json);
    return exitCodeOf(result);
}

int runStatus(const std::vector<std::string> &entryTexts, bool asJson)
{
    const auto entries = parseEntries(entryTexts);
    if (!entries) {
        std::cerr << entries.error().describe() << '\n';
        return exitUsage;
    }
    bool allAnswered = true;
    for (const state::Address &entry : entries.value()) {
        protocol::HttpRequest request;
        request.method = "GET";
        request.target = "/v1/status";
        const std::string body = runToEnd([](state::Address peer, protocol::HttpRequest call)
                                                  -> asio::awaitable<std::string> {
            const auto answer = co_await transport::httpCall(co_await asio::this_coro::executor,
                                                             peer, std::move(call), {});
            co_return answer &&answer.value().status == 200 ? answer.value().body : std::string();
        }(entry, request));
        if (body.empty()) {
            allAnswered = false;
            std::cerr << entry.toString() << ": no answer\n";
            continue;
        }
        if (asJson) {
            std::cout << body << '\n';
            continue;
        }
        const json::object status = json::parse(body).as_object();
        std::cout << entry.toString() << "  vm=" << status.at("vm").as_string().c_str()
                  << " phase=" << status.at("phase").as_string().c_str()
                  << " in_flight=" << status.at("in_flight").to_number<std::uint64_t>()
                  << " endpoints=" << status.at("endpoints").as_array().size() << '\n';
    }
    return allAnswered ? exitOk : exitUnreachable;
}

} // namespace lavenderthread::program
