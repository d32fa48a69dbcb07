// An endpoint or peer whose answers are given byte for byte, and that then closes the connection.
#pragma once

#include "state/Address.h"
#include "transport/Await.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <chrono>
#include <deque>
#include <string>
#include <thread>
#include <utility>

namespace lavenderthread::fakes {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds pauseBeforeLater{60};

// What an endpoint sends on one connection before it closes it.
struct RawAnswer
{
    std::string bytes;
    bool reset = false; // the connection, in place of an orderly end
    // A reset that overtakes the bytes would only test a lost answer.
    std::chrono::milliseconds beforeReset{30};
    bool early = false; // the answer comes behind the request's head, whose body is not read
    std::string later;  // follows the bytes after a pause
    // Closes in order in the middle of the request, at a moment when nothing is unread.
    bool closesEarly = false;
};

// Answers each connection with the next of its answers, byte for byte.
class RawEndpoint
{
public:
    explicit RawEndpoint(std::deque<RawAnswer> connections)
        : answers(std::move(connections))
        , acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(this->context, this->serve(), asio::detached);
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~RawEndpoint()
    {
        this->context.stop();
        this->thread.join();
    }
    RawEndpoint(const RawEndpoint &) = delete;
    RawEndpoint &operator=(const RawEndpoint &) = delete;

    // Of requests whose connection was closed early.
    std::size_t bytesOfParts() const { return this->partBytes; }
    state::Address address() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

private:
    // Also the body, unless the answer is early: a close with unread bytes would reset the
    // connection.
    asio::awaitable<bool> receiveRequest(asio::ip::tcp::socket &socket, bool early)
    {
        boost::beast::flat_buffer buffer;
        boost::beast::http::request_parser<boost::beast::http::string_body> parser;
        parser.body_limit(boost::none);
        const auto [headProblem, headBytes] = co_await boost::beast::http::async_read_header(
                socket, buffer, parser, asio::as_tuple(asio::use_awaitable));
        this->partBytes += buffer.size();
        if (headProblem || early)
            co_return !headProblem;
        const auto [problem, bytes] = co_await boost::beast::http::async_read(
                socket, buffer, parser, asio::as_tuple(asio::use_awaitable));
        co_return !problem;
    }

    static asio::awaitable<void> readToEnd(asio::ip::tcp::socket &socket)
    {
        socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        std::string sink(64U << 10U, '\0');
        while (true) {
            const auto [problem, bytes] = co_await socket.async_read_some(
                    asio::buffer(sink), asio::as_tuple(asio::use_awaitable));
            if (problem)
                co_return;
        }
    }

    // Reads a part of the request, and then on until nothing is unread for the moment.
    void readPart(asio::ip::tcp::socket &socket)
    {
        constexpr std::size_t part = 128U << 10U;
        boost::system::error_code problem;
        std::string sink(4U << 10U, '\0');
        while (!problem && (this->partBytes < part || socket.available(problem) > 0))
            this->partBytes += socket.read_some(asio::buffer(sink), problem);
    }

    asio::awaitable<void> serve()
    {
        while (!this->answers.empty()) {
            asio::ip::tcp::socket socket =
                    co_await this->acceptor.async_accept(asio::use_awaitable);
            const bool received = co_await receiveRequest(socket, this->answers.front().early);
            if (!received) // a probe of the port
                continue;
            const RawAnswer answer = this->answers.front();
            this->answers.pop_front();
            co_await asio::async_write(socket, asio::buffer(answer.bytes), asio::use_awaitable);
            if (!answer.later.empty()) {
                co_await transport::pause(pauseBeforeLater);
                // A reader that has all it needs has closed the connection by then.
                co_await asio::async_write(socket, asio::buffer(answer.later),
                                           asio::as_tuple(asio::use_awaitable));
            }
            if (answer.closesEarly) {
                this->readPart(socket);
            } else if (answer.reset) {
                co_await transport::pause(answer.beforeReset);
                socket.set_option(asio::socket_base::linger(true, 0));
            } else if (answer.early) {
                co_await readToEnd(socket);
            }
            socket.close();
        }
    }

    std::deque<RawAnswer> answers;
    std::atomic<std::size_t> partBytes = 0;
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

} // namespace lavenderthread::fakes
