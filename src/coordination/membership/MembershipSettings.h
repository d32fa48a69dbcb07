// Identity, timing and limits of one member. docs/design/membership.md explains the defaults.
#pragma once

#include "coordination/membership/FailureDetector.h"
#include "coordination/membership/Member.h"

#include <string>
#include <vector>

namespace lavenderthread::coordination::membership {

struct MembershipSettings
{
    std::string cluster; // 1 to 32 characters; datagrams of other clusters are refused
    state::VmId self;
    std::uint64_t incarnation = 0; // start of the process, in milliseconds of wall time
    MemberDescription description;
    std::vector<state::Address> seeds; // contacted until a live member is known at each
    std::uint64_t randomSeed = 0;

    FailureDetectorSettings failureDetector;
    state::Duration gossipInterval = std::chrono::milliseconds(200); // while there is news
    unsigned gossipFanout = 3;
    // Every member sends a record in gossip rounds at most this many times, multiplied by the
    // number of decimal digits of the number of members. The exchange repairs ordinary news, which
    // carries whole descriptions, if it is missed. Critical news is rare, and a member that misses
    // it sends work to a leaving endpoint: with the eager push alone, one member in 150 would.
    unsigned criticalNewsFactor = 3;
    // Eager push: number of members to which each member sends deregistrations and drains at once
    // when it receives them, in addition to the gossip rounds. This reaches all
    // but one member in 150 within four hops (1 - e^-5), at a cost of five datagrams for each
    // member, whatever the number of members.
    unsigned eagerPushFanout = 5;
    // A start of an endpoint is broadcast over a tree of this degree.
    unsigned broadcastFanout = 6;
    // A member that hears of a start in a gossip round was missed by the broadcast, and probably
    // others with it. It tells this many.
    unsigned missedBroadcastFanout = 2;
    unsigned endpointStartSends = 2; // in gossip rounds; broadcasts are acknowledged
    unsigned urgentNewsFactor = 4;
    unsigned ordinaryNewsFactor = 2;
    state::Duration syncInterval = std::chrono::seconds(5);
    state::Duration catchUpInterval = std::chrono::seconds(2); // while tables differ
    state::Duration joinSyncInterval = std::chrono::milliseconds(250);
    state::Duration joinTimeout = std::chrono::seconds(30); // then it counts as synced in any case
    state::Duration seedContactInterval = std::chrono::seconds(2); // to one seed of those not known
    state::Duration reconnectInterval = std::chrono::seconds(10);  // pings one dead member
    state::Duration leftRetention = std::chrono::hours(1);
    state::Duration deadRetention = std::chrono::hours(24); // outlasts a partition between regions
    std::size_t statusesPerDatagram = 8;
    std::size_t statusesBesideNews = 1; // while there is news to spread
    std::size_t datagramBytes = 1'200;  // including the seal; below the usual path MTUs
    double bytesPerSecond = 2'000;      // average send rate, including IP and UDP headers
    // When half of a service of 72 endpoints is replaced within ten seconds, the news of it takes
    // about 50,000 bytes for each member; at bytesPerSecond alone, the last members would learn of
    // it after 16 s.
    double burstBytes = 60'000;
    // This member stores deregistrations durably; see GossipActions::deregistrations.
    bool storesDeregistrations = false;
    // Further bytes for the starts of endpoints alone, in a minute. A failure domain of 21
    // endpoints that starts again costs each member about 30,000 bytes.
    double endpointStartBytesPerMinute = 150'000;
};

} // namespace lavenderthread::coordination::membership
