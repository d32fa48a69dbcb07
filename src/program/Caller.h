// A caller of the system, as `lavenderthread call` and the tests use it: asks for the entries,
// keeps that answer for its time to live, connects there, and goes on elsewhere when an entry is
// lost.
#pragma once

#include "protocol/HttpMessage.h"
#include "state/Address.h"
#include "state/Error.h"
#include "state/Time.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace lavenderthread::program {

struct CallerSettings
{
    std::vector<state::Address> knownEntries; // any of them is asked for the directory
    std::string account;
    std::string key;
    std::chrono::milliseconds deadline{60'000};      // of each call, all tries together
    int tries = 8;                                   // over all entries
    std::chrono::milliseconds pauseBetweenTries{50}; // doubled with each try, up to a second
};

// How one call ended for the caller.
struct CallResult
{
    unsigned status = 0; // 0: no entry could be reached
    std::string ran;     // "yes", "no", "unknown"
    std::string text;    // the completion's text, or the body of a service's answer
    std::string problem; // title and detail when it failed
    std::uint64_t tokens = 0;
    int connections = 0; // entries that were used
    state::Duration firstToken{};
    state::Duration total{};
    bool whole = false;

    auto operator<=>(const CallResult &) const = default;
};

class Caller
{
public:
    explicit Caller(CallerSettings settings);

    // Streams a completion; resumes at another entry by event id when the stream is cut.
    boost::asio::awaitable<CallResult> complete(protocol::HttpRequest request);
    // One plain call. Sent again elsewhere only if the answer says that it did not run, if no entry
    // could be connected, or if `repeatable`.
    boost::asio::awaitable<CallResult> call(protocol::HttpRequest request, bool repeatable);

private:
    boost::asio::awaitable<std::vector<state::Address>> directory();
    // Empty only if the deadline has passed.
    boost::asio::awaitable<std::vector<state::Address>> awaitDirectory(state::Instant deadline);

    CallerSettings settings;
    std::vector<state::Address> entries; // the last answer
    state::Instant entriesExpire{};
};

} // namespace lavenderthread::program
