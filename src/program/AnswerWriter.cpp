// Writes server-sent events with sealed ids, or one JSON answer.
#include "program/AnswerWriter.h"

namespace lavenderthread::program {

namespace asio = boost::asio;

AnswerWriter::AnswerWriter(transport::HttpExchange &exchange, protocol::CompletionBody body,
                           std::string id, const protocol::SealKeys &keys,
                           std::uint64_t firstOffset)
    : exchange(exchange)
    , body(std::move(body))
    , id(std::move(id))
    , keys(keys)
    , next(firstOffset)
{}

AnswerWriter::TakeResult AnswerWriter::take(const protocol::EngineLine &line,
                                            const protocol::EventId &position)
{
    // A resuming engine may send lines again, and lines of an abandoned attempt may still arrive.
    // Without this check the caller would get tokens twice or a mix of two answers.
    if (line.offset < this->next)
        return TakeResult::Repeated;
    if (line.offset > this->next)
        return TakeResult::Gap;
    ++this->next;
    if (!this->body.stream) {
        this->pending += line.token;
        return TakeResult::Accepted;
    }
    this->pending += "id: " + protocol::sealEventId(this->keys, position) + "\ndata: "
                     + protocol::completionChunk(this->body.kind, this->id,
                                                 this->body.model.value(), line.offset, line.token)
                     + "\n\n";
    return TakeResult::Accepted;
}

asio::awaitable<bool> AnswerWriter::beginStream()
{
    if (this->streamBegun)
        co_return true;
    this->streamBegun = true;
    protocol::HttpResponse head;
    head.headers = {{"Content-Type", "text/event-stream"},
                    {"Cache-Control", "no-store"},
                    {"Request-Id", this->id}};
    const auto sent = co_await this->exchange.beginStream(std::move(head));
    this->callerDisconnected = !sent;
    co_return !this->callerDisconnected;
}

asio::awaitable<bool> AnswerWriter::flush()
{
    if (this->callerDisconnected)
        co_return false;
    if (!this->body.stream || this->pending.empty())
        co_return true;
    if (!co_await this->beginStream())
        co_return false;
    const std::string piece = std::exchange(this->pending, {});
    const auto sent = co_await this->exchange.write(piece);
    this->callerDisconnected = !sent;
    co_return !this->callerDisconnected;
}

asio::awaitable<bool> AnswerWriter::finish(const std::string &finishReason)
{
    if (!this->body.stream) {
        protocol::HttpResponse answer;
        answer.headers = {{"Content-Type", "application/json"}, {"Request-Id", this->id}};
        answer.body = protocol::completionAnswer(this->body, this->id, this->pending, this->next,
                                                 finishReason);
        const auto sent = co_await this->exchange.respond(std::move(answer));
        this->callerDisconnected = !sent;
        co_return !this->callerDisconnected;
    }
    this->pending += "data: "
                     + protocol::completionEnd(this->body.kind, this->id, this->body.model.value(),
                                               this->next, finishReason)
                     + "\n\ndata: [DONE]\n\n";
    if (!co_await this->flush())
        co_return false;
    const auto sent = co_await this->exchange.finishStream();
    this->callerDisconnected = !sent;
    co_return !this->callerDisconnected;
}

asio::awaitable<void> AnswerWriter::fail(const protocol::Problem &problem)
{
    if (this->callerDisconnected)
        co_return;
    if (!this->streamBegun) {
        protocol::HttpResponse answer = protocol::toResponse(problem);
        answer.headers.add("Request-Id", this->id);
        const auto sent = co_await this->exchange.respond(std::move(answer));
        this->callerDisconnected = !sent;
        co_return;
    }
    this->pending += "event: error\ndata: " + protocol::toJson(problem) + "\n\n";
    if (co_await this->flush())
        co_await this->exchange.finishStream();
}

} // namespace lavenderthread::program
