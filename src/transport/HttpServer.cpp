// One coroutine accepts; one coroutine a connection reads requests in turn and runs the handler.
#include "transport/HttpServer.h"

#include "state/Snapshot.h"
#include "transport/BeastConversion.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

#include <atomic>
#include <iterator>
#include <memory>
#include <optional>
#include <utility>

namespace lavenderthread::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// Pause after accept fails, for example when descriptors run out: without it the loop would spin.
constexpr std::chrono::milliseconds acceptRetryDelay{50};
// Of the kernel, in each direction: by itself it would keep megabytes for a peer that sends ahead
// or doesn't read.
constexpr int socketBufferBytes = 64 << 10;
constexpr std::size_t readBytes = 16U << 10U;
// What the peer of a larger answer hasn't read is counted behind it.
constexpr std::size_t largeAnswerBytes = 16U << 10U;
// What a header field takes beside its text, here and in the request that is sent on.
constexpr std::size_t fieldBytes = 256;

state::Error writeError(const beast::error_code &problem, const std::string &peer)
{
    return state::makeError(state::ErrorCode::Unavailable, "caller.write", problem.message(), peer);
}

} // namespace

struct HttpServer::Shared
{
    Shared(asio::io_context &context, tcp::acceptor acceptor, HttpLimits limits,
           HttpServer::Hooks hooks)
        : context(context)
        , acceptor(std::move(acceptor))
        , limits(limits)
        , hooks(std::move(hooks))
        , listener(this->hooks.pool->addListener())
    {}

    asio::io_context &context;
    tcp::acceptor acceptor;
    bool keepsConnections() const { return this->accepting && !this->closing; }

    state::Snapshot<HttpLimits> limits;
    HttpServer::Hooks hooks;
    const ConnectionPool::Listener listener;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> exchanges = 0;
    std::atomic<bool> accepting = true;
    std::atomic<bool> closing = false; // answers close their connections
};

namespace {

using Shared = HttpServer::Shared;
using Phase = ConnectionPool::Phase;

// Counts an exchange during its lifetime.
class OpenExchange
{
public:
    explicit OpenExchange(Shared &server)
        : server(server)
    {
        ++this->server.exchanges;
    }
    ~OpenExchange() { --this->server.exchanges; }
    OpenExchange(const OpenExchange &) = delete;
    OpenExchange &operator=(const OpenExchange &) = delete;

private:
    Shared &server;
};

// One caller's connection. Lives as long as its coroutine; all work is on its strand.
class Connection
{
public:
    // Whether it still lives. Used on its strand.
    using Life = std::shared_ptr<Connection *>;

