// Runs one seed: a small fleet of real processes, endpoints, callers and an operator, faults for so
// many seconds, then a calm end in which everything has to work again.
// With an option that names a scenario, plays that one in place of the faults.
// usage: fault-soak --binary PATH --folder PATH [--seed N] [--seconds N]
//                   [--path-loss hang|reset|quiet] [--control-loss freeze|kill] [--entry-stops]
//                   [--late-calls]
//                   [--odd-entries] [--stuttering-endpoints]
//                   [--endpoint-limits] [--endpoint-rest] [--evacuation] [--cold-returns]
//                   [--crashing-prompt second|first|two|none]
//                   [--crashing-call target|body|once|none]
#include "Callers.h"
#include "ColdReturns.h"
#include "ControlLoss.h"
#include "CrashingCall.h"
#include "CrashingPrompt.h"
#include "EndpointLimits.h"
#include "EndpointRest.h"
#include "EntryStops.h"
#include "Evacuation.h"
#include "Faults.h"
#include "LateCalls.h"
#include "OddEntries.h"
#include "Operator.h"
#include "PathLoss.h"
#include "StutteringEndpoints.h"

#include "program/Clock.h"
#include "transport/Await.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CLI/CLI.hpp>

#include <iostream>
#include <map>

#include <unistd.h>

namespace lavenderthread::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

struct Options
{
    std::string binary;
    std::string folder;
    std::uint64_t seed = 1;
    unsigned seconds = 15;
    std::size_t scenarioEntries = 6;
    std::string pathLoss;    // how connections of cut-off entries fail; empty: not played
    std::string controlLoss; // how control members stop running; empty: not played
    bool endpointLimits = false;
    bool endpointRest = false;
    bool entryStops = false;
    bool lateCalls = false;
    bool oddEntries = false;
    bool stutteringEndpoints = false;
    bool evacuation = false;
    bool coldReturns = false;
    std::string crashingPrompt; // where the part is that ends engines; empty: not played
    std::string crashingCall;   // how calls are alike that end replicas; empty: not played

    bool playsScenario() const
    {
        return !this->pathLoss.empty() || !this->controlLoss.empty() || this->endpointLimits
               || this->endpointRest || this->entryStops || this->lateCalls || this->oddEntries
               || this->stutteringEndpoints || this->evacuation || this->coldReturns
               || !this->crashingPrompt.empty() || !this->crashingCall.empty();
    }
};

