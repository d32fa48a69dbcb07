// What answers, probes and peers tell the relay about endpoints.
#include "program/Clock.h"
#include "program/Log.h"
#include "program/RouteRelay.h"

#include <optional>

namespace lavenderthread::program {

namespace {

void logLimit(const state::EndpointId &endpoint, std::uint64_t incarnation,
              std::optional<double> perSecond, std::string_view source)
{
    constexpr double thousandths = 1'000;
    logEvent(LogLevel::Info, perSecond ? "endpoint.limited" : "endpoint.unlimited",
             {{"endpoint", endpoint.value()},
              {"incarnation", incarnation},
              {"per_second_milli", std::int64_t(perSecond.value_or(0) * thousandths)},
              {"source", source}});
}

} // namespace

void logReplaced(const state::EndpointDescription &replica, std::string_view source)
{
    logEvent(LogLevel::Warning, "replica.replaced",
             {{"endpoint", replica.id.value()},
              {"address", replica.address.toString()},
              {"incarnation", replica.incarnation},
              {"source", source}});
}

void RouteRelay::endpointReached(const state::EndpointDescription &endpoint)
{
    const std::lock_guard lock(this->choiceMutex);
    this->chooser.reached(endpoint, monotonicNow());
}

void RouteRelay::limitNamed(const state::EndpointDescription &endpoint,
                            std::optional<double> perSecond)
{
    bool isNew = false;
    {
        const std::lock_guard lock(this->choiceMutex);
        if (!perSecond && !this->chooser.isLimited(endpoint.id, endpoint.incarnation))
            return;
        isNew = this->chooser.limitNamed(endpoint.id, endpoint.incarnation, perSecond,
                                         monotonicNow());
    }
    this->hooks.scheduler.limitNamed(endpoint.id, endpoint.incarnation, perSecond);
    if (!isNew)
        return;
    logLimit(endpoint.id, endpoint.incarnation, perSecond, "answer");
    this->hooks.share(protocol::EndpointLimited{endpoint.id, endpoint.incarnation,
                                                perSecond.has_value(), perSecond.value_or(0)});
}

void RouteRelay::restNamed(const state::EndpointDescription &endpoint, state::Duration time)
{
    const state::Instant now = monotonicNow();
    {
        const std::lock_guard lock(this->choiceMutex);
        this->chooser.restNamed(endpoint.id, endpoint.incarnation, now + time, now);
    }
    this->hooks.scheduler.restNamed(endpoint.id, endpoint.incarnation, now + time);
    logEvent(LogLevel::Info, "endpoint.rests",
             {{"endpoint", endpoint.id.value()},
              {"incarnation", endpoint.incarnation},
              {"for_us", std::int64_t(time.count())}});
}

void RouteRelay::fullNamed(const state::EndpointDescription &endpoint, state::Duration time)
{
    const state::Instant now = monotonicNow();
    {
        const std::lock_guard lock(this->choiceMutex);
        this->chooser.fullNamed(endpoint.id, endpoint.incarnation, now + time, now);
    }
    this->hooks.scheduler.fullNamed(endpoint.id, endpoint.incarnation, now + time);
}

void RouteRelay::leavingNamed(const state::EndpointDescription &endpoint)
{
    const auto table = this->hooks.endpoints();
    const RegisteredEndpoint *known = table->find(endpoint.id, endpoint.incarnation);
    if (known == nullptr || known->draining)
        return;
    {
        const std::lock_guard lock(this->choiceMutex);
        std::erase_if(this->leaving, [&table](const auto &each) {
            return table->find(each.first, each.second) == nullptr;
        });
        if (!this->leaving.insert_or_assign(endpoint.id, endpoint.incarnation).second)
            return;
    }
    logEvent(LogLevel::Info, "endpoint.leaves",
             {{"endpoint", endpoint.id.value()},
              {"address", endpoint.address.toString()},
              {"incarnation", endpoint.incarnation},
              {"source", "answer"}});
    this->hooks.endpointLeaves(endpoint);
}

bool RouteRelay::isResting(const state::EndpointDescription &endpoint)
{
    const std::lock_guard lock(this->choiceMutex);
    return this->chooser.isResting(endpoint.id, endpoint.incarnation, monotonicNow());
}

void RouteRelay::peerHeardLimit(const protocol::EndpointLimited &limit)
{
    const auto perSecond = limit.isLimited ? std::optional(limit.perSecond) : std::nullopt;
    bool isNew = false;
    {
        const std::lock_guard lock(this->choiceMutex);
        isNew = this->chooser.limitNamed(limit.endpoint, limit.incarnation, perSecond,
                                         monotonicNow());
    }
    this->hooks.scheduler.limitNamed(limit.endpoint, limit.incarnation, perSecond);
    if (isNew)
        logLimit(limit.endpoint, limit.incarnation, perSecond, "peer");
}

void RouteRelay::peerCalled(const protocol::LimitedCall &call)
{
    const std::lock_guard lock(this->choiceMutex);
    this->chooser.peerCallStarted(call.endpoint, call.incarnation, monotonicNow());
}

void RouteRelay::peerFoundReplaced(const protocol::EndpointReplaced &replaced)
{
    const state::Instant now = monotonicNow();
    const auto table = this->hooks.endpoints();
    const RegisteredEndpoint *known = table->find(replaced.endpoint, replaced.incarnation);
    bool isNew = false;
    {
        const std::lock_guard lock(this->choiceMutex);
        isNew = this->chooser.replacedAtPeer(replaced.endpoint, replaced.incarnation, now);
    }
    if (isNew && known != nullptr && known->description.kind == state::EndpointKind::PlainService)
        logReplaced(known->description, "peer");
}

} // namespace lavenderthread::program
