// Keeps, under a mutex, which engine each request is on and which it has lost.
#include "program/LeastOutstanding.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <set>

namespace lavenderthread::program {

namespace {

constexpr std::size_t maximumAttempts = 4;
constexpr std::chrono::milliseconds noEngineRetryAfter{1'000};

protocol::Problem noEngine(protocol::Ran ran)
{
    return {503, "no-engine", "no engine with this model is ready", ran, noEngineRetryAfter};
}

class LeastOutstanding
{
public:
    explicit LeastOutstanding(std::shared_ptr<EndpointRegistry> registry)
        : registry(std::move(registry))
    {}

    PlacementResult place(const ScheduledRequest &request)
    {
        const std::lock_guard lock(this->mutex);
        Work &work = this->works[request.id];
        work.model = request.body.model;
        PlacementResult result = this->choose(work);
        if (!result)
            this->works.erase(request.id);
        return result;
    }

    PlacementResult placeAgain(const state::RequestId &id, const Placement &failed)
    {
        const std::lock_guard lock(this->mutex);
        Work &work = this->works[id];
        work.lost.insert(failed.endpoint.id);
        if (work.lost.size() >= maximumAttempts)
            return noEngine(protocol::Ran::Unknown);
        return this->choose(work);
    }

    void finished(const state::RequestId &id)
    {
        const std::lock_guard lock(this->mutex);
        this->works.erase(id);
    }

    bool isAlive(const state::EndpointDescription &endpoint) const
    {
        return this->registry->table()->find(endpoint.id, endpoint.incarnation) != nullptr;
    }

private:
    struct Work
    {
        state::ModelName model;
        state::EndpointId on;
        std::set<state::EndpointId> lost;
    };

    PlacementResult choose(Work &work)
    {
        std::map<state::EndpointId, std::size_t> outstanding;
        for (const auto &[id, other] : this->works)
            ++outstanding[other.on];
        const RegisteredEndpoint *best = nullptr;
        const auto table = this->registry->table();
        for (const auto &[id, endpoint] : table->endpoints) {
            const auto &models = endpoint.description.models;
            if (endpoint.draining || work.lost.contains(id)
                || std::find(models.begin(), models.end(), work.model) == models.end())
                continue;
            if (best == nullptr || outstanding[id] < outstanding[best->description.id])
                best = &endpoint;
        }
        if (best == nullptr)
            return noEngine(protocol::Ran::No);
        work.on = best->description.id;
        return Placement{best->description};
    }

    std::shared_ptr<EndpointRegistry> registry;
    std::mutex mutex;
    std::map<state::RequestId, Work> works;
};

} // namespace

Scheduler makeLeastOutstanding(std::shared_ptr<EndpointRegistry> registry)
{
    auto policy = std::make_shared<LeastOutstanding>(std::move(registry));
    Scheduler scheduler;
    scheduler.place =
            [policy](ScheduledRequest request) -> boost::asio::awaitable<PlacementResult> {
        co_return policy->place(request);
    };
    scheduler.placeAgain = [policy](state::RequestId id, Placement failed,
                                    bool) -> boost::asio::awaitable<PlacementResult> {
        co_return policy->placeAgain(id, failed);
    };
    scheduler.sliceDone = [](state::RequestId,
                             Placement done) -> boost::asio::awaitable<PlacementResult> {
        co_return done; // never asked: every placement is final
    };
    scheduler.progressed = [](const state::RequestId &, std::uint32_t, std::uint64_t) {};
    scheduler.finished = [policy](const state::RequestId &id, std::uint32_t, bool) {
        policy->finished(id);
    };
    scheduler.isAlive = [policy](const state::EndpointDescription &endpoint) {
        return policy->isAlive(endpoint);
    };
    return scheduler;
}

} // namespace lavenderthread::program
