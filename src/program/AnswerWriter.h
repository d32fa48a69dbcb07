// The caller's side of a relayed completion: streamed as server-sent events, or collected and sent
// as one answer. Accepts each token exactly once and in order.
#pragma once

#include "protocol/Completion.h"
#include "protocol/EventId.h"
#include "protocol/Problem.h"
#include "protocol/Seal.h"
#include "transport/HttpServer.h"

#include <string>

namespace lavenderthread::program {

// Writes the answer to one completion request.
class AnswerWriter
{
public:
    AnswerWriter(transport::HttpExchange &exchange, protocol::CompletionBody body, std::string id,
                 const protocol::SealKeys &keys, std::uint64_t firstOffset);

    // The offset that the next token must have to be accepted.
    std::uint64_t nextOffset() const { return this->next; }
    bool begun() const { return this->streamBegun; }
    bool isCallerDisconnected() const { return this->callerDisconnected; }

    enum class TakeResult { Accepted, Repeated, Gap };
    // Appends a token to the pending data. A repeated token is dropped. A gap means that tokens are
    // missing: nothing more may be taken, and the attempt must be resumed at nextOffset().
    TakeResult take(const protocol::EngineLine &line, const protocol::EventId &position);

    // Sends the pending data. False if the caller has disconnected.
    boost::asio::awaitable<bool> flush();
    boost::asio::awaitable<bool> finish(const std::string &finishReason);
    // Sends the problem as the answer, or as an `error` event if the stream has begun.
    boost::asio::awaitable<void> fail(const protocol::Problem &problem);

private:
    boost::asio::awaitable<bool> beginStream();

    transport::HttpExchange &exchange;
    protocol::CompletionBody body;
    std::string id;
    const protocol::SealKeys &keys;
    std::uint64_t next;  // invariant: tokens 0…next-1 were taken or the caller has them
    std::string pending; // streaming: events not yet sent; otherwise: the text so far
    bool streamBegun = false;
    bool callerDisconnected = false;
};

} // namespace lavenderthread::program
