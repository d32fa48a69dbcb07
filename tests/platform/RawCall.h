// One call through a relay to an endpoint whose answers are given byte for byte.
#pragma once

#include "RelayFixture.h"

#include "fakes/RawEndpoint.h"

#include <array>
#include <cstdio>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace lavenderthread::platform {

// The relay knows the endpoint under two ids, so that it may try a second time. It is patient: on a
// busy machine the endpoint may be silent for longer than an attempt lasts, and answers that are
// given in turn would meet other attempts than meant.
class RawCall
{
public:
    RawCall(state::routes::CallKind kind, std::deque<fakes::RawAnswer> answers,
            bool throughPeer = false, program::AnswerBuffers::Settings buffers = {},
            RelayFixture::RouteTerms terms = {true, 2})
        : endpoint(std::move(answers))
        , fixture(kind, {}, false, peersOf(throughPeer), buffers)
    {
        constexpr int enoughForARetry = 2;
        constexpr bool patient = true;
        this->fixture.publishRoutes(kind, false, patient, terms);
        this->fixture.announce(this->endpoint.address(), enoughForARetry);
        this->fixture.pathLost = throughPeer;
    }

    state::Result<protocol::HttpResponse> answer() { return this->fixture.call(); }
    // All bytes that the caller's connection brings.
    std::string bytes() { return this->fixture.callRaw(); }

private:
    static std::vector<PeerBehaviour> peersOf(bool throughPeer)
    {
        return throughPeer ? std::vector{PeerBehaviour::Serves} : std::vector<PeerBehaviour>();
    }

    fakes::RawEndpoint endpoint;
    RelayFixture fixture;
};

inline std::string chunk(const std::string &bytes)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", bytes.size());
    return std::string(size.data()) + "\r\n" + bytes + "\r\n";
}

} // namespace lavenderthread::platform
