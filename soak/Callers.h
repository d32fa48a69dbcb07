// Callers: ask where to connect, keep the answer a while, send requests of each kind, and check
// every byte of what comes back.
#pragma once

#include "Ledger.h"

#include "protocol/HttpMessage.h"
#include "state/Address.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace lavenderthread::soak {

struct CallerSettings
{
    std::vector<state::Address> directories;
    std::uint64_t seed = 0;
    std::string name;                           // begins its request ids
    bool briefOnly = false;                     // sends no long prompts
    std::chrono::milliseconds timeLimit{3'000}; // of each request
    // Where to connect instead of an address of the directory: a proxy before it.
    std::function<state::Address(const state::Address &)> viaProxy;
};

// What a request asks for.
struct CallShape
{
    std::string path = "/read/"; // prefix of the route: "/stream/", "/post/" or "/read/"
    std::string rest = "x";      // of the path
    std::string promptPrefix;
    std::string body;
};

class Caller
{
public:
    Caller(boost::asio::io_context &context, CallerSettings chosen, Ledger &ledger);

    boost::asio::awaitable<void> callForEver(std::chrono::milliseconds pause);
    void stop() { this->stopped = true; }
    // One request at that entry. True: a whole success.
    boost::asio::awaitable<bool> callAt(state::Address entry, CallShape shape);
    boost::asio::awaitable<bool> callAt(state::Address entry, std::string path,
                                        std::string promptPrefix = {});
    // One lookup on a route; the status, 0 if there was no answer.
    boost::asio::awaitable<unsigned> probe(state::Address entry, std::string path);

private:
    boost::asio::awaitable<void> callOnce();
    boost::asio::awaitable<std::vector<state::Address>> resolve();
    protocol::HttpRequest makeRequest(const std::string &id, const CallShape &shape);
    bool judge(const std::string &id, const std::string &path, unsigned status,
               const std::string &body, bool sealed);

    boost::asio::io_context &context;
    CallerSettings settings;
    Ledger &ledger;
    std::mt19937_64 random;
    std::uint64_t count = 0;
    std::vector<state::Address> known;
    bool stopped = false;
};

} // namespace lavenderthread::soak
