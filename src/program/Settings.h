// All settings of one node as an immutable value, read from a validated document.
#pragma once

#include "protocol/Seal.h"
#include "state/Address.h"
#include "state/Ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavenderthread::program {

struct AccountSetting
{
    state::ClientAccountId id;
    std::string key; // bearer key; never logged
    bool isOperator = false;
};

struct ServiceSetting
{
    state::ServiceName name;
    std::vector<std::string> nonIdempotent; // "METHOD /path-prefix"
};

struct ControlMemberSetting
{
    state::VmId id;
    state::Address address; // consensus
    state::Address entry;   // HTTP
};

struct EntrySettings
{
    state::Address listen;
    std::uint32_t workers = 4;
    std::chrono::milliseconds directoryTtl{};
    std::uint32_t headerLimitBytes = 0;
    std::uint64_t bodyLimitBytes = 0;
    std::uint32_t connections = 0;
    std::chrono::milliseconds requestTimeout{};
    std::chrono::milliseconds idleTimeout{};
    std::chrono::milliseconds defaultDeadline{};
    std::chrono::milliseconds shutdownGrace{};
    std::chrono::milliseconds shutdownLimit{};
};

struct EndpointSettings
{
    std::chrono::milliseconds renewInterval{};
    std::chrono::milliseconds expireAfter{};
    std::chrono::milliseconds connectTimeout{};
    std::chrono::milliseconds silenceTimeout{};
};

// The transparent relay and its auxiliary listeners; an absent address is not served.
struct RelaySettings
{
    std::optional<state::Address> listen;
    std::optional<state::Address> readyListen;
    std::optional<state::Address> directoryListen;
    std::optional<state::Address> operatorListen;
    std::chrono::milliseconds directoryTtl{};
    std::chrono::milliseconds heartbeatInterval{};
    std::chrono::milliseconds terminationLimit{};
    double coldOvershoot = 0; // see coordination::routing::ColdRate
    double coldSlack = 0;

    // A node that takes announcements of a relay deployment and relays nothing places no requests.
    bool placesRequests() const { return this->listen || !this->operatorListen; }
};

struct GossipSettings
{
    std::chrono::milliseconds probeInterval{};
    unsigned suspicionProbes = 0;
    unsigned bytesPerSecond = 0;
};

struct Settings
{
    std::string clusterName;
    protocol::SealKeys keys;
    std::vector<state::Address> seeds;
    std::vector<state::Address> seedHosts; // also in `seeds`, with the gossip port
    state::VmId vm;
    state::FailureDomain failureDomain;
    state::Region region;
    double linkMbps = 0;
    std::uint64_t memoryMb = 0;
    std::uint64_t descriptors = 0; // 0: as the system allows
    EntrySettings entry;
    EndpointSettings endpoint;
    RelaySettings relay;
    std::optional<state::Address> gossipListen;
    GossipSettings gossip;
    std::optional<state::Address> controlListen;
    std::string dataFolder;
    bool controlBootstrap = false;
    bool admitWhenStale = false;
    std::chrono::milliseconds changeInForce{};
    std::size_t leastControlVoters = 3;
    std::vector<ControlMemberSetting> controlMembers;
    std::vector<AccountSetting> accounts;
    std::vector<ServiceSetting> services;
    bool rankedOverload = false; // overload.control
    std::optional<state::Address> metricsListen;
    std::string logLevel;

    // Control members are named in the settings or found among the seed hosts.
    bool hasControlMembers() const
    {
        return !this->controlMembers.empty() || !this->seedHosts.empty();
    }

    // Reads and checks the file. Errors: NotFound (step "settings.read"), InvalidArgument.
    static state::Result<Settings> load(const std::string &file);
    static state::Result<Settings> parse(std::string_view json, const std::string &file);
};

} // namespace lavenderthread::program
