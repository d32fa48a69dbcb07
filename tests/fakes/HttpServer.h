// A small HTTP/1.1 server for the fakes: a handler answers each request whole, or hands back a
// source of chunks that the connection asks again and again.
#pragma once

#include "state/Address.h"
#include "state/Error.h"
#include "state/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace lavenderthread::fakes {

constexpr std::uint64_t maximumBodyBytes = 16U << 20U;

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

struct Chunk
{
    enum class Then { AskAgain, Done, Cut }; // Cut: close without the end of the message

    std::string text; // may be empty
    Then then = Then::AskAgain;
};

struct Reply
{
    Response response;
    std::function<Chunk()> nextChunk; // if set, the body is chunked and comes from here
    state::Duration delay{0};         // before the first byte of the answer
};

Reply makeReply(boost::beast::http::status status, std::string json = {});
Reply makeProblem(boost::beast::http::status status, std::string_view detail);

// Runs on threads of its own until destroyed; destruction cuts what is under way.
// The handler is called from any of the threads; what it throws becomes a 400.
class HttpServer
{
public:
    using Handler = std::function<Reply(const Request &)>;

    // Error: Unavailable, step "fake.listen", if the address can't be bound.
    static state::Result<std::unique_ptr<HttpServer>> create(const state::Address &listen,
                                                             int threadCount, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    state::Address address() const; // with the real port if 0 was asked

private:
    explicit HttpServer(Handler handler);
    void accept();

    Handler handler;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<std::thread> threads;
};

} // namespace lavenderthread::fakes
