// Lets a coroutine wait: for a time, or for a callback that may come from any thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace lavenderthread::transport {

// Waits for that time on the coroutine's executor.
inline boost::asio::awaitable<void> pause(std::chrono::milliseconds time)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

// `start` is given a function to call exactly once with the value; the coroutine goes on with that
// value on its own executor, which must be a strand. A timer that never expires serves as the
// event: an initiation of our own would be a temporary inside co_await, which g++ 12 destroys
// twice.
template <typename Value>
boost::asio::awaitable<Value> awaitCallback(std::function<void(std::function<void(Value)>)> start)
{
    namespace asio = boost::asio;
    struct Event
    {
        explicit Event(const asio::any_io_executor &executor)
            : timer(executor, asio::steady_timer::time_point::max())
        {}
        asio::steady_timer timer; // touched on the coroutine's executor only
        std::optional<Value> value;
    };
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const auto event = std::make_shared<Event>(executor);
    start([event, executor](Value value) {
        asio::post(executor, [event, value = std::move(value)]() mutable {
            event->value.emplace(std::move(value));
            event->timer.cancel();
        });
    });
    while (!event->value)
        co_await event->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return std::move(*event->value);
}

} // namespace lavenderthread::transport
