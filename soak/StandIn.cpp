#include "StandIn.h"

#include "program/Clock.h"
#include "transport/Await.h"
#include "transport/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds heartbeatInterval{400};
constexpr milliseconds hangTime{4'000};
constexpr std::uint64_t events = 8; // of every stream
constexpr double faultShare = 0.4;

std::string valueOf(const protocol::HttpRequest &request, const char *name)
{
    return std::string(request.headers.find(name).value_or(""));
}

bool isRepeatable(const protocol::HttpRequest &request)
{
    return !request.path().starts_with("/post/");
}

} // namespace

StandIn::StandIn(asio::io_context &context, StandInSettings chosen, Ledger &ledger)
    : context(context)
    , settings(std::move(chosen))
    , ledger(ledger)
    , random(this->settings.seed)
    , control(this->settings.seed)
{}

void StandIn::start()
{
    this->restart();
    transport::HttpServer::Hooks hooks;
    hooks.handle = [self = this->shared_from_this()](transport::HttpExchange &exchange) {
        return self->serve(exchange);
    };
    hooks.reject = [](unsigned status, std::string_view) {
        return protocol::HttpResponse{status, {}, {}};
    };
    this->server =
            transport::HttpServer::create(this->context, this->settings.listen, {}, hooks).value();
    this->server->start();
    asio::co_spawn(this->context, this->beat(), asio::detached);
}

void StandIn::restart()
{
    this->born = std::uint64_t(program::wallNow().time_since_epoch().count());
    this->id = "i-" + std::to_string(this->random() % 100'000'000);
    this->sequence = 0;
    this->limit = {};
    this->restTime.reset();
    this->coldUntil = {};
    this->accepted.reset();
    this->leaving = false;
    this->ended = false;
}

void StandIn::restartCold(milliseconds time)
{
    this->restart();
    this->coldUntil = program::monotonicNow() + time;
}

void StandIn::nameLimit(std::optional<double> perSecond)
{
    this->limit.set(perSecond, program::monotonicNow());
}

std::string StandIn::heartbeat()
{
    std::string models;
    if (this->settings.engine)
        models = R"("Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],)";
    const state::Duration coldLeft =
            std::max(this->coldUntil - program::monotonicNow(), state::Duration(0));
    const auto coldLeftMs = std::chrono::ceil<milliseconds>(coldLeft).count();
    return R"({"Service":")" + this->settings.service + R"(","Address":")"
           + this->settings.announced.toString() + R"(","Zone":")" + this->settings.failureDomain
           + R"(","Version":"v1","Slots":16,"State":"ready","ColdLeftMs":)"
           + std::to_string(coldLeftMs) + "," + models + R"("Seq":)"
           + std::to_string(++this->sequence) + R"(,"born":)" + std::to_string(this->born) + "}";
}

asio::awaitable<void> StandIn::beat()
{
    const auto self = this->shared_from_this();
    while (true) {
        if (this->ended) {
            co_await transport::pause(heartbeatInterval);
            continue;
        }
        protocol::HttpRequest request;
        request.method = "POST";
        request.target = "/replicas/" + this->id + "/heartbeat";
        request.body = this->heartbeat();
        transport::HttpCallLimits limits;
        limits.connectTimeout = milliseconds(300);
        limits.timeout = milliseconds(700);
        const state::Address to =
                this->settings.controls[this->control % this->settings.controls.size()];
        const asio::any_io_executor executor = this->context.get_executor();
        const auto answer = co_await transport::httpCall(executor, to, std::move(request), limits);
        if (!answer || answer.value().status != 200)
            ++this->control; // the next node
        else if (!this->accepted)
            this->accepted = program::monotonicNow();
        co_await transport::pause(heartbeatInterval);
    }
}

bool StandIn::strikes(EndpointFault which)
{
    return this->fault == which
           && std::uniform_real_distribution<double>(0, 1)(this->random) < faultShare;
}

asio::awaitable<void> StandIn::serveOrder(transport::HttpExchange &exchange)
{
    protocol::HttpResponse granted;
    granted.body = "{}";
    co_await exchange.respond(std::move(granted));
}

