// The fake plain service: answers any call with what it was and how often that call has run.
#pragma once

#include "fakes/HttpServer.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace lavenderthread::fakes {

struct PlainServiceSettings
{
    state::Duration delay{0};      // between running a call and answering it
    std::uint64_t refuseEvery = 0; // every Nth call gets 503 without running; 0 refuses none
};

// Thread-safe.
class PlainService
{
public:
    explicit PlainService(PlainServiceSettings settings)
        : settings(settings)
    {}

    // {"path","key","run"}; `GET /fake/counts` gives [{"path","key","runs"}] and is not counted.
    Reply handle(const Request &request);
    std::uint64_t runs(const std::string &path, const std::string &key);

private:
    Reply counts();

    const PlainServiceSettings settings;
    std::mutex mutex;                                                        // guards what follows
    std::map<std::pair<std::string, std::string>, std::uint64_t> runsByCall; // path, key
    std::uint64_t calls = 0;
};

} // namespace lavenderthread::fakes
