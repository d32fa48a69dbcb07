#include "OddEntries.h"

#include "transport/Await.h"
#include "transport/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>
#include <csignal>
#include <iostream>
#include <utility>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds calmTime{3'000};
constexpr milliseconds oddPause{15};
constexpr milliseconds restartPause{400};
constexpr milliseconds knownWithin{5'000}; // after endpoints or processes have started again
constexpr milliseconds lastAnswer{3'500};
constexpr double servedShare = 0.9;
constexpr std::size_t deepLevels = 10'000;

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

OddEntries::OddEntries(asio::io_context &context, std::uint64_t seed, Fleet &fleet,
                       std::vector<std::shared_ptr<StandIn>> &endpoints, Ledger &ledger)
    : context(context)
    , random(seed)
    , fleet(fleet)
    , endpoints(endpoints)
    , ledger(ledger)
    , callers(context, {.seed = seed}, fleet, ledger)
{}

// One member is odd at most, so that the others don't hide it.
std::string OddEntries::drawHeartbeat()
{
    const std::array numbers = {std::string("1e400"),
                                std::string("-1"),
                                std::string("18446744073709551615"),
                                std::string("1e19"),
                                std::string("99999999999999999999999"),
                                std::string("0"),
                                std::string("1.5"),
                                nested(deepLevels)};
    const std::array addresses = {std::string("127.78.2.1:0"),
                                  std::string("127.78.2.1:65536"),
                                  std::string("127.78.2.1:99999999999"),
                                  std::string("999.1.1.1:80"),
                                  std::string("::::::80"),
                                  std::string("...:80"),
                                  std::string("a.b.c.d:80"),
                                  std::string("127.78.2.1:-1")};
    const std::array<std::size_t, 6> lengths = {0, 129, 256, 300, 1'000, 1U << 20U};
    std::string address = R"("127.78.9.9:9")";
    std::string zone = "domain-0";
    std::string service = "other"; // without a route: what is accepted gets no calls
    std::string models = R"([{"Name":"m","Version":1,"Adapters":[]}])";
    std::string born = "1796000000000";
    std::string slots = "16";
    std::string cold = "0";
    std::string more = "1";
    const auto number = [&] { return numbers[this->random() % numbers.size()]; };
    const auto text = [&] { return std::string(lengths[this->random() % lengths.size()], 'z'); };
    switch (this->random() % 9) {
    case 0:
        address = '"' + addresses[this->random() % addresses.size()] + '"';
        break;
    case 1:
        zone = text();
        break;
    case 2:
        service = text();
        break;
    case 3:
        models = R"([{"Name":")" + text() + R"("}])";
        break;
    case 4: {
        models = "[";
        for (std::size_t model = 0; model < 300; ++model)
            models += std::string(model > 0 ? "," : "") + R"({"Name":"m)" + std::to_string(model)
                      + R"("})";
        models += "]";
        break;
    }
    case 5:
        born = number();
        break;
    case 6:
        slots = number();
        break;
    case 7:
        cold = number();
        break;
    default:
        more = number();
        break;
    }
    const std::string cut = this->random() % 20 == 0 ? "" : "}";
    return R"({"Service":")" + service + R"(","Address":)" + address + R"(,"Zone":")" + zone
           + R"(","Version":"v1","Slots":)" + slots + R"(,"State":"ready","ColdLeftMs":)" + cold
           + R"(,"Stage":"both","Models":)" + models + R"(,"Ignored":)" + more
           + R"(,"Seq":1,"born":)" + born + cut;
}

protocol::HttpRequest OddEntries::drawRequest()
{
    protocol::HttpRequest request;
    request.method = "POST";
    std::string id = "odd-" + std::to_string(this->random() % 40);
    const std::array<std::size_t, 4> lengths = {129, 256, 300, 4'000};
    if (this->random() % 8 == 0)
        id = std::string(lengths[this->random() % lengths.size()], 'i');
    switch (this->random() % 8) {
    case 0:
        request.target = "/replicas/" + id + "/deregister";
        request.body = this->random() % 2 == 0 ? nested(deepLevels) : R"({"born":1e400})";
        break;
    case 1:
        request.target = "/config/replace";
        request.body = R"({"Version":)"
                       + std::string(this->random() % 2 == 0 ? "1e400" : "18446744073709551616")
                       + R"(,"Routes":[],"Services":[],"Ignored":)" + nested(deepLevels) + "}";
        break;
    default:
        request.target = "/replicas/" + id + "/heartbeat";
        request.body = this->drawHeartbeat();
        break;
    }
    return request;
}

asio::awaitable<void> OddEntries::send(protocol::HttpRequest request)
{
    const std::vector<state::Address> controls = this->fleet.allOperators();
    const state::Address &to = controls[this->random() % controls.size()];
    transport::HttpCallLimits limits;
    limits.connectTimeout = milliseconds(300);
    limits.timeout = milliseconds(1'500);
    const asio::any_io_executor executor = this->context.get_executor();
    const auto answer = co_await transport::httpCall(executor, to, std::move(request), limits);
    this->accepted += answer && answer.value().status == 200 ? 1 : 0;
}

asio::awaitable<void> OddEntries::sendForEver()
{
    while (!this->stopped) {
        ++this->sent;
        asio::co_spawn(this->context, this->send(this->drawRequest()), asio::detached);
        co_await transport::pause(oddPause);
    }
}

// Each under a new id, which the entries know only if they still follow the announcements.
asio::awaitable<void> OddEntries::restartEndpoints()
{
    for (const auto &endpoint : this->endpoints) {
        endpoint->restart();
        co_await transport::pause(restartPause);
    }
}

asio::awaitable<void> OddEntries::restartProcesses()
{
    for (std::size_t index = 0; index < this->fleet.size(); ++index)
        this->fleet.kill(index);
    co_await transport::pause(restartPause);
    for (std::size_t index = 0; index < this->fleet.size(); ++index)
        this->fleet.start(index);
}

asio::awaitable<void> OddEntries::check(const char *phase)
{
    const CallCount calls = co_await this->callers.count(calmTime);
    std::cout << "  " << phase << ": " << calls.served << " of " << calls.sent << " served\n";
    if (calls.sent == 0 || double(calls.served) < servedShare * double(calls.sent))
        this->ledger.broken(std::string(phase) + ": " + std::to_string(calls.served) + " of "
                            + std::to_string(calls.sent) + " calls were served");
}

asio::awaitable<void> OddEntries::play()
{
    this->callers.start();
    co_await transport::pause(calmTime);
    asio::co_spawn(this->context, this->sendForEver(), asio::detached);
    co_await transport::pause(calmTime);
    co_await this->check("beside odd entries");
    co_await this->restartEndpoints();
    co_await transport::pause(knownWithin);
    co_await this->check("endpoints have restarted");
    co_await this->restartProcesses();
    co_await transport::pause(knownWithin);
    co_await this->check("processes have restarted");
    this->stopped = true;
    this->callers.stop();
    co_await transport::pause(lastAnswer);
    std::cout << "  odd calls: " << this->sent << ", accepted: " << this->accepted << '\n';
    for (std::size_t index = 0; index < this->fleet.size(); ++index) {
        if (!this->fleet.isRunning(index))
            this->ledger.broken("process " + std::to_string(index) + " does not run");
    }
    if (this->fleet.exitsOfItsOwn() > 0)
        this->ledger.broken("processes ended by themselves");
}

} // namespace lavenderthread::soak
