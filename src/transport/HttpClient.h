// HTTP/1.1 calls to endpoints and other entries, whole or as a stream. Each call has a connection
// of its own: a kept one may be half closed, and then nobody could tell whether the request ran.
// HttpConnection keeps one, for requests that may be repeated.
#pragma once

#include "protocol/HttpMessage.h"
#include "state/Address.h"
#include "state/Error.h"
#include "transport/AnswerReport.h"
#include "transport/NextAnswerDetector.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderthread::transport {

// Steps of a call, as errors name them. After the first three it is certain that the peer has not
// seen the request.
constexpr std::string_view encodeStep = "peer.encode"; // a text of the head can't stand in it
constexpr std::string_view connectStep = "peer.connect";
constexpr std::string_view beforeSendStep = "peer.before-send";
constexpr std::string_view sendStep = "peer.send";
constexpr std::string_view receiveStep = "peer.receive";

// Whether it is certain that the peer has not seen the request of a call that failed so.
bool isUnseen(const state::Error &error);

// Asked once connected, before the first byte goes out; false ends the call with Cancelled, step
// beforeSendStep.
using BeforeSend = std::function<boost::asio::awaitable<bool>()>;

// Ends a call from outside, at whatever step it is. Shared by the call and whoever may cancel it;
// both on the call's executor.
class HttpCallHandle
{
public:
    // The call ends with Cancelled; one that has not begun yet ends before it connects.
    void cancel();
    bool isCancelled() const { return this->cancelled; }

private:
    friend struct HttpCallAccess;

    std::function<void()> close; // of the connection; empty while there is none
    bool cancelled = false;
};

struct HttpCallLimits
{
    std::chrono::milliseconds connectTimeout{1'000};
    // Bytes that the peer's machine does not acknowledge for so long end the connection; 0 leaves
    // it to the system. Without it a call to a machine behind a partition hangs until `timeout`.
    std::chrono::milliseconds unacknowledgedTimeout{0};
    // From connected to the answer's head, then each read; of httpCall(), then to the answer's end.
    std::chrono::milliseconds timeout{10'000};
    std::uint64_t bodyBytes = 16U << 20U; // of a whole answer; streams are not limited
    // Asked as a whole answer's body grows; false: more than may be kept.
    std::function<bool(std::uint64_t bodyBytes)> mayKeep = [](std::uint64_t) { return true; };
    // Asked about heads in the body of an answer.
    ClassifyHead classifyHead = [](const protocol::HttpHeaders &) {
        return NextAnswer::OtherRequest;
    };
};

// An answer whose body is read piece by piece. Used from one coroutine at a time; closing drops the
// connection.
class HttpAnswerStream
{
public:
    struct State; // connection and parser

    explicit HttpAnswerStream(std::shared_ptr<State> state);
    HttpAnswerStream(HttpAnswerStream &&) noexcept;
    HttpAnswerStream &operator=(HttpAnswerStream &&) noexcept;
    ~HttpAnswerStream();

    unsigned status() const;
    protocol::HttpHeaders headers() const;
    // There is a body with neither a length nor chunks: it ends where the peer closes the
    // connection.
    bool endsWithConnection() const;

    std::optional<std::uint64_t> declaredLength() const; // of the body
    AnswerReport report() const;                         // of what was read so far

    // The next piece, as much as has arrived; nothing at the end of a whole body: by its length or
    // last chunk, or, with neither, where the peer closed the connection in order, or began to
    // answer the same request again, after the request had been sent. Errors have step receiveStep;
    // Timeout if no byte came within `timeout`, Unavailable if the connection ended in another way,
    // Corrupt if another answer begins in the body, unless a body with neither a length nor chunks
    // ends there and the next answer to the same request does not go on behind it.
    boost::asio::awaitable<state::Result<std::optional<std::string>>>
    read(std::chrono::milliseconds timeout);

    // Makes a pending read end with Cancelled. Call on the stream's executor.
    void close();

private:
    // Behind the last byte of a body with a length or chunks, or where another answer begins in it.
    state::Result<std::optional<std::string>> readEndOfFrame();
    // The same for a body that has neither.
    state::Result<std::optional<std::string>> readEndOfConnection();
    state::Error brokenOff(const char *how);
    // Counts it; nothing if it is empty.
    std::optional<std::string> lastPiece(std::string rest);

    std::shared_ptr<State> state; // also held by a write that is still under way
};

// Sends the request and reads the answer's head, which may come before the request is all sent.
// The Host header is the request's own, else the peer's address. Errors: step tells how far it got.
boost::asio::awaitable<state::Result<HttpAnswerStream>>
openHttpStream(boost::asio::any_io_executor executor, state::Address peer,
               protocol::HttpRequest request, HttpCallLimits limits, BeforeSend beforeSend = {},
               std::shared_ptr<HttpCallHandle> handle = {});

// The whole answer. Errors as above, and Corrupt if the body is over the limit or may not be kept.
boost::asio::awaitable<state::Result<protocol::HttpResponse>>
httpCall(boost::asio::any_io_executor executor, state::Address peer, protocol::HttpRequest request,
         HttpCallLimits limits, BeforeSend beforeSend = {},
         std::shared_ptr<HttpCallHandle> handle = {});

} // namespace lavenderthread::transport
