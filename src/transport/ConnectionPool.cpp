#include "transport/ConnectionPool.h"

#include "transport/MonotonicClock.h"

#include <utility>

namespace lavenderthread::transport {

using Id = state::ConnectionBudget::Id;

ConnectionPool::Member::Member(std::shared_ptr<ConnectionPool> pool, Id id)
    : pool(std::move(pool))
    , id(id)
{}

ConnectionPool::Member::~Member()
{
    const std::lock_guard lock(this->pool->mutex);
    this->pool->budget.leave(this->id);
    this->pool->closers.erase(this->id);
}

bool ConnectionPool::Member::enter(Phase phase)
{
    const std::lock_guard lock(this->pool->mutex);
    return this->pool->budget.enter(this->id, phase, monotonicNow());
}

bool ConnectionPool::Member::resize(std::size_t bytes)
{
    const std::lock_guard lock(this->pool->mutex);
    std::vector<Id> closed;
    const bool hasRoom = this->pool->budget.resize(this->id, bytes, monotonicNow(), closed);
    this->pool->closeAll(closed);
    return hasRoom;
}

void ConnectionPool::Member::setAnswerBytes(std::size_t bytes)
{
    const std::lock_guard lock(this->pool->mutex);
    this->pool->budget.setAnswerBytes(this->id, bytes);
}

ConnectionPool::ConnectionPool(Settings settings)
    : budget(settings)
{}

std::shared_ptr<ConnectionPool> ConnectionPool::create(Settings settings)
{
    return std::shared_ptr<ConnectionPool>(new ConnectionPool(settings));
}

ConnectionPool::Listener ConnectionPool::addListener()
{
    const std::lock_guard lock(this->mutex);
    return ++this->listeners;
}

std::unique_ptr<ConnectionPool::Member> ConnectionPool::join(Listener listener, std::size_t most,
                                                             std::function<void()> close)
{
    const std::lock_guard lock(this->mutex);
    const auto admission = this->budget.admit(listener, most, monotonicNow());
    if (admission.closed)
        this->closeAll({*admission.closed});
    if (!admission.admitted)
        return nullptr;
    this->closers.emplace(*admission.admitted, std::move(close));
    return std::make_unique<Member>(this->shared_from_this(), *admission.admitted);
}

void ConnectionPool::closeSlowestReader()
{
    const std::lock_guard lock(this->mutex);
    if (const auto closed = this->budget.closeSlowestReader(monotonicNow()))
        this->closeAll({*closed});
}

ConnectionPool::Counts ConnectionPool::counts() const
{
    const std::lock_guard lock(this->mutex);
    return this->budget.counts();
}

void ConnectionPool::closeAll(const std::vector<Id> &connections)
{
    for (const Id connection : connections) {
        if (const auto closing = this->closers.extract(connection))
            closing.mapped()();
    }
}

} // namespace lavenderthread::transport
