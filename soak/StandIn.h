// Stand-in of the provider's endpoints: announces itself, runs what it is sent, writes down each
// run, and fails in the ways that endpoints fail in.
#pragma once

#include "Ledger.h"
#include "NamedLimit.h"

#include "state/Address.h"
#include "transport/HttpServer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lavenderthread::soak {

enum class EndpointFault {
    None,
    Fails,   // some answers are failures of its own
    Refuses, // some are refused, not run
    Breaks,  // some break off
    Hangs,   // some are never answered
    Crossed, // some answers carry another request's id
};

struct StandInSettings
{
    std::string service;
    bool engine = false; // announces a model and streams
    state::Address listen;
    state::Address announced; // a proxy before it
    std::vector<state::Address> controls;
    std::string failureDomain;
    std::uint64_t seed = 0;
    std::size_t largeAnswerBytes = 0; // are added to the answers of a replica below /read/large
    // Called when a request arrives, and when an engine begins to write its answer or a replica has
    // run a call. The latter tells whether the endpoint ends instead.
    std::function<void(const protocol::HttpRequest &)> arrived = [](const auto &) {};
    std::function<bool(const protocol::HttpRequest &)> ends = [](const auto &) { return false; };
    // Called when a request is turned away and the caller is asked for so much rest.
    std::function<void(const protocol::HttpRequest &, std::chrono::milliseconds)> askedForRest =
            [](const auto &, auto) {};
    std::chrono::milliseconds workTime{15}; // before an answer, or the first event of a stream
    // Of one request, in place of `workTime`.
    std::function<std::chrono::milliseconds(const protocol::HttpRequest &)> workTimeOf;
    std::chrono::milliseconds eventTime{20}; // between the events of a stream
    // Called when the work on a request has ended, or its connection has, unless it was refused;
    // `brokeOff`: without the whole answer, by a fault of the endpoint.
    std::function<void(const protocol::HttpRequest &, bool brokeOff)> workEnded = [](const auto &,
                                                                                     bool) {};
    // Called when an engine begins a stream, and when it ends: whole, or broken off by either side.
    std::function<void()> streamBegan = [] {};
    std::function<void(bool whole)> streamEnded = [](bool) {};
    // Called when an answer says that the endpoint leaves.
    std::function<void(const protocol::HttpRequest &)> saidLeaving = [](const auto &) {};
};

class StandIn : public std::enable_shared_from_this<StandIn>
{
public:
    StandIn(boost::asio::io_context &context, StandInSettings chosen, Ledger &ledger);

    void start();
    void setFault(EndpointFault next) { this->fault = next; }
    void restart(); // under a new id and incarnation, at the same address
    // The same, and announces itself as cold for so long.
    void restartCold(std::chrono::milliseconds time);
    // When its first announcement since the last restart was accepted.
    std::optional<state::Instant> announcedAt() const { return this->accepted; }
    // Announces itself no more until restart().
    void end() { this->ended = true; }
    bool hasEnded() const { return this->ended; }
    // Names that many requests a second in its answers; nothing: names none.
    void nameLimit(std::optional<double> perSecond);
    const NamedLimit &namedLimit() const { return this->limit; }
    // Turns all requests away and asks for so much rest; nothing: serves again.
    void askForRest(std::optional<std::chrono::milliseconds> time) { this->restTime = time; }
    // Says in all its answers that it leaves, and goes on announcing itself as before.
    void sayLeaving() { this->leaving = true; }
    const std::string &name() const { return this->id; }
    std::uint64_t arrivals() const { return this->arrived; }

private:
    boost::asio::awaitable<void> beat();
    boost::asio::awaitable<void> serve(transport::HttpExchange &exchange);
    boost::asio::awaitable<void> serveOrder(transport::HttpExchange &exchange);
    enum class StreamEnd { Whole, BrokenOff, CallerGone };

    // Runs the request. False: its answer was broken off.
    boost::asio::awaitable<bool> run(transport::HttpExchange &exchange,
                                     protocol::HttpResponse answer, const std::string &id);
    boost::asio::awaitable<StreamEnd> stream(transport::HttpExchange &exchange,
                                             protocol::HttpResponse head, const std::string &id);
    std::string heartbeat();
    bool strikes(EndpointFault which);

    boost::asio::io_context &context;
    StandInSettings settings;
    Ledger &ledger;
    std::mt19937_64 random;
    std::shared_ptr<transport::HttpServer> server;
    EndpointFault fault = EndpointFault::None;
    NamedLimit limit;
    std::optional<std::chrono::milliseconds> restTime;
    std::uint64_t arrived = 0; // requests, orders left out
    std::optional<state::Instant> accepted;
    state::Instant coldUntil; // Instant{}: has not been cold
    std::string id;
    std::uint64_t born = 0;
    std::uint64_t sequence = 0;
    std::size_t control = 0;
    bool leaving = false;
    bool ended = false;
};

} // namespace lavenderthread::soak
