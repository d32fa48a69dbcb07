// A whole fake endpoint, as a test or the program fake-endpoint runs it: server, engine or plain
// service, and announcer.
#pragma once

#include "fakes/Announcer.h"
#include "fakes/EngineRoutes.h"
#include "fakes/HttpServer.h"
#include "fakes/PlainService.h"
#include "state/Endpoint.h"

#include <chrono>
#include <memory>
#include <vector>

namespace lavenderthread::fakes {

struct FakeEndpointSettings
{
    state::EndpointDescription description; // its address is where to listen; port 0 takes any
    std::vector<state::Address> entries;    // none: it announces itself to nobody
    std::uint32_t batch = EngineSettings{}.batch;
    std::chrono::milliseconds reportLag{0};
    std::uint64_t dropCacheEventEvery = 0;
    std::uint64_t refuseEvery = 0;
    bool crossed = false;
    std::chrono::milliseconds delay{0}; // of a plain service
};

class FakeEndpoint
{
public:
    // Error: Unavailable, step "fake.listen".
    static state::Result<std::unique_ptr<FakeEndpoint>> create(FakeEndpointSettings settings);

    // Leaves; the calls go on being answered until destruction, which alone is the crash case.
    void leave();
    state::Address address() const { return this->server->address(); }
    PlainService &plainService() { return this->plain; }

private:
    explicit FakeEndpoint(const FakeEndpointSettings &settings);
    void startAnnouncing(const FakeEndpointSettings &settings);

    EngineRoutes engine;
    PlainService plain;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<Announcer> announcer; // null if there is no entry to announce to
};

} // namespace lavenderthread::fakes
