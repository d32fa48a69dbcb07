// Turns operators' requests into commands of the replicated log, and answers into HTTP responses.
#include "program/ControlRoutes.h"

#include "program/Clock.h"
#include "program/Log.h"
#include "protocol/ControlCommands.h"
#include "protocol/JsonResponse.h"
#include "protocol/Problem.h"
#include "state/BoundedJson.h"
#include "state/table/TableDifference.h"
#include "state/table/TableText.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <map>

namespace lavenderthread::program {

namespace asio = boost::asio;
namespace json = boost::json;
namespace control = state::control;
using protocol::HttpResponse;
using protocol::jsonResponse;
using protocol::Problem;
using protocol::Ran;

namespace {

constexpr std::chrono::seconds operatorDeadline{10};
constexpr std::chrono::milliseconds retryAfter{1'000};

HttpResponse problemAnswer(unsigned status, std::string title, std::string detail,
                           Ran ran = Ran::No)
{
    return toResponse(Problem{status, std::move(title), std::move(detail), ran, std::nullopt});
}

HttpResponse badRequest(const state::Error &error)
{
    return problemAnswer(400, "invalid-request", error.cause);
}

// Response to a refused command; on a conflict it names the winning edit.
HttpResponse refusedAnswer(const control::Refused &refused)
{
    const bool conflict = refused.error.code == state::ErrorCode::Conflict;
    json::object body{{"title", conflict ? "conflict" : "refused"},
                      {"status", conflict ? 409 : 400},
                      {"detail", refused.error.cause},
                      {"resend", refused.resend}};
    if (refused.winner) {
        body["winner"] = json::object{{"operator", refused.winner->operatorId.value()},
                                      {"at_ms", refused.winner->at.time_since_epoch().count()},
                                      {"version", refused.winner->version}};
    }
    HttpResponse answer = jsonResponse(conflict ? 409 : 400, body);
    answer.headers = {{"Content-Type", "application/problem+json"}};
    return answer;
}

asio::awaitable<HttpResponse> commit(std::shared_ptr<ControlClient> client,
                                     control::OperatorCommand command)
{
    control::Command proposal = std::move(command);
    const state::Instant deadline = monotonicNow() + operatorDeadline;
    const auto committed = co_await client->propose(std::move(proposal), deadline);
    if (!committed)
        co_return toResponse(Problem{504, "not-answered",
                                     "not known whether it was accepted; send it again with the "
                                     "same request id",
                                     Ran::Unknown, retryAfter});
    const control::Answer &answer = committed.value().answer;
    if (const auto *refused = std::get_if<control::Refused>(&answer))
        co_return refusedAnswer(*refused);
    const auto *accepted = std::get_if<control::Accepted>(&answer);
    if (accepted == nullptr)
        co_return problemAnswer(500, "internal", "unexpected answer", Ran::Unknown);
    co_return jsonResponse(
            200,
            {{"accepted", true}, {"version", accepted->version}, {"resend", accepted->resend}});
}

// Handles one request of an operator.
class OperatorCall
{
public:
    OperatorCall(std::shared_ptr<ControlClient> client, const AccountSetting &account,
                 const protocol::HttpRequest &request)
        : client(std::move(client))
        , operatorId(account.id.value())
        , request(request)
    {}

    asio::awaitable<HttpResponse> run()
    {
        const std::string_view path = this->request.path();
        const bool post = this->request.method == "POST";
        if (path == "/v1/operator/table" && !post)
            co_return this->exportTable();
        if (path == "/v1/operator/table")
            co_return co_await this->applyTable();
        if (path == "/v1/operator/orders" && post)
            co_return co_await this->submitOrder();
        if (path == "/v1/operator/accounts" && post)
            co_return co_await this->putAccount();
        if (path == "/v1/operator/enforcement" && !post)
            co_return co_await this->enforcement();
        co_return problemAnswer(404, "not-found", "no such path");
    }

private:
    control::OperatorCommand commandOf(control::OperatorAction action) const
    {
        // Without its own id a request cannot be recognised when it is sent again.
        const std::string id = this->request.query("request").value_or("");
        return protocol::makeOperatorCommand(state::OperatorId(this->operatorId), id, wallNow(),
                                             std::move(action));
    }

    HttpResponse exportTable() const
    {
        const auto view = this->client->view();
        HttpResponse answer;
        const bool csv = this->request.query("format") == "csv";
        answer.headers.add("Content-Type", csv ? "text/csv" : "application/json");
        answer.headers.add("Table-Version", std::to_string(view->version));
        answer.body =
                csv ? state::table::exportCsv(view->table) : state::table::exportJson(view->table);
        return answer;
    }

    asio::awaitable<HttpResponse> applyTable()
    {
        const auto view = this->client->view();
        const auto imported = this->request.query("format") == "csv"
                                      ? state::table::importCsv(this->request.body, view->table)
                                      : state::table::importJson(this->request.body, view->table);
        if (!imported)
            co_return badRequest(imported.error());
        if (!imported.value().problems.empty())
            co_return badRequest(state::table::problemsAsError(imported.value().problems));
        const auto change = state::table::difference(view->table, imported.value());
        if (this->request.query("dry_run")) {
            HttpResponse answer;
            answer.headers.add("Content-Type", "text/plain");
            answer.body = change.describe();
            co_return answer;
        }
        if (change.edits.empty())
            co_return jsonResponse(
                    200, {{"accepted", true}, {"version", view->version}, {"unchanged", true}});
        control::OperatorAction action = control::EditRows{change.edits};
        control::OperatorCommand command = this->commandOf(std::move(action));
        co_return co_await commit(this->client, std::move(command));
    }

    asio::awaitable<HttpResponse> submitOrder()
    {
        const auto spec = orderOf(this->request.body);
        if (!spec)
            co_return badRequest(spec.error());
        control::OperatorAction action = control::SubmitOrder{spec.value()};
        control::OperatorCommand command = this->commandOf(std::move(action));
        co_return co_await commit(this->client, std::move(command));
    }

    // Body: {"id","name","key","expected_version"}. Only the hash of the key is stored.
    asio::awaitable<HttpResponse> putAccount()
    {
        boost::system::error_code problem;
        const json::value root = state::parseJson(this->request.body, problem);
        const auto textOf = [&](const char *name) {
            const json::value *value =
                    root.is_object() ? root.get_object().if_contains(name) : nullptr;
            return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
        };
        constexpr std::size_t shortestKey = 8;
        if (problem || textOf("id").empty() || textOf("key").size() < shortestKey)
            co_return problemAnswer(400, "invalid-request",
                                    "expected a JSON object with id and a key of 8 characters");
        state::table::ClientAccount account;
        account.id = state::ClientAccountId(textOf("id"));
        account.name = textOf("name");
        account.bearerKeyHash = state::table::bearerKeyHash(textOf("key"));
        const auto view = this->client->view();
        const state::table::ClientAccount *known = view->catalog.accounts().find(account.id);
        control::PutAccount put{account, known != nullptr ? known->version : 0};
        control::OperatorAction action = std::move(put);
        control::OperatorCommand command = this->commandOf(std::move(action));
        co_return co_await commit(this->client, std::move(command));
    }

    static state::Result<control::OrderSpec> orderOf(const std::string &body)
    {
        static const std::map<std::string, control::OrderKind, std::less<>> kinds = {
                {"drain", control::OrderKind::Drain}, {"undrain", control::OrderKind::Undrain},
                {"load", control::OrderKind::Load},   {"unload", control::OrderKind::Unload},
                {"stop", control::OrderKind::Stop},   {"role", control::OrderKind::Role},
        };
        const auto fail = [](const char *cause) {
            return state::makeError(state::ErrorCode::InvalidArgument, "order.parse", cause);
        };
        boost::system::error_code problem;
        const json::value root = state::parseJson(body, problem);
        if (problem || !root.is_object())
            return fail("the body must be a JSON object");
        const json::object &object = root.get_object();
        const auto textOf = [&](const char *name) {
            const json::value *value = object.if_contains(name);
            return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
        };
        const auto kind = kinds.find(textOf("kind"));
        if (kind == kinds.end())
            return fail("kind: expected drain, undrain, load, unload, stop or role");
        control::OrderSpec spec;
        spec.kind = kind->second;
        spec.model = state::ModelName(textOf("model"));
        spec.role = textOf("role");
        if (const json::value *endpoints = object.if_contains("endpoints")) {
            if (!endpoints->is_array())
                return fail("endpoints: expected a list of texts");
            for (const json::value &each : endpoints->get_array()) {
                if (!each.is_string())
                    return fail("endpoints: expected a list of texts");
                spec.endpoints.emplace_back(std::string(each.get_string()));
            }
        }
        if (const json::value *count = object.if_contains("count")) {
            if (!count->is_int64() || count->get_int64() < 0 || count->get_int64() > UINT32_MAX)
                return fail("count: expected an integer from 0");
            spec.endpointCount = static_cast<std::uint32_t>(count->get_int64());
        }
        return spec;
    }

    asio::awaitable<HttpResponse> enforcement()
    {
        const std::string text = this->request.query("version").value_or("");
        std::uint64_t version = 0;
        const auto [end, parseError] =
                std::from_chars(text.data(), text.data() + text.size(), version);
        if (parseError != std::errc() || end != text.data() + text.size())
            co_return problemAnswer(400, "invalid-request", "version: expected an integer");
        const auto found =
                co_await this->client->enforcement(version, monotonicNow() + operatorDeadline);
        if (!found)
            co_return toResponse(
                    Problem{503, "no-leader", found.error().cause, Ran::No, retryAfter});
        json::array missing;
        for (const state::VmId &vm : found.value().missing)
            missing.emplace_back(vm.value());
        co_return jsonResponse(200, {{"version", version},
                                     {"in_force", found.value().inForce},
                                     {"entries", found.value().entries},
                                     {"missing", std::move(missing)}});
    }

    std::shared_ptr<ControlClient> client;
    std::string operatorId;
    const protocol::HttpRequest &request;
};

} // namespace

asio::awaitable<void> answerControlCall(ControlService &control, const protocol::SealKeys &keys,
                                        transport::HttpExchange &exchange)
{
    auto call = protocol::unsealControlCall(keys, exchange.request().body);
    if (!call) {
        logError("control.call-refused", call.error().withPeer(exchange.peer()));
        HttpResponse refusal = problemAnswer(401, "unauthorized", call.error().cause);
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    const protocol::ControlReply reply = co_await control.answer(std::move(call.value()));
    HttpResponse answer;
    answer.headers.add("Content-Type", "application/octet-stream");
    answer.body = protocol::sealControlReply(keys, reply);
    co_await exchange.respond(std::move(answer));
}

asio::awaitable<void> answerOperator(std::shared_ptr<ControlClient> client,
                                     const AccountSetting *account,
                                     transport::HttpExchange &exchange)
{
    HttpResponse answer;
    if (account == nullptr || !account->isOperator) {
        answer = problemAnswer(account == nullptr ? 401 : 403, "unauthorized",
                               "an operator's bearer key is needed");
    } else if (!client) {
        answer = problemAnswer(404, "no-control", "this node has no control members");
    } else {
        OperatorCall call(client, *account, exchange.request());
        answer = co_await call.run();
    }
    co_await exchange.respond(std::move(answer));
}

} // namespace lavenderthread::program