    Connection(std::shared_ptr<Shared> server, tcp::socket socket, std::string peer,
               std::unique_ptr<ConnectionPool::Member> member, Life life)
        : server(std::move(server))
        , stream(std::move(socket))
        , peer(std::move(peer))
        , member(std::move(member))
        , life(std::move(life))
    {
        *this->life = this;
    }
    ~Connection()
    {
        *this->life = nullptr;
        if (this->watching)
            *this->watching = false;
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // Ends what it waits for. What the peer hasn't read is dropped: an orderly end would leave it
    // in the system's buffers.
    void close()
    {
        beast::error_code ignored;
        this->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        this->stream.close();
    }

    asio::awaitable<void> run()
    {
        bool first = true;
        while (first || this->server->accepting) {
            std::optional<OpenExchange> open;
            std::optional<protocol::HttpRequest> request = co_await this->readRequest(first, open);
            if (!request)
                break;
            first = false;
            this->streamOpen = false;
            if (!this->member->enter(Phase::Handling))
                break;
            HttpExchange exchange(std::move(*request), this->peer, this->stream.get_executor(),
                                  this->exchangeHooks());
            co_await this->server->hooks.handle(exchange);
            this->stopWatching();
            // A stream that was not finished is cut: closing without the last chunk shows it.
            if (!this->keepAlive || !exchange.answered() || this->broken || this->streamOpen)
                break;
            this->becomeIdle();
        }
        beast::error_code ignored;
        this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

private:
    HttpExchange::Hooks exchangeHooks()
    {
        return HttpExchange::Hooks{
                [this](protocol::HttpResponse response) { return this->respond(response); },
                [this](protocol::HttpResponse head) { return this->beginStream(head); },
                [this](std::string_view piece) { return this->writeChunk(piece); },
                [this] { return this->finishStream(); },
                [this](std::function<void()> gone) { this->watchCaller(std::move(gone)); },
        };
    }

    // A peek tells a close from the next request, and leaves both where they are.
    void watchCaller(std::function<void()> gone)
    {
        const auto watch = std::make_shared<bool>(true);
        this->watching = watch;
        tcp::socket &socket = this->stream.socket();
        socket.async_wait(tcp::socket::wait_read, [this, &socket, watch, gone = std::move(gone)](
                                                          const beast::error_code &problem) {
            if (problem || !*watch)
                return;
            char next = 0;
            const auto got = ::recv(socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
            if (got > 0)
                this->holdSentAhead();
            if (got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK))
                gone();
        });
    }

    // A caller that sends its next request ahead fills the kernel's buffers. Without room for them,
    // the connection ends behind the answer to the request that is being handled.
    void holdSentAhead()
    {
        this->keepAlive =
                this->keepAlive && this->member->resize(this->heldBytes + 2 * socketBufferBytes);
    }

    void becomeIdle()
    {
        if (this->buffer.size() == 0)
            this->buffer.shrink_to_fit();
        this->member->setAnswerBytes(0);
        this->heldBytes = this->buffer.capacity();
        if (this->hasLargeAnswer)
            this->heldBytes += this->unreadBytes();
        this->member->resize(this->heldBytes);
        this->member->enter(Phase::Idle);
    }

    void stopWatching()
    {
        if (!this->watching)
            return;
        *this->watching = false;
        this->watching.reset();
        beast::error_code ignored;
        this->stream.socket().cancel(ignored);
    }

    // Nothing when the connection is to be closed; rejections have been answered by then. `open` is
    // set once a request has begun.
    asio::awaitable<std::optional<protocol::HttpRequest>>
    readRequest(bool first, std::optional<OpenExchange> &open)
    {
        http::request_parser<http::string_body> parser;
        const HttpLimits limits = *this->server->limits.read();
        parser.header_limit(limits.headerBytes);
        parser.body_limit(boost::none); // checked below, with the limits of that time
        this->buffer.max_size(limits.headerBytes + readBytes);
        // The first request must arrive at once; later ones may follow after an idle time.
        this->stream.expires_after(first ? limits.requestTimeout : limits.idleTimeout);
        auto [headProblem, headBytes] = co_await http::async_read_header(
                this->stream, this->buffer, parser, asio::as_tuple(asio::use_awaitable));
        if (headProblem) {
            co_await this->reject(headProblem, headBytes);
            co_return std::nullopt;
        }
        open.emplace(*this->server);
        const std::uint64_t mostBytes = this->server->limits.read()->bodyBytes;
        if (parser.content_length().value_or(0) > mostBytes) {
            co_await this->reject(http::error::body_limit, headBytes);
            co_return std::nullopt;
        }
        parser.body_limit(mostBytes);
        this->stream.expires_after(limits.requestTimeout);
        if (parser.get()[http::field::expect] == "100-continue")
            co_await this->sendContinue();
        const bool received = co_await this->readBody(parser, headBytes);
        if (!received)
            co_return std::nullopt;
        this->keepAlive = parser.get().keep_alive();
        this->withoutBody = parser.get().method() == http::verb::head;
        co_return toHttpRequest(parser.release());
    }

    static std::size_t countOf(const http::fields &fields)
    {
        return std::size_t(std::distance(fields.begin(), fields.end()));
    }

    // Bytes that were written and that the peer's system hasn't acknowledged.
    std::size_t unreadBytes()
    {
        int bytes = 0;
        const int socket = this->stream.socket().native_handle();
        return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? std::size_t(bytes) : 0;
    }

    // False: the connection is to be closed; a rejection has been answered.
    asio::awaitable<bool> readBody(http::request_parser<http::string_body> &parser,
                                   std::size_t headBytes)
    {
        this->member->enter(Phase::Receiving);
        const auto &fields = parser.get();
        const std::size_t fieldCount = countOf(fields);
        const std::size_t headHeld = 2 * headBytes + fieldCount * fieldBytes;
        std::size_t bytesRead = headBytes;
        parser.eager(true);
        while (true) {
            // The request that is sent on is a second copy.
            this->heldBytes = headHeld + 2 * parser.get().body().size() + this->buffer.capacity();
            if (parser.is_done()) // there may be trailers
                this->heldBytes += (countOf(fields) - fieldCount) * fieldBytes;
            if (!this->member->resize(this->heldBytes)) {
                std::string().swap(parser.get().body());
                co_await this->refuse(503, "there is no room for the request now");
                co_return false;
            }
            if (parser.is_done())
                co_return true;
            auto [problem, bytes] = co_await http::async_read_some(
                    this->stream, this->buffer, parser, asio::as_tuple(asio::use_awaitable));
            bytesRead += bytes;
            if (problem) {
                std::string().swap(parser.get().body());
                co_await this->reject(problem, bytesRead);
                co_return false;
            }
        }
    }

    asio::awaitable<void> sendContinue()
    {
        http::response<http::empty_body> go(http::status::continue_, httpVersion);
        co_await http::async_write(this->stream, go, asio::as_tuple(asio::use_awaitable));
    }

    // A peer that closed, or sent nothing at all, gets no answer; a broken request does.
    asio::awaitable<void> reject(beast::error_code problem, std::size_t bytesRead)
    {
        unsigned status = 400;
        if (problem == http::error::body_limit)
            status = 413;
        else if (problem == http::error::header_limit || problem == http::error::buffer_overflow)
            status = 431;
        else if (problem == beast::error::timeout && bytesRead + this->buffer.size() > 0)
            status = 408;
        else if (problem.category() != http::make_error_code(http::error::bad_method).category()
                 || problem == http::error::end_of_stream)
            co_return;
        co_await this->refuse(status, problem.message());
    }

    asio::awaitable<void> refuse(unsigned status, std::string cause)
    {
        this->keepAlive = false;
        this->buffer.clear();
        this->buffer.shrink_to_fit();
        this->heldBytes = 0;
        this->member->resize(0);
        co_await this->respond(this->server->hooks.reject(status, cause));
        this->member->enter(Phase::Receiving);
        co_await this->drainInput();
    }

    // Closing with unread input resets the connection, and the caller would lose the refusal.
    asio::awaitable<void> drainInput()
    {
        constexpr std::size_t drainBytes = 8U << 10U;
        constexpr int drainReads = 4'096;
        constexpr std::chrono::seconds drainTime{2};
        beast::error_code ignored;
        this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        std::string sink(drainBytes, '\0');
        this->stream.expires_after(drainTime);
        for (int reads = 0; reads < drainReads; ++reads) {
            auto [problem, bytes] = co_await this->stream.async_read_some(
                    asio::buffer(sink), asio::as_tuple(asio::use_awaitable));
            if (problem || bytes == 0)
                break;
        }
    }

    asio::awaitable<state::Result<void>> respond(protocol::HttpResponse response)
    {
        http::response<http::string_body> message = toBeast(std::move(response));
        message.keep_alive(this->keepAlive && this->server->keepsConnections());
        if (this->withoutBody)
            message.body().clear();
        message.prepare_payload();
        this->keepAlive = message.keep_alive();
        this->hasLargeAnswer = message.body().size() > largeAnswerBytes;
        const bool hasRoom = !this->server->hooks.countsAnswers
                             || this->member->resize(this->heldBytes + message.body().size());
        if (!hasRoom)
            co_return this->endWrite(asio::error::no_buffer_space);
        this->beginWrite(message.body().size());
        auto [problem, bytes] = co_await http::async_write(this->stream, message,
                                                           asio::as_tuple(asio::use_awaitable));
        co_return this->endWrite(problem);
    }

    asio::awaitable<state::Result<void>> beginStream(protocol::HttpResponse head)
    {
        http::response<http::empty_body> message(toBeast(std::move(head)).base());
        message.chunked(true);
        this->streamOpen = true;
        this->keepAlive = this->keepAlive && this->server->keepsConnections();
        message.keep_alive(this->keepAlive);
        http::response_serializer<http::empty_body> serializer(message);
        this->beginWrite(0);
        auto [problem, bytes] = co_await http::async_write_header(
                this->stream, serializer, asio::as_tuple(asio::use_awaitable));
        co_return this->endWrite(problem);
    }

    asio::awaitable<state::Result<void>> writeChunk(std::string_view piece)
    {
        if (this->withoutBody)
            co_return state::outcome::success();
        this->beginWrite(piece.size());
        auto [problem, bytes] = co_await asio::async_write(
                this->stream, http::make_chunk(asio::buffer(piece.data(), piece.size())),
                asio::as_tuple(asio::use_awaitable));
        co_return this->endWrite(problem);
    }

    asio::awaitable<state::Result<void>> finishStream()
    {
        if (this->withoutBody) {
            this->streamOpen = false;
            co_return state::outcome::success();
        }
        this->beginWrite(0);
        auto [problem, bytes] = co_await asio::async_write(this->stream, http::make_chunk_last(),
                                                           asio::as_tuple(asio::use_awaitable));
        this->streamOpen = false;
        co_return this->endWrite(problem);
    }

    void beginWrite(std::size_t bodyBytes)
    {
        this->stream.expires_after(this->server->limits.read()->writeTimeout);
        this->member->setAnswerBytes(bodyBytes);
        this->member->enter(Phase::Sending);
    }

    state::Result<void> endWrite(const beast::error_code &problem)
    {
        this->member->enter(Phase::Handling);
        if (!problem)
            return state::outcome::success();
        this->broken = true;
        return writeError(problem, this->peer);
    }

    std::shared_ptr<Shared> server;
    beast::tcp_stream stream;
    std::string peer;
    std::unique_ptr<ConnectionPool::Member> member;
    Life life; // empty from the end of this object on
    beast::flat_buffer buffer;
    std::size_t heldBytes = 0; // of the request and what is read ahead
    bool hasLargeAnswer = false;
    bool keepAlive = false;
    bool withoutBody = false;       // the answer to a HEAD request
    bool broken = false;            // a write failed; nothing more can be sent
    bool streamOpen = false;        // begun and not finished
    std::shared_ptr<bool> watching; // set while the caller is watched; false inside: no longer
};

asio::awaitable<void> serveConnection(std::shared_ptr<Shared> server, tcp::socket socket,
                                      std::string peer,
                                      std::unique_ptr<ConnectionPool::Member> member,
                                      Connection::Life life)
{
    Connection connection(server, std::move(socket), std::move(peer), std::move(member),
                          std::move(life));
    try {
        co_await connection.run();
    } catch (const std::exception &) {
        // The handler's own failures end in its answer; what comes here only costs the connection.
    }
    --server->connections;
}

std::string peerOf(const tcp::socket &socket)
{
    beast::error_code problem;
    const tcp::endpoint remote = socket.remote_endpoint(problem);
    if (problem)
        return {};
    return state::Address{remote.address().to_string(), remote.port()}.toString();
}

asio::awaitable<void> acceptLoop(std::shared_ptr<Shared> server)
{
    asio::steady_timer pause(server->acceptor.get_executor());
    while (server->accepting) {
        const asio::any_io_executor strand = asio::make_strand(server->context);
        auto [problem, socket] =
                co_await server->acceptor.async_accept(strand, asio::as_tuple(asio::use_awaitable));
        if (problem == asio::error::operation_aborted)
            break;
        if (problem) {
            pause.expires_after(acceptRetryDelay);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        const auto life = std::make_shared<Connection *>(nullptr);
        const auto close = [strand, life] {
            asio::post(strand, [life] {
                if (*life != nullptr)
                    (*life)->close();
            });
        };
        auto member = server->hooks.pool->join(server->listener, server->limits.read()->connections,
                                               close);
        if (!member)
            continue; // closes the socket
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        ++server->connections;
        std::string peer = peerOf(socket);
        asio::co_spawn(strand,
                       serveConnection(server, std::move(socket), std::move(peer),
                                       std::move(member), life),
                       asio::detached);
    }
}

} // namespace

HttpExchange::HttpExchange(protocol::HttpRequest request, std::string peer,
                           asio::any_io_executor executor, Hooks hooks)
    : received(std::move(request))
    , peerText(std::move(peer))
    , strand(std::move(executor))
    , hooks(std::move(hooks))
{}

void HttpExchange::onCallerGone(std::function<void()> gone)
{
    this->hooks.watchCaller(std::move(gone));
}

asio::awaitable<state::Result<void>> HttpExchange::respond(protocol::HttpResponse response)
{
    if (std::exchange(this->answerBegun, true))
        co_return this->secondAnswer();
    co_return co_await this->hooks.respond(std::move(response));
}

asio::awaitable<state::Result<void>> HttpExchange::beginStream(protocol::HttpResponse head)
{
    if (std::exchange(this->answerBegun, true))
        co_return this->secondAnswer();
    co_return co_await this->hooks.beginStream(std::move(head));
}

state::Error HttpExchange::secondAnswer() const
{
    return state::makeError(state::ErrorCode::Internal, "caller.write",
                            "an answer to this request has begun", this->peerText);
}

asio::awaitable<state::Result<void>> HttpExchange::write(std::string_view piece)
{
    return this->hooks.write(piece);
}

asio::awaitable<state::Result<void>> HttpExchange::finishStream()
{
    return this->hooks.finishStream();
}

state::Result<std::shared_ptr<HttpServer>> HttpServer::create(asio::io_context &context,
                                                              const state::Address &address,
                                                              HttpLimits limits, Hooks hooks)
{
    const auto fail = [&](const std::string &cause) {
        return state::makeError(state::ErrorCode::Unavailable, "listener.bind", cause,
                                address.toString());
    };
    beast::error_code problem;
    const auto ip = asio::ip::make_address(address.ip, problem);
    if (problem)
        return fail(problem.message());
    tcp::acceptor acceptor(asio::make_strand(context));
    const tcp::endpoint local(ip, address.port);
    acceptor.open(local.protocol(), problem);
    if (!problem)
        acceptor.set_option(asio::socket_base::reuse_address(true), problem);
    // Connections inherit these; without them, the system's own sizes stay.
    beast::error_code ignored;
    acceptor.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes), ignored);
    acceptor.set_option(asio::socket_base::send_buffer_size(socketBufferBytes), ignored);
    if (!problem)
        acceptor.bind(local, problem);
    if (!problem)
        acceptor.listen(asio::socket_base::max_listen_connections, problem);
    if (problem)
        return fail(problem.message());
    auto shared = std::make_shared<Shared>(context, std::move(acceptor), limits, std::move(hooks));
    return std::make_shared<HttpServer>(std::move(shared));
}

HttpServer::HttpServer(std::shared_ptr<Shared> shared)
    : shared(std::move(shared))
{}

void HttpServer::start()
{
    asio::co_spawn(this->shared->acceptor.get_executor(), acceptLoop(this->shared), asio::detached);
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    this->shared->limits.publish(limits);
}

void HttpServer::closeAfterAnswers()
{
    this->shared->closing = true;
}

void HttpServer::stopAccepting()
{
    this->shared->accepting = false;
    asio::post(this->shared->acceptor.get_executor(), [shared = this->shared] {
        beast::error_code ignored;
        shared->acceptor.close(ignored);
    });
}

std::size_t HttpServer::openConnections() const
{
    return this->shared->connections;
}

std::size_t HttpServer::openExchanges() const
{
    return this->shared->exchanges;
}

state::Address HttpServer::address() const
{
    beast::error_code problem;
    const tcp::endpoint local = this->shared->acceptor.local_endpoint(problem);
    return state::Address{local.address().to_string(), local.port()};
}

} // namespace lavenderthread::transport