asio::awaitable<void> StandIn::serve(transport::HttpExchange &exchange)
{
    const protocol::HttpRequest request = exchange.request();
    if (request.path() == "/order") {
        co_await this->serveOrder(exchange);
        co_return;
    }
    ++this->arrived;
    this->settings.arrived(request);
    this->limit.recordArrival(program::monotonicNow());
    const std::string requestId = valueOf(request, "Request-Id");
    protocol::HttpResponse answer;
    answer.headers = {{"Request-Id", requestId}, {"Response-Seal", "seal"}};
    if (const auto perSecond = this->limit.current())
        answer.headers.add("Server-Limit", std::to_string(*perSecond));
    if (this->leaving) {
        answer.headers.add("Server-Leaving", "1");
        this->settings.saidLeaving(request);
    }
    if (valueOf(request, "Expect-Instance") != this->id) {
        answer.status = 421;
        co_await exchange.respond(std::move(answer));
        co_return;
    }
    if (this->restTime) {
        constexpr double msPerSecond = 1'000;
        answer.status = 503;
        answer.headers.add("Not-Executed", "1");
        answer.headers.add("Retry-After",
                           std::to_string(double(this->restTime->count()) / msPerSecond));
        this->settings.askedForRest(request, *this->restTime);
        co_await exchange.respond(std::move(answer));
        co_return;
    }
    if (this->strikes(EndpointFault::Refuses)) {
        answer.status = 503;
        answer.headers.add("Not-Executed", "1");
        co_await exchange.respond(std::move(answer));
        co_return;
    }
    this->ledger.ran(requestId, isRepeatable(request));
    const auto ended = std::make_shared<bool>(false);
    exchange.onCallerGone([self = this->shared_from_this(), request, ended] {
        if (!std::exchange(*ended, true))
            self->settings.workEnded(request, false);
    });
    const bool answered = co_await this->run(exchange, std::move(answer), requestId);
    if (!std::exchange(*ended, true))
        this->settings.workEnded(request, !answered);
}

asio::awaitable<bool> StandIn::run(transport::HttpExchange &exchange, protocol::HttpResponse answer,
                                   const std::string &requestId)
{
    milliseconds workTime = this->settings.workTime;
    if (this->settings.workTimeOf)
        workTime = this->settings.workTimeOf(exchange.request());
    co_await transport::pause(workTime);
    if (this->strikes(EndpointFault::Hangs)) {
        co_await transport::pause(hangTime);
        co_return false;
    }
    if (this->strikes(EndpointFault::Breaks))
        co_return false;
    if (this->strikes(EndpointFault::Fails))
        answer.status = 500;
    if (this->strikes(EndpointFault::Crossed))
        answer.headers = {{"Request-Id", "another"}, {"Response-Seal", "seal"}};
    if (this->settings.engine && answer.status == 200) {
        this->settings.streamBegan();
        const StreamEnd end = co_await this->stream(exchange, std::move(answer), requestId);
        this->settings.streamEnded(end == StreamEnd::Whole);
        co_return end != StreamEnd::BrokenOff;
    }
    if (!this->settings.engine && this->settings.ends(exchange.request()))
        co_return false;
    answer.body = expectedBody(requestId);
    if (exchange.request().target.starts_with("/read/large"))
        answer.body += std::string(this->settings.largeAnswerBytes, 'x');
    co_await exchange.respond(std::move(answer));
    co_return true;
}

asio::awaitable<StandIn::StreamEnd> StandIn::stream(transport::HttpExchange &exchange,
                                                    protocol::HttpResponse head,
                                                    const std::string &requestId)
{
    const std::string behind = valueOf(exchange.request(), "Last-Event-Id");
    const std::uint64_t first = behind.empty() ? 1 : std::stoull(behind) + 1;
    co_await exchange.beginStream(std::move(head));
    if (this->settings.ends(exchange.request()))
        co_return StreamEnd::BrokenOff;
    for (std::uint64_t event = first; event <= events; ++event) {
        co_await transport::pause(this->settings.eventTime);
        std::string text = expectedEvent(requestId, event);
        const bool breaks = this->strikes(EndpointFault::Breaks);
        if (breaks)
            text.resize(text.size() / 2);
        const auto sent = co_await exchange.write(text);
        if (!sent || breaks)
            co_return breaks ? StreamEnd::BrokenOff : StreamEnd::CallerGone;
    }
    co_await exchange.finishStream();
    co_return StreamEnd::Whole;
}

} // namespace lavenderthread::soak
