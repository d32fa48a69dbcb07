// The client that `lavenderthread call` and the tests use: fetches the directory of entries, caches
// it for its time to live, connects to an entry, and continues at another one when an entry is
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
    std::vector<state::Address> knownEntries; // asked for the directory, in this order
    std::string account;
    std::string key;
    std::chrono::milliseconds deadline{60'000};      // of each call, including all tries
    int tries = 8;                                   // in total, at all entries
    std::chrono::milliseconds pauseBetweenTries{50}; // doubles with each try, up to one second
};

// Result of one call.
struct CallResult
{
    unsigned status = 0; // 0: no entry could be reached
    std::string ran;     // "yes", "no", "unknown"
    std::string text;    // the completion's text, or the body of a service's answer
    std::string problem; // why the call failed: title and detail, or the error
    std::uint64_t tokens = 0;
    int connections = 0; // connections to entries that gave an answer
    state::Duration firstToken{};
    state::Duration total{};
    bool whole = false;

    auto operator<=>(const CallResult &) const = default;
};

// Makes calls with one account's key, within a deadline and a number of tries.
class Caller
{
public:
    explicit Caller(CallerSettings settings);

    // Streams a completion. When the stream breaks off, resumes it at another entry by event id.
    boost::asio::awaitable<CallResult> complete(protocol::HttpRequest request);
    // Makes one plain call. Sends it to another entry only if the answer says that it did not run,
    // if the connection failed, or if `repeatable`.
    boost::asio::awaitable<CallResult> call(protocol::HttpRequest request, bool repeatable);

private:
    boost::asio::awaitable<std::vector<state::Address>> directory();
    // Waits for a directory that is not empty; returns an empty one only after the deadline.
    boost::asio::awaitable<std::vector<state::Address>> awaitDirectory(state::Instant deadline);

    CallerSettings settings;
    std::vector<state::Address> entries; // the last directory
    state::Instant entriesExpire{};
};

} // namespace lavenderthread::program
