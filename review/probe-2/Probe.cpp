// Plays the operator, clients, replicas and another writer of status reports against processes that
// run.sh has started, and judges what clients and replicas have seen. Uses sockets of the system
// only. usage: probe SCENARIO NET TROUBLE RECORD | probe free-net
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int frontPort = 8227;
constexpr int readyPort = 8220;
constexpr int controlPort = 8229;
constexpr int replicaPort = 8080;
constexpr int cores = 3;
constexpr int edges = 2;
constexpr milliseconds heartbeatInterval{1200}; // HeartbeatMs
constexpr milliseconds retryInterval{250};
constexpr milliseconds requestInterval{30};
constexpr int mostReplicas = 7;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char each) { return char(std::tolower(each)); });
    return text;
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

// The file record.txt: what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path)
        : file(path)
        , began(Clock::now())
    {}

    void write(const std::string &line)
    {
        const std::lock_guard lock(this->mutex);
        const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - this->began);
        this->file << ms.count() << " ms " << line << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    Clock::time_point began;
};

struct Address
{
    std::string ip;
    int port = 0;

    std::string text() const { return this->ip + ":" + std::to_string(this->port); }
};

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(std::uint16_t(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

int listenAt(const Address &address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in at = toSocketAddress(address);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) != 0
        || listen(descriptor, 128) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

bool sendAll(int descriptor, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
                send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += std::size_t(count);
    }
    return true;
}

// Sends the bytes on a new connection and returns all that comes until its end.
std::string exchange(const Address &to, const std::string &bytes, milliseconds timeout)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit{};
    limit.tv_sec = timeout.count() / 1000;
    limit.tv_usec = (timeout.count() % 1000) * 1000;
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const sockaddr_in at = toSocketAddress(to);
    std::string answer;
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) == 0
        && sendAll(descriptor, bytes)) {
        std::array<char, 65536> buffer{};
        while (true) {
            const ssize_t count = recv(descriptor, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                break;
            answer.append(buffer.data(), std::size_t(count));
        }
    }
    close(descriptor);
    return answer;
}

int statusOf(const std::string &answer)
{
    constexpr std::size_t statusAt = 9;
    return answer.size() > statusAt + 3 ? std::atoi(answer.substr(statusAt, 3).c_str()) : 0;
}

std::string post(const std::string &path, const std::string &host, const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: " + host
           + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Message
{
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers; // names in lower case
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[known, value] : this->headers) {
            if (known == name)
                return value;
        }
        return {};
    }
};

// Takes one whole request from the front of the bytes. Bodies have a length here.
bool takeRequest(std::string &bytes, Message &message)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    message = {};
    std::istringstream head(bytes.substr(0, end));
    std::string line;
    std::getline(head, line);
    std::istringstream first(line);
    first >> message.method >> message.path;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        message.headers.emplace_back(lower(line.substr(0, colon)), line.substr(value));
    }
    const auto length = std::size_t(std::atoll(message.header("content-length").c_str()));
    if (bytes.size() < end + 4 + length)
        return false;
    message.body = bytes.substr(end + 4, length);
    bytes.erase(0, end + 4 + length);
    return true;
}

struct Run
{
    std::string replica;
    std::string service;
    Message request;
    Clock::time_point at;
};

// All that replicas have run.
class Runs
{
public:
    void add(Run run)
    {
        const std::lock_guard lock(this->mutex);
        this->runs.push_back(std::move(run));
    }
    std::vector<Run> all() const
    {
        const std::lock_guard lock(this->mutex);
        return this->runs;
    }

private:
    mutable std::mutex mutex;
    std::vector<Run> runs;
};

// A replica of a plain service that follows PROTOCOL.md.
class Replica
{
public:
    Replica(std::string id, std::string service, Address address, Runs &runs, Record &record)
        : id(std::move(id))
        , service(std::move(service))
        , address(std::move(address))
        , runs(runs)
        , record(record)
        , born(unixMs())
    {}

    bool start()
    {
        this->listener = listenAt(this->address);
        if (this->listener < 0)
            return false;
        std::thread([this] { this->acceptAll(); }).detach();
        return true;
    }

