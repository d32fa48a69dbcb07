// The engine side of docs/contracts/endpoint.md: requests in, calls to the fake engine, answers
// out.
#pragma once

#include "fakes/Engine.h"
#include "fakes/HttpServer.h"
#include "fakes/Orders.h"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::fakes {

struct EngineRouteSettings
{
    EngineSettings engine;
    std::vector<std::string> models;
    std::uint64_t incarnation = 0;
    bool honoursFencing = true;
    std::uint64_t refuseEvery = 0; // every Nth new stream gets 503; 0 refuses none
    bool crossed = false;          // lines come late and some of them twice
};

// Thread-safe.
class EngineRoutes
{
public:
    explicit EngineRoutes(EngineRouteSettings settings);

    Reply handle(const Request &request);
    EngineLoad load();
    std::vector<CacheEventBatch> takeCacheEvents();
    std::vector<std::string> loadedModels();

private:
    Reply startStream(const Request &request);
    Reply readStream(const std::string &id, std::uint64_t from);
    Reply reserve(const Request &request);
    Reply pin(const Request &request, bool imported);
    Reply order(const Request &request);
    Reply held();
    Reply state();
    Chunk nextLines(const std::string &id, std::uint64_t &offset);
    void keepBody(const std::string &id, const std::string &sameAs, const std::string &text);
    static state::Instant now();

    const EngineRouteSettings settings;
    std::mutex mutex; // guards what follows
    Engine engine;
    Orders orders;
    std::uint64_t startCalls = 0;
    // Bodies of the last streams that had a Span, for the next slices of the same prompts.
    std::map<std::string, std::shared_ptr<const std::string>> sliceBodies;
    std::deque<std::string> sliceOrder; // the same ids, oldest first
};

} // namespace lavenderthread::fakes
