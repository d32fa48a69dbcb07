// Runs one coroutine to completion on the calling thread, for commands that do one thing and exit.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace lavenderthread::program {

template <typename Value>
Value runToEnd(boost::asio::awaitable<Value> work)
{
    boost::asio::io_context context;
    std::optional<Value> value;
    boost::asio::co_spawn(
            context,
            [](boost::asio::awaitable<Value> inner,
               std::optional<Value> &result) -> boost::asio::awaitable<void> {
                result.emplace(co_await std::move(inner));
            }(std::move(work), value),
            [](const std::exception_ptr &failure) {
                if (failure)
                    std::rethrow_exception(failure);
            });
    context.run();
    return std::move(*value);
}

} // namespace lavenderthread::program
