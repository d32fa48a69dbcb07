// What entries tell each other about work in progress, as sealed datagrams. Losing one costs speed
// only: load reports and expiry correct the view.
#pragma once

#include "coordination/admission/Events.h"
#include "coordination/routing/WorkNote.h"
#include "protocol/EndpointJson.h"
#include "protocol/Seal.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lavenderthread::protocol {

// Cache events of an endpoint that is announced at the sender.
struct CacheNews
{
    state::EndpointId endpoint;
    CacheEventBatch batch;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->endpoint, this->batch);
    }
};

using PeerNews = std::variant<coordination::routing::WorkNote, coordination::admission::BacklogNote,
                              CacheNews>;

// Largest sealed datagram; below every usual path's limit.
constexpr std::size_t maximumPeerNewsBytes = 1'200;

// As many datagrams as it takes.
std::vector<std::string> sealPeerNews(const SealKeys &keys, const std::vector<PeerNews> &news);
// Errors: Unauthorized, Unsupported, Corrupt.
state::Result<std::vector<PeerNews>> unsealPeerNews(const SealKeys &keys,
                                                    std::string_view datagram);

} // namespace lavenderthread::protocol
