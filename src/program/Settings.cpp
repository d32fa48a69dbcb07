// Converts the validated document to typed members and performs checks across several settings.
#include "program/Settings.h"

#include "program/SettingsSchema.h"

#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

namespace lavenderthread::program {

namespace {

// The schema has already validated the text.
state::Address addressOf(const std::string &text)
{
    return state::Address::parse(text).value();
}

std::optional<state::Address> optionalAddress(const std::string &text)
{
    if (text.empty())
        return std::nullopt;
    return addressOf(text);
}

std::chrono::milliseconds milliseconds(const SettingsDocument &document, const std::string &path)
{
    return std::chrono::milliseconds(document.integer(path));
}

EntrySettings entrySettings(const SettingsDocument &document)
{
    EntrySettings entry;
    entry.listen = addressOf(document.text("entry.listen"));
    entry.workers = static_cast<std::uint32_t>(document.integer("entry.workers"));
    entry.directoryTtl = milliseconds(document, "entry.directory_ttl_ms");
    entry.headerLimitBytes =
            static_cast<std::uint32_t>(document.integer("entry.header_limit_bytes"));
    entry.bodyLimitBytes = static_cast<std::uint64_t>(document.integer("entry.body_limit_bytes"));
    entry.connections = static_cast<std::uint32_t>(document.integer("entry.connections"));
    entry.requestTimeout = milliseconds(document, "entry.request_timeout_ms");
    entry.idleTimeout = milliseconds(document, "entry.idle_timeout_ms");
    entry.defaultDeadline = milliseconds(document, "entry.default_deadline_ms");
    entry.shutdownGrace = milliseconds(document, "entry.shutdown_grace_ms");
    entry.shutdownLimit = milliseconds(document, "entry.shutdown_limit_ms");
    return entry;
}

EndpointSettings endpointSettings(const SettingsDocument &document)
{
    EndpointSettings endpoint;
    endpoint.renewInterval = milliseconds(document, "endpoint.renew_ms");
    endpoint.expireAfter = milliseconds(document, "endpoint.expire_ms");
    endpoint.connectTimeout = milliseconds(document, "endpoint.connect_timeout_ms");
    endpoint.silenceTimeout = milliseconds(document, "endpoint.silence_ms");
    return endpoint;
}

RelaySettings relaySettings(const SettingsDocument &document)
{
    RelaySettings relay;
    relay.listen = optionalAddress(document.text("relay.listen"));
    relay.readyListen = optionalAddress(document.text("relay.ready_listen"));
    relay.directoryListen = optionalAddress(document.text("relay.directory_listen"));
    relay.operatorListen = optionalAddress(document.text("relay.operator_listen"));
    relay.directoryTtl = milliseconds(document, "relay.directory_ttl_ms");
    relay.heartbeatInterval = milliseconds(document, "relay.heartbeat_ms");
    relay.terminationLimit = milliseconds(document, "relay.termination_ms");
    relay.coldOvershoot = document.number("relay.cold_overshoot");
    relay.coldSlack = document.number("relay.cold_slack");
    return relay;
}

GossipSettings gossipSettings(const SettingsDocument &document)
{
    GossipSettings gossip;
    gossip.probeInterval = milliseconds(document, "gossip.probe_ms");
    gossip.suspicionProbes = static_cast<unsigned>(document.integer("gossip.suspicion_probes"));
    gossip.bytesPerSecond = static_cast<unsigned>(document.integer("gossip.bytes_per_second"));
    return gossip;
}

void readSeeds(const SettingsDocument &document, Settings &settings)
{
    for (const std::string &seed : document.list("cluster.seeds"))
        settings.seeds.push_back(addressOf(seed));
    for (const std::string &host : document.list("cluster.seed_hosts")) {
        settings.seedHosts.push_back(addressOf(host));
        if (settings.gossipListen)
            settings.seeds.push_back({settings.seedHosts.back().ip, settings.gossipListen->port});
    }
}

void readLists(const SettingsDocument &document, Settings &settings)
{
    for (std::size_t index = 0; index < document.listLength("accounts"); ++index) {
        const std::string path = "accounts[" + std::to_string(index) + "].";
        settings.accounts.push_back({state::ClientAccountId(document.text(path + "id")),
                                     document.text(path + "key"),
                                     document.flag(path + "operator")});
    }
    for (std::size_t index = 0; index < document.listLength("services"); ++index) {
        const std::string path = "services[" + std::to_string(index) + "].";
        settings.services.push_back({state::ServiceName(document.text(path + "name")),
                                     document.list(path + "non_idempotent")});
    }
    for (std::size_t index = 0; index < document.listLength("control.members"); ++index) {
        const std::string path = "control.members[" + std::to_string(index) + "].";
        settings.controlMembers.push_back({state::VmId(document.text(path + "id")),
                                           addressOf(document.text(path + "address")),
                                           addressOf(document.text(path + "entry"))});
    }
}

state::Result<void> checkConsistency(const Settings &settings, const std::string &file)
{
    const auto fail = [&](const std::string &cause) {
        return state::makeError(state::ErrorCode::InvalidArgument, "settings.check", cause, file);
    };
    if (settings.controlListen && settings.dataFolder.empty())
        return fail("control.data_folder: needed where control.listen is set");
    if (settings.endpoint.expireAfter <= settings.endpoint.renewInterval)
        return fail("endpoint.expire_ms: must be more than endpoint.renew_ms");
    std::set<std::string> seen;
    for (const AccountSetting &account : settings.accounts) {
        if (!seen.insert(account.id.value()).second)
            return fail("accounts: " + account.id.value() + " is listed twice");
    }
    static const std::set<std::string> levels = {"debug", "info", "warning", "error"};
    if (!levels.contains(settings.logLevel))
        return fail("log.level: expected debug, info, warning or error");
    return state::outcome::success();
}

} // namespace

state::Result<Settings> Settings::load(const std::string &file)
{
    std::ifstream input(file, std::ios::binary);
    if (!input)
        return state::makeError(state::ErrorCode::NotFound, "settings.read", "can't open the file",
                                file);
    std::ostringstream text;
    text << input.rdbuf();
    return Settings::parse(text.str(), file);
}

state::Result<Settings> Settings::parse(std::string_view json, const std::string &file)
{
    BOOST_OUTCOME_TRY(const SettingsDocument document, SettingsDocument::create(json, file));
    Settings settings;
    settings.clusterName = document.text("cluster.name");
    settings.keys.keys = document.list("cluster.keys");
    settings.vm = state::VmId(document.text("vm.id"));
    settings.failureDomain = state::FailureDomain(document.text("vm.failure_domain"));
    settings.region = state::Region(document.text("vm.region"));
    settings.linkMbps = document.number("vm.link_mbps");
    settings.memoryMb = std::uint64_t(document.integer("vm.memory_mb"));
    settings.descriptors = std::uint64_t(document.integer("vm.descriptors"));
    settings.entry = entrySettings(document);
    settings.endpoint = endpointSettings(document);
    settings.gossipListen = optionalAddress(document.text("gossip.listen"));
    settings.controlListen = optionalAddress(document.text("control.listen"));
    settings.dataFolder = document.text("control.data_folder");
    settings.controlBootstrap = document.flag("control.bootstrap");
    settings.leastControlVoters =
            2 * static_cast<std::size_t>(document.integer("control.losses_borne")) + 1;
    settings.admitWhenStale = document.flag("control.admit_when_stale");
    settings.changeInForce =
            std::chrono::milliseconds(std::llround(document.number("control.change_in_force_ms")));
    settings.relay = relaySettings(document);
    settings.gossip = gossipSettings(document);
    const std::string overloadControl = document.text("overload.control");
    if (overloadControl != "arrival" && overloadControl != "ranked")
        return state::makeError(state::ErrorCode::InvalidArgument, "settings.check",
                                "overload.control: expected arrival or ranked", file);
    settings.rankedOverload = overloadControl == "ranked";
    settings.metricsListen = optionalAddress(document.text("metrics.listen"));
    settings.logLevel = document.text("log.level");
    readSeeds(document, settings);
    readLists(document, settings);
    BOOST_OUTCOME_TRY(checkConsistency(settings, file));
    return settings;
}

} // namespace lavenderthread::program
