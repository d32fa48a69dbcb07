// The table of settings. A new setting needs one line here and one member in Settings.
#include "program/SettingsSchema.h"

namespace lavenderthread::program {

const std::vector<SettingRule> &settingRules()
{
    using enum SettingType;
    constexpr double minute = 60'000;  // ms
    constexpr double hour = 3'600'000; // ms
    constexpr double mebibyte = 1U << 20U;
    static const std::vector<SettingRule> rules = {
            {"cluster.name", Text, "", nullptr, true, 1, 64,
             "nodes of another cluster name are refused"},
            {"cluster.keys", TextList, "", nullptr, true, 1, 4,
             "secrets that authenticate messages between nodes; the first one seals, all are "
             "accepted"},
            {"cluster.seeds", AddressList, "", boost::json::array(), false, 0, 64,
             "gossip addresses of some other nodes, for joining only"},
            {"cluster.seed_hosts", AddressList, "", boost::json::array(), false, 0, 64,
             "other nodes for joining, by any of their addresses: only the IP counts, their gossip "
             "and control ports are this node's own; with control.bootstrap they are the first "
             "control members"},
            {"vm.id", Text, "", nullptr, true, 1, 128, "name of this node, the same over restarts"},
            {"vm.failure_domain", Text, "", nullptr, true, 1, 64, "failure domain of this VM"},
            {"vm.link_mbps", Number, "Mbit/s", 1'000, false, 0.1, 1'000'000,
             "rate of this VM's link; news to many peers are spread over time so that they take "
             "half of it"},
            {"vm.memory_mb", Integer, "MB", 112, false, 48, mebibyte,
             "memory of this process; bounds what all callers, endpoints and peers together make "
             "it hold. A request for which there is no room is refused with 503, not run"},
            {"vm.descriptors", Integer, "", 0, false, 0, mebibyte,
             "descriptors that this process may open, 0: as many as the system allows; bounds the "
             "connections of all listeners together. Where they are all taken, the one closes that "
             "has waited longest for a request or for its answer to be read"},
            {"vm.region", Text, "", "default", false, 1, 64, "region of this VM"},
            {"entry.listen", IpAddress, "", nullptr, true, 0, 0,
             "where callers, operators and endpoints connect; told to callers as it stands"},
            {"entry.workers", Integer, "threads", 4, false, 1, 64, "threads that serve requests"},
            {"entry.directory_ttl_ms", Integer, "ms", 5'000, false, 100, 10 * minute,
             "how long callers may keep the answer of GET /v1/entries"},
            {"entry.header_limit_bytes", Integer, "bytes", 16'384, false, 1'024, mebibyte,
             "larger request headers are refused with 431"},
            {"entry.body_limit_bytes", Integer, "bytes", 16 * mebibyte, false, 1'024,
             256 * mebibyte, "larger request bodies are refused with 413"},
            {"entry.connections", Integer, "", 10'000, false, 1, 1'000'000,
             "connections at once, see vm.descriptors"},
            {"entry.request_timeout_ms", Integer, "ms", 30'000, false, 50, 10 * minute,
             "a request that takes longer to arrive is refused with 408"},
            {"entry.idle_timeout_ms", Integer, "ms", 60'000, false, 50, hour,
             "a connection without a request is closed after this time"},
            {"entry.default_deadline_ms", Integer, "ms", 60'000, false, 1, 24 * hour,
             "deadline of a request that names none and has no table row"},
            {"entry.shutdown_grace_ms", Integer, "ms", 5'000, false, 0, 10 * minute,
             "after SIGTERM requests are still accepted this long, until callers' answers age out"},
            {"entry.shutdown_limit_ms", Integer, "ms", 10 * minute, false, 0, 24 * hour,
             "requests in flight may take this long to finish after SIGTERM"},
            {"endpoint.renew_ms", Integer, "ms", 1'000, false, 50, minute,
             "endpoints announce themselves again after this time"},
            {"endpoint.expire_ms", Integer, "ms", 3'000, false, 100, 10 * minute,
             "an endpoint not heard of for this time gets no new work"},
            {"endpoint.connect_timeout_ms", Integer, "ms", 1'000, false, 10, minute,
             "limit on connecting to an endpoint"},
            {"endpoint.silence_ms", Integer, "ms", 10'000, false, 50, hour,
             "a stream without a byte for this time is taken up at another engine"},
            {"gossip.listen", IpAddress, "", nullptr, false, 0, 0,
             "UDP address of membership; absent: this node stays alone"},
            {"gossip.probe_ms", Integer, "ms", 1'000, false, 100, 10'000,
             "each member probes another one that often"},
            {"gossip.suspicion_probes", Integer, "", 4, false, 1, 20,
             "a suspect has this many probe intervals for each decimal digit of the number of "
             "members before it counts as dead"},
            {"gossip.bytes_per_second", Integer, "", 2'000, false, 500, 100'000,
             "sent on average, with the headers of IP and UDP"},
            {"control.listen", IpAddress, "", nullptr, false, 0, 0,
             "TCP address of consensus; absent: this node is no control member"},
            {"control.data_folder", Text, "", "", false, 0, 4'096,
             "folder of the replicated log, on a disk; needed by control members"},
            {"control.bootstrap", Flag, "", false, false, 0, 0,
             "true only at the first start of a new cluster: an empty data folder then belongs to "
             "a first member; else to a newcomer that must be added"},
            {"control.losses_borne", Integer, "", 1, false, 0, 4,
             "control members whose disks may be lost at once; all control members vote, nine at "
             "most, and a cluster with cluster.seed_hosts keeps at least twice as many voters as "
             "this, and one"},
            {"control.admit_when_stale", Flag, "", false, false, 0, 0,
             "keep admitting under the last known table and configuration while no control member "
             "answers"},
            {"control.change_in_force_ms", Number, "ms", 12'000, false, 1'500, 10 * minute,
             "a change is in force everywhere this long after its acknowledgement; an entry that "
             "knows of a change and can't get it in time serves nothing until it has it, and one "
             "that nobody has confirmed for so long refuses no route and no key for good"},
            {"control.members[].id", Text, "", nullptr, true, 1, 128, "vm.id of a control member"},
            {"control.members[].address", IpAddress, "", nullptr, true, 0, 0,
             "its control.listen address"},
            {"control.members[].entry", IpAddress, "", nullptr, true, 0, 0,
             "its entry.listen address"},
            {"relay.listen", IpAddress, "", nullptr, false, 0, 0,
             "where callers' relayed requests arrive; absent: this node relays nothing"},
            {"relay.ready_listen", IpAddress, "", nullptr, false, 0, 0,
             "where the platform asks whether this node is ready"},
            {"relay.directory_listen", IpAddress, "", nullptr, false, 0, 0,
             "where callers ask which nodes to use"},
            {"relay.directory_ttl_ms", Integer, "ms", 2'000, false, 100, 10 * minute,
             "how long callers may keep that answer"},
            {"relay.operator_listen", IpAddress, "", nullptr, false, 0, 0,
             "where operators send configurations and endpoints announce themselves; a node with "
             "it and "
             "without relay.listen places no requests"},
            {"relay.heartbeat_ms", Integer, "ms", 1'200, false, 50, minute,
             "endpoints announce themselves again after about this time"},
            {"relay.cold_overshoot", Number, "", 1.5, false, 1, 10,
             "a cold endpoint gets at most its rate times this, plus relay.cold_slack, in a "
             "second"},
            {"relay.cold_slack", Number, "", 5.0, false, 0, 1'000,
             "requests in a second, see relay.cold_overshoot"},
            {"relay.termination_ms", Integer, "ms", 8'000, false, 1'000, 10 * minute,
             "a relaying node is gone this long after SIGTERM; in the first half it serves on, "
             "then it finishes what is in flight"},
            {"overload.control", Text, "", "arrival", false, 6, 7,
             "arrival or ranked; ranked: while callers ask for more than the engines can serve, "
             "priorities of routes and accounts and the accounts' shares decide who is served"},
            {"metrics.listen", IpAddress, "", nullptr, false, 0, 0,
             "where GET /metrics is answered as text; absent: nowhere"},
            {"accounts[].id", Text, "", nullptr, true, 1, 128, "client account"},
            {"accounts[].key", Text, "", nullptr, true, 8, 256,
             "bearer key of the account; written to no log"},
            {"accounts[].operator", Flag, "", false, false, 0, 0,
             "the account may use the operators' calls"},
            {"services[].name", Text, "", nullptr, true, 1, 64,
             "plain service, reached as /services/NAME/"},
            {"services[].non_idempotent", TextList, "", boost::json::array(), false, 0, 256,
             "calls that may run at most once, as \"METHOD /path-prefix\""},
            {"log.level", Text, "", "info", false, 1, 16, "debug, info, warning or error"},
    };
    return rules;
}

} // namespace lavenderthread::program
