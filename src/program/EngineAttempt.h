// One attempt of a request at one engine: opens the engine's stream, splits it into lines, and
// fails when the engine sends nothing for too long or is no longer known to be alive.
#pragma once

#include "program/AnswerBuffers.h"
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
    std::uint32_t spanFrom = 0; // part of the prompt to prefill; spanTo = 0: the whole prompt
    std::uint32_t spanTo = 0;
    std::string bodyOf;        // earlier stream to this engine with the same body; empty if none
    bool joinExisting = false; // continue a stream that another entry started
    std::shared_ptr<const std::string> body; // the caller's, unchanged
    state::Instant deadline;
    std::shared_ptr<transport::HttpCallHandle> handle; // ends the attempt from outside; may be null
    std::shared_ptr<AnswerBuffers> answerBuffers = std::make_shared<AnswerBuffers>();
};

class EngineAttempt
{
public:
    // `isAlive` is called a few times a second while the stream is open.
    EngineAttempt(boost::asio::any_io_executor executor, AttemptRequest request,
                  EndpointSettings settings,
                  std::function<bool(const state::EndpointDescription &)> isAlive);
    ~EngineAttempt();
    EngineAttempt(const EngineAttempt &) = delete;
    EngineAttempt &operator=(const EngineAttempt &) = delete;

    // Errors: step transport::connectStep if the engine has not received the request; Overloaded if
    // it refused the request without running it; NotFound if it doesn't know the stream.
    boost::asio::awaitable<state::Result<void>> open();

    // Returns the lines that have arrived, at least one. Errors: Unavailable, also for a stream
    // that ends without its done line; Timeout (deadline, or no data for too long); Corrupt.
    boost::asio::awaitable<state::Result<std::vector<protocol::EngineLine>>> readLines();

    // Tells the engine to stop and free its memory; does not wait. Best effort: a stream that keeps
    // running ends at its own deadline, and the memory audit finds it.
    void cancel();

private:
    protocol::HttpRequest startCall(bool withBody) const;
    boost::asio::awaitable<state::Result<transport::HttpAnswerStream>>
    send(protocol::HttpRequest call) const;

    struct Watch; // closes the stream when the endpoint is no longer alive

    boost::asio::any_io_executor executor;
    AttemptRequest request;
    EndpointSettings settings;
    std::function<bool(const state::EndpointDescription &)> isAlive;
    std::shared_ptr<Watch> watch;
    std::string partial;        // start of an incomplete line
    AnswerBuffers::Share share; // of `partial`
    bool sawToken = false;
    bool sawDone = false;
};

} // namespace lavenderthread::program