    void reportTo(std::vector<Address> controls)
    {
        this->reporting = true;
        std::thread([this, controls = std::move(controls)] {
            std::size_t next = 0;
            while (this->reporting) {
                const int status = this->report(controls[next]);
                if (status / 100 != 2)
                    next = (next + 1) % controls.size();
                else
                    this->isAcknowledged = true;
                std::this_thread::sleep_for(heartbeatInterval);
            }
        }).detach();
    }

    void stopReporting() { this->reporting = false; }
    bool acknowledged() const { return this->isAcknowledged; }

    std::string reportBody(const std::string &state = "ready") const
    {
        return "{\"Service\":\"" + this->service + "\",\"Address\":\"" + this->address.text()
               + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"" + state
               + "\",\"ColdLeftMs\":0,\"Seq\":" + std::to_string(++this->sequence)
               + ",\"born\":" + std::to_string(this->born) + "}";
    }

    std::string bornBody() const { return "{\"born\":" + std::to_string(this->born) + "}"; }

    int report(const Address &control) const
    {
        return statusOf(exchange(
                control,
                post("/replicas/" + this->id + "/heartbeat", control.text(), this->reportBody()),
                milliseconds(1000)));
    }

    const std::string id;
    const std::string service;
    const Address address;
    // Of 100 requests that it has run, it answers so many with 503; the others with 200.
    std::atomic<int> failsOf100 = 0;

private:
    void acceptAll()
    {
        while (true) {
            const int connection = accept(this->listener, nullptr, nullptr);
            if (connection >= 0)
                std::thread([this, connection] { this->serve(connection); }).detach();
        }
    }

