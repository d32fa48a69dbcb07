// Aborts an attempt whose endpoint has sent no data for too long, if the request may continue at
// another endpoint.
#pragma once

#include "state/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace lavenderthread::program {

// The inactivity timeout of one attempt. All calls and hooks must run on the executor passed to
// start(), which is a strand.
class SilenceWatch : public std::enable_shared_from_this<SilenceWatch>
{
public:
    struct Hooks
    {
        // Whether the request may be retried elsewhere; called each time the timeout expires.
        std::function<boost::asio::awaitable<bool>()> mayMove;
        std::function<void()> giveUp; // called at most once; the timeout has then ended
    };

    static std::shared_ptr<SilenceWatch> start(const boost::asio::any_io_executor &executor,
                                               state::Duration initialTimeout, Hooks hooks);

    // Data has arrived. Restarts the timeout with the duration `next`.
    void heard(state::Duration next);
    void stop(); // the attempt has ended; no hook is called after this
    bool hasGivenUp() const { return this->gaveUp; }

private:
    SilenceWatch(const boost::asio::any_io_executor &executor, state::Duration first,
                 Hooks watchHooks);

    boost::asio::awaitable<void> run();

    boost::asio::steady_timer timer;
    Hooks hooks;
    state::Duration patience;
    state::Instant lastHeard;
    bool ended = false;
    bool gaveUp = false;
};

} // namespace lavenderthread::program
