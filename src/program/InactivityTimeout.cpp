// Each attempt has one timer. It is not reset at each event; when it fires, the time of the last
// event is checked.
#include "program/InactivityTimeout.h"

#include "program/Clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace lavenderthread::program {

namespace asio = boost::asio;

InactivityTimeout::InactivityTimeout(const asio::any_io_executor &executor, state::Duration first,
                                     Hooks watchHooks)
    : timer(executor)
    , hooks(std::move(watchHooks))
    , timeout(first)
    , lastActivity(monotonicNow())
{}

std::shared_ptr<InactivityTimeout> InactivityTimeout::start(const asio::any_io_executor &executor,
                                                            state::Duration initialTimeout,
                                                            Hooks hooks)
{
    std::shared_ptr<InactivityTimeout> watch(
            new InactivityTimeout(executor, initialTimeout, std::move(hooks)));
    asio::co_spawn(
            executor,
            [](std::shared_ptr<InactivityTimeout> self) -> asio::awaitable<void> {
                co_await self->run();
            }(watch),
            asio::detached);
    return watch;
}

void InactivityTimeout::restart(state::Duration next)
{
    this->lastActivity = monotonicNow();
    this->timeout = next;
}

void InactivityTimeout::stop()
{
    this->ended = true;
    this->timer.cancel();
}

asio::awaitable<void> InactivityTimeout::run()
{
    state::Instant askedAt = this->lastActivity;
    while (!this->ended) {
        const state::Duration idleTime = monotonicNow() - std::max(this->lastActivity, askedAt);
        if (idleTime < this->timeout) {
            this->timer.expires_after(this->timeout - idleTime);
            co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        askedAt = monotonicNow();
        const bool allowed = co_await this->hooks.mayRetryElsewhere();
        const bool restartedMeanwhile = this->lastActivity > askedAt;
        if (this->ended || restartedMeanwhile || !allowed)
            continue;
        this->timedOut = true;
        this->ended = true;
        this->hooks.onTimeout();
    }
}

} // namespace lavenderthread::program
