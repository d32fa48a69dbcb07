// Crowds of clients that don't behave at every door of real processes. Checks what doesn't depend
// on the machine's speed: the process lives, its memory and descriptors stay under a bound, and an
// ordinary request is answered afterwards.
// usage: crowd-tests [--binary PATH --folder PATH --test NAME]   without a name: lists them
#include "Crowd.h"
#include "Fleet.h"
#include "KeptCaller.h"
#include "Ledger.h"
#include "Operator.h"
#include "ProcessWatch.h"
#include "StandIn.h"

#include "program/Clock.h"
#include "transport/Await.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CLI/CLI.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <utility>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// The least that a machine has: an entry's, and a control member's.
constexpr std::uint64_t entryBytes = 112U << 20U;
constexpr std::uint64_t controlBytes = 256U << 20U;
constexpr std::uint64_t entryDescriptors = 2'870 - 200; // some are set aside for files

constexpr std::size_t controls = 3;
constexpr std::size_t entries = 2;
constexpr std::size_t replicas = 2;
constexpr std::size_t target = controls; // the first entry
constexpr std::uint64_t bodyBytes = 4U << 20U;
constexpr std::size_t unitBytes = 64U << 10U;
constexpr std::size_t smallUnitBytes = 2U << 10U;
constexpr std::size_t largeAnswerBytes = 400U << 10U;
constexpr std::size_t shortFields = 2'600;
constexpr std::size_t requestsAhead = 4'000;
constexpr std::size_t largeAnswersAhead = 30;
constexpr milliseconds crowdTime{7'000};
constexpr milliseconds sampleInterval{20};
constexpr milliseconds startTime{20'000};
constexpr milliseconds answerTime{30'000}; // of an ordinary request after the crowd, with retries
constexpr milliseconds callPatience{4'000};
constexpr milliseconds betweenCalls{200};
constexpr unsigned statusOk = 200;

std::string requestHead(const std::string &line, const std::string &fields)
{
    return line + " HTTP/1.1\r\nHost: soak\r\nRequest-Id: crowd\r\nRequest-Deadline: 3000\r\n"
           + "Credential: key-one\r\n" + fields + "\r\n";
}

std::string withLength(std::uint64_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

std::string repeated(const std::string &text, std::size_t times)
{
    std::string all;
    for (std::size_t time = 0; time < times; ++time)
        all += text;
    return all;
}

std::string manyFields()
{
    std::string fields;
    for (std::size_t field = 0; field < shortFields; ++field) {
        fields += char('a' + field % 26);
        fields += ":x\r\n";
    }
    return fields;
}

CrowdScript bodyOneByteShort(state::Address to, const std::string &line,
                             std::size_t unit = unitBytes, const std::string &fields = {})
{
    CrowdScript script;
    script.to = std::move(to);
    script.head = requestHead(line, fields + withLength(bodyBytes));
    script.unit = std::string(unit, 'b');
    script.bytes = bodyBytes - 1;
    return script;
}

CrowdScript wholeBodies(state::Address to, const std::string &line)
{
    CrowdScript script = bodyOneByteShort(std::move(to), line);
    script.bytes = bodyBytes;
    script.again = true;
    return script;
}

// A text whose tree takes many times its bytes.
CrowdScript manyNumbers(state::Address to, const std::string &line)
{
    constexpr std::uint64_t largestBody = 16U << 20U; // of the product's own interface
    const std::string begin = "{\"a\":[";
    CrowdScript script = wholeBodies(std::move(to), line);
    script.head = requestHead(line, withLength(largestBody)) + begin;
    script.unit = repeated("0,", unitBytes / 2);
    script.bytes = largestBody - begin.size();
    return script;
}

CrowdScript halfBody(state::Address to, const std::string &line)
{
    CrowdScript script = bodyOneByteShort(std::move(to), line);
    script.bytes = bodyBytes / 2;
    script.closesSending = true;
    return script;
}

CrowdScript overLimit(state::Address to, const std::string &line)
{
    CrowdScript script = bodyOneByteShort(std::move(to), line);
    script.head = requestHead(line, withLength(bodyBytes * 10'000));
    script.bytes = CrowdScript::endless;
    return script;
}

CrowdScript slowBody(state::Address to, const std::string &line)
{
    CrowdScript script = bodyOneByteShort(std::move(to), line, 16U << 10U);
    script.pause = milliseconds(80); // 200 KB a second
    return script;
}

CrowdScript chunks(state::Address to, const std::string &line, const std::string &unit,
                   std::uint64_t bytes)
{
    CrowdScript script;
    script.to = std::move(to);
    script.head = requestHead(line, "Transfer-Encoding: chunked\r\n");
    script.unit = unit;
    script.bytes = bytes;
    return script;
}

CrowdScript largeChunks(state::Address to, const std::string &line)
{
    return chunks(std::move(to), line, "4000\r\n" + std::string(16U << 10U, 'c') + "\r\n",
                  CrowdScript::endless);
}

CrowdScript oneByteChunks(state::Address to, const std::string &line)
{
    const std::string unit = repeated("1\r\nc\r\n", 8'192);
    constexpr std::size_t units = 128; // a body of one megabyte
    return chunks(std::move(to), line, unit, unit.size() * units);
}

CrowdScript longExtensions(state::Address to, const std::string &line)
{
    return chunks(std::move(to), line, "1;" + std::string(8U << 10U, 'e') + "\r\nc\r\n",
                  CrowdScript::endless);
}

CrowdScript unreadAnswers(state::Address to, const std::string &line, std::size_t count)
{
    CrowdScript script;
    script.to = std::move(to);
    script.head = repeated(requestHead(line, withLength(0)), count);
    script.reads = false;
    return script;
}

CrowdScript unfinishedHead(state::Address to, const std::string &line)
{
    CrowdScript script;
    script.to = std::move(to);
    script.head = line + " HTTP/1.1\r\nHost: soak\r\n" + manyFields();
    return script;
}

// The largest frame of a peer, without its last byte.
CrowdScript unfinishedFrame(state::Address to)
{
    CrowdScript script;
    script.to = std::move(to);
    script.head = std::string("\x00\x40\x00\x00", 4); // 4 MB, the highest byte first
    script.unit = std::string(unitBytes, 'f');
    script.bytes = bodyBytes - 1;
    return script;
}

struct CrowdTest
{
    struct Part
    {
        CrowdScript script;
        std::size_t connections = 0;
    };

    std::string name;
    // The parts of the crowd at one process.
    std::function<std::vector<Part>(const Fleet &, std::size_t process)> crowd;
    bool atControl = false;
    std::uint64_t descriptors = 0; // that each process may open; 0: enough for all
    // Enough is left for the connections of an ordinary request.
    std::uint64_t descriptorBound() const
    {
        constexpr std::uint64_t spared = 40;
        return this->descriptors == 0 ? entryDescriptors : this->descriptors - spared;
    }
    std::uint64_t byteBound() const { return this->atControl ? controlBytes : entryBytes; }
};

constexpr std::size_t crowdSize = 100;

using Door = state::Address (Fleet::*)(std::size_t) const;
using Script = std::function<CrowdScript(state::Address, const std::string &)>;

CrowdTest atDoor(std::string name, Door door, std::string line, Script script,
                 std::size_t connections = crowdSize)
{
    CrowdTest test;
    test.name = std::move(name);
    test.crowd = [=](const Fleet &fleet, std::size_t process) {
        return std::vector<CrowdTest::Part>{{script((fleet.*door)(process), line), connections}};
    };
    return test;
}

CrowdTest atControl(CrowdTest test)
{
    test.atControl = true;
    return test;
}

CrowdTest withDescriptors(CrowdTest test, std::uint64_t descriptors)
{
    test.descriptors = descriptors;
    return test;
}

CrowdTest mixed()
{
    CrowdTest test;
    test.name = "mixedCrowdAtFourDoors";
    test.crowd = [](const Fleet &fleet, std::size_t process) {
        constexpr std::size_t each = 15;
        std::vector<CrowdTest::Part> parts;
        const std::vector<std::pair<state::Address, std::string>> doors = {
                {fleet.callers(process), "POST /read/x"},
                {fleet.ready(process), "POST /readiness"},
                {fleet.directory(process), "POST /resolve"},
                {fleet.own(process), "POST /v1/completions"}};
        for (const auto &[to, line] : doors) {
            parts.push_back({bodyOneByteShort(to, line), each});
            parts.push_back({largeChunks(to, line), each});
            parts.push_back({halfBody(to, line), each});
            parts.push_back({slowBody(to, line), each});
            parts.push_back({unreadAnswers(to, line, requestsAhead), each});
            parts.push_back({unfinishedHead(to, line), each});
        }
        return parts;
    };
    return test;
}

// Each guards against a process that runs out of memory or descriptors, or hangs, by such clients.
std::vector<CrowdTest> allTests()
{
    const Script short1 = [](auto to, const auto &line) { return bodyOneByteShort(to, line); };
    const Script pieces = [](auto to, const auto &line) {
        return bodyOneByteShort(to, line, smallUnitBytes);
    };
    const Script fields = [](auto to, const auto &line) {
        return bodyOneByteShort(to, line, unitBytes, manyFields());
    };
    const Script ahead = [](auto to, const auto &line) {
        return unreadAnswers(to, line, requestsAhead);
    };
    const Script large = [](auto to, const auto &line) {
        return unreadAnswers(to, line, largeAnswersAhead);
    };
    const Script frame = [](auto to, const auto &) { return unfinishedFrame(to); };
    constexpr std::size_t smallCrowd = 40;
    constexpr std::size_t oneConnection = 1;
    constexpr std::size_t manyConnections = 400;
    constexpr std::uint64_t fewDescriptors = 300;
    const std::string call = "POST /read/x";
    return {
            atDoor("bodiesOneByteShortAtCallersDoor", &Fleet::callers, call, short1),
            atDoor("bodiesOneByteShortWithoutRoute", &Fleet::callers, "POST /none/x", short1),
            atDoor("bodiesOneByteShortAtReadyDoor", &Fleet::ready, "POST /readiness", short1),
            atDoor("bodiesOneByteShortAtDirectory", &Fleet::directory, "POST /resolve", short1),
            atDoor("bodiesOneByteShortAtOwnInterface", &Fleet::own, "POST /v1/completions", short1),
            atControl(atDoor("bodiesOneByteShortAtOperatorsDoor", &Fleet::operators,
                             "POST /config/replace", short1)),
            atControl(atDoor("bodiesOneByteShortAtOwnInterfaceOfControl", &Fleet::own,
                             "POST /v1/completions", short1)),
            atControl(atDoor("framesOneByteShortAtPeersDoor", &Fleet::peers, "", frame)),
            atDoor("bodiesInSmallPieces", &Fleet::callers, call, pieces),
            atDoor("wholeBodiesOverAndOver", &Fleet::callers, call, wholeBodies),
            atDoor("shortFieldsAndBodies", &Fleet::callers, call, fields),
            atDoor("numbersAtOwnInterface", &Fleet::own, "POST /v1/endpoints/announce", manyNumbers,
                   oneConnection),
            atDoor("halfBodies", &Fleet::callers, call, halfBody),
            atDoor("bodiesFarOverTheLimit", &Fleet::callers, call, overLimit),
            atDoor("slowBodies", &Fleet::callers, call, slowBody),
            atDoor("chunksWithoutEndAtCallersDoor", &Fleet::callers, call, largeChunks),
            atDoor("chunksWithoutEndAtReadyDoor", &Fleet::ready, "POST /readiness", largeChunks),
            atDoor("chunksOfOneByte", &Fleet::callers, call, oneByteChunks, smallCrowd),
            atDoor("longChunkExtensions", &Fleet::callers, call, longExtensions),
            atDoor("requestsSentAhead", &Fleet::callers, call, ahead),
            atDoor("largeAnswersUnread", &Fleet::callers, "POST /read/large", large),
            withDescriptors(atDoor("headsOneFieldShort", &Fleet::callers, call, unfinishedHead,
                                   manyConnections),
                            fewDescriptors),
            withDescriptors(atDoor("connectionsAtOwnInterface", &Fleet::own, call, unfinishedHead,
                                   manyConnections),
                            fewDescriptors),
            mixed(),
    };
}

class CrowdPlay
{
public:
    CrowdPlay(const std::string &binary, const std::string &folder, const CrowdTest &test)
        : test(test)
        , fleet({.binary = binary,
                 .folder = folder,
                 .controls = controls,
                 .entries = entries,
                 .port = portOf(),
                 .descriptors = test.descriptors})
        , operators(this->context, this->fleet.allOperators(), this->ledger, 0)
        , process(test.atControl ? 0 : target)
    {
        this->operators.setMostBytes(bodyBytes);
        for (std::size_t index = 0; index < replicas; ++index) {
            StandInSettings settings;
            settings.service = "app";
            settings.listen = {"127.78.2." + std::to_string(index + 1), portOf()};
            settings.announced = settings.listen;
            settings.controls = this->fleet.allOperators();
            settings.failureDomain = "domain-" + std::to_string(index);
            settings.largeAnswerBytes = largeAnswerBytes;
            settings.seed = index;
            this->endpoints.push_back(
                    std::make_shared<StandIn>(this->context, settings, this->ledger));
            this->endpoints.back()->start();
        }
    }

    // What was broken; empty: nothing.
    std::vector<std::string> run()
    {
        asio::co_spawn(this->context, this->play(), [this](const std::exception_ptr &failure) {
            if (failure)
                std::rethrow_exception(failure);
            this->context.stop();
        });
        this->context.run();
        return this->problems;
    }

private:
    static std::uint16_t portOf()
    {
        constexpr std::uint64_t slots = 500;
        return std::uint16_t(21'000 + std::uint64_t(::getpid()) % slots * 20);
    }

    asio::awaitable<void> play()
    {
        for (std::size_t index = 0; index < this->fleet.size(); ++index)
            this->fleet.start(index);
        const bool configured = co_await this->operators.send(startTime);
        const bool calm = configured && co_await this->isServed(startTime);
        if (!calm) {
            this->problems.emplace_back("no ordinary request was answered before the crowd");
            co_return;
        }
        const ProcessUse before = this->use();
        std::vector<std::shared_ptr<Crowd>> crowds;
        for (const CrowdTest::Part &part : this->test.crowd(this->fleet, this->process)) {
            crowds.push_back(std::make_shared<Crowd>(this->context, part.script, part.connections));
            crowds.back()->start();
        }
        const state::Instant end = program::monotonicNow() + crowdTime;
        while (program::monotonicNow() < end) {
            this->sample();
            co_await transport::pause(sampleInterval);
        }
        for (const auto &crowd : crowds) {
            crowd->stop();
            this->made += crowd->connectionsMade();
        }
        const bool served = co_await this->isServed(answerTime);
        this->sample();
        this->check(served);
        std::cout << "  " << this->test.name << ": calm " << (before.residentBytes >> 20U)
                  << " MB, peak " << (this->peakBytes >> 20U) << " MB resident and in sockets ("
                  << (this->peakResident >> 20U) << " MB resident), " << this->peakDescriptors
                  << " descriptors, " << this->made << " connections\n";
    }

    ProcessUse use() const
    {
        return useOf(this->fleet.pid(this->process), this->fleet.ip(this->process));
    }

    void sample()
    {
        const ProcessUse now = this->use();
        this->peakBytes = std::max(this->peakBytes, now.residentBytes + now.socketBytes);
        this->peakResident = std::max(this->peakResident, now.peakResidentBytes);
        this->peakDescriptors = std::max(this->peakDescriptors, now.descriptors);
    }

    void check(bool served)
    {
        if (!served)
            this->problems.emplace_back("no ordinary request was answered after the crowd");
        for (std::size_t index = 0; index < this->fleet.size(); ++index) {
            if (!this->fleet.isRunning(index))
                this->problems.push_back("process " + std::to_string(index) + " has ended");
        }
        const std::uint64_t bytes = std::max(this->peakBytes, this->peakResident);
        if (bytes > this->test.byteBound())
            this->problems.push_back("held " + std::to_string(bytes >> 20U) + " MB, allowed "
                                     + std::to_string(this->test.byteBound() >> 20U));
        if (this->peakDescriptors > this->test.descriptorBound())
            this->problems.push_back("held " + std::to_string(this->peakDescriptors)
                                     + " descriptors, allowed "
                                     + std::to_string(this->test.descriptorBound()));
    }

    // An ordinary request, and at an entry then the largest one that the configuration allows.
    asio::awaitable<bool> isServed(milliseconds patience)
    {
        const state::Instant limit = program::monotonicNow() + patience;
        const state::Address to = this->test.atControl ? this->fleet.operators(this->process)
                                                       : this->fleet.callers(this->process);
        std::size_t body = 0;
        for (int call = 0; program::monotonicNow() < limit; ++call) {
            protocol::HttpRequest request;
            request.method = this->test.atControl ? "GET" : "POST";
            request.target = this->test.atControl ? "/config/get" : "/read/x";
            request.headers = {{"Host", "soak"},
                               {"Request-Id", "ordinary-" + std::to_string(call)},
                               {"Request-Deadline", "3000"},
                               {"Credential", "key-one"}};
            request.body = std::string(body, 'b');
            KeptCaller caller(this->context);
            const KeptCallResult result =
                    co_await caller.call(to, std::move(request), false, callPatience);
            const bool answered = result.end == CallEnd::Answered && result.status == statusOk;
            if (answered && (this->test.atControl || body == bodyBytes))
                co_return true;
            if (answered)
                body = bodyBytes;
            else
                co_await transport::pause(betweenCalls);
        }
        co_return false;
    }

    const CrowdTest &test;
    asio::io_context context{1};
    Ledger ledger;
    Fleet fleet;
    Operator operators;
    std::vector<std::shared_ptr<StandIn>> endpoints;
    const std::size_t process;
    std::vector<std::string> problems;
    std::uint64_t peakBytes = 0; // resident and in sockets, at one moment
    std::uint64_t peakResident = 0;
    std::uint64_t peakDescriptors = 0;
    std::uint64_t made = 0; // connections of the crowd
};

} // namespace

int run(int argc, char **argv)
{
    CLI::App app("crowd-tests: clients that don't behave, and what must hold");
    std::string binary, folder, name;
    app.add_option("--binary", binary, "The program under test");
    app.add_option("--folder", folder, "For settings, logs and data; made anew");
    app.add_option("--test", name, "Which one to run; without it, the names are listed");
    CLI11_PARSE(app, argc, argv);
    rlimit descriptors{}; // a crowd needs more than a process has by default
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    for (const CrowdTest &test : allTests()) {
        if (name.empty())
            std::cout << test.name << '\n';
        if (test.name != name)
            continue;
        const std::vector<std::string> problems = CrowdPlay(binary, folder, test).run();
        for (const std::string &problem : problems)
            std::cout << "BROKEN: " << problem << '\n';
        return problems.empty() ? 0 : 1;
    }
    return name.empty() ? 0 : 2;
}

} // namespace lavenderthread::soak

int main(int argc, char **argv)
{
    return lavenderthread::soak::run(argc, argv);
}