constexpr std::size_t callers = 6;
constexpr std::size_t entries = 4;
constexpr std::size_t controls = 3;
constexpr std::size_t controlsForControlLoss = 5;
constexpr std::size_t entriesCutOff = 3;
constexpr std::size_t engines = 4;
constexpr std::size_t enginesForCrashes = 12;
constexpr std::size_t replicas = 3;
// Entries that are told to stop have time for most of the answers that are under way.
constexpr milliseconds longTermination{8'000};
// Streams take over a second, so that some run when a domain is evacuated, and slots are taken.
constexpr milliseconds longEventTime{150};
constexpr milliseconds callPause{40};
constexpr milliseconds changePause{400};
constexpr milliseconds readPause{150};
constexpr milliseconds faultPause{700};
// After the last fault: discovery, elections, and what was suspected is taken up again.
constexpr milliseconds recoveryTime{9'000};
constexpr milliseconds calmTime{2'000};
// After its acknowledgement no entry may refuse a route for good.
constexpr milliseconds changeInForce{2'500};
constexpr int probesOfAHeldChange = 5;
constexpr milliseconds probePause{100};
constexpr unsigned statusNotFound = 404;
constexpr double calmShare = 0.95; // of the calls of the calm end that have to succeed

const std::map<std::string, CrashingPart> crashingParts = {{"second", CrashingPart::Second},
                                                           {"first", CrashingPart::First},
                                                           {"two", CrashingPart::Two},
                                                           {"none", CrashingPart::None}};

const std::map<std::string, CrashingCallKind> crashingCalls = {{"target", CrashingCallKind::Target},
                                                               {"body", CrashingCallKind::Body},
                                                               {"once", CrashingCallKind::OnceOnly},
                                                               {"none", CrashingCallKind::None}};

class Soak
{
public:
    explicit Soak(const Options &options)
        : options(options)
        , fleet({.binary = options.binary,
                 .folder = options.folder,
                 .controls = options.controlLoss.empty() ? controls : controlsForControlLoss,
                 .entries = options.playsScenario() ? options.scenarioEntries : entries,
                 .changeInForceMs = std::uint32_t(changeInForce.count()),
                 .terminationMs = terminationMsOf(options),
                 .port = portOf(options.seed)})
        , operators(this->context, this->fleet.allOperators(), this->ledger, options.seed)
        , port(portOf(options.seed))
    {
        this->makeEndpoints(options.seed);
        this->makeCallers(options.seed);
        this->faults =
                std::make_unique<Faults>(this->fleet, this->proxies, this->endpoints, options.seed);
    }

    int run()
    {
        asio::co_spawn(this->context, this->play(), [this](const std::exception_ptr &failure) {
            if (failure)
                std::rethrow_exception(failure);
            this->context.stop();
        });
        this->context.run();
        this->ledger.close();
        std::cout << this->ledger.summary() << '\n';
        for (const std::string &problem : this->ledger.violations())
            std::cout << "BROKEN: " << problem << '\n';
        return this->ledger.violations().empty() ? 0 : 1;
    }

private:
    // Several soaks may run beside each other.
    static std::uint16_t portOf(std::uint64_t seed)
    {
        constexpr std::uint64_t slots = 1'500;
        return std::uint16_t(21'000 + (seed * 7 + std::uint64_t(::getpid())) % slots * 20);
    }

    static std::uint32_t terminationMsOf(const Options &options)
    {
        return options.entryStops || options.lateCalls ? std::uint32_t(longTermination.count())
                                                       : FleetSettings{}.terminationMs;
    }

    state::Address at(int network, std::size_t index) const
    {
        return {"127.78." + std::to_string(network) + "." + std::to_string(index + 1), this->port};
    }

    static std::string failureDomainOf(std::size_t endpoint)
    {
        return "domain-" + std::to_string(endpoint % 3);
    }

    void addProxy(const state::Address &listen, const state::Address &target)
    {
        this->proxies.push_back(std::make_unique<Proxy>(this->context, listen, target));
        this->proxies.back()->start();
    }

    std::size_t engineCount() const
    {
        return this->options.crashingPrompt.empty() ? engines : enginesForCrashes;
    }

    void makeEndpoints(std::uint64_t seed)
    {
        for (std::size_t index = 0; index < this->engineCount() + replicas; ++index) {
            StandInSettings settings;
            settings.engine = index < this->engineCount();
            settings.askedForRest = [this, index](const protocol::HttpRequest &request,
                                                  milliseconds time) {
                if (this->rests)
                    this->rests->askedForRest(index, request, time);
            };
            settings.saidLeaving = [this, index](const protocol::HttpRequest &request) {
                if (this->rests)
                    this->rests->saidLeaving(index, request);
            };
            settings.streamBegan = [this, index] {
                if (this->evacuation)
                    this->evacuation->streamBegan(index);
            };
            settings.streamEnded = [this, index](bool whole) {
                if (this->evacuation)
                    this->evacuation->streamEnded(index, whole);
            };
            settings.arrived = [this, index](const protocol::HttpRequest &request) {
                if (this->evacuation)
                    this->evacuation->requestArrived(index);
                if (this->coldReturns)
                    this->coldReturns->requestArrived(index, request);
                if (this->rests)
                    this->rests->requestArrived(index, request);
                if (this->crashes)
                    this->crashes->requestArrived(request);
                if (this->callCrashes)
                    this->callCrashes->requestArrived(request);
                if (this->entryStops)
                    this->entryStops->requestArrived(request);
            };
            settings.workEnded = [this](const protocol::HttpRequest &request, bool brokeOff) {
                if (this->entryStops)
                    this->entryStops->workEnded(request, brokeOff);
            };
            settings.ends = [this, index](const protocol::HttpRequest &request) {
                if (this->callCrashes)
                    return this->callCrashes->replicaEnds(index - this->engineCount(), request);
                return this->crashes && this->crashes->engineEnds(index, request);
            };
            settings.service = settings.engine ? "llm" : "app";
            settings.listen = this->at(2, index);
            settings.announced = this->at(3, index);
            settings.controls = this->fleet.allOperators();
            settings.failureDomain = failureDomainOf(index);
            settings.seed = seed * 100 + index;
            if (this->options.evacuation || this->options.coldReturns)
                settings.eventTime = longEventTime;
            if (this->options.entryStops)
                settings.workTime = EntryStops::workTime;
            if (this->options.lateCalls)
                settings.workTimeOf = LateCalls::workTimeOf;
            if (this->options.stutteringEndpoints)
                settings.announced = this->at(5, index);
            else
                this->addProxy(settings.announced, settings.listen);
            this->endpoints.push_back(
                    std::make_shared<StandIn>(this->context, settings, this->ledger));
            this->endpoints.back()->start();
        }
    }

    void makeCallers(std::uint64_t seed)
    {
        std::vector<state::Address> directories;
        for (std::size_t index = 0; index < this->fleet.size(); ++index) {
            if (this->fleet.isControl(index))
                continue;
            directories.push_back(this->fleet.directory(index));
            const state::Address listen = this->at(4, index);
            this->proxyOf[this->fleet.callers(index)] = listen;
            this->addProxy(listen, this->fleet.callers(index));
        }
        for (std::size_t index = 0; index < callers; ++index) {
            CallerSettings settings;
            settings.directories = directories;
            settings.seed = seed * 1'000 + index;
            settings.name = "c" + std::to_string(index);
            settings.viaProxy = [this](const state::Address &entry) {
                const auto found = this->proxyOf.find(entry);
                return found == this->proxyOf.end() ? entry : found->second;
            };
            this->people.push_back(std::make_unique<Caller>(this->context, settings, this->ledger));
        }
    }

    asio::awaitable<void> play()
    {
        if (!this->options.pathLoss.empty())
            co_await this->playPathLoss();
        else if (!this->options.controlLoss.empty())
            co_await this->playControlLoss();
        else if (this->options.endpointLimits)
            co_await this->playEndpointLimits();
        else if (this->options.endpointRest)
            co_await this->playEndpointRest();
        else if (this->options.entryStops)
            co_await this->playEntryStops();
        else if (this->options.lateCalls)
            co_await this->playLateCalls();
        else if (this->options.oddEntries)
            co_await this->playOddEntries();
        else if (this->options.stutteringEndpoints)
            co_await this->playStutteringEndpoints();
        else if (this->options.evacuation)
            co_await this->playEvacuation();
        else if (this->options.coldReturns)
            co_await this->playColdReturns();
        else if (!this->options.crashingPrompt.empty())
            co_await this->playCrashingPrompt();
        else if (!this->options.crashingCall.empty())
            co_await this->playCrashingCall();
        else
            co_await this->playFaults();
    }

    asio::awaitable<void> playPathLoss()
    {
        const bool started = co_await this->startFleet();
        if (!started)
            co_return;
        PathLoss::Settings settings;
        settings.fault =
                this->options.pathLoss == "hang" ? LinkFault::Unreachable : LinkFault::Refused;
        settings.cutOff = entriesCutOff;
        settings.quiet = this->options.pathLoss == "quiet";
        settings.seed = this->options.seed;
        PathLoss scenario(this->context, settings, this->fleet, this->proxiesOf(engines + replicas),
                          this->ledger);
        co_await scenario.play();
    }

    // Those before the first endpoints.
    std::vector<Proxy *> proxiesOf(std::size_t count) const
    {
        std::vector<Proxy *> links; // the endpoints' proxies come before all others
        for (std::size_t index = 0; index < count; ++index)
            links.push_back(this->proxies[index].get());
        return links;
    }

    asio::awaitable<void> playCrashingPrompt()
    {
        const bool started = co_await this->startFleet();
        if (!started)
            co_return;
        CrashingPrompt::Settings settings;
        settings.part = crashingParts.at(this->options.crashingPrompt);
        settings.seed = this->options.seed;
        this->makeEndpointCrashes(0, this->engineCount());
        this->crashes = std::make_unique<CrashingPrompt>(this->context, settings, this->fleet,
                                                         *this->endpointCrashes, this->ledger);
        co_await this->crashes->play();
    }

    asio::awaitable<void> playCrashingCall()
    {
        const bool started = co_await this->startFleet();
        if (!started)
            co_return;
        CrashingCall::Settings settings;
        settings.kind = crashingCalls.at(this->options.crashingCall);
        settings.seed = this->options.seed;
        this->makeEndpointCrashes(this->engineCount(), this->endpoints.size());
        this->callCrashes = std::make_unique<CrashingCall>(this->context, settings, this->fleet,
                                                           *this->endpointCrashes, this->ledger);
        co_await this->callCrashes->play();
    }

    // Of the endpoints from `first` on and before `end`.
    void makeEndpointCrashes(std::size_t first, std::size_t end)
    {
        const std::vector<Proxy *> links = this->proxiesOf(end);
        this->endpointCrashes = std::make_unique<EndpointCrashes>(
                this->context, this->options.seed,
                std::vector<Proxy *>(links.begin() + std::ptrdiff_t(first), links.end()),
                std::vector<std::shared_ptr<StandIn>>(
                        this->endpoints.begin() + std::ptrdiff_t(first),
                        this->endpoints.begin() + std::ptrdiff_t(end)),
                this->ledger);
    }

    asio::awaitable<void> playControlLoss()
    {
        const bool started = co_await this->startFleet();
        if (!started)
            co_return;
        ControlLoss::Settings settings;
        settings.fault =
                this->options.controlLoss == "kill" ? ControlFault::Killed : ControlFault::Frozen;
        settings.seed = this->options.seed;
        ControlLoss scenario(this->context, settings, this->fleet, this->operators, this->ledger);
        co_await scenario.play();
    }

    asio::awaitable<void> playEndpointLimits()
    {
        const bool started = co_await this->startFleet();
        if (!started)
            co_return;
        this->limits = std::make_unique<EndpointLimits>(
                this->context, EndpointLimits::Settings{this->options.seed, engines}, this->fleet,
                this->endpoints, this->ledger);
        co_await this->limits->play();
    }

    asio::awaitable<void> playEndpointRest()
    {
        const bool started = co_await this->startFleet();
        if (!started)
            co_return;
        this->rests = std::make_unique<EndpointRest>(
                this->context, EndpointRest::Settings{this->options.seed, engines}, this->fleet,
                this->endpoints, this->ledger);
        co_await this->rests->play();
    }

    asio::awaitable<void> playEntryStops()
    {
        const bool isShort = this->options.seed % 2 == 0;
        this->operators.setStreamTimes(EntryStops::timeLimit,
                                       isShort ? EntryStops::shortFirstEventTarget
                                               : EntryStops::firstEventTarget);
        this->operators.setReadRate(EntryStops::readRate);
        const bool started = co_await this->startFleet();
        if (!started)
            co_return;
        EntryStops::Settings settings;
        settings.seed = this->options.seed;
        settings.termination = longTermination;
        this->entryStops = std::make_unique<EntryStops>(
                this->context, settings, this->fleet,
                std::vector(this->endpoints.begin(), this->endpoints.begin() + engines),
                this->ledger);
        co_await this->entryStops->play();
    }

    asio::awaitable<void> playLateCalls()
    {
        this->operators.setCallTimeout(LateCalls::timeLimit);
        const bool started = co_await this->startFleet();
        if (!started)
            co_return;
        LateCalls::Settings settings;
        settings.seed = this->options.seed;
        settings.termination = longTermination;
        LateCalls scenario(this->context, settings, this->fleet, this->ledger);
        co_await scenario.play();
    }

    asio::awaitable<void> playOddEntries()
    {
        const bool started = co_await this->startFleet();
        if (!started)
            co_return;
        this->oddEntries = std::make_unique<OddEntries>(this->context, this->options.seed,
                                                        this->fleet, this->endpoints, this->ledger);
        co_await this->oddEntries->play();
    }

    asio::awaitable<void> playStutteringEndpoints()
    {
        this->operators.setMostBytes(StutteringEndpoints::longRequestBytes);
        const bool started = co_await this->startFleet();
        if (!started)
            co_return;
        StutteringEndpoints::Settings settings;
        settings.seed = this->options.seed;
        this->stuttering = std::make_unique<StutteringEndpoints>(this->context, settings,
                                                                 this->fleet, this->ledger);
        for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
            StutteringEndpoint::Settings endpoint;
            endpoint.listen = this->at(5, index);
            endpoint.engine = index < engines;
            endpoint.seed = this->options.seed * 100 + index;
            this->stuttering->addEndpoint(endpoint, this->endpoints[index]);
        }
        co_await this->stuttering->play();
    }

    asio::awaitable<void> playEvacuation()
    {
        const bool started = co_await this->startFleet();
        if (!started)
            co_return;
        Evacuation::Settings settings;
        settings.seed = this->options.seed;
        for (std::size_t index = 0; index < this->endpoints.size(); ++index)
            settings.failureDomains.push_back(failureDomainOf(index));
        this->evacuation = std::make_unique<Evacuation>(this->context, settings, this->fleet,
                                                        this->operators, this->ledger);
        co_await this->evacuation->play();
    }

    asio::awaitable<void> playColdReturns()
    {
        this->operators.limitColdEngines(ColdReturns::coldTime, ColdReturns::requestsPerSecond);
        const bool started = co_await this->startFleet();
        if (!started)
            co_return;
        ColdReturns::Settings settings;
        settings.seed = this->options.seed;
        settings.engines = engines;
        for (std::size_t index = 0; index < this->endpoints.size(); ++index)
            settings.failureDomains.push_back(failureDomainOf(index));
        this->coldReturns = std::make_unique<ColdReturns>(this->context, settings, this->fleet,
                                                          this->proxiesOf(engines + replicas),
                                                          this->endpoints, this->ledger);
        co_await this->coldReturns->play();
    }

    // Starts all processes and sends the first configuration.
    asio::awaitable<bool> startFleet()
    {
        for (std::size_t index = 0; index < this->fleet.size(); ++index)
            this->fleet.start(index);
        const bool configured = co_await this->operators.send(milliseconds(15'000));
        if (!configured)
            this->ledger.broken("the first configuration was not accepted in 15 s");
        co_return configured;
    }

    asio::awaitable<void> playFaults()
    {
        const bool started = co_await this->startFleet();
        if (!started)
            co_return;
        for (const auto &person : this->people)
            asio::co_spawn(this->context, person->callForEver(callPause), asio::detached);
        const auto whileHeld = [this](std::uint64_t version) {
            return this->checkAddedRoute(version);
        };
        asio::co_spawn(this->context, this->operators.sendForEver(changePause, whileHeld),
                       asio::detached);
        asio::co_spawn(this->context, this->operators.readForEver(readPause), asio::detached);
        co_await transport::pause(milliseconds(1'500));
        asio::co_spawn(this->context, this->faults->strikeForEver(faultPause), asio::detached);
        co_await transport::pause(std::chrono::seconds(this->options.seconds));
        co_await this->faults->heal();
        co_await transport::pause(recoveryTime);
        co_await this->checkCalmEnd();
    }

    // Whatever strikes an entry, it serves the route of a change that was acknowledged so long ago,
    // or says that it can't now: its view is confirmed, or it refuses nothing for good.
    asio::awaitable<void> checkAddedRoute(std::uint64_t version)
    {
        co_await transport::pause(changeInForce);
        const std::string path = "/v" + std::to_string(version) + "/x";
        for (int round = 0; round < probesOfAHeldChange; ++round) {
            for (std::size_t index = 0; index < this->fleet.size(); ++index) {
                if (this->fleet.isControl(index))
                    continue;
                const state::Address entry = this->fleet.callers(index);
                const unsigned status = co_await this->people.front()->probe(entry, path);
                if (status == statusNotFound)
                    this->ledger.broken("entry " + std::to_string(index)
                                        + " refuses the route of version " + std::to_string(version)
                                        + " for good");
            }
            co_await transport::pause(probePause);
        }
    }

    asio::awaitable<void> checkCalmEnd()
    {
        const std::uint64_t succeeded = this->ledger.successCount();
        const std::uint64_t answered = this->ledger.answerCount();
        co_await transport::pause(calmTime);
        const double all = double(this->ledger.answerCount() - answered);
        const double good = double(this->ledger.successCount() - succeeded);
        if (all == 0 || good / all < calmShare)
            this->ledger.broken("after the faults " + std::to_string(std::uint64_t(good)) + " of "
                                + std::to_string(std::uint64_t(all)) + " calls succeed");
        this->operators.stop();
        for (const auto &person : this->people)
            person->stop();
        co_await this->checkNewestInForce();
        if (this->fleet.exitsOfItsOwn() > 0)
            this->ledger.broken("processes ended by themselves");
    }

    // The newest acknowledged configuration is read back, and every entry serves its newest route.
    asio::awaitable<void> checkNewestInForce()
    {
        co_await transport::pause(milliseconds(2'500));
        const auto newest = co_await this->operators.read(milliseconds(5'000));
        if (!newest) {
            this->ledger.broken("no node is sure of the newest configuration");
            co_return;
        }
        for (std::size_t index = 0; index < this->fleet.size(); ++index) {
            if (this->fleet.isControl(index))
                continue;
            const std::string path = "/v" + std::to_string(*newest) + "/x";
            const state::Address entry = this->fleet.callers(index);
            const unsigned status = co_await this->people.front()->probe(entry, path);
            if (status != 200)
                this->ledger.broken("entry " + std::to_string(index)
                                    + " answers the route of version " + std::to_string(*newest)
                                    + " with " + std::to_string(status));
        }
    }

    const Options options;
    asio::io_context context{1};
    Ledger ledger;
    Fleet fleet;
    std::vector<std::unique_ptr<Proxy>> proxies;
    std::vector<std::shared_ptr<StandIn>> endpoints;
    std::vector<std::unique_ptr<Caller>> people;
    std::map<state::Address, state::Address> proxyOf; // of an entry's callers
    std::unique_ptr<Faults> faults;
    std::unique_ptr<EndpointCrashes> endpointCrashes;
    std::unique_ptr<CrashingPrompt> crashes;
    std::unique_ptr<CrashingCall> callCrashes;
    std::unique_ptr<EndpointLimits> limits; // calls may outlast the scenario
    std::unique_ptr<EndpointRest> rests;
    std::unique_ptr<EntryStops> entryStops;
    std::unique_ptr<OddEntries> oddEntries;          // calls may outlast the scenario
    std::unique_ptr<StutteringEndpoints> stuttering; // calls may outlast the scenario
    std::unique_ptr<Evacuation> evacuation;
    std::unique_ptr<ColdReturns> coldReturns;
    Operator operators;
    std::uint16_t port;
};

} // namespace

int run(int argc, char **argv)
{
    CLI::App app("fault-soak: faults on real processes, and the promises that must hold");
    Options options;
    app.add_option("--binary", options.binary, "The program under test")->required();
    app.add_option("--folder", options.folder, "For settings, logs and data; made anew")
            ->required();
    app.add_option("--seed", options.seed, "Of the faults and the load");
    app.add_option("--seconds", options.seconds, "How long faults strike");
    app.add_option("--entries", options.scenarioEntries, "Entries of a scenario")
            ->check(CLI::Range(6, 60));
    app.add_option("--path-loss", options.pathLoss,
                   "Cut entries off from endpoints: hang, reset, quiet")
            ->check(CLI::IsMember({"hang", "reset", "quiet"}));
    app.add_option("--control-loss", options.controlLoss,
                   "Stop the leader and another voter after changes: freeze, kill")
            ->check(CLI::IsMember({"freeze", "kill"}));
    app.add_flag("--endpoint-limits", options.endpointLimits, "Endpoints name request limits");
    app.add_flag("--endpoint-rest", options.endpointRest,
                 "Endpoints turn requests away for a while");
    app.add_flag("--entry-stops", options.entryStops,
                 "Entries at which prompts wait are told to stop, one after the other");
    app.add_flag("--late-calls", options.lateCalls,
                 "Entries get calls that may run once shortly before they refuse them");
    app.add_flag("--odd-entries", options.oddEntries,
                 "Another writer announces endpoints that can't be right");
    app.add_flag("--stuttering-endpoints", options.stutteringEndpoints,
                 "Endpoints spoil half of their answers");
    app.add_flag("--evacuation", options.evacuation,
                 "Failure domains are evacuated and taken back");
    app.add_flag("--cold-returns", options.coldReturns,
                 "Failure domains restart, and their engines are cold");
    app.add_option("--crashing-prompt", options.crashingPrompt,
                   "Prompts with a certain part end engines; which part: second, first, two, none")
            ->check(CLI::IsMember({"second", "first", "two", "none"}));
    app.add_option("--crashing-call", options.crashingCall,
                   "Certain calls end replicas of a plain service; how they are alike: target, "
                   "body, once, none")
            ->check(CLI::IsMember({"target", "body", "once", "none"}));
    CLI11_PARSE(app, argc, argv);
    std::cout << "seed " << options.seed << '\n';
    Soak soak(options);
    return soak.run();
}

} // namespace lavenderthread::soak

int main(int argc, char **argv)
{
    return lavenderthread::soak::run(argc, argv);
}
