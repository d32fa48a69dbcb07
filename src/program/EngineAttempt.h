// One attempt of a request at one engine: opens the engine's stream, cuts it into lines, and gives
// up when the engine falls silent or is no longer known alive.
#pragma once

#include "program/Settings.h"
#include "protocol/Completion.h"
#include "state/Endpoint.h"
#include "state/Time.h"
#include "transport/HttpClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lavenderthread::program {

struct AttemptRequest
{
    state::EndpointDescription endpoint;
    std::string stream; // the engine's stream id, unique for each attempt
    unsigned priority = 5;
    std::uint64_t resumeFrom = 0;
    std::uint32_t spanFrom = 0; // part of the prompt to prefill; spanTo = 0 means all of it
    std::uint32_t spanTo = 0;
    std::string bodyOf;        // stream to this engine that carried the same body; empty if none
    bool joinExisting = false; // read a stream that another entry started
    std::shared_ptr<const std::string> body; // the caller's, unchanged
    state::Instant deadline;
};

class EngineAttempt
{
public:
    // `isAlive` is asked a few times a second while the attempt waits.
    EngineAttempt(boost::asio::any_io_executor executor, AttemptRequest request,
                  EndpointSettings settings,
                  std::function<bool(const state::EndpointDescription &)> isAlive);
    ~EngineAttempt();
    EngineAttempt(const EngineAttempt &) = delete;
    EngineAttempt &operator=(const EngineAttempt &) = delete;

    // Errors: step transport::connectStep means that the engine has not seen the request;
    // Overloaded that it refused without running it; NotFound that it doesn't know the stream.
    boost::asio::awaitable<state::Result<void>> open();

    // The lines that have arrived, at least one. Errors: Unavailable, Timeout (deadline or
    // silence), Corrupt. A stream that ends without its done line is Unavailable.
    boost::asio::awaitable<state::Result<std::vector<protocol::EngineLine>>> readLines();

    // Tells the engine to stop and free its memory; does not wait. Best effort: what stays behind
    // ends at its own deadline and is found by the memory audit.
    void cancel();

private:
    protocol::HttpRequest startCall(bool withBody) const;
    boost::asio::awaitable<state::Result<transport::HttpAnswerStream>>
    send(protocol::HttpRequest call) const;

    struct Watch; // closes the stream when the endpoint is lost

    boost::asio::any_io_executor executor;
    AttemptRequest request;
    EndpointSettings settings;
    std::function<bool(const state::EndpointDescription &)> isAlive;
    std::shared_ptr<Watch> watch;
    std::string partial; // bytes of a line that is not yet whole
    bool sawToken = false;
    bool sawDone = false;
};

} // namespace lavenderthread::program
