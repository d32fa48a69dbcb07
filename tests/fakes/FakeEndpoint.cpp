// Wiring of one fake endpoint.
#include "fakes/FakeEndpoint.h"

#include <utility>

namespace lavenderthread::fakes {

using state::EndpointKind;

namespace {

constexpr int serverThreads = 2;

EngineRouteSettings routeSettings(const FakeEndpointSettings &settings)
{
    const state::EndpointDescription &self = settings.description;
    EngineRouteSettings routes;
    routes.engine = {self.kvCapacityTokens, self.prefillTokensPerSecond, self.decodeTokensPerSecond,
                     settings.batch, settings.dropCacheEventEvery};
    for (const state::ModelName &model : self.models)
        routes.models.push_back(model.value());
    routes.incarnation = self.incarnation;
    routes.honoursFencing = self.honoursFencing;
    routes.refuseEvery = settings.refuseEvery;
    routes.crossed = settings.crossed;
    return routes;
}

} // namespace

FakeEndpoint::FakeEndpoint(const FakeEndpointSettings &settings)
    : engine(routeSettings(settings))
    , plain({settings.delay, settings.refuseEvery})
{}

state::Result<std::unique_ptr<FakeEndpoint>> FakeEndpoint::create(FakeEndpointSettings settings)
{
    std::unique_ptr<FakeEndpoint> endpoint(new FakeEndpoint(settings));
    const bool isEngine = settings.description.kind == EndpointKind::Engine;
    BOOST_OUTCOME_TRY(endpoint->server,
                      HttpServer::create(settings.description.address, serverThreads,
                                         [raw = endpoint.get(), isEngine](const Request &request) {
                                             return isEngine ? raw->engine.handle(request)
                                                             : raw->plain.handle(request);
                                         }));
    settings.description.address = endpoint->server->address();
    if (!settings.entries.empty())
        endpoint->startAnnouncing(settings);
    return endpoint;
}

void FakeEndpoint::startAnnouncing(const FakeEndpointSettings &settings)
{
    AnnouncerHooks hooks;
    hooks.load = [this] { return this->engine.load(); };
    hooks.takeCacheEvents = [this] { return this->engine.takeCacheEvents(); };
    hooks.models = [this] { return this->engine.loadedModels(); };
    this->announcer = std::make_unique<Announcer>(
            AnnouncerSettings{settings.entries, settings.description, settings.reportLag},
            std::move(hooks));
}

void FakeEndpoint::leave()
{
    if (this->announcer)
        this->announcer->leave();
}

} // namespace lavenderthread::fakes
