// A caller that keeps its connection open between requests and uses it until the process behind it
// closes it. Sends bodies with a length or in chunks, and tells how each request ended.
#pragma once

#include "protocol/HttpMessage.h"
#include "state/Address.h"
#include "state/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace lavenderthread::soak {

enum class CallEnd : std::uint8_t {
    NotSent,       // no connection, or it ended while the request was being sent
    Answered,      // a complete answer, of any status
    Closed,        // the connection ended before the first byte of an answer
    ClosedMidway,  // it ended inside the answer
    NoAnswer,      // bytes came that are no answer, or no part of the one that had begun
    OutOfPatience, // no end within the time that the caller waits
};
std::string_view toString(CallEnd end);

struct KeptCallResult
{
    CallEnd end = CallEnd::NotSent;
    unsigned status = 0;   // 0: no head came
    state::Instant sentAt; // the last byte was written
    state::Instant endedAt;
    std::chrono::milliseconds retryAfter{0}; // as asked for; 0: not
    std::string body;                        // of a complete answer
    std::string answers;                     // the request id that it names
    bool sealed = false;
    std::size_t unaskedBytes = 0; // came behind the answer

    auto operator<=>(const KeptCallResult &) const = default;
};

// One call at a time.
class KeptCaller
{
public:
    explicit KeptCaller(boost::asio::io_context &context);
    ~KeptCaller();
    KeptCaller(const KeptCaller &) = delete;
    KeptCaller &operator=(const KeptCaller &) = delete;

    boost::asio::awaitable<KeptCallResult> call(state::Address entry, protocol::HttpRequest request,
                                                bool inChunks, std::chrono::milliseconds patience);

private:
    struct Connection;

    boost::asio::awaitable<bool> connect(state::Address entry);

    boost::asio::io_context &context;
    std::unique_ptr<Connection> connection; // null: the next call opens one
};

} // namespace lavenderthread::soak