    void serve(int connection)
    {
        std::string bytes;
        std::array<char, 65536> buffer{};
        while (true) {
            Message request;
            while (takeRequest(bytes, request)) {
                if (!sendAll(connection, this->answer(request))
                    || lower(request.header("connection")) == "close") {
                    close(connection);
                    return;
                }
            }
            const ssize_t count = recv(connection, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                break;
            bytes.append(buffer.data(), std::size_t(count));
        }
        close(connection);
    }

    std::string answer(const Message &request)
    {
        if (request.method == "GET" && request.path == "/health")
            return "HTTP/1.1 200 OK\r\nReplica-Id: " + this->id + "\r\nContent-Length: 0\r\n\r\n";
        const std::string expected = request.header("expect-instance");
        const std::string requestId = request.header("request-id");
        if (!expected.empty() && expected != this->id) {
            this->record.write("replica " + this->id + " answers 421 to " + requestId);
            return "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nReplica-Id: " + this->id
                   + "\r\nContent-Length: 0\r\n\r\n";
        }
        const int failures = this->failsOf100;
        const int run = ++this->runCount;
        const bool fails = run * failures / 100 > (run - 1) * failures / 100;
        const std::string status = fails ? "503 Service Unavailable" : "200 OK";
        this->record.write("replica " + this->id + " of " + this->service + " runs " + requestId
                           + ": " + request.method + " " + request.path + " tenant '"
                           + request.header("tenant") + "' body '" + request.body + "', answers "
                           + status);
        this->runs.add({this->id, this->service, request, Clock::now()});
        const std::string body = "done " + requestId;
        return "HTTP/1.1 " + status + "\r\nRequest-Id: " + requestId
               + "\r\nResponse-Seal: " + this->id + "." + requestId
               + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    Runs &runs;
    Record &record;
    const std::int64_t born;
    std::atomic<int> runCount = 0;
    mutable std::atomic<int> sequence = 0;
    std::atomic<bool> reporting = false;
    std::atomic<bool> isAcknowledged = false;
    int listener = -1;
};

struct Sent
{
    std::string id;
    std::string method;
    std::string path;
    std::string body;
    int status = 0;
    bool hasSeal = false;
};

class Play
{
public:
    Play(std::string net, bool trouble, const std::string &recordPath)
        : net(std::move(net))
        , trouble(trouble)
        , record(recordPath)
    {}

    int run(const std::string &scenario)
    {
        if (scenario == "smuggled")
            return this->playSmuggled();
        if (scenario == "foreign-report")
            return this->playForeignReport();
        if (scenario == "refused-after-run")
            return this->playRefusedAfterRun();
        if (scenario == "left-before-kill")
            return this->playLeftBeforeKill();
        std::cerr << "unknown scenario " << scenario << "\n";
        return exitNotRun;
    }

private:
    Address core(int number) const
    {
        return {this->net + ".1" + std::to_string(number), controlPort};
    }
    Address front(int number) const
    {
        return {this->net + ".2" + std::to_string(number), frontPort};
    }
    std::vector<Address> controls() const
    {
        std::vector<Address> all;
        for (int number = 1; number <= cores; ++number)
            all.push_back(this->core(number));
        return all;
    }

    std::shared_ptr<Replica> makeReplica(int number, const std::string &service)
    {
        std::mt19937_64 random(std::uint64_t(unixMs()) + std::uint64_t(number));
        std::array<char, 16> id{};
        std::snprintf(id.data(), id.size(), "i-%08x", unsigned(random()));
        auto made = std::make_shared<Replica>(
                id.data(), service, Address{this->net + ".3" + std::to_string(number), replicaPort},
                this->runs, this->record);
        this->record.write("replica " + made->id + " of " + service + " at "
                           + made->address.text());
        return made;
    }

    static std::string routeText(const std::string &name, const std::string &prefix,
                                 const std::string &kind, const std::string &service)
    {
        return R"({"Name":")" + name + R"(","Host":"ficu95.example","PathPrefix":")" + prefix
               + R"(","Kind":")" + kind
               + R"(","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":1,"Service":")" + service
               + R"(","Attempts":2,"Anonymous":false,"Sticky":false,"Resumable":false})";
    }

    static std::string serviceText(const std::string &name)
    {
        return R"({"Name":")" + name
               + R"(","HealthPath":"/health","MaxConns":248,"Protocol":"h1","Tls":false})";
    }

    // Routes /post/ (not idempotent) to ledger-app and /read/ (idempotent) to audit-app.
    bool configure()
    {
        const std::string config =
                R"({"Version":7,"Routes":[)"
                + routeText("r-post", "/post/", "non_idempotent", "ledger-app") + ","
                + routeText("r-read", "/read/", "idempotent", "audit-app") + R"(],"Services":[)"
                + serviceText("ledger-app") + "," + serviceText("audit-app")
                + R"(],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
                + R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
                + R"("Tenants":[{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1},)"
                + R"({"Name":"wabo112","ApiKeys":["q8rtzzs11xanu6wsjnkk"],"Priority":1}]})";
        const auto limit = Clock::now() + std::chrono::seconds(30);
        int core = 0;
        while (Clock::now() < limit) {
            const Address to = this->core(1 + core % cores);
            if (statusOf(exchange(to, post("/config/replace", to.text(), config),
                                  milliseconds(1000)))
                == 200) {
                this->record.write("operator: config 7 acknowledged by " + to.text());
                return this->waitUntilReady(limit);
            }
            ++core;
            std::this_thread::sleep_for(retryInterval);
        }
        return false;
    }

    bool waitUntilReady(Clock::time_point limit)
    {
        while (Clock::now() < limit) {
            bool ready = true;
            for (int number = 1; number <= edges; ++number) {
                const Address at{this->front(number).ip, readyPort};
                ready = ready
                        && statusOf(exchange(at,
                                             "GET /readiness HTTP/1.1\r\nHost: " + at.text()
                                                     + "\r\nConnection: close\r\n\r\n",
                                             milliseconds(1000)))
                                   == 200;
            }
            if (ready)
                return true;
            std::this_thread::sleep_for(retryInterval);
        }
        return false;
    }

    Sent send(const std::string &method, const std::string &path, const std::string &body)
    {
        static std::mt19937_64 random{std::random_device{}()};
        std::array<char, 20> id{};
        std::snprintf(id.data(), id.size(), "%016llx", static_cast<unsigned long long>(random()));
        Sent sent{id.data(), method, path, body};
        const Address to = this->front(1 + int(this->sent.size()) % edges);
        this->record.write("client sends " + sent.id + " to " + to.text() + ": " + method + " "
                           + path + " body '" + body + "'");
        const std::string answer = exchange(
                to,
                method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + sent.id
                        + "\r\nRequest-Deadline: 3000\r\nCredential: n2ctnfzs989anu6wsjnb\r\n"
                        + "Connection: close\r\nContent-Length: " + std::to_string(body.size())
                        + "\r\n\r\n" + body,
                milliseconds(5000));
        sent.status = statusOf(answer);
        sent.hasSeal = lower(answer).find("response-seal:") != std::string::npos;
        this->record.write("client gets " + std::to_string(sent.status) + " for " + sent.id
                           + (sent.hasSeal ? " with the replica's seal" : ""));
        this->sent.push_back(sent);
        return sent;
    }

    // Sends until each of the replicas that report is used, so that the fleet is known to work.
    bool warmUp(const std::string &method, const std::string &path)
    {
        const auto limit = Clock::now() + std::chrono::seconds(20);
        while (Clock::now() < limit) {
            if (this->send(method, path, "warm").status == 200)
                return true;
            std::this_thread::sleep_for(retryInterval);
        }
        return false;
    }

    // Another writer's status report, sent as often as replicas send theirs.
    void writeReport(const std::string &idInPath, const std::string &body)
    {
        const Address to = this->core(1 + this->reports++ % cores);
        const int status =
                statusOf(exchange(to, post("/replicas/" + idInPath + "/heartbeat", to.text(), body),
                                  milliseconds(1000)));
        this->record.write("another writer reports /replicas/" + idInPath + "/heartbeat " + body
                           + " to " + to.text() + ": " + std::to_string(status));
    }

    int finish(const std::vector<std::string> &breaks)
    {
        for (const std::string &each : breaks)
            this->record.write("BROKEN " + each);
        this->record.write(breaks.empty() ? "held" : "broken " + std::to_string(breaks.size()));
        if (!breaks.empty())
            std::cout << "broken, " << breaks.size() << " times; the first: " << breaks.front()
                      << "\n";
        else
            std::cout << "held\n";
        return breaks.empty() ? exitHeld : exitBroken;
    }

    int notRun(const std::string &why)
    {
        this->record.write("could not run: " + why);
        std::cout << "could not run: " << why << "\n";
        return exitNotRun;
    }

    // UNASKED: ids that no client sent, and runs whose method, path, body or tenant differ.
    std::vector<std::string> findUnasked() const
    {
        std::vector<std::string> breaks;
        for (const Run &run : this->runs.all()) {
            const std::string id = run.request.header("request-id");
            const auto asked = std::ranges::find(this->sent, id, &Sent::id);
            if (asked == this->sent.end()) {
                breaks.push_back("UNASKED: replica " + run.replica + " ran " + id
                                 + ", which no client sent");
                continue;
            }
            if (run.request.method != asked->method || run.request.path != asked->path
                || run.request.body != asked->body)
                breaks.push_back("UNASKED: replica " + run.replica + " ran " + id + " with body '"
                                 + run.request.body + "' instead of '" + asked->body + "'");
            if (run.request.header("tenant") != "hule930")
                breaks.push_back("UNASKED: replica " + run.replica + " ran " + id + " for tenant '"
                                 + run.request.header("tenant") + "' instead of 'hule930'");
        }
        return breaks;
    }

    // A status report whose id can't be that of a replica.
    int playSmuggled()
    {
        const auto replica = this->makeReplica(1, "ledger-app");
        if (!replica->start() || !this->configure())
            return this->notRun("the fleet did not start");
        replica->reportTo(this->controls());
        if (!this->warmUp("POST", "/post/a"))
            return this->notRun("no request was served");
        const std::string badId =
                replica->id
                + "%0D%0AContent-Length:%200%0D%0A%0D%0APOST%20/post/z%20HTTP/1.1%0D%0A"
                  "Host:%20h%0D%0ARequest-Id:%20f000000000000001%0D%0AX:%20";
        constexpr int rounds = 4;
        constexpr int requestsOfRound = 10;
        for (int round = 0; round < rounds; ++round) {
            if (this->trouble)
                this->writeReport(badId, replica->reportBody());
            for (int request = 0; request < requestsOfRound; ++request) {
                this->send("POST", "/post/a", "entry " + std::to_string(request));
                std::this_thread::sleep_for(heartbeatInterval / requestsOfRound);
            }
        }
        return this->finish(this->findUnasked());
    }

    // A status report with a field missing names no replica to use.
    int playForeignReport()
    {
        const auto ledger = this->makeReplica(1, "ledger-app");
        const auto audit = this->makeReplica(2, "audit-app");
        if (!ledger->start() || !audit->start() || !this->configure())
            return this->notRun("the fleet did not start");
        ledger->reportTo(this->controls());
        audit->reportTo(this->controls());
        if (!this->warmUp("POST", "/post/a") || !this->warmUp("GET", "/read/a"))
            return this->notRun("no request was served");
        const std::string withoutVersion =
                R"({"Service":"audit-app","Address":")" + ledger->address.text()
                + R"(","Zone":"zone-a","Slots":6,"State":"ready","ColdLeftMs":0,"Seq":1,"born":)"
                + std::to_string(unixMs()) + "}";
        constexpr int rounds = 4;
        constexpr int requestsOfRound = 10;
        for (int round = 0; round < rounds; ++round) {
            if (this->trouble)
                this->writeReport(ledger->id, withoutVersion);
            for (int request = 0; request < requestsOfRound; ++request) {
                this->send("GET", "/read/a", "");
                std::this_thread::sleep_for(heartbeatInterval / requestsOfRound);
            }
        }
        std::vector<std::string> breaks;
        for (const Run &run : this->runs.all()) {
            const bool isRead = run.request.path.starts_with("/read/");
            if (isRead != (run.service == "audit-app"))
                breaks.push_back("ROUTE: " + run.request.header("request-id") + " for "
                                 + run.request.path + " was run by replica " + run.replica + " of "
                                 + run.service);
        }
        return this->finish(breaks);
    }

    // One of seven replicas runs requests and then fails 45 in 100 of them with 503, without
    // Not-Executed, for 6.5 s.
    int playRefusedAfterRun()
    {
        std::vector<std::shared_ptr<Replica>> replicas;
        for (int number = 1; number <= mostReplicas; ++number) {
            replicas.push_back(this->makeReplica(number, "ledger-app"));
            if (!replicas.back()->start())
                return this->notRun("a replica did not start");
        }
        if (!this->configure())
            return this->notRun("the fleet did not start");
        for (const auto &replica : replicas)
            replica->reportTo(this->controls());
        std::this_thread::sleep_for(heartbeatInterval * 2);
        if (!this->warmUp("POST", "/post/a"))
            return this->notRun("no request was served");
        constexpr int failing = 45;
        constexpr milliseconds failingTime{6500};
        if (this->trouble)
            replicas.front()->failsOf100 = failing;
        std::vector<std::string> breaks;
        const auto end = Clock::now() + failingTime;
        for (int request = 0; Clock::now() < end; ++request) {
            const Sent sent = this->send("POST", "/post/a", "entry " + std::to_string(request));
            const std::set<int> promises{408, 421, 429, 503};
            const auto runs = this->runs.all();
            const bool hasRun = std::ranges::any_of(runs, [&](const Run &run) {
                return run.request.header("request-id") == sent.id;
            });
            if (hasRun && promises.contains(sent.status))
                breaks.push_back("REFUSED: " + sent.id + " was answered "
                                 + std::to_string(sent.status) + " and has run");
            std::this_thread::sleep_for(requestInterval);
        }
        return this->finish(breaks);
    }

    // A replica leaves, then all processes are killed, and a status report of it arrives late.
    int playLeftBeforeKill()
    {
        const auto stays = this->makeReplica(1, "ledger-app");
        const auto leaves = this->makeReplica(2, "ledger-app");
        if (!stays->start() || !leaves->start() || !this->configure())
            return this->notRun("the fleet did not start");
        stays->reportTo(this->controls());
        leaves->reportTo(this->controls());
        if (!this->warmUp("POST", "/post/a"))
            return this->notRun("no request was served");
        std::this_thread::sleep_for(heartbeatInterval * 2);
        leaves->stopReporting();
        std::this_thread::sleep_for(heartbeatInterval);
        const std::string lateReport = leaves->reportBody();
        this->record.write("replica " + leaves->id + " sends a status report, which is held up");
        bool acknowledged = false;
        for (int number = 1; number <= cores && !acknowledged; ++number)
            acknowledged = statusOf(exchange(this->core(number),
                                             post("/replicas/" + leaves->id + "/deregister",
                                                  this->core(number).text(), leaves->bornBody()),
                                             milliseconds(1000)))
                           == 200;
        if (!acknowledged)
            return this->notRun("the replica's leave was not acknowledged");
        const auto acknowledgedAt = Clock::now();
        this->record.write("the leave of replica " + leaves->id + " is acknowledged");
        if (this->trouble) {
            std::ofstream(std::getenv("PROBE_KILL")) << "now";
            this->record.write("all processes are killed and started again");
        }
        std::this_thread::sleep_until(acknowledgedAt + milliseconds(5000));
        for (int number = 1; number <= cores; ++number) {
            const int status = statusOf(exchange(this->core(number),
                                                 post("/replicas/" + leaves->id + "/heartbeat",
                                                      this->core(number).text(), lateReport),
                                                 milliseconds(1000)));
            this->record.write("the report that was held up arrives at " + this->core(number).text()
                               + ": " + std::to_string(status));
            if (status == 200)
                break;
        }
        // In touch: twice ContactMs after the start.
        std::this_thread::sleep_until(acknowledgedAt + milliseconds(8000));
        constexpr int requests = 20;
        const auto from = Clock::now();
        for (int request = 0; request < requests; ++request) {
            this->send("POST", "/post/a", "entry " + std::to_string(request));
            std::this_thread::sleep_for(milliseconds(100));
        }
        std::vector<std::string> breaks;
        for (const Run &run : this->runs.all()) {
            if (run.replica == leaves->id && run.at >= from)
                breaks.push_back("DRAIN: " + run.request.header("request-id") + " reached replica "
                                 + run.replica + " "
                                 + std::to_string(std::chrono::duration_cast<milliseconds>(
                                                          run.at - acknowledgedAt)
                                                          .count())
                                 + " ms after its leave was acknowledged");
        }
        const bool anyServed = std::ranges::any_of(this->runs.all(),
                                                   [&](const Run &run) { return run.at >= from; });
        if (!anyServed)
            return this->notRun("no request was served at the end");
        return this->finish(breaks);
    }

    const std::string net;
    const bool trouble;
    Record record;
    Runs runs;
    std::vector<Sent> sent;
    int reports = 0;
};

