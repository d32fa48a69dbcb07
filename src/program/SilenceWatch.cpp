// One timer for each attempt, which is not set anew at each event but looks when it fires.
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
                                                  state::Duration patience, Hooks hooks)
{
    std::shared_ptr<SilenceWatch> watch(new SilenceWatch(executor, patience, std::move(hooks)));
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
        const state::Duration silent = monotonicNow() - std::max(this->lastHeard, askedAt);
        if (silent < this->patience) {
            this->timer.expires_after(this->patience - silent);
            co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        askedAt = monotonicNow();
        const bool allowed = co_await this->hooks.mayMove();
        const bool heardMeanwhile = this->lastHeard > askedAt;
        if (this->ended || heardMeanwhile || !allowed)
            continue;
        this->gaveUp = true;
        this->ended = true;
        this->hooks.giveUp();
    }
}

} // namespace lavenderthread::program
