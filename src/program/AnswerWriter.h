// The caller's side of a relayed completion: streamed as server-sent events, or gathered and sent
// whole. Accepts each token exactly once and in order.
#pragma once

#include "protocol/Completion.h"
#include "protocol/EventId.h"
#include "protocol/Problem.h"
#include "protocol/Seal.h"
#include "transport/HttpServer.h"

#include <string>

namespace lavenderthread::program {

class AnswerWriter
{
public:
    AnswerWriter(transport::HttpExchange &exchange, protocol::CompletionBody body, std::string id,
                 const protocol::SealKeys &keys, std::uint64_t firstOffset);

    // What the next accepted token's offset must be.
    std::uint64_t nextOffset() const { return this->next; }
    bool begun() const { return this->streamBegun; }
    bool callerGone() const { return this->gone; }

    enum class Verdict { Accepted, Repeated, Gap };
    // Takes a token into the pending piece. A repeat is dropped. After a gap nothing may be taken:
    // the tokens between are missing, and the attempt must be resumed at nextOffset().
    Verdict take(const protocol::EngineLine &line, const protocol::EventId &position);

    // Sends what is pending; false if the caller is gone.
    boost::asio::awaitable<bool> flush();
    boost::asio::awaitable<bool> finish(const std::string &finishReason);
    // As an answer of its own, or as an `error` event if the stream has begun.
    boost::asio::awaitable<void> fail(const protocol::Problem &problem);

private:
    boost::asio::awaitable<bool> beginStream();

    transport::HttpExchange &exchange;
    protocol::CompletionBody body;
    std::string id;
    const protocol::SealKeys &keys;
    std::uint64_t next;  // invariant: tokens 0…next-1 were taken here or are with the caller
    std::string pending; // events not yet sent; or, when not streaming, the text so far
    bool streamBegun = false;
    bool gone = false;
};

} // namespace lavenderthread::program
