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
class InactivityTimeout : public std::enable_shared_from_this<InactivityTimeout>
{
public:
    struct Hooks
    {
        // Whether the request may be retried elsewhere; called each time the timeout expires.
        std::function<boost::asio::awaitable<bool>()> mayRetryElsewhere;
        std::function<void()> onTimeout; // called at most once; the timeout has then ended
    };

    static std::shared_ptr<InactivityTimeout> start(const boost::asio::any_io_executor &executor,
                                                    state::Duration initialTimeout, Hooks hooks);

    // Data has arrived. Restarts the timeout with the duration `next`.
    void restart(state::Duration next);
    void stop(); // the attempt has ended; no hook is called after this
    bool hasTimedOut() const { return this->timedOut; }

private:
    InactivityTimeout(const boost::asio::any_io_executor &executor, state::Duration first,
                      Hooks watchHooks);

    boost::asio::awaitable<void> run();

    boost::asio::steady_timer timer;
    Hooks hooks;
    state::Duration timeout;
    state::Instant lastActivity;
    bool ended = false;
    bool timedOut = false;
};

} // namespace lavenderthread::program
