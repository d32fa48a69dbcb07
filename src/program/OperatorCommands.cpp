// The operators' subcommands table, account, order and in-force, sent through any entry.
#include "program/Clock.h"
#include "program/Commands.h"
#include "program/RunToEnd.h"
#include "program/TableCommands.h"
#include "transport/HttpClient.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace lavenderthread::program {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::seconds operatorTimeout{15};

asio::awaitable<state::Result<protocol::HttpResponse>> send(state::Address entry,
                                                            protocol::HttpRequest request)
{
    transport::HttpCallLimits limits;
    limits.timeout = operatorTimeout;
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    co_return co_await transport::httpCall(executor, entry, std::move(request), limits);
}

// Tries the entries in order until one accepts a connection, prints its answer and returns the exit
// code.
int sendToEntries(const OperatorOptions &options, protocol::HttpRequest request)
{
    request.headers.add("Authorization", "Bearer " + options.key);
    for (const std::string &text : options.entries) {
        const auto entry = state::Address::parse(text);
        if (!entry) {
            std::cerr << entry.error().describe() << '\n';
            return exitUsage;
        }
        const auto answer = runToEnd(send(entry.value(), request));
        if (!answer && answer.error().step == transport::connectStep)
            continue;
        if (!answer) {
            std::cerr
                    << "not known whether it was accepted; send it again with the same --request: "
                    << answer.error().describe() << '\n';
            return exitUnknown;
        }
        const bool ok = answer.value().status < 400;
        (ok ? std::cout : std::cerr) << answer.value().body;
        if (!answer.value().body.ends_with('\n'))
            (ok ? std::cout : std::cerr) << '\n';
        if (answer.value().status == 504)
            return exitUnknown;
        return ok ? exitOk : exitFailed;
    }
    std::cerr << "no entry can be reached\n";
    return exitUnreachable;
}

std::string requestId(const OperatorOptions &options)
{
    if (!options.request.empty())
        return options.request;
    return "cli-" + std::to_string(wallNow().time_since_epoch().count());
}

protocol::HttpRequest post(const OperatorOptions &options, const std::string &path,
                           std::string body, const std::string &extraQuery = {})
{
    protocol::HttpRequest request;
    request.method = "POST";
    request.target = path + "?request=" + requestId(options) + extraQuery;
    request.body = std::move(body);
    return request;
}

protocol::HttpRequest get(std::string target)
{
    protocol::HttpRequest request;
    request.method = "GET";
    request.target = std::move(target);
    return request;
}

} // namespace

int runTableGet(const OperatorOptions &options, const std::string &format)
{
    return sendToEntries(options, get("/v1/operator/table?format=" + format));
}

int runTableApply(const OperatorOptions &options, const std::string &file, bool dryRun)
{
    const auto format = tableFormatOf(file);
    std::ifstream input(file, std::ios::binary);
    if (!format || !input) {
        std::cerr << file << ": "
                  << (format ? std::string("can't open the file") : format.error().cause) << '\n';
        return exitUsage;
    }
    std::ostringstream text;
    text << input.rdbuf();
    std::string query = format.value() == TableFormat::Csv ? "&format=csv" : "&format=json";
    if (dryRun)
        query += "&dry_run=1";
    return sendToEntries(options, post(options, "/v1/operator/table", text.str(), query));
}

int runAccountPut(const OperatorOptions &options, const std::string &id, const std::string &name,
                  const std::string &accountKey)
{
    const json::object body{{"id", id}, {"name", name}, {"key", accountKey}};
    return sendToEntries(options, post(options, "/v1/operator/accounts", json::serialize(body)));
}

int runOrder(const OperatorOptions &options, const OrderOptions &order)
{
    json::object body{{"kind", order.kind}};
    json::array endpoints;
    for (const std::string &endpoint : order.endpoints)
        endpoints.emplace_back(endpoint);
    body["endpoints"] = std::move(endpoints);
    if (!order.model.empty())
        body["model"] = order.model;
    if (!order.role.empty())
        body["role"] = order.role;
    if (order.count > 0)
        body["count"] = order.count;
    return sendToEntries(options, post(options, "/v1/operator/orders", json::serialize(body)));
}

int runEnforcement(const OperatorOptions &options, std::uint64_t version)
{
    return sendToEntries(options,
                         get("/v1/operator/enforcement?version=" + std::to_string(version)));
}

} // namespace lavenderthread::program
