#include "Callers.h"

#include "transport/Await.h"
#include "transport/HttpClient.h"

#include <boost/json/parse.hpp>

#include <array>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t eventsOfAStream = 8;
constexpr std::array paths = {"/stream/", "/post/", "/read/"};
// Narratives, summaries, reviews, and one that no engine holds alone.
constexpr std::array tokens = {"3000,200", "60000,200", "210000,200", "600000,200"};

std::string wholeStream(const std::string &id)
{
    std::string text;
    for (std::uint64_t event = 1; event <= eventsOfAStream; ++event)
        text += expectedEvent(id, event);
    return text;
}

} // namespace

Caller::Caller(asio::io_context &context, CallerSettings chosen, Ledger &ledger)
    : context(context)
    , settings(std::move(chosen))
    , ledger(ledger)
    , random(this->settings.seed)
{}

protocol::HttpRequest Caller::makeRequest(const std::string &id, const CallShape &shape)
{
    const std::size_t prompt = this->settings.briefOnly ? 0 : this->random() % tokens.size();
    protocol::HttpRequest request;
    request.method = shape.path == "/read/" && shape.body.empty() ? "GET" : "POST";
    request.target = shape.path + shape.rest;
    request.body = shape.body;
    request.headers = {{"Host", "soak"},
                       {"Request-Id", id},
                       {"Request-Deadline", std::to_string(this->settings.timeLimit.count())},
                       {"Credential", "key-one"},
                       {"Model", "m"},
                       {"Token-Count", tokens[prompt]}};
    if (!shape.promptPrefix.empty())
        request.headers.add("Prompt-Prefix", shape.promptPrefix);
    return request;
}

asio::awaitable<std::vector<state::Address>> Caller::resolve()
{
    protocol::HttpRequest request;
    request.method = "GET";
    request.target = "/resolve?Name=soak&Region=default&Zone=domain-0";
    transport::HttpCallLimits limits;
    limits.connectTimeout = milliseconds(300);
    limits.timeout = milliseconds(700);
    const state::Address to =
            this->settings.directories[this->random() % this->settings.directories.size()];
    const asio::any_io_executor executor = this->context.get_executor();
    const auto answer = co_await transport::httpCall(executor, to, std::move(request), limits);
    std::vector<state::Address> found;
    if (!answer || answer.value().status != 200)
        co_return found;
    const auto parsed = boost::json::parse(answer.value().body);
    for (const auto &each : parsed.at("Addresses").as_array())
        found.push_back(state::Address::parse(std::string(each.as_string())).value());
    co_return found;
}

asio::awaitable<void> Caller::callForEver(milliseconds pause)
{
    while (!this->stopped) {
        if (this->count % 8 == 0 || this->known.empty()) {
            auto found = co_await this->resolve();
            if (!found.empty())
                this->known = std::move(found);
        }
        if (!this->known.empty())
            co_await this->callOnce();
        co_await transport::pause(pause);
    }
}

asio::awaitable<void> Caller::callOnce()
{
    const std::string path = paths[this->random() % paths.size()];
    const state::Address entry = this->known[this->random() % this->known.size()];
    co_await this->callAt(this->settings.viaProxy(entry), path);
}

asio::awaitable<bool> Caller::callAt(state::Address to, std::string path, std::string promptPrefix)
{
    CallShape shape;
    shape.path = std::move(path);
    shape.promptPrefix = std::move(promptPrefix);
    co_return co_await this->callAt(std::move(to), std::move(shape));
}

asio::awaitable<bool> Caller::callAt(state::Address to, CallShape shape)
{
    const std::string id = this->settings.name + "-" + std::to_string(++this->count);
    protocol::HttpRequest request = this->makeRequest(id, shape);
    transport::HttpCallLimits limits;
    limits.connectTimeout = milliseconds(500);
    limits.timeout = milliseconds(3'500);
    const asio::any_io_executor executor = this->context.get_executor();
    auto opened = co_await transport::openHttpStream(executor, to, std::move(request), limits);
    if (!opened) {
        this->ledger.ended(opened.error().step == transport::connectStep ? "no-connection"
                                                                         : "no-answer");
        co_return false;
    }
    std::string body;
    while (true) {
        const auto piece = co_await opened.value().read(milliseconds(3'500));
        if (!piece) {
            this->ledger.ended("cut"); // visibly unfinished, which is allowed
            co_return false;
        }
        if (!piece.value())
            break;
        body += *piece.value();
    }
    const bool sealed = opened.value().headers().find("Response-Seal").has_value();
    co_return this->judge(id, shape.path, opened.value().status(), body, sealed);
}

bool Caller::judge(const std::string &id, const std::string &path, unsigned status,
                   const std::string &body, bool sealed)
{
    if (status == 200) {
        const std::string expected = path == "/stream/" ? wholeStream(id) : expectedBody(id);
        if (body != expected)
            this->ledger.broken("request " + id + " got a success with other bytes: " + body);
        else if (!sealed)
            this->ledger.broken("request " + id + " got a success without a seal");
        else
            this->ledger.succeeded();
        return body == expected && sealed;
    }
    const bool promise = status == 503 || status == 429 || status == 421 || status == 408;
    if (promise && !sealed)
        this->ledger.toldNotRun(id, path != "/post/");
    else
        this->ledger.ended("status-" + std::to_string(status));
    if (status >= 400 && status < 500 && !promise)
        this->ledger.broken("request " + id + " on " + path + " is proper and was answered "
                            + std::to_string(status));
    return false;
}

asio::awaitable<unsigned> Caller::probe(state::Address entry, std::string path)
{
    const std::string id = this->settings.name + "-p" + std::to_string(++this->count);
    protocol::HttpRequest request = this->makeRequest(id, {});
    request.target = std::move(path);
    transport::HttpCallLimits limits;
    limits.connectTimeout = milliseconds(500);
    limits.timeout = milliseconds(3'000);
    const asio::any_io_executor executor = this->context.get_executor();
    const auto answer = co_await transport::httpCall(executor, entry, std::move(request), limits);
    co_return answer ? answer.value().status : 0;
}

} // namespace lavenderthread::soak
