// HTTP/1.1 listener: accepts, bounds and times connections, and hands each request to one handler
// coroutine. What to answer is decided by the handler.
#pragma once

#include "protocol/HttpMessage.h"
#include "state/Address.h"
#include "state/Error.h"
#include "transport/ConnectionPool.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lavenderthread::transport {

// Every listener is bounded: a peer that is too big, too slow or too many is dropped, so that a
// broken or hostile one can't hold memory or descriptors that others need.
struct HttpLimits
{
    std::uint32_t headerBytes = 16U << 10U;           // 431 above
    std::uint64_t bodyBytes = 16U << 20U;             // 413 above
    std::uint32_t connections = 10'000;               // for others, one of them has to make room
    std::chrono::milliseconds requestTimeout{30'000}; // first byte to last byte of a request
    std::chrono::milliseconds idleTimeout{60'000};    // between requests of one connection
    std::chrono::milliseconds writeTimeout{30'000};   // one write to a caller that does not read
};

// One request and its answer. Used by one coroutine, on the connection's strand, and not kept
// after the handler returns. Exactly one of respond or beginStream…finishStream is called.
class HttpExchange
{
public:
    // How the connection writes; supplied by the server.
    struct Hooks
    {
        std::function<boost::asio::awaitable<state::Result<void>>(protocol::HttpResponse)> respond;
        std::function<boost::asio::awaitable<state::Result<void>>(protocol::HttpResponse)>
                beginStream;
        std::function<boost::asio::awaitable<state::Result<void>>(std::string_view)> write;
        std::function<boost::asio::awaitable<state::Result<void>>()> finishStream;
        std::function<void(std::function<void()>)> watchCaller;
    };

    HttpExchange(protocol::HttpRequest request, std::string peer,
                 boost::asio::any_io_executor executor, Hooks hooks);

    const protocol::HttpRequest &request() const { return this->received; }
    const std::string &peer() const { return this->peerText; } // "IP:PORT" of the caller
    boost::asio::any_io_executor executor() const { return this->strand; }
    bool answered() const { return this->answerBegun; } // the status line may have been sent

    // `gone` is called once, on the strand, if the caller closes while its request is worked on;
    // not after the handler has returned. A caller that sends its next request early is not watched
    // from then on.
    void onCallerGone(std::function<void()> gone);

    // The errors have step "caller.write". Unavailable: the caller is gone or does not read;
    // Internal: an answer to this request has begun before, and nothing was written.
    boost::asio::awaitable<state::Result<void>> respond(protocol::HttpResponse response);
    boost::asio::awaitable<state::Result<void>> beginStream(protocol::HttpResponse head);
    boost::asio::awaitable<state::Result<void>> write(std::string_view piece);
    boost::asio::awaitable<state::Result<void>> finishStream();

private:
    state::Error secondAnswer() const;

    protocol::HttpRequest received;
    std::string peerText;
    boost::asio::any_io_executor strand;
    Hooks hooks;
    bool answerBegun = false; // a request gets one head: another would stand in the first answer
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

class HttpServer
{
public:
    struct Hooks
    {
        HttpHandler handle;
        // What to answer to a request that can't be parsed (400), is too large (413, 431), too slow
        // (408), or for which there is no room (503).
        std::function<protocol::HttpResponse(unsigned status, std::string_view cause)> reject;
        // Shared by all listeners of a process.
        std::shared_ptr<ConnectionPool> pool = ConnectionPool::create();
        // Whether answers count in the pool until they are written; otherwise the handler bounds
        // them.
        bool countsAnswers = true;
    };

    // Binds and listens. Error: Unavailable, step "listener.bind", peer the address (busy port).
    static state::Result<std::shared_ptr<HttpServer>> create(boost::asio::io_context &context,
                                                             const state::Address &address,
                                                             HttpLimits limits, Hooks hooks);

    void start();
    // From the next request on; connections keep the limits of the one they are reading.
    void setLimits(const HttpLimits &limits);
    // Every answer from now on closes its connection, so that callers move elsewhere.
    void closeAfterAnswers();
    // No new connections; open ones finish their request in flight and are then closed.
    void stopAccepting();
    std::size_t openConnections() const;
    // Requests whose head has been read and whose handler has not returned.
    std::size_t openExchanges() const;
    state::Address address() const; // with the port that was really bound

    struct Shared; // what connections hold on to
    explicit HttpServer(std::shared_ptr<Shared> shared);

private:
    std::shared_ptr<Shared> shared;
};

} // namespace lavenderthread::transport
