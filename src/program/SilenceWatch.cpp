// Each attempt has one timer. It is not reset at each event; when it fires, the time of the last
// event is checked.
#include "program/SilenceWatch.h"

#include "program/Clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace lavenderthread::program {

namespace asio = boost::asio;

SilenceWatch::SilenceWatch(const asio::any_io_executor &executor, state::Duration first,
                           Hooks watchHooks)
    : timer(executor)
    , hooks(std::move(watchHooks))
    , patience(first)
    , lastHeard(monotonicNow())
{}

std::shared_ptr<SilenceWatch> SilenceWatch::start(const asio::any_io_executor &executor,
                                                  state::Duration initialTimeout, Hooks hooks)
{
    std::shared_ptr<SilenceWatch> watch(
            new SilenceWatch(executor, initialTimeout, std::move(hooks)));
    asio::co_spawn(
            executor,
            [](std::shared_ptr<SilenceWatch> self) -> asio::awaitable<void> {
                co_await self->run();
            }(watch),
            asio::detached);
    return watch;
}

void SilenceWatch::heard(state::Duration next)
{
    this->lastHeard = monotonicNow();
    this->patience = next;
}

void SilenceWatch::stop()
{
    this->ended = true;
    this->timer.cancel();
}

asio::awaitable<void> SilenceWatch::run()
{
    state::Instant askedAt = this->lastHeard;
    while (!this->ended) {
        const state::Duration idleTime = monotonicNow() - std::max(this->lastHeard, askedAt);
        if (idleTime < this->patience) {
            this->timer.expires_after(this->patience - idleTime);
            co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        askedAt = monotonicNow();
        const bool allowed = co_await this->hooks.mayMove();
        const bool restartedMeanwhile = this->lastHeard > askedAt;
        if (this->ended || restartedMeanwhile || !allowed)
            continue;
        this->gaveUp = true;
        this->ended = true;
        this->hooks.giveUp();
    }
}

} // namespace lavenderthread::program
