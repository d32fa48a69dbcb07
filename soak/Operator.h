// The operator: sends configurations with rising versions, again after lost answers, and reads back
// what is in force.
#pragma once

#include "Ledger.h"

#include "protocol/HttpMessage.h"
#include "state/Address.h"
#include "state/Error.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lavenderthread::soak {

class Operator
{
public:
    Operator(boost::asio::io_context &context, std::vector<state::Address> controls, Ledger &ledger,
             std::uint64_t seed);

    // True once a configuration is acknowledged.
    boost::asio::awaitable<bool> send(std::chrono::milliseconds patience);
    // Each so many changes are held: `whileHeld` ends before the next one is sent.
    boost::asio::awaitable<void>
    sendForEver(std::chrono::milliseconds pause,
                std::function<boost::asio::awaitable<void>(std::uint64_t version)> whileHeld);
    boost::asio::awaitable<void> readForEver(std::chrono::milliseconds pause);
    // The newest version, or nothing if no node is sure within the time.
    boost::asio::awaitable<std::optional<std::uint64_t>> read(std::chrono::milliseconds patience);
    // Begins or ends the evacuation of a failure domain, trying one control member after another.
    // That many acknowledgements are lost, and the order is sent again. True once acknowledged.
    boost::asio::awaitable<bool> evacuate(std::string failureDomain, bool evacuated,
                                          std::size_t lostAnswers);
    // What the configurations from now on say of cold engines.
    void limitColdEngines(std::chrono::milliseconds time, double requestsPerSecond)
    {
        this->coldTime = time;
        this->coldRequestsPerSecond = requestsPerSecond;
    }
    // Of the stream route, in the configurations from now on.
    void setStreamTimes(std::chrono::milliseconds timeout, std::chrono::milliseconds firstEvent)
    {
        this->streamTimeout = timeout;
        this->firstEventTarget = firstEvent;
    }
    // Prompt tokens that an engine reads in a second, in the configurations from now on.
    // Of calls that are no streams.
    void setCallTimeout(std::chrono::milliseconds timeout) { this->callTimeout = timeout; }
    void setReadRate(std::uint32_t perSecond) { this->readRate = perSecond; }
    // Of a request's body.
    void setMostBytes(std::uint64_t bytes) { this->mostBytes = bytes; }
    void stop() { this->stopped = true; }
    std::uint64_t lastSent() const { return this->version; }

private:
    boost::asio::awaitable<state::Result<protocol::HttpResponse>>
    call(std::size_t control, const char *method, std::string path, std::string body);
    std::string document() const;
    std::string coldLimits() const; // members of a service in the document; may be empty
    std::string limits() const;

    boost::asio::io_context &context;
    std::vector<state::Address> controls;
    Ledger &ledger;
    std::mt19937_64 random;
    std::uint64_t version = 0;
    std::size_t fillerRoutes; // of every configuration
    std::chrono::milliseconds coldTime{0};
    double coldRequestsPerSecond = 0; // 0: no limit
    std::uint32_t readRate = 2'560'000;
    std::uint64_t mostBytes = 0; // 0: not set by the configuration
    std::chrono::milliseconds streamTimeout{3'000};
    std::chrono::milliseconds callTimeout{3'000};
    std::chrono::milliseconds firstEventTarget{3'000};
    bool stopped = false;
};

} // namespace lavenderthread::soak
