// One HTTP call at a time, waited for: what the fakes need to talk to entries, and tests to fakes.
#pragma once

#include "fakes/HttpServer.h"
#include "state/Address.h"
#include "state/Error.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace lavenderthread::fakes {

constexpr std::chrono::milliseconds callTimeout{2'000};

struct Call
{
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers = {};
};

// The whole answer, chunks joined. A message cut before its end gives Corrupt; no answer within
// `timeout` gives Timeout; anything else Unavailable. Step "fake.call".
state::Result<Response> call(const state::Address &peer, const Call &call,
                             std::chrono::milliseconds timeout = callTimeout);

} // namespace lavenderthread::fakes
