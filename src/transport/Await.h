// Lets a coroutine wait for a callback that may come from any thread.
#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace lavenderthread::transport {

// `start` is given a function to call exactly once with the value; the coroutine goes on with that
// value on its own executor.
template <typename Value>
boost::asio::awaitable<Value> awaitCallback(std::function<void(std::function<void(Value)>)> start)
{
    namespace asio = boost::asio;
    auto executor = co_await asio::this_coro::executor;
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<> &, void(Value)>(
            [&start, executor](auto handler) {
                // Handlers are move-only; std::function wants copies.
                auto shared = std::make_shared<decltype(handler)>(std::move(handler));
                start([shared, executor](Value value) {
                    asio::post(executor, [shared, value = std::move(value)]() mutable {
                        std::move (*shared)(std::move(value));
                    });
                });
            },
            asio::use_awaitable);
}

} // namespace lavenderthread::transport
