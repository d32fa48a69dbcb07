// Notices that an endpoint has sent nothing of its answer for long, and gives the attempt up where
// there is another one to go on with.
#pragma once

#include "state/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace lavenderthread::program {

// Of one attempt. All calls and hooks on the executor that it was made with, which is a strand.
class SilenceWatch : public std::enable_shared_from_this<SilenceWatch>
{
public:
    struct Hooks
    {
        // Whether the request may be tried elsewhere; asked at the end of each silence.
        std::function<boost::asio::awaitable<bool>()> mayMove;
        std::function<void()> giveUp; // called once at most, after which the watch has ended
    };

    static std::shared_ptr<SilenceWatch> start(const boost::asio::any_io_executor &executor,
                                               state::Duration patience, Hooks hooks);

    // Something has come; from now on the silence may last that long.
    void heard(state::Duration next);
    void stop(); // the attempt has ended; no hook is called any more
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