// Prints the first three numbers of a loopback net in which all addresses of the fleet are free.
int printFreeNet()
{
    std::mt19937 random{std::random_device{}()};
    constexpr int tries = 50;
    for (int attempt = 0; attempt < tries; ++attempt) {
        const std::string net = "127." + std::to_string(20 + random() % 200) + "."
                                + std::to_string(1 + random() % 250);
        std::vector<int> open;
        bool isFree = true;
        for (const int host : {11, 12, 13, 21, 22, 31, 32, 33, 34, 35, 36, 37}) {
            for (const int port :
                 {7340, 7355, frontPort, readyPort, controlPort, 8224, replicaPort, 9464}) {
                const int descriptor = listenAt({net + "." + std::to_string(host), port});
                isFree = isFree && descriptor >= 0;
                if (descriptor >= 0)
                    open.push_back(descriptor);
            }
        }
        for (const int descriptor : open)
            close(descriptor);
        if (isFree) {
            std::cout << net << "\n";
            return exitHeld;
        }
    }
    return exitNotRun;
}

} // namespace

int main(int count, char **words)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(words + 1, words + count);
    if (arguments.size() == 1 && arguments[0] == "free-net")
        return printFreeNet();
    if (arguments.size() != 4) {
        std::cerr << "usage: probe SCENARIO NET TROUBLE RECORD | probe free-net\n";
        return exitNotRun;
    }
    Play play(arguments[1], arguments[2] != "0", arguments[3]);
    const int code = play.run(arguments[0]);
    std::cout.flush();
    std::_Exit(code); // the threads of replicas still run
}
