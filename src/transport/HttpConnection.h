// HTTP/1.1 calls to one peer over a connection that is kept between calls. Only for requests that
// may be repeated: a kept connection may have ended unnoticed, and the call is then sent again.
#pragma once

#include "transport/HttpClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>

namespace lavenderthread::transport {

// One call at a time; used from one coroutine.
class HttpConnection
{
public:
    HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;
    ~HttpConnection();

    // Returns the whole answer. Connects if there is no connection to that peer, and closes one to
    // another peer. A call whose kept connection has ended is sent once more on a new one. Errors
    // as httpCall(); the connection is closed then.
    boost::asio::awaitable<state::Result<protocol::HttpResponse>>
    call(boost::asio::any_io_executor executor, state::Address peer, protocol::HttpRequest request,
         HttpCallLimits limits);
    bool isOpen() const { return this->stream != nullptr; }

private:
    struct Stream;

    boost::asio::awaitable<state::Result<void>> connect(boost::asio::any_io_executor executor,
                                                        state::Address peer, HttpCallLimits limits);
    boost::asio::awaitable<state::Result<protocol::HttpResponse>>
    exchange(protocol::HttpRequest request, HttpCallLimits limits);

    std::unique_ptr<Stream> stream; // null while there is no connection
};

} // namespace lavenderthread::transport
