// Keeps a fake endpoint known to the system: announces it to the first entry that answers, renews,
// reports its load late, and passes its cache events on.
#pragma once

#include "fakes/Engine.h"
#include "state/Address.h"
#include "state/Endpoint.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lavenderthread::fakes {

struct AnnouncerHooks
{
    std::function<EngineLoad()> load;
    std::function<std::vector<CacheEventBatch>()> takeCacheEvents;
    std::function<std::vector<std::string>()> models; // loaded now
};

struct AnnouncerSettings
{
    std::vector<state::Address> entries; // asked in this order, again from the first after the last
    state::EndpointDescription description;
    std::chrono::milliseconds reportLag{0};
};

// Runs on a thread of its own. The hooks are called from that thread.
class Announcer
{
public:
    Announcer(AnnouncerSettings settings, AnnouncerHooks hooks);
    ~Announcer(); // stops without a word, as a crash does
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

    // Stops and tells the entry that the endpoint leaves.
    void leave();

private:
    using Clock = std::chrono::steady_clock;

    void run();
    bool waitForNextRound(); // false once stopped
    void stop();
    void announce();
    void reportLoad();
    void sendCacheEvents();
    std::string announcement() const;
    // After 404 it announces again at once; after no answer it turns to the next entry.
    void post(const std::string &name, const std::string &body);
    const state::Address &entry() const { return this->settings.entries[this->entryIndex]; }

    const AnnouncerSettings settings;
    const AnnouncerHooks hooks;

    // Only the thread uses these.
    std::size_t entryIndex = 0;
    bool announced = false;
    Clock::time_point renewAt;
    std::uint64_t loadSequence = 0;
    std::deque<std::pair<Clock::time_point, EngineLoad>> samples; // oldest first

    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false; // guarded by mutex
    std::thread thread;
};

} // namespace lavenderthread::fakes
