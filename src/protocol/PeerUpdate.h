// Updates about work in progress that entries send each other as sealed datagrams. A lost datagram
// only reduces performance: load reports and expiry correct the receiver's view.
#pragma once

#include "coordination/admission/Events.h"
#include "coordination/quarantine/QuarantineUpdate.h"
#include "coordination/routing/WorkNote.h"
#include "protocol/EndpointJson.h"
#include "protocol/Seal.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lavenderthread::protocol {

// Cache events of an endpoint that is registered with the sender.
struct CacheUpdate
{
    state::EndpointId endpoint;
    CacheEventBatch batch;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->endpoint, this->batch);
    }
};

// Another endpoint was found at the address of that incarnation, which has therefore ended.
struct EndpointReplaced
{
    state::EndpointId endpoint;
    std::uint64_t incarnation = 0;

    auto operator<=>(const EndpointReplaced &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->endpoint, this->incarnation);
    }
};

// An endpoint has named the rate of requests that it accepts from all entries, or names none any
// more.
struct EndpointLimited
{
    state::EndpointId endpoint;
    std::uint64_t incarnation = 0;
    bool isLimited = false;
    double perSecond = 0; // if isLimited

    auto operator<=>(const EndpointLimited &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->endpoint, this->incarnation, this->isLimited, this->perSecond);
    }
};

// The sender has sent a call to a replica that has named a limit. Work notes tell that of engines.
struct LimitedCall
{
    state::EndpointId endpoint;
    std::uint64_t incarnation = 0;

    auto operator<=>(const LimitedCall &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->endpoint, this->incarnation);
    }
};

using PeerUpdate =
        std::variant<coordination::routing::WorkNote, coordination::admission::BacklogNote,
                     CacheUpdate, EndpointReplaced, EndpointLimited, LimitedCall,
                     coordination::quarantine::CrashReport, coordination::quarantine::PartCleared,
                     coordination::quarantine::TrialStarted>;

// Size limit of a sealed datagram; below the MTU of all common network paths.
constexpr std::size_t maximumPeerUpdateBytes = 1'200;

// Packs the updates into as many datagrams as needed.
std::vector<std::string> sealPeerUpdates(const SealKeys &keys,
                                         const std::vector<PeerUpdate> &updates);
// Errors: Unauthorized, Unsupported, Corrupt.
state::Result<std::vector<PeerUpdate>> unsealPeerUpdates(const SealKeys &keys,
                                                         std::string_view datagram);

} // namespace lavenderthread::protocol
