#include "Operator.h"

#include "program/Clock.h"
#include "transport/Await.h"
#include "transport/HttpClient.h"

#include <array>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds answerTime{1'500};
constexpr milliseconds betweenTries{100};
constexpr milliseconds evacuationPatience{5'000}; // operators repeat an order for so long
constexpr unsigned statusOk = 200;
constexpr unsigned firstServerError = 500;
constexpr std::uint64_t changesUntilHeld = 6;
constexpr std::array<std::size_t, 3> fillerRouteCounts = {0, 200, 1'500};

} // namespace

Operator::Operator(asio::io_context &context, std::vector<state::Address> controls, Ledger &ledger,
                   std::uint64_t seed)
    : context(context)
    , controls(std::move(controls))
    , ledger(ledger)
    , random(seed)
    , fillerRoutes(fillerRouteCounts[seed % fillerRouteCounts.size()])
{}

std::string Operator::coldLimits() const
{
    if (this->coldRequestsPerSecond <= 0)
        return {};
    return R"("ColdStartS":)"
           + std::to_string(std::chrono::duration<double>(this->coldTime).count())
           + R"(,"ColdPerS":)" + std::to_string(this->coldRequestsPerSecond) + ",";
}

std::string Operator::document() const
{
    const auto routeWithin = [](milliseconds timeout) {
        return R"("Host":"soak","TimeoutMs":)" + std::to_string(timeout.count())
               + R"(,"Anonymous":false,"Attempts":2,)";
    };
    const std::string route = routeWithin(this->callTimeout);
    std::string filler;
    for (std::size_t index = 0; index < this->fillerRoutes; ++index) {
        const std::string name = "filler" + std::to_string(index);
        filler.append(R"({"Name":")").append(name).append(R"(","PathPrefix":"/)").append(name);
        filler.append(R"(/","Kind":"idempotent",)").append(route);
        filler.append(R"("TargetLatencyMs":100,"Service":"app"},)");
    }
    return R"({"Version":)" + std::to_string(this->version) + R"(,"Routes":[)" + filler
           + R"({"Name":"stream","PathPrefix":"/stream/","Kind":"streaming","Resumable":true,)"
           + routeWithin(this->streamTimeout) + R"("TargetLatencyMs":)"
           + std::to_string(this->firstEventTarget.count())
           + R"(,"TargetGapMs":800,"Service":"llm"},)"
           + R"({"Name":"post","PathPrefix":"/post/","Kind":"non_idempotent",)" + route
           + R"("TargetLatencyMs":100,"Service":"app"},)"
           + R"({"Name":"read","PathPrefix":"/read/","Kind":"idempotent",)" + route
           + R"("TargetLatencyMs":100,"Service":"app"},)" + R"({"Name":"v)"
           + std::to_string(this->version) + R"(","PathPrefix":"/v)" + std::to_string(this->version)
           + R"(/","Kind":"idempotent",)" + route
           + R"("TargetLatencyMs":100,"Service":"app"}],"Services":[)"
           + R"({"Name":"llm","HealthPath":"/health","MaxConns":100,)" + this->coldLimits()
           + R"("Engine":{"Slots":16,)"
           + R"("KvCapacity":450000,"Stride":46,"step_ms":0.925,"per_seq_ms":0.00483,)"
           + R"("context_per_k":0.00254,"read_per_s":)" + std::to_string(this->readRate)
           + R"(,"pairs_per_m":0.00917,"chunk":2048}},)"
           + R"({"Name":"app","HealthPath":"/health","MaxConns":100}],)" + this->limits()
           + R"("Tenants":[{"Name":"acme","ApiKeys":["key-one"]}]})";
}

std::string Operator::limits() const
{
    if (this->mostBytes == 0)
        return {};
    return R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":)" + std::to_string(this->mostBytes)
           + R"(,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)";
}

asio::awaitable<state::Result<protocol::HttpResponse>>
Operator::call(std::size_t control, const char *method, std::string path, std::string body)
{
    protocol::HttpRequest request;
    request.method = method;
    request.target = std::move(path);
    request.body = std::move(body);
    transport::HttpCallLimits limits;
    limits.connectTimeout = milliseconds(300);
    limits.timeout = answerTime;
    const state::Address to = this->controls[control % this->controls.size()];
    const asio::any_io_executor executor = this->context.get_executor();
    co_return co_await transport::httpCall(executor, to, std::move(request), limits);
}

asio::awaitable<bool> Operator::send(milliseconds patience)
{
    ++this->version;
    const std::string text = this->document();
    const std::uint64_t sent = this->version;
    const state::Instant limit = program::monotonicNow() + patience;
    std::size_t control = this->random(); // another one after each failure
    while (program::monotonicNow() < limit && !this->stopped) {
        std::string body = text;
        const auto answer =
                co_await this->call(control++, "POST", "/config/replace", std::move(body));
        if (answer && answer.value().status == statusOk) {
            this->ledger.acknowledged(sent);
            co_return true;
        }
        if (answer && answer.value().status < 500)
            this->ledger.broken("a valid configuration was refused with "
                                + std::to_string(answer.value().status));
        co_await transport::pause(betweenTries);
    }
    co_return false;
}

asio::awaitable<void>
Operator::sendForEver(milliseconds pause,
                      std::function<asio::awaitable<void>(std::uint64_t version)> whileHeld)
{
    while (!this->stopped) {
        const bool accepted = co_await this->send(milliseconds(6'000));
        if (accepted && this->version % changesUntilHeld == 0)
            co_await whileHeld(this->version);
        co_await transport::pause(pause);
    }
}

asio::awaitable<std::optional<std::uint64_t>> Operator::read(milliseconds patience)
{
    const state::Instant limit = program::monotonicNow() + patience;
    std::size_t control = this->random();
    while (program::monotonicNow() < limit) {
        const std::uint64_t before = this->ledger.newestAcknowledged();
        const auto answer = co_await this->call(control++, "GET", "/config/get", "");
        if (answer && answer.value().status == statusOk) {
            const std::string &body = answer.value().body;
            const std::size_t colon = body.find(':');
            const std::uint64_t found = std::stoull(body.substr(colon + 1));
            this->ledger.readBack(found, before);
            co_return found;
        }
        co_await transport::pause(betweenTries);
    }
    co_return std::nullopt;
}

asio::awaitable<bool> Operator::evacuate(std::string failureDomain, bool evacuated,
                                         std::size_t lostAnswers)
{
    const std::string path = "/evacuation/" + failureDomain + (evacuated ? "/begin" : "/finish");
    const state::Instant limit = program::monotonicNow() + evacuationPatience;
    std::size_t control = this->random(); // another one after each failure
    while (program::monotonicNow() < limit) {
        const auto answer = co_await this->call(control++, "POST", path, "");
        const bool accepted = answer && answer.value().status == statusOk;
        if (accepted && lostAnswers == 0)
            co_return true;
        lostAnswers -= accepted ? 1 : 0;
        if (!accepted && answer && answer.value().status < firstServerError)
            this->ledger.broken(path + " was refused with "
                                + std::to_string(answer.value().status));
        co_await transport::pause(betweenTries);
    }
    co_return false;
}

asio::awaitable<void> Operator::readForEver(milliseconds pause)
{
    while (!this->stopped) {
        co_await this->read(milliseconds(300));
        co_await transport::pause(pause);
    }
}

} // namespace lavenderthread::soak
