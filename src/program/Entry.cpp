// The entry's HTTP routes.
#include "program/Entry.h"

#include "program/Clock.h"
#include "program/HeaderValues.h"
#include "program/Log.h"
#include "program/ResourceLimits.h"
#include "protocol/JsonResponse.h"
#include "protocol/RelayedRequest.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <cstdio>

namespace lavenderthread::program {

namespace asio = boost::asio;
namespace json = boost::json;
using protocol::jsonResponse;
using protocol::Problem;
using protocol::Ran;

namespace {

constexpr std::string_view endpointsPrefix = "/v1/endpoints/";
constexpr std::string_view servicesPrefix = "/services/";
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::chrono::milliseconds retryElsewhereAfter{100};
constexpr std::chrono::milliseconds retryStaleAfter{500};
constexpr unsigned statusUnavailable = 503;

protocol::HttpResponse simpleProblem(unsigned status, std::string title, std::string detail)
{
    return toResponse(Problem{status, std::move(title), std::move(detail), Ran::No, std::nullopt});
}

transport::HttpLimits limitsOf(const EntrySettings &entry)
{
    transport::HttpLimits limits;
    limits.headerBytes = entry.headerLimitBytes;
    limits.bodyBytes = entry.bodyLimitBytes;
    limits.connections = entry.connections;
    limits.requestTimeout = entry.requestTimeout;
    limits.idleTimeout = entry.idleTimeout;
    return limits;
}

} // namespace

std::string_view toString(EntryPhase phase)
{
    switch (phase) {
    case EntryPhase::Serving:
        return "serving";
    case EntryPhase::Leaving:
        return "leaving";
    case EntryPhase::Refusing:
        return "refusing";
    }
    return "refusing";
}

Entry::Entry(const Settings &settings, std::shared_ptr<EndpointRegistry> registry, Hooks hooks)
    : settings(settings)
    , registry(std::move(registry))
    , hooks(std::move(hooks))
    , completions(settings,
                  {this->hooks.scheduler, this->hooks.guard,
                   [this] { return this->nextRequestId(); }, this->hooks.completionFinished,
                   this->hooks.openRequests, this->hooks.answerBuffers})
    , services(settings,
               {[this] { return this->registry->table(); }, this->hooks.claims, this->hooks.guard,
                [this] { return this->nextRequestId(); }, this->hooks.serviceFinished,
                this->hooks.openRequests, this->hooks.answerBuffers})
    , requestPrefix(settings.vm.value() + "-" + std::to_string(wallNow().time_since_epoch().count())
                    + "-")
{
    for (const AccountSetting &account : settings.accounts)
        this->accountsByKey[account.key] = account;
}

state::Result<std::shared_ptr<Entry>> Entry::create(const Settings &settings,
                                                    asio::io_context &context,
                                                    std::shared_ptr<EndpointRegistry> registry,
                                                    Hooks hooks)
{
    std::shared_ptr<Entry> entry(new Entry(settings, std::move(registry), std::move(hooks)));
    transport::HttpServer::Hooks serverHooks;
    serverHooks.handle = [self = entry.get()](transport::HttpExchange &exchange) {
        return self->handle(exchange);
    };
    serverHooks.reject = [](unsigned status, std::string_view cause) {
        if (status == statusUnavailable) {
            protocol::HttpResponse refusal = toResponse(
                    Problem{status, "overloaded", std::string(cause), Ran::No, retryWithoutRoom});
            // The request may have been handed over by a peer.
            refusal.headers = protocol::withPeerResult(
                    refusal.headers, protocol::PeerResult::Elsewhere, retryWithoutRoom);
            return refusal;
        }
        return simpleProblem(status, "invalid-request", std::string(cause));
    };
    serverHooks.pool = entry->hooks.pool;
    BOOST_OUTCOME_TRY(entry->server, transport::HttpServer::create(context, settings.entry.listen,
                                                                   limitsOf(settings.entry),
                                                                   std::move(serverHooks)));
    return entry;
}

void Entry::start()
{
    this->server->start();
}

void Entry::enter(EntryPhase phase)
{
    this->currentPhase = phase;
    logEvent(LogLevel::Info, "entry.phase",
             {{"phase", toString(phase)},
              {"in_flight", std::uint64_t(this->hooks.openRequests->count())}});
}

asio::awaitable<void> Entry::handle(transport::HttpExchange &exchange)
{
    const protocol::HttpRequest &request = exchange.request();
    const std::string_view path = request.path();
    if (path == "/v1/entries" && request.method == "GET") {
        co_await exchange.respond(this->directoryAnswer(request));
        co_return;
    }
    if (path == "/v1/status" && request.method == "GET") {
        co_await exchange.respond(this->statusAnswer());
        co_return;
    }
    if (path.starts_with(endpointsPrefix)) {
        co_await this->handleEndpointCall(exchange, path.substr(endpointsPrefix.size()));
        co_return;
    }
    const std::optional<AccountSetting> account = this->authenticate(request);
    if (this->hooks.extraRoutes) {
        const bool handled =
                co_await this->hooks.extraRoutes(exchange, account ? &*account : nullptr);
        if (handled)
            co_return;
    }
    if (!account) {
        co_await exchange.respond(
                simpleProblem(401, "unauthorized", "the bearer key is missing or not known"));
        co_return;
    }
    co_await this->handleWork(exchange, *account);
}

asio::awaitable<void> Entry::handleWork(transport::HttpExchange &exchange,
                                        const AccountSetting &account)
{
    const protocol::HttpRequest &request = exchange.request();
    const std::string_view path = request.path();
    if (this->currentPhase == EntryPhase::Refusing) {
        co_await exchange.respond(this->refuseElsewhere(account.id));
        co_return;
    }
    // Nothing new is admitted under a table that may be outdated: an entry without contact to the
    // control members would continue to grant what the operators have revoked.
    if (this->hooks.isAdmissionAllowed && !this->hooks.isAdmissionAllowed()) {
        Problem problem{503, "table-not-fresh", "this entry has no confirmed table; use another",
                        Ran::No, retryStaleAfter};
        co_await exchange.respond(toResponse(problem));
        co_return;
    }
    if (path.starts_with(servicesPrefix)) {
        co_await this->services.run(exchange, account);
        co_return;
    }
    const bool text = path == "/v1/completions";
    if (!text && path != "/v1/chat/completions") {
        co_await exchange.respond(simpleProblem(404, "not-found", "no such path"));
        co_return;
    }
    if (request.method != "POST") {
        co_await exchange.respond(simpleProblem(405, "method-not-allowed", "use POST"));
        co_return;
    }
    co_await this->completions.run(
            exchange, text ? protocol::CompletionKind::Text : protocol::CompletionKind::Chat,
            account);
}

asio::awaitable<void> Entry::handleEndpointCall(transport::HttpExchange &exchange,
                                                std::string_view path)
{
    const protocol::HttpRequest &request = exchange.request();
    const auto slash = path.find('/');
    protocol::HttpResponse answer;
    if (request.method != "POST")
        answer = simpleProblem(405, "method-not-allowed", "use POST");
    else if (path == "announce")
        answer = co_await this->announce(request);
    else if (slash == std::string_view::npos)
        answer = simpleProblem(404, "not-found", "no such path");
    else if (path.substr(slash + 1) == "leave")
        answer = co_await this->leave(request,
                                      state::EndpointId(std::string(path.substr(0, slash))));
    else
        answer = this->handleEndpointUpdate(request,
                                            state::EndpointId(std::string(path.substr(0, slash))),
                                            path.substr(slash + 1));
    co_await exchange.respond(std::move(answer));
}

asio::awaitable<protocol::HttpResponse> Entry::announce(const protocol::HttpRequest &request)
{
    const auto endpoint = protocol::parseAnnouncement(request.body);
    if (!endpoint)
        co_return toResponse(invalidRequest(endpoint.error()));
    const auto accepted = co_await this->hooks.announce(endpoint.value());
    if (!accepted && accepted.error().code == state::ErrorCode::Conflict)
        co_return simpleProblem(409, "old-incarnation", accepted.error().cause);
    if (!accepted)
        co_return toResponse(invalidRequest(accepted.error()));
    const AnnounceAnswer &answer = accepted.value();
    co_return jsonResponse(200, {{"renew_after_ms", toMilliseconds(answer.renewAfter)},
                                 {"expires_after_ms", toMilliseconds(answer.expiresAfter)},
                                 {"owner", answer.owner.toString()}});
}

protocol::HttpResponse Entry::handleEndpointUpdate(const protocol::HttpRequest &request,
                                                   const state::EndpointId &id,
                                                   std::string_view call)
{
    protocol::HttpResponse noContent{204, {}, {}};
    const auto unknown = [] {
        return simpleProblem(404, "not-announced", "announce the endpoint again");
    };
    if (call == "load") {
        const auto report = protocol::parseLoadReport(id, request.body);
        if (!report)
            return toResponse(invalidRequest(report.error()));
        if (this->registry->table()->find(id, report.value().incarnation) == nullptr)
            return unknown();
        this->hooks.loadReported(report.value());
        return noContent;
    }
    if (call != "cache-events")
        return simpleProblem(404, "not-found", "no such path");
    const auto batch = protocol::parseCacheEvents(request.body);
    if (!batch)
        return toResponse(invalidRequest(batch.error()));
    if (this->registry->table()->find(id, batch.value().incarnation) == nullptr)
        return unknown();
    this->hooks.cacheChanged(id, batch.value());
    return noContent;
}

// An endpoint of which only a later start is known has nothing more to say.
asio::awaitable<protocol::HttpResponse> Entry::leave(const protocol::HttpRequest &request,
                                                     state::EndpointId id)
{
    const auto batch = protocol::parseLeave(request.body);
    if (!batch)
        co_return toResponse(invalidRequest(batch.error()));
    const auto left = co_await this->hooks.left(std::move(id), batch.value().incarnation);
    if (left || left.error().code == state::ErrorCode::Conflict
        || left.error().code == state::ErrorCode::NotFound)
        co_return protocol::HttpResponse{204, {}, {}};
    if (left.error().code == state::ErrorCode::InvalidArgument)
        co_return toResponse(invalidRequest(left.error()));
    co_return simpleProblem(503, "leave-not-stored", left.error().cause);
}

protocol::HttpResponse Entry::directoryAnswer(const protocol::HttpRequest &request) const
{
    const DirectoryAnswer answer =
            this->hooks.directory(state::ClientAccountId(request.query("account").value_or("")));
    if (answer.entries.empty()) {
        Problem problem{503, "no-entry-ready", "no entry is ready yet", Ran::No, retryStaleAfter};
        return toResponse(problem);
    }
    json::array entries;
    for (const state::Address &address : answer.entries)
        entries.emplace_back(json::object{{"address", address.toString()}});
    return jsonResponse(200, {{"entries", std::move(entries)}, {"ttl_ms", answer.ttl.count()}});
}

protocol::HttpResponse Entry::statusAnswer() const
{
    json::array endpoints;
    const auto table = this->registry->table();
    for (const auto &[id, endpoint] : table->endpoints) {
        const bool engine = endpoint.description.kind == state::EndpointKind::Engine;
        endpoints.emplace_back(
                json::object{{"id", id.value()},
                             {"address", endpoint.description.address.toString()},
                             {"kind", engine ? "engine" : "plain-service"},
                             {"failure_domain", endpoint.description.failureDomain.value()},
                             {"incarnation", endpoint.description.incarnation},
                             {"draining", endpoint.draining},
                             {"evacuated", endpoint.evacuated}});
    }
    return jsonResponse(200, {{"vm", this->settings.vm.value()},
                              {"failure_domain", this->settings.failureDomain.value()},
                              {"phase", std::string(toString(this->currentPhase.load()))},
                              {"in_flight", this->hooks.openRequests->count()},
                              {"endpoints", std::move(endpoints)}});
}

protocol::HttpResponse Entry::refuseElsewhere(const state::ClientAccountId &account) const
{
    json::array others;
    for (const state::Address &address : this->hooks.directory(account).entries) {
        if (address != this->address())
            others.emplace_back(address.toString());
    }
    json::object body{{"title", "leaving"},
                      {"status", 503},
                      {"detail", "this entry is shutting down; use another"},
                      {"ran", std::string(protocol::toString(Ran::No))},
                      {"retry_after_ms", retryElsewhereAfter.count()},
                      {"entries", std::move(others)}};
    protocol::HttpResponse answer = jsonResponse(503, body);
    answer.headers = {{"Content-Type", "application/problem+json"}, {"Retry-After", "1"}};
    return answer;
}

std::optional<AccountSetting> Entry::authenticate(const protocol::HttpRequest &request) const
{
    const auto header = request.headers.find("Authorization");
    if (!header || !header->starts_with(bearerPrefix))
        return std::nullopt;
    const std::string key(header->substr(bearerPrefix.size()));
    const auto found = this->accountsByKey.find(key);
    if (found != this->accountsByKey.end())
        return found->second;
    return this->hooks.accountOfKey ? this->hooks.accountOfKey(key) : std::nullopt;
}

state::RequestId Entry::nextRequestId()
{
    return state::RequestId(this->requestPrefix + std::to_string(++this->requestCounter));
}

} // namespace lavenderthread::program
