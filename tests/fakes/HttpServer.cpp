// Connections of the fakes' server; each runs on a strand of its own.
#include "fakes/HttpServer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <optional>
#include <utility>

namespace lavenderthread::fakes {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds chunkPollInterval{4};
constexpr std::size_t drainBytes = 65'536;

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::ip::tcp::socket socket, const HttpServer::Handler &handler)
        : stream(std::move(socket))
        , timer(stream.get_executor())
        , handler(handler)
    {}

    void read()
    {
        this->parser.emplace();
        this->parser->body_limit(maximumBodyBytes);
        http::async_read(this->stream, this->buffer, *this->parser,
                         [self = this->shared_from_this()](error_code error, std::size_t) {
                             self->onRead(error);
                         });
    }

private:
    void onRead(error_code error)
    {
        if (error == http::error::body_limit) {
            this->reply = makeProblem(http::status::payload_too_large, "body over 16 MB");
            this->reply.response.keep_alive(false);
            this->writeWhole();
            return;
        }
        if (error)
            return;
        const Request &request = this->parser->get();
        try {
            this->reply = this->handler(request);
        } catch (const std::exception &problem) {
            this->reply = makeProblem(http::status::bad_request, problem.what());
        }
        this->reply.response.keep_alive(request.keep_alive());
        if (this->reply.delay.count() == 0) {
            this->write();
            return;
        }
        this->timer.expires_after(this->reply.delay);
        this->timer.async_wait([self = this->shared_from_this()](error_code cancelled) {
            if (!cancelled)
                self->write();
        });
    }

    void write()
    {
        if (this->reply.nextChunk)
            this->writeHeader();
        else
            this->writeWhole();
    }

    void writeWhole()
    {
        this->reply.response.prepare_payload();
        http::async_write(this->stream, this->reply.response,
                          [self = this->shared_from_this()](error_code error, std::size_t) {
                              self->onAnswered(error);
                          });
    }

    void onAnswered(error_code error)
    {
        if (error)
            return;
        if (this->reply.response.need_eof() || !this->reply.response.keep_alive()) {
            this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
            this->drain();
            return;
        }
        this->read();
    }

    // Closing with unread bytes resets the connection, and a peer that is still sending a body that
    // was refused would lose the answer. Reading them away until it closes lets the answer arrive.
    void drain()
    {
        this->buffer.clear();
        this->stream.async_read_some(
                this->buffer.prepare(drainBytes),
                [self = this->shared_from_this()](error_code error, std::size_t) {
                    if (!error)
                        self->drain();
                });
    }

    void writeHeader()
    {
        this->header = http::response<http::empty_body>(this->reply.response.base());
        this->header.chunked(true);
        this->serializer.emplace(this->header);
        http::async_write_header(this->stream, *this->serializer,
                                 [self = this->shared_from_this()](error_code error, std::size_t) {
                                     if (!error)
                                         self->pump();
                                 });
    }

    void pump()
    {
        this->chunk = this->reply.nextChunk();
        if (this->chunk.text.empty()) {
            this->afterChunk();
            return;
        }
        asio::async_write(this->stream, http::make_chunk(asio::buffer(this->chunk.text)),
                          [self = this->shared_from_this()](error_code error, std::size_t) {
                              if (!error)
                                  self->afterChunk();
                          });
    }

    void afterChunk()
    {
        switch (this->chunk.then) {
        case Chunk::Then::AskAgain:
            this->timer.expires_after(chunkPollInterval);
            this->timer.async_wait([self = this->shared_from_this()](error_code cancelled) {
                if (!cancelled)
                    self->pump();
            });
            return;
        case Chunk::Then::Done:
            asio::async_write(this->stream, http::make_chunk_last(),
                              [self = this->shared_from_this()](error_code error, std::size_t) {
                                  self->onAnswered(error);
                              });
            return;
        case Chunk::Then::Cut:
            this->stream.close();
            return;
        }
    }

    beast::tcp_stream stream;
    asio::steady_timer timer;
    const HttpServer::Handler &handler;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    Reply reply;
    http::response<http::empty_body> header;
    std::optional<http::response_serializer<http::empty_body>> serializer;
    Chunk chunk;
};

} // namespace

Reply makeReply(http::status status, std::string json)
{
    Reply reply;
    reply.response.result(status);
    if (!json.empty())
        reply.response.set(http::field::content_type, "application/json");
    reply.response.body() = std::move(json);
    return reply;
}

Reply makeProblem(http::status status, std::string_view detail)
{
    const boost::json::object problem{
            {"title", std::string_view(http::obsolete_reason(status))},
            {"detail", detail},
    };
    Reply reply = makeReply(status, boost::json::serialize(problem));
    reply.response.set(http::field::content_type, "application/problem+json");
    return reply;
}

HttpServer::HttpServer(Handler handler)
    : handler(std::move(handler))
    , acceptor(context)
{}

state::Result<std::unique_ptr<HttpServer>> HttpServer::create(const state::Address &listen,
                                                              int threadCount, Handler handler)
{
    std::unique_ptr<HttpServer> server(new HttpServer(std::move(handler)));
    try {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(listen.ip), listen.port);
        server->acceptor.open(endpoint.protocol());
        server->acceptor.set_option(asio::socket_base::reuse_address(true));
        server->acceptor.bind(endpoint);
        server->acceptor.listen();
    } catch (const boost::system::system_error &problem) {
        return state::makeError(state::ErrorCode::Unavailable, "fake.listen", problem.what(),
                                listen.toString());
    }
    server->accept();
    for (int thread = 0; thread < threadCount; ++thread)
        server->threads.emplace_back([raw = server.get()] { raw->context.run(); });
    return server;
}

HttpServer::~HttpServer()
{
    this->context.stop();
    for (std::thread &thread : this->threads)
        thread.join();
}

state::Address HttpServer::address() const
{
    const auto endpoint = this->acceptor.local_endpoint();
    return state::Address{endpoint.address().to_string(), endpoint.port()};
}

void HttpServer::accept()
{
    this->acceptor.async_accept(
            asio::make_strand(this->context),
            [this](error_code error, asio::ip::tcp::socket socket) {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error) {
                    socket.set_option(asio::ip::tcp::no_delay(true), error);
                    std::make_shared<Connection>(std::move(socket), this->handler)->read();
                }
                this->accept();
            });
}

} // namespace lavenderthread::fakes
